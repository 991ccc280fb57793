//! Selects the relays, which hear all nodes and tell the others: in each
//! availability zone the best node by readiness, capacity and name. When a relay
//! does not answer, the next best node of its zone takes its place.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use types::NodeId;

use crate::RosterEntry;

/// Number of questions in a row without an answer after which a relay is passed over.
const QUESTIONS_MAX: u32 = 2;
/// Longest time that an answer usually takes.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Pause between two rounds in which further nodes are asked beside a relay that is late.
const STAND_IN_PAUSE: Duration = Duration::from_millis(100);

/// Whether `one` is a better relay than `other`. All nodes agree on this order, so
/// they report to the same few.
#[must_use]
pub fn is_better_relay(one: &RosterEntry, other: &RosterEntry) -> bool {
    relay_order(one) < relay_order(other)
}

fn relay_order(entry: &RosterEntry) -> (bool, Reverse<u32>, &NodeId) {
    (!entry.ready, Reverse(entry.capacity), &entry.node)
}

/// Returns the relays among `nodes`: the best one of each availability zone, the
/// best of all first.
#[must_use]
pub fn select_relays<'a>(nodes: impl Iterator<Item = &'a RosterEntry>) -> Vec<&'a RosterEntry> {
    let mut relays_by_zone: BTreeMap<&str, &RosterEntry> = BTreeMap::new();
    for entry in nodes {
        let relay = relays_by_zone.entry(&entry.zone).or_insert(entry);
        if is_better_relay(entry, relay) {
            *relay = entry;
        }
    }
    let mut relays: Vec<&RosterEntry> = relays_by_zone.into_values().collect();
    relays.sort_by_key(|entry| relay_order(entry));
    relays
}

/// Returns the nodes that would be relays if they were alive. Reports go to them as
/// well, so that the parts of a fleet find each other after a network partition.
#[must_use]
pub fn find_lost_relays<'a>(
    known: impl Iterator<Item = &'a RosterEntry>,
    relays: &[&RosterEntry],
) -> Vec<&'a RosterEntry> {
    let mut best = select_relays(known);
    best.retain(|entry| relays.iter().all(|relay| relay.node != entry.node));
    best
}

/// Watches whether the relay that this node asks answers.
#[derive(Debug, Default)]
pub struct RelayWatch {
    relay: Option<NodeId>,
    /// When the relay was first to be asked since its last answer.
    asked_at: Option<Instant>,
    /// When the first question since its last answer was sent. Reports go out more often
    /// than questions.
    sent_at: Option<Instant>,
}

impl RelayWatch {
    /// Records that `relay` is asked; returns whether it is another one than before.
    /// The first question after an answer starts the timeout.
    pub fn record_question(&mut self, now: Instant, relay: &NodeId) -> bool {
        let is_new = self.relay.as_ref() != Some(relay);
        if is_new {
            self.relay = Some(relay.clone());
            self.asked_at = None;
            self.sent_at = None;
        }
        self.asked_at.get_or_insert(now);
        is_new
    }

    /// Records that a question to the relay is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent_at.get_or_insert(now);
    }

    /// Records that an answer has arrived.
    pub fn record_answer(&mut self) {
        self.asked_at = None;
        self.sent_at = None;
    }

    /// Whether the relay has not answered for longer than an answer usually takes.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.sent_at
            .is_some_and(|sent_at| now.saturating_duration_since(sent_at) >= ANSWER_TIME)
    }

    /// Returns the relay that was asked and has not answered in time, once;
    /// `question_pause` is the interval between questions.
    pub fn take_silent(&mut self, now: Instant, question_pause: Duration) -> Option<NodeId> {
        let timeout = question_pause * QUESTIONS_MAX + ANSWER_TIME;
        if now.saturating_duration_since(self.asked_at?) < timeout {
            return None;
        }
        self.asked_at = None;
        self.sent_at = None;
        self.relay.take()
    }
}

/// Nodes that are asked for news beside a relay whose answer is overdue. Each round asks
/// twice as many as the one before, so that some node answers soon although many relays
/// are frozen; once one does, only that one is asked further.
#[derive(Debug, Default)]
pub struct StandIns {
    asked: Vec<SocketAddr>,
    /// Where the last round begins in `asked`.
    round_start: usize,
    /// When the last round was asked.
    round_at: Option<Instant>,
    /// The node that has answered, and when it did last.
    answering: Option<(SocketAddr, Instant)>,
}

impl StandIns {
    /// Whether the next round is due: nobody has answered for as long as an answer usually
    /// takes.
    #[must_use]
    pub fn are_due(&self, now: Instant) -> bool {
        let is_past = |at: Instant, pause| now.saturating_duration_since(at) >= pause;
        self.round_at.is_none_or(|at| is_past(at, STAND_IN_PAUSE))
            && self
                .answering
                .is_none_or(|(_, at)| is_past(at, ANSWER_TIME))
    }

    /// Begins a round, with the first of `others` that have not been asked.
    pub fn add_round(&mut self, now: Instant, others: impl Iterator<Item = SocketAddr>) {
        self.round_at = Some(now);
        self.round_start = self.asked.len();
        self.answering = None;
        let count = self.asked.len() + 1;
        let new: Vec<SocketAddr> = others
            .filter(|address| !self.asked.contains(address))
            .take(count)
            .collect();
        self.asked.extend(new);
    }

    /// Addresses of the nodes to ask: the one that answers, or else those of the last round.
    #[must_use]
    pub fn targets(&self) -> &[SocketAddr] {
        match &self.answering {
            Some((address, _)) => std::slice::from_ref(address),
            None => &self.asked[self.round_start..],
        }
    }

    /// Addresses of all nodes that were asked.
    #[must_use]
    pub fn asked(&self) -> &[SocketAddr] {
        &self.asked
    }

    /// Records that news has arrived from the node at `address`; returns whether it is to be
    /// read, since this node was asked and is the first that answers.
    pub fn record_news(&mut self, now: Instant, address: SocketAddr) -> bool {
        let is_first = self.answering.is_none_or(|(first, _)| first == address);
        let is_read = is_first && self.asked.contains(&address);
        if is_read {
            self.answering = Some((address, now));
        }
        is_read
    }
}
