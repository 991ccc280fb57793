//! Whether an engine can take a prompt now, and at what cost.

use std::time::{Duration, Instant};

use admission::{LengthClass, QueuedJob};
use types::{EngineRole, NodeId, PlanKind, TokenCount};

use crate::{
    SchedulerSettings,
    view::{EngineView, decode_slowdown},
};

/// Prompt tokens per priority step on the engines.
const PRIORITY_STEP_TOKENS: TokenCount = 256;
/// Added to the priority of medium and longer trial prompts beyond the
/// guaranteed engine time.
const TRIAL_PRIORITY_OFFSET: u32 = 1 << 17;
/// Priority of short best-effort prompts: the next value after that of the
/// longest medium prompt.
const SHORT_BEST_EFFORT_PRIORITY: u32 = 129;
/// Added to the priority of medium and longer prompts of an organisation over
/// its share. Priorities by length stay below it.
const OVER_SHARE_PRIORITY_OFFSET: u32 = 1 << 16;
/// Fraction of its prefill time by which a busy engine may delay a short prompt
/// and still be preferred to the last engine without prefill work.
const START_DELAY_FRACTION: f64 = 0.18;
/// Fraction of its prefill time that a long prompt waits before it may use an
/// engine with the short role.
const SHORT_ENGINE_WAIT_FRACTION: f64 = 0.05;
/// Cost added for a short prompt on an engine with the long role.
const SHORT_ON_LONG_COST: Duration = Duration::from_millis(2);
/// Cost added for longer work on an engine with the short role.
const LONG_ON_SHORT_COST: Duration = Duration::from_millis(500);

/// Priority of a prompt on its engine; lower values run first. Short goes
/// before long, and paying before trial work beyond its floor. Short prompts
/// share one priority, so that none is delayed by a later one. Short
/// best-effort prompts go before long paying ones, which would hold them up for
/// minutes.
pub(crate) fn engine_priority(urgency: PromptUrgency, prompt_tokens: TokenCount) -> u32 {
    let steps = prompt_tokens / PRIORITY_STEP_TOKENS;
    let length = u32::try_from(steps)
        .unwrap_or(u32::MAX)
        .min(OVER_SHARE_PRIORITY_OFFSET - 1);
    let length = match LengthClass::of(prompt_tokens) {
        LengthClass::Short => 0,
        _ => length,
    };
    match urgency {
        _ if urgency.is_best_effort() && length == 0 => SHORT_BEST_EFFORT_PRIORITY,
        PromptUrgency::Paying | PromptUrgency::TrialFloor => length,
        PromptUrgency::OverShare => OVER_SHARE_PRIORITY_OFFSET + length,
        PromptUrgency::Trial => TRIAL_PRIORITY_OFFSET + length,
    }
}

/// Rank of a prompt on an engine, by its plan and its organisation's share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PromptUrgency {
    /// Paying work of an organisation within its share.
    Paying,
    /// Trial work within the engine time guaranteed to trials.
    TrialFloor,
    /// Paying work of an organisation that is over its share.
    OverShare,
    /// Trial work beyond the guaranteed engine time.
    Trial,
}

impl PromptUrgency {
    /// Whether the prompt runs only on capacity that other work leaves unused.
    pub(crate) fn is_best_effort(self) -> bool {
        matches!(self, Self::OverShare | Self::Trial)
    }
}

/// KV cache memory that the prompt and its answer need, in tokens.
pub(crate) fn needed_tokens(queued: &QueuedJob) -> TokenCount {
    let job = &queued.job;
    job.prompt_tokens.saturating_add(job.output_tokens)
}

/// Conditions for a prompt on one engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlacementOffer {
    /// Expected time to first token, plus a penalty when the prompt does not
    /// suit the engine's role.
    pub(crate) cost: Duration,
    /// Whether the engine has no prefill work; it may decode.
    pub(crate) without_prefill: bool,
    /// Whether the engine is not shared and delays the prompt by at most
    /// `START_DELAY_FRACTION` of its prefill time.
    pub(crate) within_delay_allowance: bool,
}

