//! Outages of the platform's store, and losses of nodes and engines, under a
//! running fleet of processes.

mod common;

use std::time::Duration;

use common::{TestFleet, complete, poll, require_complete_answer};
use gentiantally::cmd::{client::NodeClient, local};
use kernel::ClockSource;
use rustix::process::Signal;
use serde_json::{Value, json};
use transport::HttpClient;

const PROMPT: &str = "Is the route clear of ash?";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls a control route of a stand-in, which must answer 204.
fn call_control(address: &str, path: &str, body: &Value) {
    let client = HttpClient::new(address.to_owned(), ClockSource::System, CALL_TIMEOUT);
    let request = client.post("control", path, body).unwrap();
    let answer = smol::block_on(client.call("control", request)).unwrap();
    assert_eq!(answer.status(), 204, "{path}");
}

fn set_outage(fleet: &TestFleet, outage: &str) {
    for store in ["table", "objects"] {
        let path = format!("/control/faults/{store}");
        call_control(&fleet.platform_address, &path, &json!({"outage": outage}));
    }
}

/// Sends an order and returns the answer's body, or the error as text.
fn send_order(address: &str, key: &str) -> Result<Value, String> {
    let client = NodeClient::new(address, Some(local::PAYING_KEY)).with_idempotency_key(key);
    let path = format!("/v1/services/{}/issue", local::LOCAL_SERVICE);
    let sent: Result<Value, _> =
        smol::block_on(client.post("order", &path, json!({"notice": key}).to_string()));
    sent.map_err(|error| format!("{error:?}"))
}

/// Returns the orders that the stand-in service has run.
fn executed_orders(fleet: &TestFleet) -> Vec<Value> {
    let client = HttpClient::new(
        fleet.service_address.clone(),
        ClockSource::System,
        CALL_TIMEOUT,
    );
    let request = client
        .request("effects", http_types::Method::Get, "/control/effects")
        .unwrap();
    let answer = smol::block_on(client.call("effects", request)).unwrap();
    answer.json().unwrap()
}

