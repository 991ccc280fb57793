//! The prompt streams of each scenario.

use std::time::Duration;

use types::TokenCount;

use crate::{
    ScenarioKind,
    workload::{LengthRange, PromptStream},
};

/// Shortest prompt, in tokens; just above the first length bucket.
const SHORTEST: TokenCount = 1_010;

/// Organisations of the Lakeshore scenarios.
const DESKS: [&str; 10] = [
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
const LEASES: [&str; 10] = [
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
const TRIALS: [&str; 6] = [
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
    let brief = LengthRange::new(SHORTEST, 4_000);
    let digest = LengthRange::new(24_000, 200_000);
    let sweep = LengthRange::new(800_000, 960_000);
    vec![
        PromptStream::paying(&DESKS[..8], 15.0, brief, LengthRange::new(60, 250)),
        PromptStream::paying(&DESKS[8..], 1.5, brief, LengthRange::new(60, 250)).trial(),
        PromptStream::paying(&DESKS, 0.14, digest, LengthRange::new(300, 1_000))
            .patient(Duration::from_mins(2)),
        PromptStream::paying(&DESKS[..3], 0.005, sweep, LengthRange::new(500, 1_500))
            .patient(Duration::from_mins(5)),
    ]
}

fn sundarban_streams() -> Vec<PromptStream> {
    let stream = |rate: f64, least, most, answer| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&LEASES[..8], rate, prompt, answer)
    };
    let short = LengthRange::new(80, 300);
    let long = LengthRange::new(200, 800);
    vec![
        stream(7.0, SHORTEST, 4_000, short),
        stream(2.7, 4_000, 16_000, short),
        stream(0.8, 16_000, 64_000, long).patient(Duration::from_mins(1)),
        stream(0.14, 64_000, 256_000, long).patient(Duration::from_mins(2)),
        stream(0.006, 256_000, 950_000, long).patient(Duration::from_mins(5)),
        stream(1.0, SHORTEST, 8_000, short).trial(),
    ]
}

fn mixed_prompts(organisations: &[&str], rate: f64) -> PromptStream {
    let prompt = LengthRange::new(SHORTEST, 24_000);
    PromptStream::paying(organisations, rate, prompt, LengthRange::new(80, 300))
}

fn trial_flood_streams() -> Vec<PromptStream> {
    let paying = |rate, least, most| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&LEASES, rate, prompt, LengthRange::new(80, 300))
    };
    let flood = |rate, least, most| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&TRIALS, rate, prompt, LengthRange::new(80, 300))
            .trial()
            .disturbing()
    };
    vec![
        paying(10.0, SHORTEST, 4_000),
        paying(4.0, 4_000, 16_000),
        paying(0.15, 64_000, 200_000).patient(Duration::from_mins(2)),
        flood(178.0, SHORTEST, 4_000),
        flood(53.0, 4_000, 32_000),
        flood(1.8, 64_000, 300_000).patient(Duration::from_mins(2)),
    ]
}

fn big_customer_streams() -> Vec<PromptStream> {
    vec![
        mixed_prompts(&LEASES[1..], 9.0),
        mixed_prompts(&LEASES[..1], 80.0).disturbing(),
    ]
}

fn overload_streams() -> Vec<PromptStream> {
    let stream = |rate, least, most, answer| {
        let prompt = LengthRange::new(least, most);
        PromptStream::paying(&LEASES, rate, prompt, answer)
    };
    let short = LengthRange::new(80, 300);
    vec![
        stream(54.0, SHORTEST, 4_000, short),
        stream(21.5, 4_000, 16_000, short),
        stream(2.25, 16_000, 64_000, short).patient(Duration::from_mins(1)),
        stream(0.36, 64_000, 256_000, short).patient(Duration::from_mins(1)),
    ]
}

fn prefix_streams() -> Vec<PromptStream> {
    let own = LengthRange::new(500, 3_000);
    let answer = LengthRange::new(80, 300);
    vec![
        PromptStream::paying(&LEASES, 8.0, own, answer)
            .sharing(60, LengthRange::new(8_000, 40_000)),
        PromptStream::paying(&LEASES, 4.0, LengthRange::new(SHORTEST, 4_000), answer),
    ]
}

fn hot_herd_streams() -> Vec<PromptStream> {
    let prompt = LengthRange::new(SHORTEST, 12_000);
    let long = LengthRange::new(32_000, 128_000);
    let answer = LengthRange::new(80, 300);
    vec![
        PromptStream::paying(&LEASES, 25.0, prompt, answer),
        PromptStream::paying(&LEASES, 0.3, long, answer),
    ]
}
