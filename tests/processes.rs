//! The system as separate processes, killed, paused and drained.

mod common;

use common::{TestFleet, alive_members, named_addresses, poll, require_whole_answer, run_command};
use gentiantally::cmd::{client::NodeClient, local};
use rustix::process::Signal;

const PROMPT: &str = "Is the route clear of ash?";
/// Enough to be at work for a second or so on the stand-in engines.
const ENDURING_TOKENS: u64 = 2_000;

#[test]
fn a_request_is_served_from_end_to_end() {
    let fleet = TestFleet::start(2, 3);
    for node in &fleet.nodes {
        smol::block_on(require_whole_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
    let long = "ash ".repeat(300_000);
    smol::block_on(require_whole_answer(
        fleet.nodes[0].callers.clone(),
        long,
        16,
    ));
}

#[test]
fn a_stream_outlives_the_engine_that_runs_it() {
    let mut fleet = TestFleet::start(2, 3);
    let running = start_answers(&fleet, 6);
    poll("engines are at work", || open_prompts(&fleet) > 0);
    // Kill without warning; what ran there goes on elsewhere.
    fleet.engines.remove(0);

    smol::block_on(finish(running));
}

#[test]
fn a_paused_engine_is_given_up_and_its_answers_come_from_others() {
    let fleet = TestFleet::start(2, 3);
    let running = start_answers(&fleet, 6);
    poll("engines are at work", || open_prompts(&fleet) > 0);
    fleet.engines[0].signal(Signal::STOP);

    smol::block_on(finish(running));

    fleet.engines[0].signal(Signal::CONT);
    let prompts = start_answers(&fleet, 4);
    smol::block_on(finish(prompts));
}

#[test]
fn a_node_that_dies_leaves_the_answers_and_the_others_serve() {
    let mut fleet = TestFleet::start(3, 3);
    let dead = fleet.nodes.remove(0);
    dead.process.signal(Signal::KILL);

    poll("no node names the dead one", || {
        fleet
            .nodes
            .iter()
            .all(|node| !named_addresses(node).contains(&dead.callers))
    });
    for node in &fleet.nodes {
        smol::block_on(require_whole_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
}

#[test]
fn a_paused_node_is_routed_around_and_comes_back() {
    let fleet = TestFleet::start(3, 3);
    let (paused, others) = fleet.nodes.split_first().unwrap();
    paused.process.signal(Signal::STOP);
    poll("the others see it gone", || {
        others.iter().all(|node| alive_members(node) == 2)
    });
    for node in others {
        smol::block_on(require_whole_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }

    paused.process.signal(Signal::CONT);

    fleet.await_members(3);
    smol::block_on(require_whole_answer(
        paused.callers.clone(),
        PROMPT.to_owned(),
        16,
    ));
}

#[test]
fn a_rolling_restart_under_load_cuts_nothing() {
    let mut fleet = TestFleet::start(3, 3);
    for position in 0..3 {
        let running = start_answers(&fleet, 6);
        poll("prompts are open", || open_prompts(&fleet) > 0);
        let node = &mut fleet.nodes[position];
        node.process.signal(Signal::TERM);
        smol::block_on(finish(running));
        assert!(node.process.wait().success());

        let next = fleet.start_node(position);
        fleet.nodes[position] = next;
        fleet.await_members(3);
    }
}

#[test]
fn a_note_that_adds_and_changes_a_model_has_engines_load_it() {
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
    await_answer(&fleet, "1");

    fleet.publish(&serde_json::json!({"changed": {"models": model("2")}}));
    await_answer(&fleet, "2");
}

#[test]
fn an_organisations_limit_holds_over_all_nodes() {
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

    // Both nodes refuse, though neither sees what the other lets in.
    for node in &fleet.nodes {
        let answers: Vec<_> = (0..60)
            .map(|_| smol::block_on(common::complete(&node.callers, common::MODEL, PROMPT, 1)))
            .collect();
        let refused = answers.iter().filter(|answer| answer.is_err()).count();
        assert!(refused > 0, "60 requests passed a limit of 2 a second");
    }
}

#[test]
fn a_prompt_that_crashes_engines_costs_two_of_them() {
    let fleet = TestFleet::start(3, 6);
    let bystanders = start_answers(&fleet, 6);
    poll("bystanders are open", || open_prompts(&fleet) > 0);

    // The caller sends it again through every node, twice.
    for round in 0..2 {
        for node in &fleet.nodes {
            let refusal = smol::block_on(send_crashing(node.callers.clone()));
            assert!(refusal.contains("prompt_quarantined"), "{round}: {refusal}");
        }
    }

    smol::block_on(finish(bystanders));
    poll("the engines are back", || engine_lives_lost(&fleet) == 2);
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

#[test]
fn faulty_settings_and_a_busy_port_are_told_apart() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("node.jsonc");
    let name = file.to_string_lossy().into_owned();
    let mut settings = common::node_settings("node-1", "duluth", "127.0.0.1:1", &[]);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    settings["addresses"]["callers"] = taken.local_addr().unwrap().to_string().into();
    std::fs::write(&file, settings.to_string()).unwrap();
    assert!(run_command(&["check", &name]).status.success());

    let program = env!("CARGO_BIN_EXE_gentiantally-node");
    let busy = std::process::Command::new(program)
        .args(["--settings", &name])
        .output()
        .unwrap();
    assert_eq!(busy.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&busy.stderr).contains("choose another address"));

    settings["addresses"]["callers"] = "nowhere".into();
    std::fs::write(&file, settings.to_string()).unwrap();
    let faulty = run_command(&["check", &name]);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&faulty.stderr).contains("addresses.callers"));
}

#[test]
fn an_operators_command_without_the_key_says_what_to_do() {
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

/// Waits until every node answers with a version of the added model.
fn await_answer(fleet: &TestFleet, version: &str) {
    let expected = common::whole_answer("beacon", version, PROMPT, 8);
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

/// Lives of engines that ended, by the incarnations they are at now.
fn engine_lives_lost(fleet: &TestFleet) -> u64 {
    let Some(status) = common::status(&fleet.nodes[0]) else {
        return 0;
    };
    status
        .engines
        .iter()
        .map(|engine| engine.incarnation - 1)
        .sum()
}

/// Starts prompts on every node; they run for a while.
fn start_answers(fleet: &TestFleet, count: usize) -> Vec<smol::Task<()>> {
    let addresses = fleet.nodes.iter().map(|node| node.callers.clone());
    addresses
        .cycle()
        .take(count)
        .enumerate()
        .map(|(position, address)| {
            let prompt = format!("{PROMPT} Leg {position}.");
            smol::spawn(require_whole_answer(address, prompt, ENDURING_TOKENS))
        })
        .collect()
}

async fn finish(running: Vec<smol::Task<()>>) {
    for task in running {
        task.await;
    }
}

fn open_prompts(fleet: &TestFleet) -> usize {
    let statuses = fleet.nodes.iter().filter_map(common::status);
    statuses.map(|status| status.open_prompts).sum()
}
