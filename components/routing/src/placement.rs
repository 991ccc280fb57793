//! Whether an engine takes a prompt now, and how well it suits it.

use std::time::Duration;

use admission::{LengthClass, QueuedJob};
use types::{EngineRole, NodeId, PlanKind, TokenCount};

use crate::{SchedulerSettings, view::EngineView};

/// Prompt tokens that share one priority on the engines.
const PRIORITY_STEP_TOKENS: TokenCount = 256;
/// Priority of the most urgent trial prompt.
const TRIAL_PRIORITY: u32 = 1 << 16;
/// Part of an engine's batch that trial prompts may fill.
const TRIAL_BATCH_PART: usize = 2;
/// Cost of a short prompt on an engine for long ones.
const SHORT_ON_LONG: Duration = Duration::from_millis(2);
/// Cost of longer work on an engine for short prompts.
const LONG_ON_SHORT: Duration = Duration::from_secs(2);

/// Priority of a prompt on its engine: short before long, paying before
/// trial unless it is within its floor. Short prompts share one priority, so
/// that none waits for a later one.
pub(crate) fn engine_priority(urgency: PromptUrgency, prompt_tokens: TokenCount) -> u32 {
    let steps = prompt_tokens / PRIORITY_STEP_TOKENS;
    let length = u32::try_from(steps)
        .unwrap_or(u32::MAX)
        .min(TRIAL_PRIORITY / 2);
    let length = match LengthClass::of(prompt_tokens) {
        LengthClass::Short => 0,
        _ => length,
    };
    match urgency {
        PromptUrgency::Paying | PromptUrgency::TrialFloor => length,
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
    /// Other trial work.
    Trial,
}

/// Memory a prompt needs with its answer, in tokens.
pub(crate) fn needed_tokens(queued: &QueuedJob) -> TokenCount {
    let job = &queued.job;
    job.prompt_tokens.saturating_add(job.output_tokens)
}

/// Expected time to the first token on this engine, with what it costs
/// others; `None` when the engine can't take the prompt now.
pub(crate) fn place(
    view: &EngineView,
    node: &NodeId,
    queued: &QueuedJob,
    urgency: PromptUrgency,
    settings: &SchedulerSettings,
) -> Option<Duration> {
    let job = &queued.job;
    if !has_memory(view, node, queued, settings) || !has_slot(view, job.plan) {
        return None;
    }
    if urgency == PromptUrgency::Trial && !view.is_idle(node) {
        return None;
    }
    let priority = engine_priority(urgency, job.prompt_tokens);
    let full = view.prefill_time(node, 0, job.prompt_tokens);
    let ahead = view.ahead(queued.class, priority, queued.work);
    if ahead > settings.engine_backlog + full {
        return None;
    }
    let cached = view.prefixes.cached_tokens(job);
    let prefill = view.prefill_time(node, cached, job.prompt_tokens);
    let saved = full.saturating_sub(prefill);
    if ahead > settings.engine_backlog + saved {
        return None;
    }
    let residual = view.residual(node);
    Some(ahead + residual + prefill + role_cost(view.wanted_role, queued.class))
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

fn has_slot(view: &EngineView, plan: PlanKind) -> bool {
    match plan {
        PlanKind::Paying => view.has_batch_slot(1),
        PlanKind::Trial => view.has_batch_slot(TRIAL_BATCH_PART),
    }
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
