//! Jobs, engine reports and holds for the tests of the scheduler.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use routing::{NodeScheduler, SchedulerAction, SchedulerEvent, SchedulerSettings};
use types::{
    AttemptId, EngineProfile, EngineReport, EngineRole, MemoryHold, ModelSpec, PlanKind, PromptJob,
    TokenCount,
};

pub const MODEL: &str = "basalt";
pub const KV_CAPACITY: TokenCount = 400_000;

pub fn scheduler() -> NodeScheduler {
    let settings = SchedulerSettings::default();
    NodeScheduler::new("node-a".to_owned(), "duluth".to_owned(), settings)
}

pub fn report(engine: &str) -> EngineReport {
    EngineReport {
        profile: EngineProfile {
            engine: engine.to_owned(),
            incarnation: 1,
            zone: "duluth".to_owned(),
            kv_capacity: KV_CAPACITY,
            prefill_tokens_s: 9_000.0,
            attention_tokens: 100_000.0,
            decode_step: Duration::from_millis(15),
            batch_limit: 64,
        },
        role: EngineRole::Mixed,
        models: vec![ModelSpec {
            model: MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        }],
        age: Duration::ZERO,
        kv_used: 0,
        decoding: 0,
        waiting: 0,
        prefill_backlog: 0,
        generated: 0,
        holds: Vec::new(),
        fencing: 1,
    }
}

pub fn hold(holder: &str, tokens: TokenCount) -> MemoryHold {
    MemoryHold {
        request: "foreign".to_owned(),
        attempt: 1,
        holder: holder.to_owned(),
        tokens,
        expires_in: Duration::from_mins(1),
    }
}

pub fn job(now: Instant, request: &str, prompt_tokens: TokenCount) -> PromptJob {
    PromptJob {
        request: request.to_owned(),
        organisation: "payer".to_owned(),
        plan: PlanKind::Paying,
        weight: 1,
        model: MODEL.to_owned(),
        version: "1".to_owned(),
        adapter: None,
        note_version: 1,
        prompt_tokens,
        output_tokens: 100,
        prefixes: Vec::new(),
        zone: "duluth".to_owned(),
        arrived: now,
        deadline: now + Duration::from_hours(1),
    }
}

pub fn trial_job(now: Instant, request: &str, prompt_tokens: TokenCount) -> PromptJob {
    PromptJob {
        organisation: "guest".to_owned(),
        plan: PlanKind::Trial,
        ..job(now, request, prompt_tokens)
    }
}

pub fn arrive(scheduler: &mut NodeScheduler, now: Instant, job: PromptJob) -> Vec<SchedulerAction> {
    scheduler.handle(now, SchedulerEvent::Arrived { job, via: None })
}

/// Request, attempt and engines of each dispatch among `actions`.
pub fn dispatches(actions: &[SchedulerAction]) -> Vec<(String, AttemptId, Vec<String>)> {
    let found = actions.iter().filter_map(|action| match action {
        SchedulerAction::Dispatch {
            request,
            attempt,
            engines,
            ..
        } => Some((request.clone(), *attempt, engines.clone())),
        _ => None,
    });
    found.collect()
}
