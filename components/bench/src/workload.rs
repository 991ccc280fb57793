//! Generates request arrivals from a seed.

use std::time::Duration;

use model::{decode_time, engine_profile, prefill_time};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{CACHE_BLOCK_TOKENS, OrganisationId, PlanKind, PrefixHash, TokenCount};

/// One request of a run, the same for every policy.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchRequest {
    /// Index among the run's requests.
    pub index: usize,
    /// When the caller sends it, from the start of the run.
    pub at: Duration,
    /// Time from sending to the deadline of the answer.
    pub timeout: Duration,
    /// Organisation that the request is accounted to.
    pub organisation: OrganisationId,
    /// Plan of that organisation: paying or trial.
    pub plan: PlanKind,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Answer limit that the caller sets, in tokens.
    pub output_tokens: TokenCount,
    /// Actual answer length, unknown to the scheduler, in tokens.
    pub answer_tokens: TokenCount,
    /// Hashes of the prompt's cache blocks, shortest prefix first.
    pub prefixes: Vec<PrefixHash>,
    /// Index of the caller's availability zone, modulo the number of zones.
    pub zone: usize,
    /// Random number that selects the entry node in that zone.
    pub pick: u64,
    /// Whether the request is part of the scenario's disturbance.
    pub disturbance: bool,
}

/// A range of lengths with a log-uniform distribution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LengthRange {
    pub(crate) min: TokenCount,
    pub(crate) max: TokenCount,
}

impl LengthRange {
    pub(crate) const fn new(min: TokenCount, max: TokenCount) -> Self {
        Self { min, max }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn draw(self, rng: &mut StdRng) -> TokenCount {
        let (min, max) = (self.min as f64, self.max as f64);
        let draw: f64 = rng.random();
        (min * (max / min).powf(draw)).round() as TokenCount
    }
}

/// Shared texts that prompts begin with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedPrefix {
    /// Number of shared texts, the most popular first.
    pub(crate) texts: u64,
    /// Lengths of the shared texts.
    pub(crate) length: LengthRange,
}

/// A stream of prompts with the same distribution.
#[derive(Clone, Debug)]
pub(crate) struct PromptStream {
    pub(crate) organisations: Vec<OrganisationId>,
    pub(crate) plan: PlanKind,
    /// Mean arrivals per second.
    pub(crate) rate: f64,
    /// Lengths of the prompts, without the shared prefix, in tokens.
    pub(crate) prompt: LengthRange,
    pub(crate) answer: LengthRange,
    /// Fixed part of a caller's timeout.
    pub(crate) timeout: Duration,
    /// Factor on the sum of the prefill time on one idle engine and the longest
    /// decode time; the product is added to `timeout`.
    pub(crate) timeout_factor: f64,
    pub(crate) shared: Option<SharedPrefix>,
    pub(crate) disturbance: bool,
}

impl PromptStream {
    pub(crate) fn paying(
        organisations: &[&str],
        rate: f64,
        prompt: LengthRange,
        answer: LengthRange,
    ) -> Self {
        Self {
            organisations: organisations
                .iter()
                .map(|name| (*name).to_owned())
                .collect(),
            plan: PlanKind::Paying,
            rate,
            prompt,
            answer,
            timeout: Duration::from_secs(30),
            timeout_factor: 1.5,
            shared: None,
            disturbance: false,
        }
    }

    pub(crate) fn on_trial_plan(self) -> Self {
        Self {
            plan: PlanKind::Trial,
            ..self
        }
    }

    pub(crate) fn marked_disturbance(self) -> Self {
        Self {
            disturbance: true,
            ..self
        }
    }

    pub(crate) fn with_shared_prefix(self, texts: u64, length: LengthRange) -> Self {
        Self {
            shared: Some(SharedPrefix { texts, length }),
            ..self
        }
    }

