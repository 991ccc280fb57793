//! What a node believes about one engine it owns.
//!
//! The report is late, so the node's own attempts are tracked on top of it:
//! their memory is counted exactly, and their prefill is advanced in order
//! of priority between the events that tell of it.

use std::time::{Duration, Instant};

use admission::LengthClass;
use types::{AttemptId, EngineReport, EngineRole, NodeId, RequestId, TokenCount};

use crate::{
    estimate::{SpeedEstimate, float, seconds, whole},
    prefix::PrefixIndex,
};

/// Time in which ended attempts may still be part of a report.
const ENDED_MEMORY: Duration = Duration::from_secs(10);
/// Part of a step left for prefill that one token of decoded context takes.
const CONTEXT_DRAG: f64 = 1.0e-6;
/// Part of a step left for prefill that one decoded sequence takes.
const SEQUENCE_DRAG: f64 = 0.003;
/// Least part of its speed that prefill is taken to keep beside decodes.
const PACE_MIN: f64 = 0.25;
/// Mean delay of a short prompt on an engine that prefills longer work: half a
/// step until it starts, and half a step that is filled up behind it.
const STEP_RESIDUAL: Duration = Duration::from_millis(40);
/// Times that a prompt in prefill must be longer for another to preempt it.
const PREEMPT_RATIO: u32 = 64;
/// Part of a prefill's expected time taken to be left when it is over.
const OVERDUE_PART: f64 = 0.05;
/// Factor on an engine's times while it computes for another's sequence.
const LENDING_SLOWDOWN: f64 = 2.0;

/// How far an attempt has come on its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlightPhase {
    /// Its first token has not come.
    Prefill,
    /// It generates.
    Decode,
}

/// One attempt on one engine, as its owner tracks it.
#[derive(Clone, Debug)]
pub(crate) struct EngineFlight {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) class: LengthClass,
    pub(crate) priority: u32,
    /// Memory it takes here, in tokens.
    pub(crate) tokens: TokenCount,
    pub(crate) phase: FlightPhase,
    /// Prefill time left if nothing else ran.
    pub(crate) left: Duration,
    /// Least prefill time taken to be left until the first token comes.
    pub(crate) least: Duration,
    pub(crate) dispatched: Instant,
    /// Whether it runs on what others leave.
    pub(crate) secondary: bool,
    /// Whether other engines share it.
    pub(crate) grouped: bool,
    /// Whether another prefill ran beside it.
    pub(crate) shared: bool,
}

#[derive(Clone, Copy, Debug)]
struct EndedFlight {
    at: Instant,
    tokens: TokenCount,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct EngineView {
    pub(crate) report: EngineReport,
    pub(crate) taken: Instant,
    pub(crate) speed: SpeedEstimate,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) flights: Vec<EngineFlight>,
    pub(crate) wanted_role: EngineRole,
    /// When a call to it failed, until a later report shows that it lives.
    suspect: Option<Instant>,
    ended: Vec<EndedFlight>,
    advanced: Instant,
}

impl EngineView {
    pub(crate) fn new(now: Instant, report: EngineReport) -> Self {
        Self {
            taken: now,
            speed: SpeedEstimate::new(&report.profile),
            prefixes: PrefixIndex::default(),
            flights: Vec::new(),
            wanted_role: report.role,
            suspect: None,
            ended: Vec::new(),
            advanced: now,
            report,
        }
    }

    /// Takes a newer report. Returns false for one of an older life, which
    /// must not be used.
    pub(crate) fn update(&mut self, now: Instant, report: EngineReport) -> bool {
        let life = self.report.profile.incarnation;
        if report.profile.incarnation < life {
            return false;
        }
        if report.profile.incarnation > life {
            self.prefixes.clear();
            self.ended.clear();
        }
        let taken = now.checked_sub(report.age).unwrap_or(now);
        if report.profile.incarnation == life && taken < self.taken {
            return false;
        }
        if self.suspect.is_some_and(|since| taken > since) {
            self.suspect = None;
        }
        self.taken = taken;
        self.report = report;
        true
    }

