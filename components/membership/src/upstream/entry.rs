//! What one node knows of one incarnation of an upstream.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::NodeId;

use super::{
    CallEvidence, ListedUpstream, UpstreamChange, UpstreamEvidence, UpstreamSettings, UpstreamState,
};

/// Doublings after which the back-off no longer grows.
const MOST_FLAPS: u32 = 16;

/// One incarnation of an upstream.
#[derive(Debug)]
pub struct UpstreamEntry {
    /// As the list has it.
    pub listed: ListedUpstream,
    /// Since when the list lacks it.
    pub absent_since: Option<Instant>,
    leaving: Option<Instant>,
    failures: u32,
    flaps: u32,
    flapped: Instant,
    retry_at: Option<Instant>,
    answered: Option<Instant>,
    told: BTreeMap<NodeId, Instant>,
}

impl UpstreamEntry {
    /// A incarnation that nothing is known of but the list's entry.
    pub fn new(now: Instant, listed: ListedUpstream) -> Self {
        Self {
            leaving: listed.leaving.then_some(now),
            listed,
            absent_since: None,
            failures: 0,
            flaps: 0,
            flapped: now,
            retry_at: None,
            answered: None,
            told: BTreeMap::new(),
        }
    }

    /// Whether it may be given new work.
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.leaving.is_some() {
            return UpstreamState::Leaving;
        }
        match self.retry_at {
            None => UpstreamState::Usable,
            Some(retry_at) if retry_at <= now => UpstreamState::HalfOpen,
            Some(_) => UpstreamState::BackingOff,
        }
    }

    /// Marks it as leaving, for good; returns whether that is new.
    pub fn leave(&mut self, now: Instant) -> bool {
        let is_new = self.leaving.is_none();
        self.leaving.get_or_insert(now);
        is_new
    }

    /// When this node learned that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving
    }

    /// Whether this node's own calls to it fail.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failures > 0 && self.state(now) == UpstreamState::BackingOff
    }

    /// `evidence` about this incarnation.
    pub fn evidence(&self, evidence: CallEvidence) -> UpstreamEvidence {
        UpstreamEvidence {
            upstream: self.listed.upstream.clone(),
            incarnation: self.listed.incarnation,
            evidence,
        }
    }

    /// Takes the trial; others wait until it has failed or succeeded.
    pub fn begin_trial(&mut self, now: Instant, settings: &UpstreamSettings) -> bool {
        if self.state(now) != UpstreamState::HalfOpen {
            return false;
        }
        self.retry_at = Some(now + self.backoff(settings));
        true
    }

    /// A call of this node was answered.
    pub fn answered(&mut self, now: Instant) -> Option<UpstreamChange> {
        self.failures = 0;
        self.answered = Some(now);
        self.told.clear();
        self.retry_at.take()?;
        Some(UpstreamChange::Recovered(self.listed.upstream.clone()))
    }

    /// A call of this node failed.
    pub fn failed(&mut self, now: Instant, settings: &UpstreamSettings) -> Option<UpstreamChange> {
        self.failures += 1;
        let was_away = self.retry_at.is_some();
        if !was_away && self.failures < settings.failure_limit {
            return None;
        }
        self.back_off(now, settings);
        (!was_away).then(|| UpstreamChange::BackedOff(self.listed.upstream.clone()))
    }

    /// Another node was answered: a trial is worth while at once, unless the
    /// upstream comes and goes.
    pub fn told_answered(&mut self, now: Instant) {
        if self.flaps > 1 {
            return;
        }
        if let Some(retry_at) = &mut self.retry_at {
            *retry_at = (*retry_at).min(now);
        }
    }

    /// Another node failed. Several nodes' word counts like own failures,
    /// unless this node was answered just now.
    pub fn told_failed(
        &mut self,
        now: Instant,
        node: NodeId,
        settings: &UpstreamSettings,
    ) -> Option<UpstreamChange> {
        let recent = |at: Instant| now.saturating_duration_since(at) < settings.evidence_age;
        self.told.insert(node, now);
        self.told.retain(|_, at| recent(*at));
        let answers_here = self.answered.is_some_and(recent);
        let enough = self.told.len() >= settings.evidence_nodes;
        if !enough || answers_here || self.retry_at.is_some() {
            return None;
        }
        self.back_off(now, settings);
        Some(UpstreamChange::BackedOff(self.listed.upstream.clone()))
    }

    /// Whether it is missing from the list and nothing shows that it lives.
    pub fn is_gone(&self, now: Instant, limit: Duration) -> bool {
        let Some(absent) = self.absent_since else {
            return false;
        };
        let since = self.answered.map_or(absent, |at| at.max(absent));
        let missing = now.saturating_duration_since(since) >= limit;
        missing || self.failures > 0 && self.retry_at.is_some()
    }

    fn back_off(&mut self, now: Instant, settings: &UpstreamSettings) {
        let quiet = now.saturating_duration_since(self.flapped);
        let forgiven = quiet.as_millis() / settings.flap_memory.as_millis().max(1);
        let forgiven = u32::try_from(forgiven).unwrap_or(u32::MAX);
        self.flaps = (self.flaps.saturating_sub(forgiven) + 1).min(MOST_FLAPS);
        self.flapped = now;
        self.retry_at = Some(now + self.backoff(settings));
    }

    fn backoff(&self, settings: &UpstreamSettings) -> Duration {
        let doublings = self.flaps.saturating_sub(1);
        let delay = settings.first_backoff * 2_u32.pow(doublings);
        delay.min(settings.longest_backoff)
    }
}
