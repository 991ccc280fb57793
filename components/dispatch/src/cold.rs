//! Upstreams that warm up: what they claim, until when they count as cold, and in which
//! steps load comes back to them.
//!
//! Claims come from an upstream's row, from its answers and from other nodes that have
//! read either. The newest one counts. A row tells of an earlier moment than that at which
//! it is read; where the order of two claims is open, the upstream counts as cold.

use std::time::{Duration, Instant};

/// Longest time for which a single claim counts. An upstream that is cold for longer says
/// so again; one that names a day does not lose its load for a day.
const CLAIM_TIME_MAX: Duration = Duration::from_mins(1);
/// Longest time from the moment at which an upstream writes its row until a node reads it:
/// upstreams write about every second, and the store is polled with pauses.
const ROW_LAG: Duration = Duration::from_millis(2500);
/// Difference between the clocks of two hosts up to which a process that seems older than
/// its service's warm-up may still be a new one.
const CLOCK_SKEW: Duration = Duration::from_millis(500);
/// Time after which a claim that is repeated with the same words is a new one; one that
/// comes back through other nodes is as old as before, but for its time on the way.
const REPEAT_TIME: Duration = Duration::from_millis(500);
/// Time after the end of a warm-up for which other nodes are still told of it, so that it
/// reaches those that believe an older claim.
const CLAIM_MEMORY: Duration = Duration::from_secs(5);
/// Steps in which load comes back to an upstream that is no longer cold: time since then,
/// and the multiple of the cold rate that it gets. Load reports are up to half a second old,
/// so within each step all nodes see at least once what the last one did; and a claim may
/// end that much too early.
const WARM_STEPS: [(Duration, f64); 2] =
    [(Duration::from_secs(1), 2.0), (Duration::from_secs(2), 4.0)];

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time for which a process that has just started is cold.
    pub start_time: Duration,
    /// Requests a second that a cold upstream takes from all nodes together.
    pub requests_per_second: f64,
}

/// How far the load of a cold upstream may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate that may arrive in a second.
    pub overshoot: f64,
    /// Requests that may arrive in a second in addition.
    pub slack: f64,
}

impl ColdSpec {
    /// Most requests that all nodes together may send a cold upstream in any second;
    /// `None` if its service names no rate.
    #[must_use]
    pub fn bound(&self, tolerance: &ColdTolerance) -> Option<f64> {
        let bound = self.requests_per_second * tolerance.overshoot + tolerance.slack;
        (self.requests_per_second > 0.0 && bound.is_finite()).then_some(bound)
    }
}

/// Where a claim comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdSource {
    /// The process started a short time ago and has not said anything yet.
    Start,
    /// The upstream's row, written in this version of the directory.
    Row(u64),
    /// An answer of the upstream.
    Answer,
}

impl ColdSource {
    /// Name of the source in logs.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Row(_) => "row",
            Self::Answer => "answer",
        }
    }
}

/// What is said of an upstream's process at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdClaim {
    /// Where the claim comes from.
    pub source: ColdSource,
    /// When the claim was read, by the node that read it.
    pub made_at: Instant,
    /// How much longer the upstream is cold; zero if it is warm.
    pub remaining: Duration,
}

impl ColdClaim {
    fn until(&self) -> Instant {
        self.made_at + self.remaining.min(CLAIM_TIME_MAX)
    }

    /// Whether the claim is newer than `known`, or not surely older and says that the
    /// upstream stays cold for longer.
    fn supersedes(&self, known: &Self) -> bool {
        let is_later = self.made_at > known.made_at;
        match (self.source, known.source) {
            (ColdSource::Start, _) => false,
            (_, ColdSource::Start) => true,
            (ColdSource::Row(version), ColdSource::Row(known_version)) => version > known_version,
            (ColdSource::Row(_), ColdSource::Answer) => {
                let is_surely_later = self.made_at >= known.made_at + ROW_LAG;
                is_surely_later || is_later && self.until() > known.until()
            }
            (ColdSource::Answer, ColdSource::Answer) if self.remaining == known.remaining => {
                self.made_at > known.made_at + REPEAT_TIME
            }
            (ColdSource::Answer, _) => is_later,
        }
    }
}

/// A change of what a node takes an upstream for, for its log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdChange {
    /// The upstream counts as cold for this long.
    Cold(ColdSource, Duration),
    /// The upstream counts as warm.
    Warm(ColdSource),
}

/// What a node knows of the warm-up of one upstream's process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdRecord {
    claim: Option<ColdClaim>,
    /// When the last time in which the upstream was cold ends or ended.
    cold_end: Option<Instant>,
    /// Whether the start of the process has been considered.
    is_examined: bool,
    /// Whether the last [`ColdChange`] said that the upstream is cold.
    is_told_cold: bool,
}

impl ColdRecord {
    /// Takes a process that started `age` ago for cold until the warm-up of its service is
    /// over, unless more is known of it. Only the first call counts.
    pub(crate) fn examine_start(&mut self, now: Instant, age: Duration, spec: &ColdSpec) {
        if self.is_examined {
            return;
        }
        self.is_examined = true;
        let remaining = (spec.start_time + CLOCK_SKEW).saturating_sub(age);
        if remaining.is_zero() {
            return;
        }
        if self.claim.is_some() {
            // Other nodes have to be told that the upstream is not cold.
            self.cold_end.get_or_insert(now);
        } else {
            self.record(ColdClaim {
                source: ColdSource::Start,
                made_at: now,
                remaining: remaining.min(spec.start_time),
            });
        }
    }

    /// Records a claim; returns whether it is new.
    pub(crate) fn record(&mut self, claim: ColdClaim) -> bool {
        if self.claim.is_some_and(|known| !claim.supersedes(&known)) {
            return false;
        }
        if !claim.remaining.is_zero() {
            self.cold_end = Some(claim.until());
        } else if self.is_cold(claim.made_at) {
            self.cold_end = Some(claim.made_at);
        }
        self.claim = Some(claim);
        true
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_end.is_some_and(|end| now < end)
    }

    /// Multiple of the cold rate that the upstream gets; `None` if it is not limited.
    pub(crate) fn rate_factor(&self, now: Instant) -> Option<f64> {
        if self.is_cold(now) {
            return Some(1.0);
        }
        let warm_for = now.saturating_duration_since(self.cold_end?);
        let step = WARM_STEPS.iter().find(|(end, _)| warm_for < *end);
        step.map(|(_, factor)| *factor)
    }

    /// The claim, if other nodes are to be told of it.
    pub(crate) fn recent_claim(&self, now: Instant) -> Option<ColdClaim> {
        let end = self.cold_end?;
        let is_said = |claim: &ColdClaim| claim.source != ColdSource::Start;
        self.claim
            .filter(is_said)
            .filter(|_| now < end + CLAIM_MEMORY)
    }

    /// Returns whether the upstream has turned cold or warm since the last call.
    pub(crate) fn take_change(&mut self, now: Instant) -> Option<ColdChange> {
        let source = self.claim?.source;
        if self.is_cold(now) && !self.is_told_cold {
            self.is_told_cold = true;
            let left = self.cold_end?.saturating_duration_since(now);
            Some(ColdChange::Cold(source, left))
        } else if self.is_told_cold && self.rate_factor(now).is_none() {
            self.is_told_cold = false;
            Some(ColdChange::Warm(source))
        } else {
            None
        }
    }
}