    pub(crate) fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Draws the stream's arrivals up to `until`: a Poisson process, or for rare
    /// prompts one in each time slot, so that every seed has some.
    pub(crate) fn arrivals(&self, seed: u64, until: Duration) -> Vec<BenchRequest> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut slot = 0.0;
        let mut at = Duration::ZERO;
        loop {
            let draw: f64 = rng.random();
            if self.rate < RARE_RATE {
                at = Duration::from_secs_f64((slot + draw) / self.rate);
                slot += 1.0;
            } else {
                at += Duration::from_secs_f64(-(1.0 - draw).ln() / self.rate);
            }
            if at >= until {
                return requests;
            }
            requests.push(self.draw(&mut rng, at, seed));
        }
    }

    fn draw(&self, rng: &mut StdRng, at: Duration, seed: u64) -> BenchRequest {
        let organisation = rng.random_range(0..self.organisations.len());
        let own = self.prompt.draw(rng);
        let answer_tokens = self.answer.draw(rng);
        let unique: u64 = rng.random();
        let text = self.shared.map(|shared| shared.draw(rng, seed));
        let shared_tokens = text.map_or(0, |text| text.tokens);
        let prompt_tokens = shared_tokens + own;
        BenchRequest {
            index: 0,
            at,
            timeout: self.timeout_for(prompt_tokens),
            organisation: self.organisations[organisation].clone(),
            plan: self.plan,
            prompt_tokens,
            output_tokens: self.answer.max,
            answer_tokens,
            prefixes: prefix_hashes(text, unique, prompt_tokens),
            zone: usize::from(rng.random::<u16>()),
            pick: rng.random(),
            disturbance: self.disturbance,
        }
    }

    fn timeout_for(&self, prompt_tokens: TokenCount) -> Duration {
        let profile = engine_profile(String::new(), String::new());
        let alone = prefill_time(&profile, 0, prompt_tokens, 1.0);
        let decode = profile
            .decode_step
            .mul_f64(as_f64(self.answer.max) * self.timeout_factor);
        self.timeout + alone.mul_f64(self.timeout_factor) + decode
    }
}

/// Rate below which prompts count as rare, in arrivals per second.
const RARE_RATE: f64 = 0.05;

/// One shared text; its hash seeds its cache block hashes and its length.
#[derive(Clone, Copy, Debug)]
struct SharedText {
    hash: u64,
    tokens: TokenCount,
}

impl SharedPrefix {
    /// Draws a text; the n-th is about 1/n as popular as the first.
    fn draw(self, rng: &mut StdRng, seed: u64) -> SharedText {
        let draw: f64 = rng.random();
        let rank = as_f64(self.texts).powf(draw) - 1.0;
        let text = mix(seed, truncated(rank));
        let mut text_rng = StdRng::seed_from_u64(text);
        SharedText {
            hash: text,
            tokens: self.length.draw(&mut text_rng),
        }
    }
}

fn prefix_hashes(text: Option<SharedText>, unique: u64, prompt: TokenCount) -> Vec<PrefixHash> {
    let shared = text.map_or(0, |text| text.tokens / CACHE_BLOCK_TOKENS);
    let blocks = prompt / CACHE_BLOCK_TOKENS;
    (0..blocks)
        .map(|block| match text {
            Some(text) if block < shared => mix(text.hash, block),
            _ => mix(unique, block),
        })
        .collect()
}

/// Merges streams into one list in order of arrival.
pub(crate) fn merge_streams(
    streams: &[PromptStream],
    seed: u64,
    until: Duration,
) -> Vec<BenchRequest> {
    let mut requests: Vec<BenchRequest> = streams
        .iter()
        .zip(1..)
        .flat_map(|(stream, number)| stream.arrivals(mix(seed, number), until))
        .collect();
    requests.sort_by_key(|request| request.at);
    for (index, request) in requests.iter_mut().enumerate() {
        request.index = index;
    }
    requests
}

/// Engine time that requests need: their prefill on an idle engine, and the
/// time that their answers add to decode steps.
pub(crate) fn engine_time(requests: &[BenchRequest]) -> Duration {
    let profile = engine_profile(String::new(), String::new());
    requests
        .iter()
        .map(|request| {
            let prefill = prefill_time(&profile, 0, request.prompt_tokens, 1.0);
            prefill + decode_time(request.prompt_tokens, request.answer_tokens)
        })
        .sum()
}

/// Mixes two numbers into one seed with the finaliser of splitmix64.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncated(value: f64) -> u64 {
    value.max(0.0) as u64
}
