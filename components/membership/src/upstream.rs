//! Which upstreams may be given work, from a lagging list and from evidence.

mod entry;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, UpstreamId};

use self::entry::UpstreamEntry;

/// Knobs of upstream liveness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSettings {
    /// Failed calls in a row that make an upstream back off.
    pub failure_limit: u32,
    /// First back-off; it doubles with each flap.
    pub first_backoff: Duration,
    /// Longest back-off.
    pub longest_backoff: Duration,
    /// Quiet time after which one flap is forgiven.
    pub flap_memory: Duration,
    /// Time in which failures told by other nodes count together.
    pub evidence_age: Duration,
    /// Other nodes that must tell of failures before they count.
    pub evidence_nodes: usize,
    /// Time an upstream may be missing from the list while no call succeeds.
    pub absence_limit: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            failure_limit: 3,
            first_backoff: Duration::from_millis(500),
            longest_backoff: Duration::from_secs(30),
            flap_memory: Duration::from_mins(1),
            evidence_age: Duration::from_secs(5),
            evidence_nodes: 2,
            absence_limit: Duration::from_secs(30),
        }
    }
}

/// One upstream as the list has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Life of its process.
    pub incarnation: IncarnationNumber,
    /// Where it listens.
    pub address: String,
    /// Whether the list has it as leaving.
    pub leaving: bool,
}

/// What one call, or one node's calls, showed of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallEvidence {
    /// It answered, whatever the answer was.
    Answered,
    /// It could not be reached or cut the call.
    Failed,
    /// It said, or the list said, that it is leaving.
    Leaving,
}

/// Evidence about one incarnation of an upstream, as nodes tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEvidence {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Life of its process.
    pub incarnation: IncarnationNumber,
    /// What was seen.
    pub evidence: CallEvidence,
}

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamEvent {
    /// The whole list was read; it lags.
    Listed(Vec<ListedUpstream>),
    /// This node called an upstream.
    CallFinished(UpstreamEvidence),
    /// Another node told what it saw.
    PeerReported {
        /// The node.
        node: NodeId,
        /// What it saw.
        evidence: UpstreamEvidence,
    },
    /// Time has passed.
    Tick,
}

/// Whether an upstream may be given new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It may.
    Usable,
    /// It may be given one call, to see whether it is back.
    HalfOpen,
    /// Not now.
    BackingOff,
    /// Never again in this incarnation.
    Leaving,
}

/// Something the routing should know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// A new upstream, or a new process behind a known id.
    New(ListedUpstream),
    /// New work goes elsewhere; what runs there finishes.
    Leaving(UpstreamEvidence),
    /// New work goes elsewhere for a while.
    BackedOff(UpstreamId),
    /// It answers again.
    Recovered(UpstreamId),
    /// It is no more; its work has failed.
    Gone(UpstreamId),
}

/// All upstreams as one node knows them.
#[derive(Debug)]
pub struct UpstreamTable {
    settings: UpstreamSettings,
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    // Newest incarnation of those that left, so that a lagging list can't revive them.
    left: BTreeMap<UpstreamId, IncarnationNumber>,
}

