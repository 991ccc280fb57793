//! Estimated state of an engine that this node owns.
//!
//! Reports arrive late, so the node tracks its own attempts on top of them: it
//! counts their memory exactly and advances their prefill in order of priority
//! between the events that report on it.

use std::time::{Duration, Instant};

use admission::LengthClass;
use types::{AttemptId, EngineReport, EngineRole, NodeId, RequestId, TokenCount};

use crate::{
    estimate::{SpeedEstimate, duration_from_secs, to_float, to_tokens},
    prefix::PrefixIndex,
};

/// Time for which the memory of an ended attempt may still be included in a
/// report.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Fraction of an engine's speed that each context token of a decoding sequence
/// takes.
const SLOWDOWN_PER_CONTEXT_TOKEN: f64 = 1.0e-6;
/// Fraction of an engine's speed that a decoding sequence takes, besides its
/// context tokens.
const SLOWDOWN_PER_SEQUENCE: f64 = 0.003;
/// Smallest fraction of its speed that prefill is assumed to keep beside
/// decodes.
const PREFILL_SPEED_MIN: f64 = 0.25;
/// Mean delay of the start of a prompt on an engine that prefills other prompts
/// or is shared: half a batch step until the next batch, and half a step because
/// that batch is filled with other prefill work.
const BUSY_START_DELAY: Duration = Duration::from_millis(40);
/// Least ratio of the remaining prefill time of a running prompt to that of a
/// new one at which the new one may preempt it.
const PREEMPT_RATIO: u32 = 64;
/// Fraction of its expected time that a prefill is assumed to have left once
/// that time is over.
const OVERDUE_FRACTION: f64 = 0.05;
/// Factor on an engine's prefill times while another node holds memory on it,
/// or while it prefills in a gang or as a helper.
const SHARED_ENGINE_SLOWDOWN: f64 = 2.0;

/// Phase of an attempt on its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptPhase {
    /// Before the first token.
    Prefill,
    /// After the first token.
    Decode,
}

/// An attempt in flight on one engine, as tracked by the engine's owner.
#[derive(Clone, Debug)]
pub(crate) struct InflightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    /// Class of the prompt, or `Gang` on an engine that helps with a long one.
    pub(crate) class: LengthClass,
    pub(crate) priority: u32,
    /// KV cache memory that the attempt takes on this engine, in tokens.
    pub(crate) tokens: TokenCount,
    pub(crate) phase: AttemptPhase,
    /// Remaining prefill time if nothing else ran.
    pub(crate) prefill_left: Duration,
    /// Value at which the estimate stops falling until the first token comes.
    pub(crate) prefill_left_min: Duration,
    pub(crate) dispatched_at: Instant,
    /// Whether it runs only on capacity that other work leaves unused.
    pub(crate) best_effort: bool,
    /// Whether the attempt runs on several engines, as a gang or with helpers.
    pub(crate) grouped: bool,
    /// Whether another prefill ran at the same time, which rules out learning
    /// from it.
    pub(crate) overlapped: bool,
}

#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    ended_at: Instant,
    tokens: TokenCount,
}

/// Estimated state of one engine.
#[derive(Debug)]
pub(crate) struct EngineView {
    pub(crate) report: EngineReport,
    pub(crate) reported_at: Instant,
    pub(crate) speed: SpeedEstimate,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) inflight_attempts: Vec<InflightAttempt>,
    /// Role that the scheduler wants the engine to have.
    pub(crate) target_role: EngineRole,
    /// Time of the last failed call, until a later report shows that the engine
    /// is alive.
    call_failed_at: Option<Instant>,
    ended_attempts: Vec<EndedAttempt>,
    /// Time up to which the prefills were advanced.
    advanced_to: Instant,
}

impl EngineView {
    pub(crate) fn new(now: Instant, report: EngineReport) -> Self {
        Self {
            reported_at: now,
            speed: SpeedEstimate::new(&report.profile),
            prefixes: PrefixIndex::default(),
            inflight_attempts: Vec::new(),
            target_role: report.role,
            call_failed_at: None,
            ended_attempts: Vec::new(),
            advanced_to: now,
            report,
        }
    }

