//! Test support that runs nodes and stand-ins as separate processes.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

use entry::key_digest;
use gentiantally::cmd::{client::NodeClient, local};
use node::api::{AddressAnswer, FleetStatus};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::expected_answer;
use tempfile::TempDir;

pub const MODEL: &str = local::LOCAL_MODEL;
const ZONES: [&str; 3] = ["duluth", "thunder-bay", "sault"];
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls before a test fails: about a minute.
const POLL_ATTEMPTS: u32 = 1_200;

/// A child process that is killed and reaped on drop.
pub struct TestProcess {
    child: Child,
    output: BufReader<ChildStdout>,
}

impl TestProcess {
    pub fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        Self { child, output }
    }

    /// Reads the next output line, which must be `name=value`, and returns the
    /// value.
    pub fn read_value(&mut self, name: &str) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).unwrap();
        let value = line.trim_end().strip_prefix(&format!("{name}="));
        value
            .unwrap_or_else(|| panic!("expected a line {name}=..., got {line:?}"))
            .to_owned()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// The process of one node and its addresses for callers and peers.
pub struct TestNode {
    pub process: TestProcess,
    pub callers: String,
    pub peers: String,
}

/// A fleet of nodes and stand-ins as processes.
pub struct TestFleet {
    folder: TempDir,
    _platform: TestProcess,
    pub platform_address: String,
    pub engines: Vec<TestProcess>,
    pub engine_addresses: Vec<String>,
    _service: TestProcess,
    pub service_address: String,
    pub nodes: Vec<TestNode>,
}

impl TestFleet {
    /// Starts a fleet, publishes the first release note and waits until it is in
    /// force and every engine has an owner.
    pub fn start(nodes: usize, engines: usize) -> Self {
        let folder = TempDir::new().unwrap();
        let (platform, platform_address) = start_standin("platform", None);
        let service_file = write_file(
            &folder,
            "service.jsonc",
            &json!({
                "service": local::LOCAL_SERVICE,
                "zone": ZONES[0],
                "listing": {"platform": platform_address},
            }),
        );
        let (service, service_address) = start_standin("service", Some(&service_file));
        let mut fleet = Self {
            folder,
            _platform: platform,
            platform_address,
            engines: Vec::new(),
            engine_addresses: Vec::new(),
            _service: service,
            service_address,
            nodes: Vec::new(),
        };
        for position in 0..engines {
            fleet.start_engine(position);
        }
        for position in 0..nodes {
            let node = fleet.start_node(position);
            fleet.nodes.push(node);
        }
        fleet.await_members(nodes);
        fleet.publish_first_note();
        fleet.await_engines(engines);
        fleet
    }

    fn start_engine(&mut self, position: usize) {
        let settings = json!({
            "id": format!("engine-{}", position + 1),
            "zone": ZONES[position % ZONES.len()],
            "time_scale": 0.02,
            "models": [{"model": MODEL, "version": "1", "adapters": []}],
            "crash_marker": "crash this engine",
            "restart_ms": 2_000,
            "listing": {"platform": self.platform_address},
        });
        let name = format!("engine-{position}.jsonc");
        let file = write_file(&self.folder, &name, &settings);
        let (engine, address) = start_standin("engine", Some(&file));
        self.engines.push(engine);
        self.engine_addresses.push(address);
    }

    /// Starts the node of that position. The nodes in `self.nodes` are its seeds.
    pub fn start_node(&self, position: usize) -> TestNode {
        let id = format!("node-{}", position + 1);
        let seeds: Vec<&str> = self.nodes.iter().map(|node| node.peers.as_str()).collect();
        let settings = node_settings(
            &id,
            ZONES[position % ZONES.len()],
            &self.platform_address,
            &seeds,
        );
        let file = write_file(&self.folder, &format!("{id}.jsonc"), &settings);
        let program = env!("CARGO_BIN_EXE_gentiantally-node");
        let mut process = TestProcess::start(program, &["--settings", &file]);
        let callers = process.read_value("callers");
        let peers = process.read_value("peers");
        TestNode {
            process,
            callers,
            peers,
        }
    }

    fn publish_first_note(&self) {
        self.publish(&serde_json::to_value(local::first_note()).unwrap());
        poll("the note is in force everywhere", || {
            self.nodes
                .iter()
                .all(|node| status(node).is_some_and(|status| status.note_version >= 1))
        });
    }

