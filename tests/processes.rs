//! End-to-end tests of the system as separate processes that are killed, paused
//! and drained.

mod common;

use common::{
    TestFleet, alive_member_count, answered_addresses, poll, require_complete_answer, run_command,
};
use gentiantally::cmd::{client::NodeClient, local};
use rustix::process::Signal;

const PROMPT: &str = "Is the route clear of ash?";
/// Keeps a stand-in engine decoding for about a second.
const LONG_OUTPUT_TOKENS: u64 = 2_000;

/// Guards against incomplete or foreign answers on the path from the caller to
/// the engines, without any fault.
#[test]
fn short_and_long_prompts_get_complete_answers() {
    let fleet = TestFleet::start(2, 3);
    for node in &fleet.nodes {
        smol::block_on(require_complete_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
    let long = "ash ".repeat(300_000);
    smol::block_on(require_complete_answer(
        fleet.nodes[0].callers.clone(),
        long,
        16,
    ));
}

/// Guards against answers that break off or repeat tokens when the engine that
/// decodes them is killed.
#[test]
fn answers_are_complete_when_an_engine_dies() {
    let mut fleet = TestFleet::start(2, 3);
    let running = start_answers(&fleet, 6);
    poll("prompts are open", || open_prompt_count(&fleet) > 0);
    // Dropping the process kills it; its prompts resume on other engines.
    fleet.engines.remove(0);

    smol::block_on(join_answers(running));
}

/// A paused process keeps its connections open and sends nothing. Guards
/// against prompts that wait for it, and against its late output once it
/// resumes.
#[test]
fn prompts_of_a_paused_engine_are_completed_by_other_engines() {
    let fleet = TestFleet::start(2, 3);
    let running = start_answers(&fleet, 6);
    poll("prompts are open", || open_prompt_count(&fleet) > 0);
    fleet.engines[0].signal(Signal::STOP);

    smol::block_on(join_answers(running));

    fleet.engines[0].signal(Signal::CONT);
    let prompts = start_answers(&fleet, 4);
    smol::block_on(join_answers(prompts));
}

/// Guards against address answers that send callers to a killed node.
#[test]
fn a_dead_node_leaves_the_address_answers_and_the_others_serve() {
    let mut fleet = TestFleet::start(3, 3);
    let dead = fleet.nodes.remove(0);
    dead.process.signal(Signal::KILL);

    poll("no address answer names the dead node", || {
        fleet
            .nodes
            .iter()
            .all(|node| !answered_addresses(node).contains(&dead.callers))
    });
    for node in &fleet.nodes {
        smol::block_on(require_complete_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
}

/// Guards against a paused node that blocks the others, or that stays out of
/// the fleet after it resumes.
#[test]
fn a_paused_node_leaves_the_members_and_rejoins_when_it_resumes() {
    let fleet = TestFleet::start(3, 3);
    let (paused, others) = fleet.nodes.split_first().unwrap();
    paused.process.signal(Signal::STOP);
    poll("the others no longer count it as alive", || {
        others.iter().all(|node| alive_member_count(node) == 2)
    });
    for node in others {
        smol::block_on(require_complete_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }

    paused.process.signal(Signal::CONT);

    fleet.await_members(3);
    smol::block_on(require_complete_answer(
        paused.callers.clone(),
        PROMPT.to_owned(),
        16,
    ));
}

/// Guards against requests that are cut off when nodes are drained and replaced
/// one after the other.
#[test]
fn a_rolling_restart_under_load_cuts_off_no_request() {
    let mut fleet = TestFleet::start(3, 3);
    for position in 0..3 {
        let running = start_answers(&fleet, 6);
        poll("prompts are open", || open_prompt_count(&fleet) > 0);
        let node = &mut fleet.nodes[position];
        node.process.signal(Signal::TERM);
        smol::block_on(join_answers(running));
        assert!(node.process.wait().success());

        let next = fleet.start_node(position);
        fleet.nodes[position] = next;
        fleet.await_members(3);
    }
}

/// Guards against a release note that is in force while no engine loads the
/// model version that it names.
#[test]
fn engines_load_a_model_that_a_note_adds_or_changes() {
    let fleet = TestFleet::start(2, 3);
    let model = |version: &str| serde_json::json!({"beacon": {"version": version, "context_tokens": 100_000, "copies": 2}});
    let mut organisation =
        serde_json::to_value(local::first_note()).unwrap()["added"]["organisations"]["lakeshore"]
            .take();
    organisation["models"] = serde_json::json!([common::MODEL, "beacon"]);
    fleet.publish(&serde_json::json!({
        "added": {"models": model("1")},
        "changed": {"organisations": {"lakeshore": organisation}},
    }));
    await_model_version(&fleet, "1");

    fleet.publish(&serde_json::json!({"changed": {"models": model("2")}}));
    await_model_version(&fleet, "2");
}

/// Guards against a node that does not enforce an organisation's limit.
#[test]
fn every_node_enforces_an_organisations_limit() {
    let fleet = TestFleet::start(2, 3);
    let mut organisation =
        serde_json::to_value(local::first_note()).unwrap()["added"]["organisations"]["lakeshore"]
            .take();
    organisation["limits"]["requests_per_second"] = 2.into();
    fleet.publish(&serde_json::json!({"changed": {"organisations": {"lakeshore": organisation}}}));
    poll("the limit refuses", || {
        let answer = smol::block_on(common::complete(
            &fleet.nodes[0].callers,
            common::MODEL,
            PROMPT,
            1,
        ));
        answer.is_err_and(|cause| cause.contains("organisation_limit"))
    });

    // Each node refuses some of the requests that it receives itself.
    for node in &fleet.nodes {
        let answers: Vec<_> = (0..60)
            .map(|_| smol::block_on(common::complete(&node.callers, common::MODEL, PROMPT, 1)))
            .collect();
        let refused = answers.iter().filter(|answer| answer.is_err()).count();
        assert!(refused > 0, "60 requests passed a limit of 2 a second");
    }
}

/// Guards against a prompt that crashes engine after engine because its caller
/// resends it through every node: two crashes must quarantine it.
#[test]
fn a_prompt_that_crashes_engines_costs_two_of_them() {
    let fleet = TestFleet::start(3, 6);
    let other_prompts = start_answers(&fleet, 6);
    poll("the other prompts are open", || {
        open_prompt_count(&fleet) > 0
    });

    // The caller resends the prompt through every node, in two rounds.
    for round in 0..2 {
        for node in &fleet.nodes {
            let refusal = smol::block_on(send_crashing(node.callers.clone()));
            assert!(refusal.contains("prompt_quarantined"), "{round}: {refusal}");
        }
    }

    smol::block_on(join_answers(other_prompts));
    poll("two engine restarts are counted", || {
        engine_crash_count(&fleet) == 2
    });
    let listed = run_command(&[
        "quarantine",
        "list",
        "--node",
        &fleet.nodes[2].callers,
        "--key",
        local::OPERATOR_KEY,
        "--json",
    ]);
    let prompts: serde_json::Value = serde_json::from_slice(&listed.stdout).unwrap();
    assert_eq!(prompts.as_array().unwrap().len(), 1, "{prompts}");
}

/// Invalid settings exit with 2. A port in use exits with 1, since the settings
/// themselves are valid.
#[test]
fn invalid_settings_and_a_busy_port_have_different_exit_codes() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("node.jsonc");
    let name = file.to_string_lossy().into_owned();
    let mut settings = common::node_settings("node-1", "duluth", "127.0.0.1:1", &[]);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    settings["addresses"]["callers"] = taken.local_addr().unwrap().to_string().into();
    std::fs::write(&file, settings.to_string()).unwrap();
    assert!(run_command(&["check", &name]).status.success());

    let program = env!("CARGO_BIN_EXE_gentiantally-node");
    let bind_failure = std::process::Command::new(program)
        .args(["--settings", &name])
        .output()
        .unwrap();
    assert_eq!(bind_failure.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&bind_failure.stderr).contains("choose another address"));

    settings["addresses"]["callers"] = "nowhere".into();
    std::fs::write(&file, settings.to_string()).unwrap();
    let rejection = run_command(&["check", &name]);
    assert_eq!(rejection.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&rejection.stderr).contains("addresses.callers"));
}

/// Operator calls need an operator's key, and the error must say so.
#[test]
fn an_operators_command_with_a_callers_key_advises_an_operators_key() {
    let fleet = TestFleet::start(1, 1);
    let node = fleet.nodes[0].callers.as_str();

    let refused = run_command(&["status", "--node", node, "--key", local::PAYING_KEY]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("use an operator's key"));

    let shown = run_command(&[
        "status",
        "--node",
        node,
        "--key",
        local::OPERATOR_KEY,
        "--json",
    ]);
    assert!(shown.status.success());
    let status: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(status["members"].as_array().unwrap().len(), 1);
}

/// Waits until every node answers with `version` of the model `beacon`.
fn await_model_version(fleet: &TestFleet, version: &str) {
    let expected = common::expected_text("beacon", version, PROMPT, 8);
    for node in &fleet.nodes {
        poll(
            &format!("{} answers with version {version}", node.callers),
            || {
                let answer = smol::block_on(common::complete(&node.callers, "beacon", PROMPT, 8));
                answer.is_ok_and(|text| text == expected)
            },
        );
    }
}

async fn send_crashing(address: String) -> String {
    let client = NodeClient::new(&address, Some(local::PAYING_KEY));
    let body = serde_json::json!({
        "model": common::MODEL,
        "prompt": "please crash this engine",
        "max_tokens": 16,
    });
    let sent: Result<serde_json::Value, _> = client
        .post("prompt", "/v1/completions", body.to_string())
        .await;
    format!("{:?}", sent.unwrap_err())
}

/// Number of engine crashes, from the engines' current incarnations: each starts
/// at 1 and a restart adds one.
fn engine_crash_count(fleet: &TestFleet) -> u64 {
    let Some(status) = common::status(&fleet.nodes[0]) else {
        return 0;
    };
    status
        .engines
        .iter()
        .map(|engine| engine.incarnation - 1)
        .sum()
}

/// Sends `count` prompts, spread over all nodes; each decodes for about a second.
fn start_answers(fleet: &TestFleet, count: usize) -> Vec<smol::Task<()>> {
    let addresses = fleet.nodes.iter().map(|node| node.callers.clone());
    addresses
        .cycle()
        .take(count)
        .enumerate()
        .map(|(position, address)| {
            let prompt = format!("{PROMPT} Leg {position}.");
            smol::spawn(require_complete_answer(address, prompt, LONG_OUTPUT_TOKENS))
        })
        .collect()
}

async fn join_answers(running: Vec<smol::Task<()>>) {
    for task in running {
        task.await;
    }
}

fn open_prompt_count(fleet: &TestFleet) -> usize {
    let statuses = fleet.nodes.iter().filter_map(common::status);
    statuses.map(|status| status.open_prompts).sum()
}