    /// Stores a newer report. Returns false if the report is out of date or
    /// from before a restart of the engine; such a report is not stored.
    pub(crate) fn update_report(&mut self, now: Instant, report: EngineReport) -> bool {
        let incarnation = self.report.profile.incarnation;
        if report.profile.incarnation < incarnation {
            return false;
        }
        if report.profile.incarnation > incarnation {
            self.prefixes.clear();
            self.ended_attempts.clear();
        }
        let reported_at = now.checked_sub(report.age).unwrap_or(now);
        if report.profile.incarnation == incarnation && reported_at < self.reported_at {
            return false;
        }
        if self.call_failed_at.is_some_and(|since| reported_at > since) {
            self.call_failed_at = None;
        }
        self.reported_at = reported_at;
        self.report = report;
        true
    }

    /// Records that a call to the engine failed, so that it gets no new work.
    pub(crate) fn mark_failed(&mut self, now: Instant) {
        self.call_failed_at = Some(now);
    }

    /// Whether the engine may be sent new work.
    pub(crate) fn is_usable(&self) -> bool {
        self.call_failed_at.is_none()
    }

    /// Advances the prefills of the attempts to `now`.
    pub(crate) fn advance_prefills(&mut self, now: Instant) {
        let mut left = now.saturating_duration_since(self.advanced_to);
        self.advanced_to = self.advanced_to.max(now);
        left = left.mul_f64(self.prefill_speed());
        while !left.is_zero() {
            let Some(inflight) = self.next_prefill() else {
                return;
            };
            let done = inflight
                .prefill_left
                .saturating_sub(inflight.prefill_left_min)
                .min(left);
            inflight.prefill_left -= done;
            left -= done;
        }
    }

    pub(crate) fn add_attempt(&mut self, now: Instant, mut inflight: InflightAttempt) {
        self.advance_prefills(now);
        for other in &mut self.inflight_attempts {
            if other.phase == AttemptPhase::Prefill {
                other.overlapped = true;
                inflight.overlapped = true;
            }
        }
        self.inflight_attempts.push(inflight);
    }

    pub(crate) fn inflight_mut(
        &mut self,
        request: &RequestId,
        attempt: AttemptId,
    ) -> Option<&mut InflightAttempt> {
        self.inflight_attempts
            .iter_mut()
            .find(|inflight| inflight.request == *request && inflight.attempt == attempt)
    }

    /// Records the first token of an attempt whose prefill was expected to take
    /// `expected` and took `taken`.
    pub(crate) fn end_prefill(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        expected: Duration,
        taken: Duration,
    ) {
        self.advance_prefills(now);
        let prefill_speed = self.prefill_speed();
        let Some(inflight) = self.inflight_mut(request, attempt) else {
            return;
        };
        inflight.phase = AttemptPhase::Decode;
        inflight.prefill_left = Duration::ZERO;
        let ran_alone = !inflight.overlapped && !inflight.grouped;
        if ran_alone {
            self.speed
                .learn_prefill(expected, taken.mul_f64(prefill_speed));
        }
    }

