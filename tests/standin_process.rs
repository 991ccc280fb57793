//! The stand-ins as processes: exit codes, settings, listing and faults.

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
const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

/// A stand-in process, ended with the test.
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
        let caller = HttpClient::new(self.address.clone(), ClockSource::System, LIMIT);
        let request = caller.post("control", path, body).expect("request");
        let answer = caller.call("control", request).await.expect("answer");
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

#[test]
fn help_and_bad_usage_have_their_exit_codes() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("platform"));
    for arguments in [&["nonsense"][..], &[], &["engine", "--port", "1"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
    let taken = run(&["platform", "--address", "192.0.2.1:1"]);
    assert_eq!(taken.status.code(), Some(1));
}

#[test]
fn settings_faults_are_told_together_with_their_places() {
    let text = "{\n  // no such engine\n  \"id\": \"a b\",\n  \"time_scale\": 0\n}\n";
    let file = settings_file("faulty-engine.jsonc", text);
    let output = run(&["engine", "--settings", &file]);
    assert_eq!(output.status.code(), Some(2));
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(told.contains(&format!("{file}:3:3: id: ")), "{told}");
    assert!(
        told.contains(&format!("{file}:4:3: time_scale: ")),
        "{told}"
    );
}

#[test]
fn processes_list_themselves_and_take_faults_over_http() {
    let platform = StandinProcess::start(&["platform"]);
    let settings = json!({
        "id": "engine-7",
        "time_scale": 0.01,
        "listing": { "platform": platform.address },
    });
    let file = settings_file("engine-7.jsonc", &settings.to_string());
    let engine = StandinProcess::start(&["engine", "--settings", &file]);
    let list = HttpHosts::new(platform.address.clone(), ClockSource::System, LIMIT);
    let listed = async |incarnation, state| {
        let hosts = list.hosts().await.expect("hosts");
        hosts.iter().any(|host| {
            let same = host.id == "engine-7" && host.address == engine.address;
            same && host.incarnation == incarnation && host.state == state
        })
    };
    block_on(async {
        while !listed(1, HostState::Live).await {
            Timer::after(POLL).await;
        }
        let restart = json!({ "restart_ms": 5 });
        assert_eq!(engine.control("/control/kill", &restart).await, 204);
        while !listed(2, HostState::Live).await {
            Timer::after(POLL).await;
        }
        assert_eq!(engine.control("/control/leave", &Value::Null).await, 204);
        assert!(listed(2, HostState::Leaving).await);
    });
    assert_eq!(engine.stop(), Some(0));
    assert_eq!(block_on(list.hosts()), Ok(Vec::new()));
}

#[test]
fn an_outage_is_switched_on_and_off_over_http() {
    let platform = StandinProcess::start(&["platform"]);
    let table = HttpTable::new(platform.address.clone(), ClockSource::System, LIMIT);
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

#[test]
fn a_service_process_shows_its_effects() {
    let file = settings_file("service.jsonc", "{ \"service\": \"ledger\" } // plain\n");
    let service = StandinProcess::start(&["service", "--settings", &file]);
    block_on(async {
        assert_eq!(service.control("/pay", &json!({ "amount": 7 })).await, 200);
        let caller = HttpClient::new(service.address.clone(), ClockSource::System, LIMIT);
        let request = caller.request("effects", Method::Get, "/control/effects");
        let answer = caller.call("effects", request.expect("request")).await;
        let effects: Value = answer.expect("answer").json().expect("JSON");
        assert_eq!(effects[0]["body"], "{\"amount\":7}");
        assert_eq!(effects.as_array().map(Vec::len), Some(1));
    });
}