    /// Notes that a call to the engine failed.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspect = Some(now);
    }

    /// Whether new work may be sent to it.
    pub(crate) fn is_usable(&self) -> bool {
        self.suspect.is_none()
    }

    /// Moves the prefill of the attempts forward to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let mut left = now.saturating_duration_since(self.advanced);
        self.advanced = self.advanced.max(now);
        left = left.mul_f64(self.pace());
        while !left.is_zero() {
            let Some(flight) = self.next_prefill() else {
                return;
            };
            let done = flight.left.saturating_sub(flight.least).min(left);
            flight.left -= done;
            left -= done;
        }
    }

    pub(crate) fn add(&mut self, now: Instant, mut flight: EngineFlight) {
        self.advance(now);
        for other in &mut self.flights {
            if other.phase == FlightPhase::Prefill {
                other.shared = true;
                flight.shared = true;
            }
        }
        self.flights.push(flight);
    }

    pub(crate) fn flight(
        &mut self,
        request: &RequestId,
        attempt: AttemptId,
    ) -> Option<&mut EngineFlight> {
        self.flights
            .iter_mut()
            .find(|flight| flight.request == *request && flight.attempt == attempt)
    }

    /// Notes the first token of an attempt whose prefill was expected to take
    /// `expected` and took `taken`.
    pub(crate) fn end_prefill(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        expected: Duration,
        taken: Duration,
    ) {
        self.advance(now);
        let pace = self.pace();
        let Some(flight) = self.flight(request, attempt) else {
            return;
        };
        flight.phase = FlightPhase::Decode;
        flight.left = Duration::ZERO;
        let alone = !flight.shared && !flight.grouped;
        if alone {
            self.speed.learn_prefill(expected, taken.mul_f64(pace));
        }
    }

    /// Sets the prefill left to what the engine found when it started.
    pub(crate) fn restart_prefill(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Option<Duration> {
        self.advance(now);
        let left = self.speed.prefill(&self.report.profile, cached, prompt);
        let flight = self.flight(request, attempt)?;
        if flight.phase == FlightPhase::Prefill && !flight.grouped {
            flight.left = left;
            flight.least = least_left(left);
        }
        Some(left)
    }

    pub(crate) fn remove(&mut self, now: Instant, request: &RequestId, attempt: AttemptId) {
        self.advance(now);
        let place = self
            .flights
            .iter()
            .position(|flight| flight.request == *request && flight.attempt == attempt);
        let Some(place) = place else {
            return;
        };
        let flight = self.flights.swap_remove(place);
        self.ended
            .retain(|ended| now.saturating_duration_since(ended.at) < ENDED_MEMORY);
        self.ended.push(EndedFlight {
            at: now,
            tokens: flight.tokens,
        });
    }

    /// Memory that others hold or that attempts of an earlier owner use.
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

    /// Whether another node's group holds memory here.
    pub(crate) fn lends(&self, node: &NodeId) -> bool {
        let mut holds = self.report.holds.iter();
        let foreign = holds.any(|hold| hold.holder != *node);
        foreign || self.prefills(LengthClass::Gang)
    }

    pub(crate) fn kv_free(&self, node: &NodeId) -> TokenCount {
        let own: TokenCount = self.flights.iter().map(|flight| flight.tokens).sum();
        let used = own.saturating_add(self.foreign_tokens(node));
        self.report.profile.kv_capacity.saturating_sub(used)
    }

    /// A part of the engine's memory, in tokens.
    pub(crate) fn kv_part(&self, part: f64) -> TokenCount {
        whole(float(self.report.profile.kv_capacity) * part)
    }

    /// Whether the batch has a slot left.
    pub(crate) fn has_batch_slot(&self) -> bool {
        let limit = usize::try_from(self.report.profile.batch_limit).unwrap_or(usize::MAX);
        self.flights.len() < limit
    }

    /// Part of the engine's speed that secondary work takes in its batch.
    pub(crate) fn secondary_drag(&self) -> f64 {
        let secondary = self.flights.iter().filter(|flight| flight.secondary);
        secondary.map(|flight| drag(flight.tokens)).sum()
    }

    /// Prefill work that runs before a new prompt.
    pub(crate) fn ahead(&self, class: LengthClass, priority: u32, work: Duration) -> Duration {
        let first = self
            .flights
            .iter()
            .filter(|flight| flight.priority <= priority)
            .map(|flight| flight.left)
            .sum();
        self.blocking(class, priority, work).max(first)
    }

    /// The part of that work that the prompt should wait for elsewhere. A
    /// short prompt waits for short ones. A longer one waits for all others
    /// that are not short, unless it is much shorter than the only one and may
    /// preempt it; a stream of short ones must not keep it out.
    pub(crate) fn blocking(&self, class: LengthClass, priority: u32, work: Duration) -> Duration {
        if class == LengthClass::Short {
            let before = self.flights.iter();
            let before = before.filter(|flight| flight.priority <= priority);
            return before.map(|flight| flight.left).sum();
        }
        let mut long = self.primary_prefills().map(|flight| flight.left);
        match (long.next(), long.next()) {
            (None, _) => Duration::ZERO,
            (Some(one), None) if work.saturating_mul(PREEMPT_RATIO) <= one => Duration::ZERO,
            _ => self.primary_prefills().map(|flight| flight.left).sum(),
        }
    }

    /// Mean time until the engine takes up a prompt that nothing is ahead of.
    pub(crate) fn residual(&self, node: &NodeId) -> Duration {
        if !self.is_idle(node) {
            return STEP_RESIDUAL;
        }
        if self.flights.is_empty() {
            return Duration::ZERO;
        }
        self.report.profile.decode_step / 2
    }

    /// Time that a prompt's first token comes later here than on an idle
    /// engine.
    pub(crate) fn delay(
        &self,
        node: &NodeId,
        class: LengthClass,
        priority: u32,
        prompt: TokenCount,
    ) -> Duration {
        let alone = self.speed.prefill(&self.report.profile, 0, prompt);
        let here = self.prefill_time(node, 0, prompt);
        self.ahead(class, priority, alone) + self.residual(node) + here.saturating_sub(alone)
    }

    /// Prefills that are not short.
    pub(crate) fn long_prefills(&self) -> impl Iterator<Item = &EngineFlight> {
        self.flights
            .iter()
            .filter(|flight| flight.class != LengthClass::Short)
            .filter(|flight| flight.phase == FlightPhase::Prefill)
    }

    /// Those of them that don't run on what others leave.
    fn primary_prefills(&self) -> impl Iterator<Item = &EngineFlight> {
        self.long_prefills().filter(|flight| !flight.secondary)
    }

    /// Whether no longer prompt is in prefill here.
    pub(crate) fn is_calm(&self, node: &NodeId) -> bool {
        self.long_prefills().next().is_none() && !self.lends(node)
    }

    /// Whether nothing is in prefill here.
    pub(crate) fn is_idle(&self, node: &NodeId) -> bool {
        let own = self
            .flights
            .iter()
            .all(|flight| flight.phase == FlightPhase::Decode);
        own && !self.lends(node)
    }

    /// Whether an attempt of the class is in prefill here.
    pub(crate) fn prefills(&self, class: LengthClass) -> bool {
        self.flights
            .iter()
            .any(|flight| flight.class == class && flight.phase == FlightPhase::Prefill)
    }

    /// Time to prefill here what is not in the cache, beside the decodes.
    pub(crate) fn prefill_time(
        &self,
        node: &NodeId,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Duration {
        let alone = self.speed.prefill(&self.report.profile, cached, prompt);
        let lending = if self.lends(node) {
            LENDING_SLOWDOWN
        } else {
            1.0
        };
        seconds(alone.as_secs_f64() * lending / self.pace())
    }

    /// Part of its speed that prefill keeps beside the decodes.
    fn pace(&self) -> f64 {
        let decodes = self
            .flights
            .iter()
            .filter(|flight| flight.phase == FlightPhase::Decode);
        let slower: f64 = decodes.map(|flight| drag(flight.tokens)).sum();
        (1.0 - slower).max(PACE_MIN)
    }

    fn next_prefill(&mut self) -> Option<&mut EngineFlight> {
        self.flights
            .iter_mut()
            .filter(|flight| flight.phase == FlightPhase::Prefill && flight.left > flight.least)
            .min_by_key(|flight| (flight.priority, flight.dispatched))
    }

    /// Own memory that the report may contain.
    fn own_tokens_reported(&self) -> TokenCount {
        let running = self.flights.iter().map(|flight| flight.tokens);
        let ended = self
            .ended
            .iter()
            .filter(|ended| ended.at >= self.taken)
            .map(|ended| ended.tokens);
        running.chain(ended).sum()
    }
}

/// Part of an engine's speed that one decoded sequence takes.
pub(crate) fn drag(tokens: TokenCount) -> f64 {
    SEQUENCE_DRAG + float(tokens) * CONTEXT_DRAG
}

/// Prefill time taken to be left of one that should be over.
pub(crate) fn least_left(expected: Duration) -> Duration {
    expected.mul_f64(OVERDUE_PART)
}
