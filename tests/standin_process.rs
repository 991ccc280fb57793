//! The stand-ins as processes: exit codes, settings, registration in the host
//! list, and faults injected over HTTP.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use errors::PlatformError;
use http_types::Method;
use kernel::ClockSource;
use serde_json::{Value, json};
use smol::{Timer, block_on};
use stores::{
    HostList, HostState, HttpHosts, HttpTable, ReadMode, TableService,
    fakes::{InjectedFaults, OutageKind},
};
use transport::HttpClient;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gentiantally-standin");
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A stand-in process that is killed and reaped on drop.
struct StandinProcess {
    child: Child,
    address: String,
}

impl StandinProcess {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start");
        let output = child.stdout.take().expect("output");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("listening=").expect("an address");
        Self {
            address: address.to_owned(),
            child,
        }
    }

    async fn control(&self, path: &str, body: &Value) -> u16 {
        let client = HttpClient::new(self.address.clone(), ClockSource::System, CALL_TIMEOUT);
        let request = client.post("control", path, body).expect("request");
        let answer = client.call("control", request).await.expect("answer");
        answer.status()
    }

    fn stop(mut self) -> Option<i32> {
        let pid = self.child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(signalled.expect("kill").success());
        self.child.wait().expect("wait").code()
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn run(arguments: &[&str]) -> Output {
    let output = Command::new(PROGRAM).args(arguments).output();
    output.expect("run")
}

fn settings_file(name: &str, text: &str) -> String {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("write");
    file.to_str().expect("a path in UTF-8").to_owned()
}

/// Guards against scripts that take a usage error or a failed bind for success.
#[test]
fn help_exits_with_0_bad_usage_with_2_and_a_failed_bind_with_1() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("platform"));
    for arguments in [&["nonsense"][..], &[], &["engine", "--port", "1"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
    let bind_failure = run(&["platform", "--address", "192.0.2.1:1"]);
    assert_eq!(bind_failure.status.code(), Some(1));
}

/// Guards against settings errors that are reported one at a time or without
/// their position in the file.
#[test]
fn all_invalid_settings_are_reported_with_line_and_column() {
    let text = "{\n  // no such engine\n  \"id\": \"a b\",\n  \"time_scale\": 0\n}\n";
    let file = settings_file("faulty-engine.jsonc", text);
    let output = run(&["engine", "--settings", &file]);
    assert_eq!(output.status.code(), Some(2));
    let reported = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        reported.contains(&format!("{file}:3:3: id: ")),
        "{reported}"
    );
    assert!(
        reported.contains(&format!("{file}:4:3: time_scale: ")),
        "{reported}"
    );
}

/// Guards against an engine that is missing from the host list, keeps its old
/// incarnation after a restart, or stays listed after it stopped.
#[test]
fn an_engine_registers_itself_and_is_killed_and_withdrawn_over_http() {
    let platform = StandinProcess::start(&["platform"]);
    let settings = json!({
        "id": "engine-7",
        "time_scale": 0.01,
        "listing": { "platform": platform.address },
    });
    let file = settings_file("engine-7.jsonc", &settings.to_string());
    let engine = StandinProcess::start(&["engine", "--settings", &file]);
    let list = HttpHosts::new(platform.address.clone(), ClockSource::System, CALL_TIMEOUT);
    let listed = async |incarnation, state| {
        let hosts = list.hosts().await.expect("hosts");
        hosts.iter().any(|host| {
            let same = host.id == "engine-7" && host.address == engine.address;
            same && host.incarnation == incarnation && host.state == state
        })
    };
    block_on(async {
        while !listed(1, HostState::Live).await {
            Timer::after(POLL_INTERVAL).await;
        }
        let restart = json!({ "restart_ms": 5 });
        assert_eq!(engine.control("/control/kill", &restart).await, 204);
        while !listed(2, HostState::Live).await {
            Timer::after(POLL_INTERVAL).await;
        }
        assert_eq!(engine.control("/control/leave", &Value::Null).await, 204);
        assert!(listed(2, HostState::Leaving).await);
    });
    assert_eq!(engine.stop(), Some(0));
    assert_eq!(block_on(list.hosts()), Ok(Vec::new()));
}

/// Guards against outages that can't be ended, and against misspelt faults that
/// are ignored instead of refused.
#[test]
fn a_store_outage_is_injected_and_ended_over_http() {
    let platform = StandinProcess::start(&["platform"]);
    let table = HttpTable::new(platform.address.clone(), ClockSource::System, CALL_TIMEOUT);
    block_on(async {
        let down = InjectedFaults {
            outage: OutageKind::Refuse,
            ..InjectedFaults::default()
        };
        let down = serde_json::to_value(down).expect("JSON");
        assert_eq!(platform.control("/control/faults/table", &down).await, 204);
        let refused = table.read("orders", "a", ReadMode::Latest).await;
        let refused = refused.expect_err("refused");
        assert!(matches!(refused, PlatformError::Refused { .. }));
        let unknown = json!({ "outrage": "refuse" });
        let status = platform.control("/control/faults/table", &unknown).await;
        assert_eq!(status, 400);
        assert_eq!(
            platform.control("/control/faults/table", &json!({})).await,
            204
        );
        let read = table.read("orders", "a", ReadMode::Latest).await;
        assert_eq!(read, Ok(None));
    });
    assert_eq!(platform.stop(), Some(0));
}

/// Tests count the runs of an order by these effects, so each call must be
/// reported once with its body.
#[test]
fn a_service_process_reports_its_effects() {
    let file = settings_file("service.jsonc", "{ \"service\": \"ledger\" } // plain\n");
    let service = StandinProcess::start(&["service", "--settings", &file]);
    block_on(async {
        assert_eq!(service.control("/pay", &json!({ "amount": 7 })).await, 200);
        let client = HttpClient::new(service.address.clone(), ClockSource::System, CALL_TIMEOUT);
        let request = client.request("effects", Method::Get, "/control/effects");
        let answer = client.call("effects", request.expect("request")).await;
        let effects: Value = answer.expect("answer").json().expect("JSON");
        assert_eq!(effects[0]["body"], "{\"amount\":7}");
        assert_eq!(effects.as_array().map(Vec::len), Some(1));
    });
}
