//! Membership over a simulated network: members join, detect crashes without false
//! deaths, and converge again after faults.

mod common;

use std::time::Duration;

use common::{NetworkFaults, SimulatedNetwork};
use membership::{GossipTopic, MemberAction, MemberEvent, MemberState, MessageKind, PeerMessage};
use proptest::{prelude::*, test_runner::RngSeed};

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn joined_network(count: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(count, 3, seed);
    let joined = network.run_until(seconds(10), SimulatedNetwork::converged);
    assert!(joined.is_some(), "seed {seed}: not converged after 10 s");
    network.run(seconds(5));
    network
}

/// Counts the times that some node declared another one than `except` dead.
fn false_deaths(network: &SimulatedNetwork, except: usize) -> usize {
    let dead = |node: &common::SimulatedNode| {
        let deaths = node.changes.iter();
        deaths
            .filter(|(_, name, state)| {
                *state == MemberState::Dead && *name != format!("node-{except}")
            })
            .count()
    };
    network.nodes.iter().map(dead).sum()
}

#[test]
fn simultaneous_joins_converge_with_bounded_traffic() {
    let mut network = SimulatedNetwork::new(200, 10, 6);
    network.run(seconds(8));
    assert!(network.converged());
    // 200 records take 13 kB, and each node receives them several times while all join.
    let sent: usize = network.nodes.iter().map(|node| node.sent_bytes).sum();
    assert!(sent / 200 < 60_000, "{} bytes a node", sent / 200);
}

/// Guards against an endless exchange: if the tables differ because the requester has
/// more records, the reply brings nothing new, and requesting the rest would bring the
/// same reply again.
#[test]
fn a_sync_reply_without_new_records_triggers_no_further_sync() {
    let mut network = joined_network(20, 1);
    let updates: Vec<_> = network.nodes[1]
        .protocol
        .table()
        .present()
        .cloned()
        .collect();
    network.start_node(0, 2_000);
    let reply = MemberEvent::Received {
        sender: "node-1".to_owned(),
        from: updates[1].addresses.datagram,
        message: PeerMessage {
            kind: MessageKind::SyncReply { truncated: true },
            digest: 0,
            note_version: 0,
            highest_note_version: 0,
            updates,
            topics: Vec::new(),
        },
    };
    let requests_sync = |actions: Vec<MemberAction>| {
        actions.iter().any(|action| {
            matches!(action, MemberAction::Send { message, .. }
                if matches!(message.kind, MessageKind::SyncRequest { .. }))
        })
    };
    let now = network.local_time(0);
    let protocol = &mut network.nodes[0].protocol;
    assert!(requests_sync(protocol.handle(now, reply.clone())));
    assert!(!requests_sync(protocol.handle(now, reply)));
}

#[test]
fn a_crashed_node_is_suspected_everywhere_within_three_seconds() {
    for seed in 0..5 {
        let mut network = joined_network(8, seed);
        network.nodes[3].running = false;
        let suspected = network.run_until(seconds(3), |network| {
            network.running().all(|at| {
                let state = network.state(at, 3);
                matches!(state, Some(MemberState::Suspect | MemberState::Dead))
            })
        });
        assert!(suspected.is_some(), "seed {seed}");
        let dead = network.run_until(seconds(5), |network| network.all_see(3, MemberState::Dead));
        assert!(dead.is_some(), "seed {seed}");
        assert_eq!(false_deaths(&network, 3), 0);
    }
}

/// A node that was paused missed all answers to its probes; it must not take that as
/// evidence against the other members.
#[test]
fn a_paused_node_declares_no_member_dead_and_rejoins() {
    let mut network = joined_network(8, 1);
    network.nodes[2].paused = true;
    network.run(seconds(20));
    assert!(
        (0..8)
            .filter(|at| *at != 2)
            .all(|at| network.state(at, 2) == Some(MemberState::Dead))
    );
    network.resume(2);
    let rejoined = network.run_until(seconds(10), SimulatedNetwork::converged);
    assert!(rejoined.is_some());
    assert_eq!(false_deaths(&network, 2), 0);
}

