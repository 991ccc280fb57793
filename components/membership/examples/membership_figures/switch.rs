//! Measures how long nodes differ in the release note that they have in force: when each
//! switches as soon as it has the note, and when all switch once a majority has it.

use std::time::Duration;

use membership::MemberEvent;
use serde_json::{Value, json};

use crate::common::{self, NetworkFaults, SimulatedNetwork};

/// Number of release notes measured for each fleet size and loss rate.
const NOTE_COUNT: u64 = 40;

/// Time for which a publication is observed, and limit of the wait for a majority. A
/// node without the note by then counts as adopting it this much later.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures both ways of switching on the same networks.
pub fn report() -> Value {
    let mut reports = Vec::new();
    for (count, zones) in [(8, 3), (50, 10), (200, 10)] {
        for loss in [0.0, 0.05] {
            reports.push(measure(count, zones, loss));
        }
    }
    Value::Array(reports)
}

fn measure(count: usize, zones: usize, loss_rate: f64) -> Value {
    let mut network = SimulatedNetwork::new(count, zones, 6);
    network.run_until(Duration::from_mins(1), SimulatedNetwork::converged);
    network.faults = NetworkFaults {
        loss_rate,
        ..NetworkFaults::default()
    };
    let at_once: Vec<_> = (1..=NOTE_COUNT)
        .map(|version| switch_at_once(&mut network, version))
        .collect();
    let with_majority: Vec<_> = (1..=NOTE_COUNT)
        .map(|number| switch_with_majority(&mut network, NOTE_COUNT + 2 * number))
        .collect();
    json!({
        "nodes": count,
        "loss": loss_rate,
        "at_once": summarise(&at_once),
        "with_majority": summarise(&with_majority),
    })
}

/// Time from publication until all nodes have switched, and the part of it in which
/// nodes differ.
struct SwitchTime {
    total: Duration,
    divergence: Duration,
}

fn switch_at_once(network: &mut SimulatedNetwork, version: u64) -> SwitchTime {
    let publisher = usize::try_from(version).unwrap_or(0) % network.nodes.len();
    let begin = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version));
    let last = last_adoption(network, version, publisher);
    let total = last.saturating_sub(begin);
    SwitchTime {
        total,
        divergence: total,
    }
}

/// Measures a switch in two steps: `version - 1` stands for the note and `version`,
/// published once a majority has the note, for the command to switch.
fn switch_with_majority(network: &mut SimulatedNetwork, version: u64) -> SwitchTime {
    let publisher = usize::try_from(version).unwrap_or(0) % network.nodes.len();
    let begin = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version - 1));
    network.run_until(SETTLE_TIME, |network| {
        let holds =
            |node: &&common::SimulatedNode| node.protocol.own_record().note_version >= version - 1;
        network.nodes.iter().filter(holds).count() * 2 > network.nodes.len()
    });
    let switch_started_at = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version));
    let last = last_adoption(network, version, publisher);
    SwitchTime {
        total: last.saturating_sub(begin),
        divergence: last.saturating_sub(switch_started_at),
    }
}

fn last_adoption(network: &mut SimulatedNetwork, version: u64, publisher: usize) -> Duration {
    network.run(SETTLE_TIME);
    let others = network.nodes.iter().enumerate();
    others
        .filter(|(index, _)| *index != publisher)
        .map(|(_, node)| {
            let adopted = node
                .adopted_notes
                .iter()
                .find(|(_, adopted)| *adopted >= version);
            adopted.map_or(SETTLE_TIME + network.elapsed(), |(at, _)| *at)
        })
        .max()
        .unwrap_or_default()
}

fn summarise(times: &[SwitchTime]) -> Value {
    json!({
        "total_ms": quantiles(times.iter().map(|time| time.total).collect()),
        "apart_ms": quantiles(times.iter().map(|time| time.divergence).collect()),
    })
}

fn quantiles(mut times: Vec<Duration>) -> Value {
    times.sort_unstable();
    let at = |percentile: usize| {
        let index = (times.len() * percentile).div_ceil(100).max(1) - 1;
        let time = times.get(index).copied().unwrap_or_default();
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    };
    json!({ "p50": at(50), "p99": at(99) })
}
