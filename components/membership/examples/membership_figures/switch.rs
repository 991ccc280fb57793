//! How long nodes differ in the note they have in force: when each switches at
//! once, and when all switch once a majority holds it.

use std::time::Duration;

use membership::MemberEvent;
use serde_json::{Value, json};

use crate::common::{self, NetworkFaults, SimulatedNetwork};

/// Notes observed for each size.
const NOTES: u64 = 40;

/// Time after which a note is in force everywhere.
const SETTLED: Duration = Duration::from_secs(3);

/// Measures both ways on the same networks.
pub fn report() -> Value {
    let mut reports = Vec::new();
    for (count, zones) in [(8, 3), (50, 10), (200, 10)] {
        for loss in [0.0, 0.05] {
            reports.push(measure(count, zones, loss));
        }
    }
    Value::Array(reports)
}

fn measure(count: usize, zones: usize, loss: f64) -> Value {
    let mut network = SimulatedNetwork::new(count, zones, 6);
    network.run_until(Duration::from_mins(1), SimulatedNetwork::converged);
    network.faults = NetworkFaults {
        loss,
        ..NetworkFaults::default()
    };
    let at_once: Vec<_> = (1..=NOTES)
        .map(|version| switch_at_once(&mut network, version))
        .collect();
    let with_majority: Vec<_> = (1..=NOTES)
        .map(|number| switch_with_majority(&mut network, NOTES + 2 * number))
        .collect();
    json!({
        "nodes": count,
        "loss": loss,
        "at_once": summary(&at_once),
        "with_majority": summary(&with_majority),
    })
}

/// Time from publication until all nodes have switched, and time in which
/// some have and others have not.
struct SwitchTime {
    total: Duration,
    apart: Duration,
}

fn switch_at_once(network: &mut SimulatedNetwork, version: u64) -> SwitchTime {
    let publisher = usize::try_from(version).unwrap_or(0) % network.nodes.len();
    let begin = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version));
    let last = last_adoption(network, version, publisher);
    let total = last.saturating_sub(begin);
    SwitchTime {
        total,
        apart: total,
    }
}

/// The publisher first spreads the note, then the word to switch.
fn switch_with_majority(network: &mut SimulatedNetwork, version: u64) -> SwitchTime {
    let publisher = usize::try_from(version).unwrap_or(0) % network.nodes.len();
    let begin = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version - 1));
    network.run_until(SETTLED, |network| {
        let holds =
            |node: &&common::SimulatedNode| node.machine.own_record().note_version >= version - 1;
        network.nodes.iter().filter(holds).count() * 2 > network.nodes.len()
    });
    let word = network.elapsed();
    network.handle(publisher, MemberEvent::NoteInForce(version));
    let last = last_adoption(network, version, publisher);
    SwitchTime {
        total: last.saturating_sub(begin),
        apart: last.saturating_sub(word),
    }
}

fn last_adoption(network: &mut SimulatedNetwork, version: u64, publisher: usize) -> Duration {
    network.run(SETTLED);
    let others = network.nodes.iter().enumerate();
    others
        .filter(|(index, _)| *index != publisher)
        .map(|(_, node)| {
            let adopted = node.notes.iter().find(|(_, adopted)| *adopted >= version);
            adopted.map_or(SETTLED + network.elapsed(), |(at, _)| *at)
        })
        .max()
        .unwrap_or_default()
}

fn summary(times: &[SwitchTime]) -> Value {
    json!({
        "total_ms": quantiles(times.iter().map(|time| time.total).collect()),
        "apart_ms": quantiles(times.iter().map(|time| time.apart).collect()),
    })
}

fn quantiles(mut times: Vec<Duration>) -> Value {
    times.sort_unstable();
    let at = |part: usize| {
        let place = (times.len() * part).div_ceil(100).max(1) - 1;
        let time = times.get(place).copied().unwrap_or_default();
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    };
    json!({ "p50": at(50), "p99": at(99) })
}
