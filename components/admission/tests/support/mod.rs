//! Builders of prompts and queued jobs for the tests.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use admission::{LengthClass, OrganisationIndex, QueuedJob, job_cost};
use types::{PlanKind, PromptJob, TokenCount};

pub fn prompt(now: Instant, request: &str, plan: PlanKind, tokens: TokenCount) -> PromptJob {
    PromptJob {
        request: request.to_owned(),
        organisation: "org".to_owned(),
        plan,
        weight: 1,
        model: "basalt".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        note_version: 1,
        prompt_tokens: tokens,
        output_tokens: 100,
        prefixes: Vec::new(),
        zone: "sault".to_owned(),
        arrived: now,
        deadline: now + Duration::from_hours(1),
    }
}

pub fn queued(organisation: OrganisationIndex, job: PromptJob, queued_since: Instant) -> QueuedJob {
    // 111 microseconds a token, or about 9,000 tokens a second.
    let prefill_time = Duration::from_micros(job.prompt_tokens * 111);
    QueuedJob {
        organisation,
        pool: 0,
        class: LengthClass::of(job.prompt_tokens),
        prefill_time,
        service: prefill_time + Duration::from_secs(2),
        cost: job_cost(job.prompt_tokens, job.output_tokens),
        attempt: 1,
        resume_at: 0,
        forwarded: false,
        failures: 0,
        queued_since,
        job,
    }
}
