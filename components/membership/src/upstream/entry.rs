//! Circuit breaker of one incarnation of an upstream.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::NodeId;

use super::{
    CallEvidence, ListedUpstream, UpstreamChange, UpstreamEvidence, UpstreamSettings, UpstreamState,
};

/// Upper bound of the flap count, and so of the doublings of the backoff.
const MAX_FLAPS: u32 = 16;

/// Health of one incarnation of an upstream.
#[derive(Debug)]
pub struct UpstreamEntry {
    /// Entry of the host list.
    pub listed: ListedUpstream,
    /// Time of the first reading of the list without it; `None` while listed.
    pub absent_since: Option<Instant>,
    leaving_since: Option<Instant>,
    consecutive_failures: u32,
    // Number of recent backoffs, the current one included; determines the next delay.
    flap_count: u32,
    last_flap: Instant,
    retry_at: Option<Instant>,
    last_answer: Option<Instant>,
    failure_reports: BTreeMap<NodeId, Instant>,
}

impl UpstreamEntry {
    /// Creates the entry of an upstream that has not been called yet.
    pub fn new(now: Instant, listed: ListedUpstream) -> Self {
        Self {
            leaving_since: listed.leaving.then_some(now),
            listed,
            absent_since: None,
            consecutive_failures: 0,
            flap_count: 0,
            last_flap: now,
            retry_at: None,
            last_answer: None,
            failure_reports: BTreeMap::new(),
        }
    }

    /// Returns the circuit breaker state at `now`.
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.leaving_since.is_some() {
            return UpstreamState::Leaving;
        }
        match self.retry_at {
            None => UpstreamState::Usable,
            Some(retry_at) if retry_at <= now => UpstreamState::HalfOpen,
            Some(_) => UpstreamState::BackingOff,
        }
    }

    /// Marks the upstream as leaving, which can't be undone; returns false when it
    /// already was.
    pub fn mark_leaving(&mut self, now: Instant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Time at which this node learned that the upstream is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// Returns whether the circuit is open (not half-open) and this node's last call
    /// failed.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.consecutive_failures > 0 && self.state(now) == UpstreamState::BackingOff
    }

    /// Creates a report of `evidence` about this incarnation.
    pub fn evidence(&self, evidence: CallEvidence) -> UpstreamEvidence {
        UpstreamEvidence {
            upstream: self.listed.upstream.clone(),
            incarnation: self.listed.incarnation,
            evidence,
        }
    }

    /// Claims the probe call of a half-open circuit. The circuit counts as open again
    /// until the result, or for another backoff delay when none comes.
    pub fn try_begin_probe(&mut self, now: Instant, settings: &UpstreamSettings) -> bool {
        if self.state(now) != UpstreamState::HalfOpen {
            return false;
        }
        self.retry_at = Some(now + self.backoff_delay(settings));
        true
    }

    /// Records an answer to a call of this node, which closes the circuit.
    pub fn record_success(&mut self, now: Instant) -> Option<UpstreamChange> {
        self.consecutive_failures = 0;
        self.last_answer = Some(now);
        self.failure_reports.clear();
        self.retry_at.take()?;
        Some(UpstreamChange::Recovered(self.listed.upstream.clone()))
    }

    /// Records a failed call of this node. Opens the circuit at the failure limit; a
    /// failure while it is open or half-open starts a further backoff.
    pub fn record_failure(
        &mut self,
        now: Instant,
        settings: &UpstreamSettings,
    ) -> Option<UpstreamChange> {
        self.consecutive_failures += 1;
        let had_backoff = self.retry_at.is_some();
        if !had_backoff && self.consecutive_failures < settings.failure_limit {
            return None;
        }
        self.back_off(now, settings);
        (!had_backoff).then(|| UpstreamChange::BackedOff(self.listed.upstream.clone()))
    }

    /// Records that another node got an answer: ends the backoff early, unless the
    /// upstream is flapping, that is, backed off from more than once recently.
    pub fn record_peer_success(&mut self, now: Instant) {
        if self.flap_count > 1 {
            return;
        }
        if let Some(retry_at) = &mut self.retry_at {
            *retry_at = (*retry_at).min(now);
        }
    }

    /// Records that calls of another node failed. Reports of enough nodes open the
    /// circuit like failures of this node, unless it got an answer recently.
    pub fn record_peer_failure(
        &mut self,
        now: Instant,
        node: NodeId,
        settings: &UpstreamSettings,
    ) -> Option<UpstreamChange> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < settings.evidence_window;
        self.failure_reports.insert(node, now);
        self.failure_reports.retain(|_, at| is_recent(*at));
        let answered_recently = self.last_answer.is_some_and(is_recent);
        let enough_reports = self.failure_reports.len() >= settings.min_reporting_nodes;
        if !enough_reports || answered_recently || self.retry_at.is_some() {
            return None;
        }
        self.back_off(now, settings);
        Some(UpstreamChange::BackedOff(self.listed.upstream.clone()))
    }

    /// Returns whether the upstream is to be removed: it is missing from the list,
    /// and either its circuit is open or half-open and this node's last call failed,
    /// or no call has succeeded within `max_absence`.
    pub fn is_gone(&self, now: Instant, max_absence: Duration) -> bool {
        let Some(absent_since) = self.absent_since else {
            return false;
        };
        let since = self
            .last_answer
            .map_or(absent_since, |at| at.max(absent_since));
        let absent_too_long = now.saturating_duration_since(since) >= max_absence;
        absent_too_long || self.consecutive_failures > 0 && self.retry_at.is_some()
    }

    fn back_off(&mut self, now: Instant, settings: &UpstreamSettings) {
        let since_last_flap = now.saturating_duration_since(self.last_flap);
        let decayed_flaps =
            since_last_flap.as_millis() / settings.flap_decay_period.as_millis().max(1);
        let decayed_flaps = u32::try_from(decayed_flaps).unwrap_or(u32::MAX);
        self.flap_count = (self.flap_count.saturating_sub(decayed_flaps) + 1).min(MAX_FLAPS);
        self.last_flap = now;
        self.retry_at = Some(now + self.backoff_delay(settings));
    }

    fn backoff_delay(&self, settings: &UpstreamSettings) -> Duration {
        let doublings = self.flap_count.saturating_sub(1);
        let delay = settings.initial_backoff * 2_u32.pow(doublings);
        delay.min(settings.max_backoff)
    }
}