fn require_prompts_served(fleet: &TestFleet) {
    for node in &fleet.nodes {
        smol::block_on(require_complete_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
}

/// Guards against prompts that fail, and orders that run unrecorded, while the
/// store refuses, cuts or hangs its calls.
#[test]
fn prompts_are_served_and_orders_refused_without_running_while_the_store_is_down() {
    let fleet = TestFleet::start(2, 3);
    let address = fleet.nodes[0].callers.clone();
    for outage in ["refuse", "cut", "hang"] {
        set_outage(&fleet, outage);
        let refusal = send_order(&address, outage).unwrap_err();
        assert!(refusal.contains("503"), "{outage}: {refusal}");
        require_prompts_served(&fleet);
        assert!(executed_orders(&fleet).is_empty(), "{outage}: an order ran");
        set_outage(&fleet, "none");
    }

    // Idempotency keys refused during the outage can be used once the store is
    // back.
    for key in ["refuse", "cut", "hang"] {
        poll("the order is done", || send_order(&address, key).is_ok());
        send_order(&address, key).unwrap();
    }
    assert_eq!(executed_orders(&fleet).len(), 3);
}

/// Guards against a new node that never serves because it waits for the store,
/// although its peers have the release note.
#[test]
fn a_node_that_starts_during_a_store_outage_gets_its_state_from_peers() {
    let mut fleet = TestFleet::start(2, 3);
    set_outage(&fleet, "refuse");

    let joined = fleet.start_node(2);
    fleet.nodes.push(joined);
    fleet.await_members(3);

    let address = fleet.nodes[2].callers.clone();
    poll("the new node serves", || {
        smol::block_on(complete(&address, common::MODEL, PROMPT, 8)).is_ok()
    });
    require_prompts_served(&fleet);
}

/// Without the store and without a peer that ran before, no node has the
/// release note: the fleet must refuse prompts and recover by itself.
#[test]
fn a_fleet_that_restarts_during_a_store_outage_refuses_until_it_ends() {
    let mut fleet = TestFleet::start(2, 3);
    set_outage(&fleet, "refuse");
    fleet.nodes.clear();
    for position in 0..2 {
        let node = fleet.start_node(position);
        fleet.nodes.push(node);
    }
    fleet.await_members(2);
    let address = fleet.nodes[0].callers.clone();
    let refusal = smol::block_on(complete(&address, common::MODEL, PROMPT, 8)).unwrap_err();
    assert!(refusal.contains("not_ready"), "{refusal}");

    set_outage(&fleet, "none");

    poll("the fleet serves again", || {
        smol::block_on(complete(&address, common::MODEL, PROMPT, 8)).is_ok()
    });
}

/// The node is killed after the service ran the order and before the answer
/// came back. Guards against a resend that runs the order a second time.
#[test]
fn an_order_whose_node_dies_runs_at_most_once() {
    let mut fleet = TestFleet::start(2, 1);
    call_control(
        &fleet.service_address,
        "/control/faults",
        &json!({"answer_delay_ms": 2_000}),
    );
    let first = fleet.nodes.remove(0);
    let address = first.callers.clone();
    let sending = std::thread::spawn(move || send_order(&address, "once"));
    poll("the order has run", || executed_orders(&fleet).len() == 1);
    first.process.signal(Signal::KILL);
    assert!(sending.join().unwrap().is_err());
    call_control(&fleet.service_address, "/control/faults", &json!({}));

    // A resend through another node must not run the order again, and must not
    // be answered as not run.
    let resent = send_order(&fleet.nodes[0].callers, "once").unwrap_err();
    assert!(!resent.contains("not_run"), "{resent}");
    assert!(resent.contains("409") || resent.contains("504"), "{resent}");
    assert_eq!(executed_orders(&fleet).len(), 1);
}

/// Guards against prompts that are sent to an engine which has announced that
/// it leaves.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let fleet = TestFleet::start(2, 2);
    call_control(&fleet.engine_addresses[0], "/control/leave", &json!({}));
    poll("every node sees the engine as leaving", || {
        fleet.nodes.iter().all(|node| {
            let status = common::status(node);
            let engines = status.into_iter().flat_map(|status| status.engines);
            engines.filter(|engine| engine.state == "leaving").count() == 1
        })
    });
    // A node checks which engines it owns at least every 250 ms. Once it sees the
    // engine as leaving, the next check removes it from the scheduler.
    poll("the leaving engine gets no new attempts", || {
        let before = first_engine_submit_count(&fleet);
        require_prompts_served(&fleet);
        first_engine_submit_count(&fleet) == before
    });
    let before = first_engine_submit_count(&fleet);

    for _ in 0..10 {
        require_prompts_served(&fleet);
    }

    assert_eq!(first_engine_submit_count(&fleet), before);
}

/// Guards against KV cache memory that stays reserved on the engines that run a
/// prompt together when the node that started it is killed.
#[test]
fn kv_memory_held_on_several_engines_is_freed_when_their_node_dies() {
    let mut fleet = TestFleet::start(2, 4);
    let dying = fleet.nodes.remove(0);
    let address = dying.callers.clone();
    // Needs more KV cache memory than two engines have.
    let long = "ash ".repeat(1_000_000);
    // A node that has just started may not know enough engines yet, and a prompt
    // may end before a poll sees its memory, so the prompt is resent until the node
    // is gone.
    let sending = std::thread::spawn(move || {
        loop {
            let sent = smol::block_on(complete(&address, common::MODEL, &long, 64));
            match sent {
                Err(cause) if !is_refusal(&cause) => return cause,
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
    });
    poll("three engines hold KV cache memory", || {
        (0..4)
            .filter(|engine| used_kv_tokens(&fleet, *engine) > 0)
            .count()
            >= 3
    });

    dying.process.signal(Signal::KILL);

    sending.join().unwrap();
    poll("all KV cache memory is free again", || {
        (0..4).all(|engine| used_kv_tokens(&fleet, engine) == 0)
    });
    require_prompts_served(&fleet);
}

/// Whether the error is a temporary refusal by a node that still runs. `too_long`
/// is one while the node knows too few engines.
fn is_refusal(cause: &str) -> bool {
    let codes = [
        "too_long",
        "model_not_ready",
        "deadline_unreachable",
        "queue_full",
    ];
    codes.iter().any(|code| cause.contains(code))
}

/// Reads the state of a stand-in engine from its control route.
fn engine_state(fleet: &TestFleet, engine: usize) -> Value {
    let address = fleet.engine_addresses[engine].clone();
    let client = HttpClient::new(address, ClockSource::System, CALL_TIMEOUT);
    let request = client
        .request("state", http_types::Method::Get, "/control/state")
        .unwrap();
    let answer = smol::block_on(client.call("state", request)).unwrap();
    answer.json().unwrap()
}

/// Number of attempts that the first engine has accepted.
fn first_engine_submit_count(fleet: &TestFleet) -> u64 {
    engine_state(fleet, 0)["submits"].as_u64().unwrap()
}

/// KV cache memory in use on an engine, in tokens, without memory that only
/// holds cached prefixes.
fn used_kv_tokens(fleet: &TestFleet, engine: usize) -> u64 {
    engine_state(fleet, engine)["kv_used"].as_u64().unwrap()
}
