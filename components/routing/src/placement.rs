//! Whether an engine takes a prompt now, and how well it suits it.

use std::time::{Duration, Instant};

use admission::{LengthClass, QueuedJob};
use types::{EngineRole, NodeId, PlanKind, TokenCount};

use crate::{
    SchedulerSettings,
    view::{EngineView, drag},
};

/// Prompt tokens that share one priority on the engines.
const PRIORITY_STEP_TOKENS: TokenCount = 256;
/// Priority of the most urgent trial prompt.
const TRIAL_PRIORITY: u32 = 1 << 17;
/// Priority of short secondary prompts: behind the longest medium one.
const BEHIND_MEDIUM_PRIORITY: u32 = 129;
/// Priority of the most urgent prompt of an organisation over its share.
const SURPLUS_PRIORITY: u32 = 1 << 16;
/// Part of its prefill time that a short prompt may be delayed.
const SLOWDOWN_ALLOWANCE: f64 = 0.18;
/// Part of its prefill time that a long prompt waits before it takes an
/// engine for short ones.
const BORROW_PART: f64 = 0.05;
/// Cost of a short prompt on an engine for long ones.
const SHORT_ON_LONG: Duration = Duration::from_millis(2);
/// Cost of longer work on an engine for short prompts.
const LONG_ON_SHORT: Duration = Duration::from_millis(500);

/// Priority of a prompt on its engine: short before long, paying before
/// trial unless it is within its floor. Short prompts share one priority, so
/// that none waits for a later one; short secondary ones go before long paying
/// ones, which would hold them for minutes.
pub(crate) fn engine_priority(urgency: PromptUrgency, prompt_tokens: TokenCount) -> u32 {
    let steps = prompt_tokens / PRIORITY_STEP_TOKENS;
    let length = u32::try_from(steps)
        .unwrap_or(u32::MAX)
        .min(SURPLUS_PRIORITY - 1);
    let length = match LengthClass::of(prompt_tokens) {
        LengthClass::Short => 0,
        _ => length,
    };
    match urgency {
        _ if urgency.is_secondary() && length == 0 => BEHIND_MEDIUM_PRIORITY,
        PromptUrgency::Paying | PromptUrgency::TrialFloor => length,
        PromptUrgency::Surplus => SURPLUS_PRIORITY + length,
        PromptUrgency::Trial => TRIAL_PRIORITY + length,
    }
}

/// How a prompt's plan ranks it on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PromptUrgency {
    /// Paying work.
    Paying,
    /// Trial work within its floor.
    TrialFloor,
    /// Paying work of an organisation that is over its share.
    Surplus,
    /// Other trial work.
    Trial,
}

impl PromptUrgency {
    /// Whether it runs on what others leave.
    pub(crate) fn is_secondary(self) -> bool {
        matches!(self, Self::Surplus | Self::Trial)
    }
}

/// Memory a prompt needs with its answer, in tokens.
pub(crate) fn needed_tokens(queued: &QueuedJob) -> TokenCount {
    let job = &queued.job;
    job.prompt_tokens.saturating_add(job.output_tokens)
}

/// What a prompt meets on one engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EngineOffer {
    /// Expected time to the first token, with what it costs others.
    pub(crate) cost: Duration,
    /// Whether nothing is in prefill there.
    pub(crate) calm: bool,
    /// Whether the prompt, though not calm, starts within its allowance.
    pub(crate) allowed: bool,
}

/// The offer of an engine; `None` when it can't take the prompt now.
pub(crate) fn place(
    view: &EngineView,
    node: &NodeId,
    queued: &QueuedJob,
    urgency: PromptUrgency,
    settings: &SchedulerSettings,
) -> Option<EngineOffer> {
    let job = &queued.job;
    if !has_memory(view, node, queued, settings) || !view.has_batch_slot() {
        return None;
    }
    let calm = view.is_idle(node);
    if urgency.is_secondary() && !(calm && bears(view, queued, urgency, settings)) {
        return None;
    }
    let priority = engine_priority(urgency, job.prompt_tokens);
    let full = view.prefill_time(node, 0, job.prompt_tokens);
    let ahead = view.ahead(queued.class, priority, queued.prefill_time);
    let blocking = view.blocking(queued.class, priority, queued.prefill_time);
    if blocking > settings.engine_backlog + full {
        return None;
    }
    let cached = view.prefixes.cached_tokens(job);
    let prefill = view.prefill_time(node, cached, job.prompt_tokens);
    let saved = full.saturating_sub(prefill);
    if blocking > settings.engine_backlog + saved {
        return None;
    }
    let residual = view.residual(node);
    let worst = ahead + residual * 2 + prefill.saturating_sub(queued.prefill_time);
    Some(EngineOffer {
        cost: ahead + residual + prefill + role_cost(view.wanted_role, queued.class),
        calm,
        allowed: !view.lends(node) && worst <= queued.prefill_time.mul_f64(SLOWDOWN_ALLOWANCE),
    })
}

/// Whether a long prompt may take an engine for short ones: only one that has
/// waited a part of its own length.
pub(crate) fn may_borrow(now: Instant, view: &EngineView, queued: &QueuedJob) -> bool {
    if view.wanted_role != EngineRole::Short || queued.class != LengthClass::Long {
        return true;
    }
    now.saturating_duration_since(queued.queued_since) >= queued.prefill_time.mul_f64(BORROW_PART)
}

fn has_memory(
    view: &EngineView,
    node: &NodeId,
    queued: &QueuedJob,
    settings: &SchedulerSettings,
) -> bool {
    let needed = needed_tokens(queued);
    let free = view.kv_free(node);
    if queued.class == LengthClass::Short && queued.job.plan == PlanKind::Paying {
        return needed <= free;
    }
    let headroom = view.kv_part(settings.short_headroom);
    let alone = view.flights.is_empty() && needed <= free;
    alone || needed.saturating_add(headroom) <= free
}

/// Whether the engine's own work would hardly be slower with a secondary
/// prompt in its batch; one alone there slows nobody.
fn bears(
    view: &EngineView,
    queued: &QueuedJob,
    urgency: PromptUrgency,
    settings: &SchedulerSettings,
) -> bool {
    let bound = match urgency {
        PromptUrgency::Surplus => settings.surplus_drag,
        _ => settings.trial_drag,
    };
    view.flights.is_empty() || view.secondary_drag() + drag(needed_tokens(queued)) <= bound
}

fn role_cost(role: EngineRole, class: LengthClass) -> Duration {
    match (role, class) {
        (EngineRole::Long, LengthClass::Short) => SHORT_ON_LONG,
        (EngineRole::Short, LengthClass::Medium | LengthClass::Long | LengthClass::Gang) => {
            LONG_ON_SHORT
        }
        _ => Duration::ZERO,
    }
}
