//! Health of the upstreams, from the host list and from the results of calls.
//!
//! The host list is a service of the platform that lists nodes and upstreams; the caller
//! reads it and passes on the upstreams. It lags, so results of this node's calls and
//! reports of other nodes open a circuit breaker before the list changes.

mod entry;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, UpstreamId};

use self::entry::UpstreamEntry;

/// Thresholds of the circuit breaker and of removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSettings {
    /// Consecutive failed calls after which this node backs off from an upstream.
    pub failure_limit: u32,
    /// Duration of the backoff at a flap count of one; doubles with each further flap.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Time without a further backoff that reduces the flap count, the number of recent
    /// backoffs, by one.
    pub flap_decay_period: Duration,
    /// Time for which a failure reported by another node counts, and for which an
    /// answer to this node outweighs such reports.
    pub evidence_window: Duration,
    /// Number of other nodes that must report failures before this node backs off from
    /// the upstream.
    pub min_reporting_nodes: usize,
    /// Time after which an upstream is removed when it is missing from the list and no
    /// call to it succeeds; it is removed at once while its circuit is open or half-open
    /// and this node's last call failed.
    pub max_absence: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            failure_limit: 3,
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
            flap_decay_period: Duration::from_mins(1),
            evidence_window: Duration::from_secs(5),
            min_reporting_nodes: 2,
            max_absence: Duration::from_secs(30),
        }
    }
}

/// Entry of the host list for one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedUpstream {
    /// Identifier; a restarted process may reuse it.
    pub upstream: UpstreamId,
    /// Incarnation of its process; a restart raises it.
    pub incarnation: IncarnationNumber,
    /// Address on which the upstream takes calls.
    pub address: String,
    /// Whether the list marks the upstream as leaving.
    pub leaving: bool,
}

/// What is known about an upstream: the outcome of one call or of the calls of one
/// node, or that it is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallEvidence {
    /// The upstream answered; an error response counts as well.
    Answered,
    /// The upstream was unreachable or closed the connection during the call.
    Failed,
    /// The upstream or the host list announced that it is leaving.
    Leaving,
}

/// Evidence about one incarnation of an upstream; nodes exchange it by gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEvidence {
    /// Upstream that the evidence is about.
    pub upstream: UpstreamId,
    /// Incarnation of its process at the time; evidence about another one is ignored.
    pub incarnation: IncarnationNumber,
    /// Outcome of the calls, or that the upstream is leaving.
    pub evidence: CallEvidence,
}

/// Input of the upstream table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamEvent {
    /// The complete host list was read; it may lag behind the calls.
    Listed(Vec<ListedUpstream>),
    /// A call of this node to an upstream finished.
    CallFinished(UpstreamEvidence),
    /// Another node reported the outcome of its own calls, or that an upstream is
    /// leaving, however it learned that.
    PeerReported {
        /// Node that sent the report.
        node: NodeId,
        /// What that node reported.
        evidence: UpstreamEvidence,
    },
    /// Time passed; removes upstreams that are missing for too long.
    Tick,
}

/// Whether an upstream takes new work, as the state of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// The circuit is closed: the upstream takes new work.
    Usable,
    /// The backoff is over: one probe call may test whether it has recovered.
    HalfOpen,
    /// The circuit is open: the upstream gets no new work until the backoff is over.
    BackingOff,
    /// The upstream takes no new work for the rest of this incarnation.
    Leaving,
}

/// Change of an upstream that routing has to follow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// A new upstream, or a new process under a known identifier.
    New(ListedUpstream),
    /// It takes no new work; its work in flight finishes.
    Leaving(UpstreamEvidence),
    /// It takes no new work until the backoff is over.
    BackedOff(UpstreamId),
    /// Its circuit closed after an answer; it takes new work again unless it is leaving.
    Recovered(UpstreamId),
    /// It was removed; its work in flight counts as failed.
    Gone(UpstreamId),
}

/// Health of all upstreams as one node knows it.
#[derive(Debug)]
pub struct UpstreamTable {
    settings: UpstreamSettings,
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    // Newest incarnation of each upstream that left, so that a lagging list can't
    // add it again.
    departed: BTreeMap<UpstreamId, IncarnationNumber>,
}

