//! Whom to probe, and the probes that wait for an answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use rand::{rngs::StdRng, seq::SliceRandom};
use types::NodeId;

use crate::{MemberState, table::MemberTable};

/// The member that asked for a probe, to be told of the answer.
#[derive(Clone, Debug)]
pub struct ProbeOrigin {
    /// The member.
    pub node: NodeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of the probe there.
    pub probe: u64,
}

/// How far a probe has got.
#[derive(Clone, Debug)]
pub enum ProbeStage {
    /// The target itself was asked.
    Direct,
    /// Other members were asked to probe.
    Indirect,
    /// Sent for another member.
    Relayed(ProbeOrigin),
}

/// A probe without an answer.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    /// The member probed.
    pub target: NodeId,
    /// How far it has got.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub due: Instant,
}

/// Probes under way.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    last: u64,
    pending: BTreeMap<u64, PendingProbe>,
}

impl ProbeTable {
    /// Numbers a new probe.
    pub fn open(&mut self, probe: PendingProbe) -> u64 {
        self.last += 1;
        self.pending.insert(self.last, probe);
        self.last
    }

    /// A number that no answer is awaited for.
    pub fn unawaited(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Keeps waiting for the probe `number`, in a later stage.
    pub fn reopen(&mut self, number: u64, probe: PendingProbe) {
        self.pending.insert(number, probe);
    }

    /// Takes the probe that an answer belongs to.
    pub fn close(&mut self, number: u64) -> Option<PendingProbe> {
        self.pending.remove(&number)
    }

    /// Takes the probes whose stage is over.
    pub fn expired(&mut self, now: Instant) -> Vec<(u64, PendingProbe)> {
        self.pending
            .extract_if(.., |_, probe| probe.due <= now)
            .collect()
    }

    /// Drops all probes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Names the members to probe next: one neighbour on the ring, so that each
/// member is watched in every round, and one of a shuffled list, so that a
/// wrong view of the ring hides nobody.
#[derive(Clone, Debug, Default)]
pub struct ProbeOrder {
    shuffled: Vec<NodeId>,
}

impl ProbeOrder {
    /// The targets of one round.
    pub fn next(&mut self, table: &MemberTable, own: &NodeId, rng: &mut StdRng) -> Vec<NodeId> {
        let mut targets: Vec<_> = ring_neighbour(table, own).into_iter().collect();
        let shuffled = self.next_shuffled(table, own, rng);
        targets.extend(shuffled.filter(|node| !targets.contains(node)));
        targets
    }

    fn next_shuffled(
        &mut self,
        table: &MemberTable,
        own: &NodeId,
        rng: &mut StdRng,
    ) -> Option<NodeId> {
        while let Some(node) = self.shuffled.pop() {
            let entry = table.get(&node);
            if entry.is_some_and(|entry| entry.record.state.is_present()) {
                return Some(node);
            }
        }
        let others = table.present().filter(|record| record.node != *own);
        self.shuffled = others.map(|record| record.node.clone()).collect();
        self.shuffled.shuffle(rng);
        self.shuffled.pop()
    }
}

/// The next member on the ring that is not suspected already.
fn ring_neighbour(table: &MemberTable, own: &NodeId) -> Option<NodeId> {
    let place = table.get(own)?.ring;
    let watched = |state| matches!(state, MemberState::Alive | MemberState::Leaving);
    table
        .entries()
        .filter(|entry| entry.record.node != *own && watched(entry.record.state))
        .min_by_key(|entry| entry.ring.wrapping_sub(place))
        .map(|entry| entry.record.node.clone())
}