/// A node that is paused while it suspects others misses their refutations, so its
/// suspicion timeouts must start anew when it resumes.
#[test]
fn suspicions_do_not_time_out_while_the_suspecting_node_is_paused() {
    let mut network = joined_network(4, 1);
    // Partitioned just long enough to suspect the others, then paused.
    network.nodes[2].partition = 1;
    let suspects = network.run_until(seconds(3), |network| {
        network.state(2, 0) == Some(MemberState::Suspect)
    });
    assert!(suspects.is_some());
    network.nodes[2].partition = 0;
    network.nodes[2].paused = true;
    network.run(seconds(20));
    network.drop_backlog(2);
    network.resume(2);
    let rejoined = network.run_until(seconds(10), SimulatedNetwork::converged);
    assert!(rejoined.is_some());
    let changes = &network.nodes[2].changes;
    assert!(
        !changes
            .iter()
            .any(|(_, _, state)| *state == MemberState::Dead)
    );
}

#[test]
fn both_sides_of_a_partition_stay_up_and_merge_after_it_heals() {
    let mut network = joined_network(9, 1);
    for index in 0..9 {
        network.nodes[index].partition = u32::from(index % 3 == 0);
    }
    network.run(seconds(60));
    assert_eq!(network.state(0, 1), Some(MemberState::Dead));
    assert_eq!(network.state(1, 0), Some(MemberState::Dead));
    assert_eq!(network.state(0, 3), Some(MemberState::Alive));
    for node in &mut network.nodes {
        node.partition = 0;
    }
    let healed = network.run_until(seconds(15), SimulatedNetwork::converged);
    assert!(healed.is_some());
}

#[test]
fn a_leaving_node_is_never_suspected_while_it_serves() {
    let mut network = joined_network(8, 1);
    network.handle(4, MemberEvent::Leave);
    let all_notified = network.run_until(seconds(3), |network| {
        network.all_see(4, MemberState::Leaving)
    });
    assert!(all_notified.is_some());
    network.run(seconds(20));
    assert!(network.all_see(4, MemberState::Leaving));
    network.handle(4, MemberEvent::Exit);
    network.nodes[4].running = false;
    let left = network.run_until(seconds(3), |network| network.all_see(4, MemberState::Left));
    assert!(left.is_some());
    let states = network.nodes.iter().flat_map(|node| &node.changes);
    assert!(
        !states
            .clone()
            .any(|(_, _, state)| *state == MemberState::Suspect)
    );
}

/// The incarnation comes from the clock, so a restarted process on a host whose clock
/// was set back starts with a stale one and must be told to raise it.
#[test]
fn a_new_process_whose_clock_is_behind_rejoins_under_its_old_id() {
    let mut network = joined_network(5, 1);
    network.start_node(3, 400);
    let rejoined = network.run_until(seconds(10), SimulatedNetwork::converged);
    assert!(rejoined.is_some());
    assert!(network.nodes[3].protocol.own_record().incarnation > 1_000);
}

#[test]
fn evidence_reaches_all_and_the_newest_body_wins() {
    let mut network = joined_network(20, 1);
    network.faults.loss_rate = 0.1;
    for body in [b"old".to_vec(), b"new".to_vec()] {
        let topic = GossipTopic::CrashEvidence;
        network.handle(7, MemberEvent::Publish { topic, body });
    }
    let spread = network.run_until(seconds(5), |network| {
        let others = network.running().filter(|at| *at != 7);
        others.into_iter().all(|at| {
            let protocol = &network.nodes[at].protocol;
            let body = protocol.body(GossipTopic::CrashEvidence, &"node-7".to_owned());
            body.is_some_and(|record| record.body == b"new")
        })
    });
    assert!(spread.is_some());
    for node in &network.nodes {
        let sequences: Vec<_> = node
            .topic_updates
            .iter()
            .map(|record| record.sequence)
            .collect();
        assert!(sequences.is_sorted_by(|one, next| one < next));
    }
}