    /// Publishes a release note through the first node.
    pub fn publish(&self, note: &Value) {
        let file = write_file(&self.folder, "note.jsonc", note);
        let output = run_command(&[
            "note",
            "publish",
            &file,
            "--node",
            &self.nodes[0].callers,
            "--key",
            local::OPERATOR_KEY,
        ]);
        assert!(output.status.success(), "{output:?}");
    }

    pub fn await_members(&self, count: usize) {
        poll("every node counts the members as alive", || {
            self.nodes
                .iter()
                .all(|node| alive_member_count(node) == count)
        });
    }

    fn await_engines(&self, count: usize) {
        poll("every engine is owned by one node", || {
            let statuses = self.nodes.iter().filter_map(status);
            let owned = statuses
                .flat_map(|status| status.engines)
                .filter(|engine| engine.owned);
            owned.count() == count
        });
    }
}

pub fn alive_member_count(node: &TestNode) -> usize {
    let Some(status) = status(node) else { return 0 };
    let alive = status
        .members
        .iter()
        .filter(|member| member.state == "alive");
    alive.count()
}

pub fn status(node: &TestNode) -> Option<FleetStatus> {
    let client = NodeClient::new(&node.callers, Some(local::OPERATOR_KEY));
    smol::block_on(client.get("status", "/v1/operator/status")).ok()
}

/// The addresses in a node's address answer, best first.
pub fn answered_addresses(node: &TestNode) -> Vec<String> {
    let client = NodeClient::new(&node.callers, None);
    let answer: AddressAnswer = smol::block_on(client.get("resolve", "/v1/addresses")).unwrap();
    answer.addresses
}

/// Sends a prompt and requires the complete answer to it.
pub async fn require_complete_answer(address: String, prompt: String, output_tokens: u64) {
    let text = complete(&address, MODEL, &prompt, output_tokens).await;
    let text = text.unwrap_or_else(|cause| panic!("{address}: {cause}"));
    assert_eq!(text, expected_text(MODEL, "1", &prompt, output_tokens));
}

/// Returns the text of the answer to a prompt, or the error as text.
pub async fn complete(
    address: &str,
    model: &str,
    prompt: &str,
    output_tokens: u64,
) -> Result<String, String> {
    let client = NodeClient::new(address, Some(local::PAYING_KEY));
    let body = json!({"model": model, "prompt": prompt, "max_tokens": output_tokens});
    let sent: Result<Value, _> = client
        .post("prompt", "/v1/completions", body.to_string())
        .await;
    let answer = sent.map_err(|error| format!("{error:?}"))?;
    Ok(answer["choices"][0]["text"].as_str().unwrap().to_owned())
}

/// The complete answer of a stand-in engine to a prompt.
pub fn expected_text(model: &str, version: &str, prompt: &str, output_tokens: u64) -> String {
    expected_answer(
        &model.to_owned(),
        &version.to_owned(),
        None,
        prompt,
        output_tokens,
    )
}

/// Polls until `is_reached`. The limit only ends a stuck test; it is no claim
/// about how long `what` takes.
pub fn poll(what: &str, is_reached: impl Fn() -> bool) {
    for _ in 0..POLL_ATTEMPTS {
        if is_reached() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("condition not reached: {what}");
}

/// Runs the `gentiantally` command and returns its output and exit code.
pub fn run_command(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_gentiantally"))
        .args(arguments)
        .output()
        .unwrap()
}

fn start_standin(kind: &str, settings: Option<&str>) -> (TestProcess, String) {
    let program = env!("CARGO_BIN_EXE_gentiantally-standin");
    let mut arguments = vec![kind];
    if let Some(file) = settings {
        arguments.extend(["--settings", file]);
    }
    let mut process = TestProcess::start(program, &arguments);
    let address = process.read_value("listening");
    (process, address)
}

pub fn node_settings(id: &str, zone: &str, platform: &str, seeds: &[&str]) -> Value {
    json!({
        "node": {"id": id, "zone": zone, "region": "great-lakes"},
        "addresses": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        "platform": {
            "table": platform, "objects": platform, "weights": platform, "hosts": platform,
            "timeout_ms": 1_000,
        },
        "cluster_keys": [{"id": 1, "secret": key_digest("test-cluster-key")}],
        "operator_key_digests": [key_digest(local::OPERATOR_KEY)],
        "seeds": seeds,
        "timeouts": {"address_lifetime_ms": 500, "drain_ms": 60_000},
    })
}

fn write_file(folder: &TempDir, name: &str, value: &Value) -> String {
    let path: PathBuf = folder.path().join(name);
    fs::write(&path, value.to_string()).unwrap();
    path.to_string_lossy().into_owned()
}