/// The offer of an engine; `None` if it cannot take the prompt now.
pub(crate) fn engine_offer(
    view: &EngineView,
    node: &NodeId,
    queued: &QueuedJob,
    urgency: PromptUrgency,
    settings: &SchedulerSettings,
) -> Option<PlacementOffer> {
    let job = &queued.job;
    if !has_memory(view, node, queued, settings) || !view.has_batch_slot() {
        return None;
    }
    let without_prefill = view.has_no_prefill(node);
    if urgency.is_best_effort()
        && !(without_prefill && within_slowdown_limit(view, queued, urgency, settings))
    {
        return None;
    }
    let priority = engine_priority(urgency, job.prompt_tokens);
    let uncached_prefill = view.prefill_time(node, 0, job.prompt_tokens);
    let work_ahead = view.work_ahead(queued.class, priority, queued.prefill_time);
    let blocking_work = view.blocking_work(queued.class, priority, queued.prefill_time);
    // A cheap bound, since the cache can save no more than the whole prefill;
    // it avoids the prefix lookup.
    if blocking_work > settings.engine_backlog_limit + uncached_prefill {
        return None;
    }
    let cached = view.prefixes.cached_tokens(job);
    let prefill = view.prefill_time(node, cached, job.prompt_tokens);
    let cache_saving = uncached_prefill.saturating_sub(prefill);
    if blocking_work > settings.engine_backlog_limit + cache_saving {
        return None;
    }
    let start_delay = view.start_delay(node);
    // The start delay is a mean, so the longest is twice that. The last term is
    // the time by which the prefill takes longer here than the job's
    // `prefill_time`.
    let delay_max = work_ahead + start_delay * 2 + prefill.saturating_sub(queued.prefill_time);
    Some(PlacementOffer {
        cost: work_ahead + start_delay + prefill + role_cost(view.target_role, queued.class),
        without_prefill,
        within_delay_allowance: !view.is_shared(node)
            && delay_max <= queued.prefill_time.mul_f64(START_DELAY_FRACTION),
    })
}

/// Whether the engine's role allows the prompt. A long prompt may use an engine
/// with the short role only after it has waited `SHORT_ENGINE_WAIT_FRACTION` of
/// its own prefill time.
pub(crate) fn role_allows(now: Instant, view: &EngineView, queued: &QueuedJob) -> bool {
    if view.target_role != EngineRole::Short || queued.class != LengthClass::Long {
        return true;
    }
    now.saturating_duration_since(queued.queued_since)
        >= queued.prefill_time.mul_f64(SHORT_ENGINE_WAIT_FRACTION)
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
    let headroom = view.kv_fraction(settings.short_headroom);
    let empty_and_fits = view.inflight_attempts.is_empty() && needed <= free;
    empty_and_fits || needed.saturating_add(headroom) <= free
}

/// Whether a best-effort prompt in the batch would slow the engine's other work
/// by no more than the limit. On an empty engine there is nothing to slow.
fn within_slowdown_limit(
    view: &EngineView,
    queued: &QueuedJob,
    urgency: PromptUrgency,
    settings: &SchedulerSettings,
) -> bool {
    let slowdown_limit = match urgency {
        PromptUrgency::OverShare => settings.surplus_drag,
        _ => settings.trial_drag,
    };
    view.inflight_attempts.is_empty()
        || view.best_effort_slowdown() + decode_slowdown(needed_tokens(queued)) <= slowdown_limit
}

fn role_cost(role: EngineRole, class: LengthClass) -> Duration {
    match (role, class) {
        (EngineRole::Long, LengthClass::Short) => SHORT_ON_LONG_COST,
        (EngineRole::Short, LengthClass::Medium | LengthClass::Long | LengthClass::Gang) => {
            LONG_ON_SHORT_COST
        }
        _ => Duration::ZERO,
    }
}