#[test]
fn summaries_reach_the_own_zone_more_often_and_stay_within_the_send_budget() {
    let mut network = joined_network(60, 1);
    let before: Vec<_> = network.nodes.iter().map(|node| node.sent_bytes).collect();
    for second in 0..30_u8 {
        for index in 0..60 {
            let topic = GossipTopic::NodeSummary;
            let body = vec![second; 300];
            network.handle(index, MemberEvent::Publish { topic, body });
        }
        network.run(seconds(1));
    }
    let count_summaries = |same_zone: bool| {
        let own_zone = network.zone(0);
        let topic_updates = network.nodes[0].topic_updates.iter();
        topic_updates
            .filter(|record| {
                let index: usize = record.origin["node-".len()..].parse().unwrap();
                (network.zone(index) == own_zone) == same_zone
            })
            .count()
    };
    // 19 other members in the zone of node 0, 40 outside it.
    assert!(count_summaries(true) * 40 > 2 * count_summaries(false) * 19);
    assert!(count_summaries(false) > 0);
    for (node, before) in network.nodes.iter().zip(before) {
        let rate = (node.sent_bytes - before) / 30;
        assert!(rate < 2_500, "{} sent {rate} B/s", node.name);
    }
}

#[test]
fn a_note_version_becomes_known_everywhere_and_adopted_versions_only_rise() {
    let mut network = joined_network(30, 1);
    network.faults.loss_rate = 0.05;
    for version in [3, 2, 5] {
        network.handle(11, MemberEvent::NoteInForce(version));
        network.run(Duration::from_millis(20));
    }
    let discovered = network.run_until(seconds(3), |network| {
        network
            .nodes
            .iter()
            .all(|node| node.protocol.highest_note_version() == 5)
    });
    assert!(discovered.is_some());
    for node in &network.nodes {
        assert!(node.adopted_notes.is_sorted_by(|one, next| one.1 < next.1));
    }
}

#[derive(Clone, Debug)]
enum FaultStep {
    Pause(usize),
    Partition(Vec<bool>),
    Restart(usize, u64),
    Loss(f64),
}

fn fault_steps() -> impl Strategy<Value = Vec<(FaultStep, u64)>> {
    let one = prop_oneof![
        (0..7_usize).prop_map(FaultStep::Pause),
        prop::collection::vec(any::<bool>(), 7).prop_map(FaultStep::Partition),
        (0..7_usize, 1..5_000_u64)
            .prop_map(|(node, incarnation)| FaultStep::Restart(node, incarnation)),
        (0.0..0.4).prop_map(FaultStep::Loss),
    ];
    prop::collection::vec((one, 100..9_000_u64), 1..8)
}

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(24))]

    #[test]
    fn loss_reordering_and_duplication_cause_no_false_deaths(
        seed in any::<u64>(),
        loss_rate in 0.0..0.1,
        max_delay in 1_u64..80,
    ) {
        let mut network = joined_network(7, seed);
        network.faults = NetworkFaults {
            loss_rate,
            duplication_rate: 0.1,
            min_delay: Duration::from_micros(100),
            max_delay: Duration::from_millis(max_delay),
        };
        network.run(seconds(60));
        prop_assert_eq!(false_deaths(&network, usize::MAX), 0);
    }

    #[test]
    fn members_converge_after_any_sequence_of_faults(
        seed in any::<u64>(),
        steps in fault_steps(),
    ) {
        let mut network = joined_network(7, seed);
        for (step, time) in steps {
            match step {
                FaultStep::Pause(node) => network.nodes[node].paused = true,
                FaultStep::Partition(partitions) => {
                    for (node, partition) in network.nodes.iter_mut().zip(partitions) {
                        node.partition = u32::from(partition);
                    }
                }
                FaultStep::Restart(node, incarnation) => network.start_node(node, incarnation),
                FaultStep::Loss(loss) => network.faults.loss_rate = loss,
            }
            network.run(Duration::from_millis(time));
        }
        network.faults = NetworkFaults::default();
        for index in 0..7 {
            network.nodes[index].partition = 0;
            network.resume(index);
        }
        let converged = network.run_until(seconds(40), SimulatedNetwork::converged);
        prop_assert!(converged.is_some(), "not converged after 40 s");
    }
}