impl UpstreamTable {
    /// An empty table.
    #[must_use]
    pub fn new(settings: UpstreamSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            left: BTreeMap::new(),
        }
    }

    /// Takes one event and returns what is new.
    pub fn handle(&mut self, now: Instant, event: UpstreamEvent) -> Vec<UpstreamChange> {
        match event {
            UpstreamEvent::Listed(list) => self.read_list(now, list),
            UpstreamEvent::CallFinished(evidence) => self.called(now, &evidence),
            UpstreamEvent::PeerReported { node, evidence } => self.told(now, node, &evidence),
            UpstreamEvent::Tick => self.drop_absent(now),
        }
    }

    /// Whether `upstream` may be given new work; `None` when it is unknown.
    #[must_use]
    pub fn state(&self, now: Instant, upstream: &UpstreamId) -> Option<UpstreamState> {
        self.entries.get(upstream).map(|entry| entry.state(now))
    }

    /// Takes the one trial call that an upstream in `Trial` may be given;
    /// false when another request took it.
    pub fn begin_trial(&mut self, now: Instant, upstream: &UpstreamId) -> bool {
        let settings = &self.settings;
        let entry = self.entries.get_mut(upstream);
        entry.is_some_and(|entry| entry.begin_trial(now, settings))
    }

    /// The upstreams that may be given new work now.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &ListedUpstream> {
        let entries = self.entries.values();
        entries
            .filter(move |entry| entry.state(now) == UpstreamState::Usable)
            .map(|entry| &entry.listed)
    }

    /// What other nodes should be told now, most urgent first: upstreams that
    /// are leaving since less than `age`, then those that back off.
    #[must_use]
    pub fn evidence(&self, now: Instant, age: Duration, limit: usize) -> Vec<UpstreamEvidence> {
        let leaving = self.entries.values().filter_map(|entry| {
            let since = entry.leaving_since()?;
            let recent = now.saturating_duration_since(since) < age;
            recent.then(|| entry.evidence(CallEvidence::Leaving))
        });
        let failing = self.entries.values().filter(|entry| entry.is_failing(now));
        let failing = failing.map(|entry| entry.evidence(CallEvidence::Failed));
        leaving.chain(failing).take(limit).collect()
    }

    fn read_list(&mut self, now: Instant, list: Vec<ListedUpstream>) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            entry.absent_since.get_or_insert(now);
        }
        for listed in list {
            changes.extend(self.read_listed(now, listed));
        }
        changes.extend(self.drop_absent(now));
        changes
    }

    fn read_listed(&mut self, now: Instant, listed: ListedUpstream) -> Option<UpstreamChange> {
        let left = self.left.get(&listed.upstream);
        if left.is_some_and(|left| listed.incarnation <= *left) {
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
        if !listed.leaving || !entry.leave(now) {
            return None;
        }
        Some(UpstreamChange::Leaving(
            entry.evidence(CallEvidence::Leaving),
        ))
    }

    fn insert(&mut self, now: Instant, listed: ListedUpstream) -> UpstreamChange {
        let entry = UpstreamEntry::new(now, listed.clone());
        self.left.remove(&listed.upstream);
        self.entries.insert(listed.upstream.clone(), entry);
        UpstreamChange::New(listed)
    }

    fn called(&mut self, now: Instant, evidence: &UpstreamEvidence) -> Vec<UpstreamChange> {
        let settings = &self.settings;
        let Some(entry) = entry_of(&mut self.entries, evidence) else {
            return Vec::new();
        };
        let change = match evidence.evidence {
            CallEvidence::Answered => entry.answered(now),
            CallEvidence::Failed => entry.failed(now, settings),
            CallEvidence::Leaving => entry
                .leave(now)
                .then(|| UpstreamChange::Leaving(entry.evidence(CallEvidence::Leaving))),
        };
        change.into_iter().collect()
    }

    fn told(
        &mut self,
        now: Instant,
        node: NodeId,
        evidence: &UpstreamEvidence,
    ) -> Vec<UpstreamChange> {
        let settings = &self.settings;
        let Some(entry) = entry_of(&mut self.entries, evidence) else {
            return Vec::new();
        };
        let change = match evidence.evidence {
            CallEvidence::Answered => {
                entry.told_answered(now);
                None
            }
            CallEvidence::Failed => entry.told_failed(now, node, settings),
            CallEvidence::Leaving => entry
                .leave(now)
                .then(|| UpstreamChange::Leaving(entry.evidence(CallEvidence::Leaving))),
        };
        change.into_iter().collect()
    }

    fn drop_absent(&mut self, now: Instant) -> Vec<UpstreamChange> {
        let limit = self.settings.absence_limit;
        let gone = self
            .entries
            .extract_if(.., |_, entry| entry.is_gone(now, limit));
        let gone: Vec<_> = gone.collect();
        for (upstream, entry) in &gone {
            if entry.state(now) == UpstreamState::Leaving {
                self.left.insert(upstream.clone(), entry.listed.incarnation);
            }
        }
        let names = gone.into_iter().map(|(upstream, _)| upstream);
        names.map(UpstreamChange::Gone).collect()
    }
}

/// The entry that `evidence` is about, if it is of the same incarnation.
fn entry_of<'a>(
    entries: &'a mut BTreeMap<UpstreamId, UpstreamEntry>,
    evidence: &UpstreamEvidence,
) -> Option<&'a mut UpstreamEntry> {
    let entry = entries.get_mut(&evidence.upstream)?;
    (entry.listed.incarnation == evidence.incarnation).then_some(entry)
}
