//! Measures the membership protocol in virtual time and prints the results as JSON:
//! detection time and false suspicions at several loss rates, bytes and processor time
//! per node, and the time until a release note is in force on all nodes.
//!
//! A number as argument limits the run to fleets of that size. The argument `switch`
//! measures how long nodes differ in the release note that they have in force.

#[path = "../../tests/common/mod.rs"]
mod common;
mod switch;

use std::time::Duration;

use common::SimulatedNetwork;
use membership::{GossipTopic, MemberEvent, MemberState};
use serde_json::{Value, json};

/// Length in bytes of the body of a node summary with ten pools; a pool is
/// the engines of one model that the node owns.
const SUMMARY_BYTES: usize = 300;

/// Maximum number of crashes measured for each fleet size and loss rate; at most half
/// of the nodes crash.
const CRASH_COUNT: usize = 8;

/// Number of release notes measured for each fleet size and loss rate.
const NOTE_COUNT: u64 = 20;

fn main() {
    let report = match std::env::args().nth(1).as_deref() {
        Some("switch") => switch::report(),
        size => report(size.and_then(|size| size.parse().ok())),
    };
    println!("{report:#}");
}

fn report(size: Option<usize>) -> Value {
    let mut reports = Vec::new();
    for (count, zones) in [(8, 3), (50, 10), (200, 10), (380, 10)] {
        if size.is_some_and(|size| size != count) {
            continue;
        }
        for loss in [0.0, 0.01, 0.05, 0.1, 0.2] {
            let large = count > 50;
            if large && loss > 0.0 && (loss - 0.05_f64).abs() > 1e-9 {
                continue;
            }
            reports.push(measure_fleet(count, zones, loss));
        }
    }
    Value::Array(reports)
}

fn measure_fleet(count: usize, zones: usize, loss: f64) -> Value {
    let mut network = SimulatedNetwork::new(count, zones, 6);
    let joined = network.run_until(Duration::from_mins(1), SimulatedNetwork::converged);
    network.run(Duration::from_secs(5));
    network.faults.loss_rate = loss;
    let steady = measure_steady_state(&mut network);
    let notes = measure_note_adoption(&mut network);
    let deaths = measure_crash_detection(&mut network);
    let rejoin_time = measure_rejoin_after_pause(&mut network);
    json!({
        "nodes": count,
        "zones": zones,
        "loss": loss,
        "join_ms": joined.map(millis),
        "steady": steady,
        "note_in_force_ms": notes,
        "death": deaths,
        "back_after_pause_ms": rejoin_time.map(millis),
    })
}

/// Measures one minute in which each node publishes a summary every second.
fn measure_steady_state(network: &mut SimulatedNetwork) -> Value {
    let count = network.nodes.len();
    for node in &mut network.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
        node.processing_time = Duration::ZERO;
        node.changes.clear();
        node.topic_updates.clear();
    }
    for _ in 0..60 {
        for index in 0..count {
            let topic = GossipTopic::NodeSummary;
            let body = vec![0; SUMMARY_BYTES];
            network.handle(index, MemberEvent::Publish { topic, body });
        }
        network.run(Duration::from_secs(1));
    }
    let nodes = &network.nodes;
    let max = |rate: fn(&common::SimulatedNode) -> usize| nodes.iter().map(rate).max();
    let changes = |state| {
        let all = nodes.iter().flat_map(|node| &node.changes);
        all.filter(|(_, _, found)| *found == state).count()
    };
    let processing_time: Duration = nodes.iter().map(|node| node.processing_time).sum();
    let core_share = processing_time.as_secs_f64() / 60.0 / as_f64(count);
    let own_zone = network.zone(0);
    let in_own_zone = |record: &&membership::TopicRecord| {
        let index: usize = record.origin["node-".len()..].parse().unwrap_or(0);
        network.zone(index) == own_zone
    };
    let mean =
        |rate: fn(&common::SimulatedNode) -> usize| nodes.iter().map(rate).sum::<usize>() / count;
    let bodies = &nodes[0].topic_updates;
    let own_zone_bodies = bodies.iter().filter(in_own_zone).count();
    let own_zone_members = network.nodes.iter().filter(|node| node.zone() == own_zone);
    let own_zone_members = own_zone_members.count() - 1;
    let other_zone_members = count - 1 - own_zone_members;
    json!({
        "most_sent_bytes_per_second": max(|node| node.sent_bytes / 60),
        "mean_sent_bytes_per_second": mean(|node| node.sent_bytes / 60),
        "most_received_bytes_per_second": max(|node| node.received_bytes / 60),
        "core_percent": core_share * 100.0,
        "false_suspicions_heard": changes(MemberState::Suspect),
        "false_deaths": changes(MemberState::Dead),
        "near_summary_period_s": 60.0 * as_f64(own_zone_members) / as_f64(own_zone_bodies),
        "far_summary_period_s":
            60.0 * as_f64(other_zone_members) / as_f64(bodies.len() - own_zone_bodies),
    })
}