    /// Corrects the remaining prefill time of an attempt that is not grouped
    /// when the engine reports the start of prefill and the number of `cached`
    /// tokens. Returns, for a grouped attempt too, the time of the prefill if
    /// this engine ran it alone; `None` if the attempt is not in flight here.
    pub(crate) fn correct_prefill_left(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Option<Duration> {
        self.advance_prefills(now);
        let left = self.speed.prefill(&self.report.profile, cached, prompt);
        let inflight = self.inflight_mut(request, attempt)?;
        if inflight.phase == AttemptPhase::Prefill && !inflight.grouped {
            inflight.prefill_left = left;
            inflight.prefill_left_min = overdue_prefill_left(left);
        }
        Some(left)
    }

    pub(crate) fn remove_attempt(&mut self, now: Instant, request: &RequestId, attempt: AttemptId) {
        self.advance_prefills(now);
        let index = self
            .inflight_attempts
            .iter()
            .position(|inflight| inflight.request == *request && inflight.attempt == attempt);
        let Some(index) = index else {
            return;
        };
        let inflight = self.inflight_attempts.swap_remove(index);
        self.ended_attempts
            .retain(|ended| now.saturating_duration_since(ended.ended_at) < ENDED_RETENTION);
        self.ended_attempts.push(EndedAttempt {
            ended_at: now,
            tokens: inflight.tokens,
        });
    }

    /// Memory held by other nodes or used by attempts of an earlier owner, in
    /// tokens.
    pub(crate) fn foreign_tokens(&self, node: &NodeId) -> TokenCount {
        let holds = self.report.holds.iter();
        let held: TokenCount = holds
            .filter(|hold| hold.holder != *node)
            .map(|hold| hold.tokens)
            .sum();
        held.max(
            self.report
                .kv_used
                .saturating_sub(self.own_tokens_reported()),
        )
    }

    /// Whether another node holds memory here, or the engine prefills in a gang
    /// or as a helper.
    pub(crate) fn is_shared(&self, node: &NodeId) -> bool {
        let mut holds = self.report.holds.iter();
        let foreign = holds.any(|hold| hold.holder != *node);
        foreign || self.has_prefill_of(LengthClass::Gang)
    }

    pub(crate) fn kv_free(&self, node: &NodeId) -> TokenCount {
        let own: TokenCount = self
            .inflight_attempts
            .iter()
            .map(|inflight| inflight.tokens)
            .sum();
        let used = own.saturating_add(self.foreign_tokens(node));
        self.report.profile.kv_capacity.saturating_sub(used)
    }

    /// Fraction `part` of the engine's KV cache, in tokens.
    pub(crate) fn kv_fraction(&self, part: f64) -> TokenCount {
        to_tokens(to_float(self.report.profile.kv_capacity) * part)
    }

    /// Whether the engine's batch has a free slot.
    pub(crate) fn has_batch_slot(&self) -> bool {
        let limit = usize::try_from(self.report.profile.batch_limit).unwrap_or(usize::MAX);
        self.inflight_attempts.len() < limit
    }

    /// Fraction of the engine's speed that best-effort work takes.
    pub(crate) fn best_effort_slowdown(&self) -> f64 {
        let best_effort = self
            .inflight_attempts
            .iter()
            .filter(|inflight| inflight.best_effort);
        best_effort
            .map(|inflight| decode_slowdown(inflight.tokens))
            .sum()
    }

    /// Prefill time on this engine that runs before a new prompt, whose own
    /// prefill takes `prefill_time`.
    pub(crate) fn work_ahead(
        &self,
        class: LengthClass,
        priority: u32,
        prefill_time: Duration,
    ) -> Duration {
        let work_before = self
            .inflight_attempts
            .iter()
            .filter(|inflight| inflight.priority <= priority)
            .map(|inflight| inflight.prefill_left)
            .sum();
        self.blocking_work(class, priority, prefill_time)
            .max(work_before)
    }

    /// Prefill time on this engine because of which a prompt stays in the
    /// queue.
    ///
    /// For a short prompt: the prefills that run before it. For any other:
    /// `blocking_prefills`, or none if there is only one and the prompt is
    /// short enough to preempt it. Short prefills do not count for it, so that
    /// a stream of short prompts cannot starve it.
    pub(crate) fn blocking_work(
        &self,
        class: LengthClass,
        priority: u32,
        prefill_time: Duration,
    ) -> Duration {
        if class == LengthClass::Short {
            let earlier = self.inflight_attempts.iter();
            let earlier = earlier.filter(|inflight| inflight.priority <= priority);
            return earlier.map(|inflight| inflight.prefill_left).sum();
        }
        let mut blocking = self
            .blocking_prefills()
            .map(|inflight| inflight.prefill_left);
        match (blocking.next(), blocking.next()) {
            (None, _) => Duration::ZERO,
            (Some(one), None) if prefill_time.saturating_mul(PREEMPT_RATIO) <= one => {
                Duration::ZERO
            }
            _ => self
                .blocking_prefills()
                .map(|inflight| inflight.prefill_left)
                .sum(),
        }
    }

    /// Mean time until the engine starts a prompt that nothing is ahead of.
    pub(crate) fn start_delay(&self, node: &NodeId) -> Duration {
        if !self.has_no_prefill(node) {
            return BUSY_START_DELAY;
        }
        if self.inflight_attempts.is_empty() {
            return Duration::ZERO;
        }
        self.report.profile.decode_step / 2
    }

    /// Time by which the first token comes later than on an engine that runs
    /// nothing.
    pub(crate) fn first_token_delay(
        &self,
        node: &NodeId,
        class: LengthClass,
        priority: u32,
        prompt: TokenCount,
    ) -> Duration {
        let solo_prefill = self.speed.prefill(&self.report.profile, 0, prompt);
        let prefill_here = self.prefill_time(node, 0, prompt);
        self.work_ahead(class, priority, solo_prefill)
            + self.start_delay(node)
            + prefill_here.saturating_sub(solo_prefill)
    }

    /// Attempts in prefill whose class is not short.
    pub(crate) fn non_short_prefills(&self) -> impl Iterator<Item = &InflightAttempt> {
        self.inflight_attempts
            .iter()
            .filter(|inflight| inflight.class != LengthClass::Short)
            .filter(|inflight| inflight.phase == AttemptPhase::Prefill)
    }

    /// Attempts in prefill that are neither short nor best-effort: those that a
    /// medium or longer prompt waits for.
    fn blocking_prefills(&self) -> impl Iterator<Item = &InflightAttempt> {
        self.non_short_prefills()
            .filter(|inflight| !inflight.best_effort)
    }

    /// Whether the engine prefills no prompt of any class but short and is not
    /// shared.
    pub(crate) fn lacks_non_short_prefill(&self, node: &NodeId) -> bool {
        self.non_short_prefills().next().is_none() && !self.is_shared(node)
    }

    /// Whether the engine prefills no prompt and is not shared.
    pub(crate) fn has_no_prefill(&self, node: &NodeId) -> bool {
        let own = self
            .inflight_attempts
            .iter()
            .all(|inflight| inflight.phase == AttemptPhase::Decode);
        own && !self.is_shared(node)
    }

    /// Whether an attempt of the class is in prefill here.
    pub(crate) fn has_prefill_of(&self, class: LengthClass) -> bool {
        self.inflight_attempts
            .iter()
            .any(|inflight| inflight.class == class && inflight.phase == AttemptPhase::Prefill)
    }

    /// Time to prefill the uncached part of a prompt here, beside the decodes.
    pub(crate) fn prefill_time(
        &self,
        node: &NodeId,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Duration {
        let solo_prefill = self.speed.prefill(&self.report.profile, cached, prompt);
        let sharing_factor = if self.is_shared(node) {
            SHARED_ENGINE_SLOWDOWN
        } else {
            1.0
        };
        duration_from_secs(solo_prefill.as_secs_f64() * sharing_factor / self.prefill_speed())
    }

    /// Fraction of the engine's speed that is left for prefill beside the
    /// decodes.
    fn prefill_speed(&self) -> f64 {
        let decodes = self
            .inflight_attempts
            .iter()
            .filter(|inflight| inflight.phase == AttemptPhase::Decode);
        let slowdown: f64 = decodes
            .map(|inflight| decode_slowdown(inflight.tokens))
            .sum();
        (1.0 - slowdown).max(PREFILL_SPEED_MIN)
    }

    fn next_prefill(&mut self) -> Option<&mut InflightAttempt> {
        self.inflight_attempts
            .iter_mut()
            .filter(|inflight| {
                inflight.phase == AttemptPhase::Prefill
                    && inflight.prefill_left > inflight.prefill_left_min
            })
            .min_by_key(|inflight| (inflight.priority, inflight.dispatched_at))
    }

    /// Memory of this node's attempts that the report may include, in tokens.
    fn own_tokens_reported(&self) -> TokenCount {
        let running = self
            .inflight_attempts
            .iter()
            .map(|inflight| inflight.tokens);
        let ended = self
            .ended_attempts
            .iter()
            .filter(|ended| ended.ended_at >= self.reported_at)
            .map(|ended| ended.tokens);
        running.chain(ended).sum()
    }
}

/// Fraction of an engine's speed that a decoding sequence of `tokens` tokens
/// takes.
pub(crate) fn decode_slowdown(tokens: TokenCount) -> f64 {
    SLOWDOWN_PER_SEQUENCE + to_float(tokens) * SLOWDOWN_PER_CONTEXT_TOKEN
}

/// Remaining time assumed for a prefill that exceeded its expected time.
pub(crate) fn overdue_prefill_left(expected: Duration) -> Duration {
    expected.mul_f64(OVERDUE_FRACTION)
}
