//! The prompt streams of each scenario.

use std::time::Duration;

use types::TokenCount;

use crate::{
    ScenarioKind,
    workload::{LengthRange, PromptStream},
};

/// Shortest prompt, in tokens; just above the first length bucket.
const SHORTEST_PROMPT: TokenCount = 1_010;

/// Organisations of the Lakeshore scenarios.
const LAKESHORE_ORGANISATIONS: [&str; 10] = [
    "superior-air",
    "isle-royale-air",
    "marquette-crews",
    "apostle-ops",
    "keweenaw-dispatch",
    "nipigon-airport",
    "whitefish-crews",
    "agawa-ops",
    "michipicoten-air",
    "pukaskwa-airport",
];

/// Organisations of the other scenarios.
const BENGAL_ORGANISATIONS: [&str; 10] = [
    "hooghly-cellular",
    "ganga-towers",
    "sundar-broadband",
    "rupnarayan-net",
    "damodar-carriers",
    "matla-wireless",
    "ajay-rural",
    "kangsabati-masts",
    "haldi-telecom",
    "ichamati-fibre",
];

/// Trial organisations that send the excess load of `trial-flood`.
const TRIAL_ORGANISATIONS: [&str; 6] = [
    "trial-a", "trial-b", "trial-c", "trial-d", "trial-e", "trial-f",
];

/// Returns the prompt streams of a scenario.
pub(crate) fn streams_of(kind: ScenarioKind) -> Vec<PromptStream> {
    match kind {
        ScenarioKind::Lakeshore | ScenarioKind::EngineLoss => lakeshore_streams(),
        ScenarioKind::Sundarban => sundarban_streams(),
        ScenarioKind::TrialFlood => trial_flood_streams(),
        ScenarioKind::BigCustomer => big_customer_streams(),
        ScenarioKind::Overload => overload_streams(),
        ScenarioKind::Prefix => prefix_streams(),
        ScenarioKind::HotHerd => hot_herd_streams(),
    }
}

fn lakeshore_streams() -> Vec<PromptStream> {
    let brief = LengthRange::new(SHORTEST_PROMPT, 4_000);
    let digest = LengthRange::new(24_000, 200_000);
    let sweep = LengthRange::new(800_000, 960_000);
    vec![
        PromptStream::paying(
            &LAKESHORE_ORGANISATIONS[..8],
            15.0,
            brief,
            LengthRange::new(60, 250),
        ),
        PromptStream::paying(
            &LAKESHORE_ORGANISATIONS[8..],
            1.5,
            brief,
            LengthRange::new(60, 250),
        )
        .on_trial_plan(),
        PromptStream::paying(
            &LAKESHORE_ORGANISATIONS,
            0.14,
            digest,
            LengthRange::new(300, 1_000),
        )
        .with_timeout(Duration::from_mins(2)),
        PromptStream::paying(
            &LAKESHORE_ORGANISATIONS[..3],
            0.005,
            sweep,
            LengthRange::new(500, 1_500),
        )
        .with_timeout(Duration::from_mins(5)),
    ]
}

fn sundarban_streams() -> Vec<PromptStream> {
    let stream = |rate: f64, least, most, answer| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&BENGAL_ORGANISATIONS[..8], rate, prompt, answer)
    };
    let short = LengthRange::new(80, 300);
    let long = LengthRange::new(200, 800);
    vec![
        stream(7.0, SHORTEST_PROMPT, 4_000, short),
        stream(2.7, 4_000, 16_000, short),
        stream(0.8, 16_000, 64_000, long).with_timeout(Duration::from_mins(1)),
        stream(0.14, 64_000, 256_000, long).with_timeout(Duration::from_mins(2)),
        stream(0.006, 256_000, 950_000, long).with_timeout(Duration::from_mins(5)),
        stream(1.0, SHORTEST_PROMPT, 8_000, short).on_trial_plan(),
    ]
}

fn mixed_prompts(organisations: &[&str], rate: f64) -> PromptStream {
    let prompt = LengthRange::new(SHORTEST_PROMPT, 24_000);
    PromptStream::paying(organisations, rate, prompt, LengthRange::new(80, 300))
}

fn trial_flood_streams() -> Vec<PromptStream> {
    let paying = |rate, least, most| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(
            &BENGAL_ORGANISATIONS,
            rate,
            prompt,
            LengthRange::new(80, 300),
        )
    };
    let flood = |rate, least, most| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(
            &TRIAL_ORGANISATIONS,
            rate,
            prompt,
            LengthRange::new(80, 300),
        )
        .on_trial_plan()
        .marked_disturbance()
    };
    vec![
        paying(10.0, SHORTEST_PROMPT, 4_000),
        paying(4.0, 4_000, 16_000),
        paying(0.15, 64_000, 200_000).with_timeout(Duration::from_mins(2)),
        flood(178.0, SHORTEST_PROMPT, 4_000),
        flood(53.0, 4_000, 32_000),
        flood(1.8, 64_000, 300_000).with_timeout(Duration::from_mins(2)),
    ]
}

fn big_customer_streams() -> Vec<PromptStream> {
    vec![
        mixed_prompts(&BENGAL_ORGANISATIONS[1..], 9.0),
        mixed_prompts(&BENGAL_ORGANISATIONS[..1], 80.0).marked_disturbance(),
    ]
}

fn overload_streams() -> Vec<PromptStream> {
    let stream = |rate, least, most, answer| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&BENGAL_ORGANISATIONS, rate, prompt, answer)
    };
    let short = LengthRange::new(80, 300);
    vec![
        stream(54.0, SHORTEST_PROMPT, 4_000, short),
        stream(21.5, 4_000, 16_000, short),
        stream(2.25, 16_000, 64_000, short).with_timeout(Duration::from_mins(1)),
        stream(0.36, 64_000, 256_000, short).with_timeout(Duration::from_mins(1)),
    ]
}

fn prefix_streams() -> Vec<PromptStream> {
    let own = LengthRange::new(500, 3_000);
    let answer = LengthRange::new(80, 300);
    vec![
        PromptStream::paying(&BENGAL_ORGANISATIONS, 8.0, own, answer)
            .with_shared_prefix(60, LengthRange::new(8_000, 40_000)),
        PromptStream::paying(
            &BENGAL_ORGANISATIONS,
            4.0,
            LengthRange::new(SHORTEST_PROMPT, 4_000),
            answer,
        ),
    ]
}

fn hot_herd_streams() -> Vec<PromptStream> {
    let prompt = LengthRange::new(SHORTEST_PROMPT, 12_000);
    let long = LengthRange::new(32_000, 128_000);
    let answer = LengthRange::new(80, 300);
    vec![
        PromptStream::paying(&BENGAL_ORGANISATIONS, 25.0, prompt, answer),
        PromptStream::paying(&BENGAL_ORGANISATIONS, 0.3, long, answer),
    ]
}