impl UpstreamTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: UpstreamSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Applies one event and returns the changes that follow from it.
    pub fn handle(&mut self, now: Instant, event: UpstreamEvent) -> Vec<UpstreamChange> {
        match event {
            UpstreamEvent::Listed(list) => self.apply_list(now, list),
            UpstreamEvent::CallFinished(evidence) => self.apply_call(now, &evidence),
            UpstreamEvent::PeerReported { node, evidence } => {
                self.apply_peer_report(now, node, &evidence)
            }
            UpstreamEvent::Tick => self.remove_gone(now),
        }
    }

    /// Returns the circuit breaker state of `upstream`, or `None` when it is unknown.
    #[must_use]
    pub fn state(&self, now: Instant, upstream: &UpstreamId) -> Option<UpstreamState> {
        self.entries.get(upstream).map(|entry| entry.state(now))
    }

    /// Claims the single probe call of an upstream in the state `HalfOpen`; false
    /// when another request has claimed it or the upstream is in another state.
    pub fn try_begin_probe(&mut self, now: Instant, upstream: &UpstreamId) -> bool {
        let settings = &self.settings;
        let entry = self.entries.get_mut(upstream);
        entry.is_some_and(|entry| entry.try_begin_probe(now, settings))
    }

    /// Returns the upstreams that take new work at `now`.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &ListedUpstream> {
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.state(now) == UpstreamState::Usable)
            .map(|entry| &entry.listed)
    }

    /// Returns at most `limit` items of evidence for other nodes, most urgent first:
    /// upstreams that have been leaving for less than `max_age`, then those whose
    /// circuit is open and to which this node's last call failed.
    #[must_use]
    pub fn evidence_to_share(
        &self,
        now: Instant,
        max_age: Duration,
        limit: usize,
    ) -> Vec<UpstreamEvidence> {
        let leaving = self.entries.values().filter_map(|entry| {
            let since = entry.leaving_since()?;
            let is_recent = now.saturating_duration_since(since) < max_age;
            is_recent.then(|| entry.evidence(CallEvidence::Leaving))
        });
        let failing = self.entries.values().filter(|entry| entry.is_failing(now));
        let failing = failing.map(|entry| entry.evidence(CallEvidence::Failed));
        leaving.chain(failing).take(limit).collect()
    }

    /// Applies a reading of the complete host list.
    fn apply_list(&mut self, now: Instant, list: Vec<ListedUpstream>) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            entry.absent_since.get_or_insert(now);
        }
        for listed in list {
            changes.extend(self.apply_listed(now, listed));
        }
        changes.extend(self.remove_gone(now));
        changes
    }

    fn apply_listed(&mut self, now: Instant, listed: ListedUpstream) -> Option<UpstreamChange> {
        let departed = self.departed.get(&listed.upstream);
        if departed.is_some_and(|newest| listed.incarnation <= *newest) {
            return None;
        }
        let Some(entry) = self.entries.get_mut(&listed.upstream) else {
            return Some(self.insert(now, listed));
        };
        if listed.incarnation < entry.listed.incarnation {
            entry.absent_since = None;
            return None;
        }
        if listed.incarnation > entry.listed.incarnation {
            return Some(self.insert(now, listed));
        }
        entry.absent_since = None;
        if !listed.leaving || !entry.mark_leaving(now) {
            return None;
        }
        Some(UpstreamChange::Leaving(
            entry.evidence(CallEvidence::Leaving),
        ))
    }

    fn insert(&mut self, now: Instant, listed: ListedUpstream) -> UpstreamChange {
        let entry = UpstreamEntry::new(now, listed.clone());
        self.departed.remove(&listed.upstream);
        self.entries.insert(listed.upstream.clone(), entry);
        UpstreamChange::New(listed)
    }

    fn apply_call(&mut self, now: Instant, evidence: &UpstreamEvidence) -> Vec<UpstreamChange> {
        let settings = &self.settings;
        let Some(entry) = matching_entry(&mut self.entries, evidence) else {
            return Vec::new();
        };
        let change = match evidence.evidence {
            CallEvidence::Answered => entry.record_success(now),
            CallEvidence::Failed => entry.record_failure(now, settings),
            CallEvidence::Leaving => entry
                .mark_leaving(now)
                .then(|| UpstreamChange::Leaving(entry.evidence(CallEvidence::Leaving))),
        };
        change.into_iter().collect()
    }

    fn apply_peer_report(
        &mut self,
        now: Instant,
        node: NodeId,
        evidence: &UpstreamEvidence,
    ) -> Vec<UpstreamChange> {
        let settings = &self.settings;
        let Some(entry) = matching_entry(&mut self.entries, evidence) else {
            return Vec::new();
        };
        let change = match evidence.evidence {
            CallEvidence::Answered => {
                entry.record_peer_success(now);
                None
            }
            CallEvidence::Failed => entry.record_peer_failure(now, node, settings),
            CallEvidence::Leaving => entry
                .mark_leaving(now)
                .then(|| UpstreamChange::Leaving(entry.evidence(CallEvidence::Leaving))),
        };
        change.into_iter().collect()
    }

    fn remove_gone(&mut self, now: Instant) -> Vec<UpstreamChange> {
        let max_absence = self.settings.max_absence;
        let gone = self
            .entries
            .extract_if(.., |_, entry| entry.is_gone(now, max_absence));
        let gone: Vec<_> = gone.collect();
        for (upstream, entry) in &gone {
            if entry.state(now) == UpstreamState::Leaving {
                self.departed
                    .insert(upstream.clone(), entry.listed.incarnation);
            }
        }
        let removed = gone.into_iter().map(|(upstream, _)| upstream);
        removed.map(UpstreamChange::Gone).collect()
    }
}

/// Returns the entry that `evidence` is about, unless the incarnations differ.
fn matching_entry<'a>(
    entries: &'a mut BTreeMap<UpstreamId, UpstreamEntry>,
    evidence: &UpstreamEvidence,
) -> Option<&'a mut UpstreamEntry> {
    let entry = entries.get_mut(&evidence.upstream)?;
    (entry.listed.incarnation == evidence.incarnation).then_some(entry)
}