/// Measures the time from the publication of a release note on one node until it is in
/// force on each other node, including the fetch from the node that announced it.
fn measure_note_adoption(network: &mut SimulatedNetwork) -> Value {
    let mut times = Vec::new();
    for version in 1..=NOTE_COUNT {
        let index = usize::try_from(version).unwrap_or(0) % network.nodes.len();
        let begin = network.elapsed();
        network.handle(index, MemberEvent::NoteInForce(version));
        network.run(Duration::from_secs(3));
        for node in &network.nodes {
            let adopted = node
                .adopted_notes
                .iter()
                .find(|(_, adopted)| *adopted >= version);
            times.extend(adopted.map(|(at, _)| at.saturating_sub(begin)));
        }
    }
    let expected = (network.nodes.len() - 1) * usize::try_from(NOTE_COUNT).unwrap_or(0);
    json!({ "expected": expected, "times": quantiles(times) })
}

/// Measures the time from a crash until every other node omits the crashed one from
/// address answers, and until every other node has declared it dead.
fn measure_crash_detection(network: &mut SimulatedNetwork) -> Value {
    let mut suspected = Vec::new();
    let mut dead = Vec::new();
    for index in 1..=CRASH_COUNT.min(network.nodes.len() / 2) {
        network.run(Duration::from_millis(137));
        network.nodes[index].running = false;
        let limit = Duration::from_secs(30);
        let suspicion = network.run_until(limit, |network| {
            let states = network.running().map(|at| network.state(at, index));
            states
                .into_iter()
                .all(|state| matches!(state, Some(MemberState::Suspect | MemberState::Dead)))
        });
        suspected.extend(suspicion);
        let death = network.run_until(limit, |network| network.all_see(index, MemberState::Dead));
        dead.extend(death.map(|death| death + suspicion.unwrap_or_default()));
    }
    json!({
        "out_of_answers_everywhere_ms": quantiles(suspected),
        "dead_everywhere_ms": quantiles(dead),
    })
}

/// Measures the time until all nodes see a node as alive that was paused for 20 s.
fn measure_rejoin_after_pause(network: &mut SimulatedNetwork) -> Option<Duration> {
    let paused = network.nodes.len() - 1;
    network.nodes[paused].paused = true;
    network.run(Duration::from_secs(20));
    network.drop_backlog(paused);
    network.resume(paused);
    network.run_until(Duration::from_secs(20), |network| {
        network.all_see(paused, MemberState::Alive)
    })
}

fn quantiles(mut times: Vec<Duration>) -> Value {
    times.sort_unstable();
    let at = |percentile: usize| {
        let index = (times.len() * percentile).div_ceil(100).max(1) - 1;
        times.get(index).copied().map(millis)
    };
    json!({ "count": times.len(), "p50": at(50), "p99": at(99), "most": at(100) })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
