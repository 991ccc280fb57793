//! Probes in flight and the choice of members to probe.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use rand::{rngs::StdRng, seq::SliceRandom};
use types::NodeId;

use crate::{MemberState, table::MemberTable};

/// Member that asked this node to probe another one and waits for the result.
#[derive(Clone, Debug)]
pub struct ProbeRequester {
    /// Identifier of the member.
    pub node: NodeId,
    /// Address to which the result is sent.
    pub address: SocketAddr,
    /// Number that the member gave the probe.
    pub probe: u64,
}

/// Stage of a probe.
#[derive(Clone, Debug)]
pub enum ProbeStage {
    /// The target was pinged directly.
    Direct,
    /// The target didn't answer in time, and other members were asked to ping it.
    Indirect,
    /// The target was pinged on behalf of another member.
    Relayed(ProbeRequester),
}

/// Probe that has not been answered yet.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    /// Member that is probed.
    pub target: NodeId,
    /// Current stage.
    pub stage: ProbeStage,
    /// Time at which the stage times out.
    pub deadline: Instant,
}

/// Probes in flight, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    last_number: u64,
    pending: BTreeMap<u64, PendingProbe>,
}

impl ProbeTable {
    /// Adds a probe and returns its new number.
    pub fn start(&mut self, probe: PendingProbe) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, probe);
        self.last_number
    }

    /// Returns a new number for a ping whose answer is not tracked.
    pub fn untracked_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Puts the probe `number` back in a later stage.
    pub fn restart(&mut self, number: u64, probe: PendingProbe) {
        self.pending.insert(number, probe);
    }

    /// Removes and returns the probe that an answer belongs to.
    pub fn take(&mut self, number: u64) -> Option<PendingProbe> {
        self.pending.remove(&number)
    }

    /// Removes and returns the probes whose stage timed out.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(u64, PendingProbe)> {
        self.pending
            .extract_if(.., |_, probe| probe.deadline <= now)
            .collect()
    }

    /// Removes all probes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Chooses the members to probe in each round: the successor of this node on the hash
/// ring, which gives each unsuspected member one prober per round, and one of a shuffled
/// list, which also covers members that are no node's successor while tables differ.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    shuffled: Vec<NodeId>,
}

impl ProbeSchedule {
    /// Returns the targets of one round: at most two, since both choices may coincide or
    /// find no member.
    pub fn next(&mut self, table: &MemberTable, own: &NodeId, rng: &mut StdRng) -> Vec<NodeId> {
        let mut targets: Vec<_> = ring_successor(table, own).into_iter().collect();
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

/// Returns the next member on the hash ring that is not suspected yet.
fn ring_successor(table: &MemberTable, own: &NodeId) -> Option<NodeId> {
    let own_position = table.get(own)?.ring_position;
    let not_suspected = |state| matches!(state, MemberState::Alive | MemberState::Leaving);
    table
        .entries()
        .filter(|entry| entry.record.node != *own && not_suspected(entry.record.state))
        .min_by_key(|entry| entry.ring_position.wrapping_sub(own_position))
        .map(|entry| entry.record.node.clone())
}
