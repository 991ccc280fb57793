//! The platform's store goes down under a running fleet of processes.

mod common;

use std::time::Duration;

use common::{TestFleet, complete, poll, require_whole_answer};
use gentiantally::cmd::{client::NodeClient, local};
use kernel::ClockSource;
use rustix::process::Signal;
use serde_json::{Value, json};
use transport::HttpClient;

const PROMPT: &str = "Is the route clear of ash?";
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// One call to a stand-in's controls.
fn control(address: &str, path: &str, body: &Value) {
    let caller = HttpClient::new(address.to_owned(), ClockSource::System, CALL_LIMIT);
    let request = caller.post("control", path, body).unwrap();
    let answer = smol::block_on(caller.call("control", request)).unwrap();
    assert_eq!(answer.status(), 204, "{path}");
}

fn set_outage(fleet: &TestFleet, outage: &str) {
    for edge in ["table", "objects"] {
        let path = format!("/control/faults/{edge}");
        control(&fleet.platform_address, &path, &json!({"outage": outage}));
    }
}

/// Sends an order; the answer's body, or the failure as text.
fn order(address: &str, key: &str) -> Result<Value, String> {
    let client = NodeClient::new(address, Some(local::PAYING_KEY)).with_idempotency_key(key);
    let path = format!("/v1/services/{}/issue", local::LOCAL_SERVICE);
    let sent: Result<Value, _> =
        smol::block_on(client.post("order", &path, json!({"notice": key}).to_string()));
    sent.map_err(|error| format!("{error:?}"))
}

fn effects(fleet: &TestFleet) -> Vec<Value> {
    let caller = HttpClient::new(
        fleet.service_address.clone(),
        ClockSource::System,
        CALL_LIMIT,
    );
    let request = caller
        .request("effects", http_types::Method::Get, "/control/effects")
        .unwrap();
    let answer = smol::block_on(caller.call("effects", request)).unwrap();
    answer.json().unwrap()
}

fn serves_prompts(fleet: &TestFleet) {
    for node in &fleet.nodes {
        smol::block_on(require_whole_answer(
            node.callers.clone(),
            PROMPT.to_owned(),
            16,
        ));
    }
}

#[test]
fn prompts_go_on_and_orders_are_refused_truthfully_while_the_store_is_down() {
    let fleet = TestFleet::start(2, 3);
    let address = fleet.nodes[0].callers.clone();
    for outage in ["refuse", "cut", "hang"] {
        set_outage(&fleet, outage);
        let refusal = order(&address, outage).unwrap_err();
        assert!(refusal.contains("503"), "{outage}: {refusal}");
        serves_prompts(&fleet);
        assert!(effects(&fleet).is_empty(), "{outage}: an order ran");
        set_outage(&fleet, "none");
    }

    // The keys refused before can be used again once the store is back.
    for key in ["refuse", "cut", "hang"] {
        poll("the order is done", || order(&address, key).is_ok());
        order(&address, key).unwrap();
    }
    assert_eq!(effects(&fleet).len(), 3);
}

#[test]
fn a_node_that_starts_during_an_outage_learns_from_its_peers() {
    let mut fleet = TestFleet::start(2, 3);
    set_outage(&fleet, "refuse");

    let joined = fleet.start_node(2);
    fleet.nodes.push(joined);
    fleet.await_members(3);

    let address = fleet.nodes[2].callers.clone();
    poll("the new node serves", || {
        smol::block_on(complete(&address, common::MODEL, PROMPT, 8)).is_ok()
    });
    serves_prompts(&fleet);
}

#[test]
fn a_fleet_that_restarts_during_an_outage_waits_for_the_store() {
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

#[test]
fn an_order_whose_node_dies_runs_at_most_once() {
    let mut fleet = TestFleet::start(2, 1);
    control(
        &fleet.service_address,
        "/control/faults",
        &json!({"answer_delay_ms": 2_000}),
    );
    let first = fleet.nodes.remove(0);
    let address = first.callers.clone();
    let sending = std::thread::spawn(move || order(&address, "once"));
    poll("the order has run", || effects(&fleet).len() == 1);
    first.process.signal(Signal::KILL);
    assert!(sending.join().unwrap().is_err());
    control(&fleet.service_address, "/control/faults", &json!({}));

    // Resent to another node it is never sent again, whatever it is told.
    let resent = order(&fleet.nodes[0].callers, "once").unwrap_err();
    assert!(!resent.contains("not_run"), "{resent}");
    assert!(resent.contains("409") || resent.contains("504"), "{resent}");
    assert_eq!(effects(&fleet).len(), 1);
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let fleet = TestFleet::start(2, 2);
    control(&fleet.engine_addresses[0], "/control/leave", &json!({}));
    poll("every node knows that it leaves", || {
        fleet.nodes.iter().all(|node| {
            let status = common::status(node);
            let engines = status.into_iter().flat_map(|status| status.engines);
            engines.filter(|engine| engine.state == "leaving").count() == 1
        })
    });
    // A node that knows stops within its next review, a quarter of a second.
    poll("work goes elsewhere", || {
        let before = submits(&fleet);
        serves_prompts(&fleet);
        submits(&fleet) == before
    });
    let before = submits(&fleet);

    for _ in 0..10 {
        serves_prompts(&fleet);
    }

    assert_eq!(submits(&fleet), before);
}

#[test]
fn memory_held_on_several_engines_comes_back_when_their_node_dies() {
    let mut fleet = TestFleet::start(2, 4);
    let dying = fleet.nodes.remove(0);
    let address = dying.callers.clone();
    // Needs more memory than two engines have.
    let long = "ash ".repeat(1_000_000);
    // A node that has just started may not know enough engines yet, and a prompt
    // may end before it is seen: it is sent until the node is gone.
    let sending = std::thread::spawn(move || {
        loop {
            let sent = smol::block_on(complete(&address, common::MODEL, &long, 64));
            match sent {
                Err(cause) if !is_refusal(&cause) => return cause,
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
    });
    poll("three engines hold memory", || {
        (0..4).filter(|engine| kv_used(&fleet, *engine) > 0).count() >= 3
    });

    dying.process.signal(Signal::KILL);

    sending.join().unwrap();
    poll("all memory is free again", || {
        (0..4).all(|engine| kv_used(&fleet, engine) == 0)
    });
    serves_prompts(&fleet);
}

/// Whether a living node refused for now.
fn is_refusal(cause: &str) -> bool {
    let codes = [
        "too_long",
        "model_not_ready",
        "deadline_unreachable",
        "queue_full",
    ];
    codes.iter().any(|code| cause.contains(code))
}

/// What a stand-in engine says of itself.
fn engine_state(fleet: &TestFleet, engine: usize) -> Value {
    let address = fleet.engine_addresses[engine].clone();
    let caller = HttpClient::new(address, ClockSource::System, CALL_LIMIT);
    let request = caller
        .request("state", http_types::Method::Get, "/control/state")
        .unwrap();
    let answer = smol::block_on(caller.call("state", request)).unwrap();
    answer.json().unwrap()
}

/// Attempts that the first engine has taken.
fn submits(fleet: &TestFleet) -> u64 {
    engine_state(fleet, 0)["submits"].as_u64().unwrap()
}

/// Memory in use, in tokens, without what is only cached.
fn kv_used(fleet: &TestFleet, engine: usize) -> u64 {
    engine_state(fleet, engine)["kv_used"].as_u64().unwrap()
}
