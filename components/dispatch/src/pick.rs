//! Picks the engines of a prompt: the one that decodes the answer, and the
//! helpers that each prefill a shard of the prompt.

use std::{cmp::Reverse, time::Duration};

use rand::{Rng, RngExt, seq::IteratorRandom};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineLoad, EngineSpec, Placement, PlacementRefusal, PlacementRequest, PlacementWait,
    PromptSize,
    placement::{Candidate, PACKING_TARGET, SMALL_SHARD_TIME, truncate_to_u64},
    prefill_time,
};

/// Most engines that prefill one prompt: the one that answers and sixteen
/// helpers.
const MAX_PREFILL_ENGINES: usize = 17;
/// Shard time below which another engine saves nothing: about the time of a
/// prefill chunk, which an engine can't divide.
const MIN_SHARD_TIME: Duration = Duration::from_millis(9);
/// Upper limit of the prompt's own prefill time when it is checked against an
/// engine's event gaps; longer prompts are prefilled with helpers.
const MAX_COUNTED_PREFILL: Duration = Duration::from_millis(18);
/// Share of the event gap that a pass may take; the rest is for delays in the
/// network.
const PASS_GAP_SHARE: f64 = 0.88;
/// Passes by which decoding delays a shard: on average half of the pass in
/// progress, and the pass that prefills the shard.
const DECODE_DELAY_PASSES: f64 = 1.5;
/// Share of the KV cache that placement fills. The rest is a reserve, since reports
/// of other nodes lag; it can be small, since answers are shorter than their limit.
const USABLE_MEMORY_SHARE: f64 = 0.95;

/// Prefill time that may be added to a pass of this engine without exceeding the
/// event gap of its requests, with one more request decoding. Helpers are checked
/// in the same way, although they get no request to decode.
fn prefill_allowance(spec: &EngineSpec, request: &PlacementRequest, load: &EngineLoad) -> Duration {
    let pass = spec.pass_time(load.running() + 1, load.memory);
    let gap = if load.strict > 0 {
        request.goals.shortest_event_gap
    } else if let Some(gap) = load.relaxed_event_gap {
        gap
    } else {
        return Duration::MAX;
    };
    gap.mul_f64(PASS_GAP_SHARE).saturating_sub(pass)
}

fn has_capacity(spec: &EngineSpec, request: &PlacementRequest, load: &EngineLoad) -> bool {
    load.running() < spec.slots
        && load.memory + request.size.kv_cache_tokens() <= usable_memory(spec)
}

/// Picks the engine of a strict request, or of a relaxed one with small shards;
/// returns its index in `candidates`.
///
/// Considers the first engines by id, as many as the strict requests need, and
/// picks the less busy of two random ones, since nodes with the same reports
/// would all pick the same least busy one. When none of them fits, the next
/// engines by id are added one by one. Nodes that can select the same upstreams
/// agree on this order, so that most engines keep only prefilling. The last
/// resort is the engine with a free slot and enough memory that finishes its
/// prefill first.
pub(crate) fn pick_decode_engine(
    spec: &EngineSpec,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    let decoding = candidates
        .iter()
        .filter(|candidate| candidate.load.strict > 0);
    let running: u32 = decoding.map(|candidate| candidate.load.running()).sum();
    let target = f64::from(spec.slots) * PACKING_TARGET;
    let running = running + request.unreported_strict;
    let strict_engines = truncate_to_u64((f64::from(running + 1) / target).ceil());
    let strict_engines = usize::try_from(strict_engines).unwrap_or(usize::MAX);
    let own_prefill = prefill_time(spec, request.size.prompt, 1).min(MAX_COUNTED_PREFILL);
    let fits = |candidate: &Candidate<'_>| {
        has_capacity(spec, request, &candidate.load)
            && candidate.load.prefill_work + own_prefill
                <= prefill_allowance(spec, request, &candidate.load)
    };
    let best = |range: &[Candidate<'_>], rng: &mut _| {
        let fitting = range
            .iter()
            .enumerate()
            .filter(|(_, candidate)| fits(candidate));
        let pair = fitting.sample(rng, 2).into_iter();
        pair.min_by_key(|(_, candidate)| (candidate.load.running(), candidate.load.prefill_wait))
            .map(|(index, _)| index)
    };
    let strict_engines = strict_engines.min(candidates.len());
    (strict_engines..=candidates.len())
        .find_map(|strict_engines| best(&candidates[..strict_engines], rng))
        .or_else(|| {
            let indexed = candidates.iter().enumerate();
            indexed
                .filter(|(_, candidate)| has_capacity(spec, request, &candidate.load))
                .min_by_key(|(_, candidate)| {
                    (candidate.load.prefill_wait, candidate.load.running())
                })
                .map(|(index, _)| index)
        })
}

/// Picks the engine that decodes the answer to a long prompt; returns its index
/// in `candidates`. Such answers are packed onto few engines, so that the others
/// can prefill without decode steps in between.
pub(crate) fn pick_long_prompt_engine(
    spec: &EngineSpec,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let engines = max_useful_engines(spec, request).min(candidates.len());
    let shard_time = prefill_time(spec, request.size.prompt, engines);
    let indexed = candidates.iter().enumerate();
    indexed
        .filter(|(_, candidate)| has_capacity(spec, request, &candidate.load))
        .min_by_key(|(index, candidate)| {
            let load = &candidate.load;
            let exceeds_gap =
                load.prefill_work + shard_time > prefill_allowance(spec, request, load);
            let preference = match (load.strict, load.relaxed) {
                (0, 1..) => 0,
                (0, 0) => 1,
                _ => 2,
            };
            (exceeds_gap, preference, load.prefill_wait, Reverse(*index))
        })
        .map(|(index, _)| index)
}

/// Most engines that shorten the prefill of a prompt; with more of them the
/// shards get too short.
pub(crate) fn max_useful_engines(spec: &EngineSpec, request: &PlacementRequest) -> usize {
    useful_engines(spec, request.size)
}

fn useful_engines(spec: &EngineSpec, size: PromptSize) -> usize {
    let single_engine_time = prefill_time(spec, size.prompt, 1);
    let useful = truncate_to_u64(single_engine_time.as_secs_f64() / MIN_SHARD_TIME.as_secs_f64());
    usize::try_from(useful)
        .unwrap_or(usize::MAX)
        .clamp(1, MAX_PREFILL_ENGINES)
}

/// Time to prefill a prompt on as many idle engines as shorten it.
#[must_use]
pub fn fastest_prefill(spec: &EngineSpec, size: PromptSize) -> Duration {
    prefill_time(spec, size.prompt, useful_engines(spec, size))
}

/// Delay of a shard by decoding, in addition to the prefill queued before it: an
/// engine that decodes has a pass in progress, and runs another one while it
/// prefills the shard.
fn decode_delay_at(spec: &EngineSpec, load: &EngineLoad) -> Duration {
    if load.running() == 0 {
        return Duration::ZERO;
    }
    spec.pass_time(load.running(), load.memory)
        .mul_f64(DECODE_DELAY_PASSES)
}

/// Adds helpers to `primary`: as many as make the prefill finish soonest.
pub(crate) fn place_with_helpers(
    spec: &EngineSpec,
    request: &PlacementRequest,
    primary: Candidate<'_>,
    mut others: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Placement {
    let single_engine_time = prefill_time(spec, request.size.prompt, 1);
    // An engine prefills shards for other engines before its own prompts, so one
    // with an unanswered relaxed prompt gets no shards.
    // One that limits its requests is asked for answers only.
    others
        .retain(|candidate| candidate.load.unanswered == 0 && !candidate.health.is_rate_limited());
    let max_engines = max_useful_engines(spec, request).min(others.len() + 1);
    let wait_at = |load: &EngineLoad| load.prefill_wait + decode_delay_at(spec, load);
    others.sort_by_cached_key(|candidate| (wait_at(&candidate.load), random_tiebreak(rng)));
    let mut best: Option<(Duration, Vec<usize>)> = None;
    for engines in (1..=max_engines).rev() {
        let shard_time = prefill_time(spec, request.size.prompt, engines);
        let fitting: Vec<usize> = others
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                candidate.load.prefill_wait.is_zero() || shard_time <= SMALL_SHARD_TIME
            })
            .filter(|(_, candidate)| {
                candidate.load.prefill_work + shard_time
                    <= prefill_allowance(spec, request, &candidate.load)
            })
            .map(|(index, _)| index)
            .take(engines - 1)
            .collect();
        if fitting.len() + 1 < engines {
            continue;
        }
        let longest_wait = fitting
            .iter()
            .map(|index| wait_at(&others[*index].load))
            .fold(wait_at(&primary.load), Duration::max);
        let total_time = longest_wait + shard_time;
        if best.as_ref().is_none_or(|(time, _)| total_time < *time) {
            best = Some((total_time, fitting));
        }
    }
    let (total_time, helpers) =
        best.unwrap_or((wait_at(&primary.load) + single_engine_time, Vec::new()));
    let shard_time = prefill_time(spec, request.size.prompt, helpers.len() + 1);
    let keeps_event_gaps =
        primary.load.prefill_work + shard_time <= prefill_allowance(spec, request, &primary.load);
    let helpers = helpers
        .into_iter()
        .map(|index| others[index].health.entry.id.clone())
        .collect();
    Placement {
        upstream: primary.health.entry.id.clone(),
        helpers,
        memory_shares: Vec::new(),
        shard_time,
        decode_delay: spec
            .pass_time(spec.slots / 2, 0)
            .mul_f64(DECODE_DELAY_PASSES),
        time_to_prefill: total_time,
        keeps_event_gaps,
    }
}

/// Places a prompt that doesn't fit into the memory of one engine on engines that
/// neither answer nor prefill anything, at most `engine_limit` of them, so that
/// others can serve the rest of the load.
pub(crate) fn place_on_idle_engines(
    spec: &EngineSpec,
    request: &PlacementRequest,
    engine_limit: usize,
    mut candidates: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let usable = usable_memory(spec);
    let max_engines = engine_limit.min(MAX_PREFILL_ENGINES);
    let max_tokens = usable.saturating_mul(u64::try_from(max_engines).unwrap_or(u64::MAX));
    if request.size.kv_cache_tokens() > max_tokens {
        return Err(PlacementRefusal::TooLarge);
    }
    let PlacementWait::Allowed {
        max_prefill_time,
        remaining,
    } = request.wait
    else {
        return Err(PlacementRefusal::NeedsIdleEngines);
    };
    let min_engines = request.size.kv_cache_tokens().div_ceil(usable.max(1));
    let min_engines = usize::try_from(min_engines).unwrap_or(usize::MAX);
    let finishes_within = |engines: usize, time: Duration| {
        engines >= min_engines && prefill_time(spec, request.size.prompt, engines) <= time
    };
    // Engines that decode stay busy for longer than the prompt may wait.
    candidates
        .retain(|candidate| candidate.load.running() == 0 && !candidate.health.is_rate_limited());
    if !finishes_within(candidates.len().min(max_engines), remaining) {
        return Err(PlacementRefusal::NeedsIdleEngines);
    }
    candidates.retain(|candidate| candidate.load.prefill_wait.is_zero());
    candidates.sort_by_cached_key(|candidate| (Reverse(candidate.id_order), random_tiebreak(rng)));
    let engines = candidates.len().min(max_engines);
    if !finishes_within(engines, max_prefill_time) {
        return Err(PlacementRefusal::Full);
    }
    let memory_share = request
        .size
        .kv_cache_tokens()
        .div_ceil(u64::try_from(engines).unwrap_or(u64::MAX));
    let ids = candidates[..engines].iter();
    let mut ids = ids.map(|candidate| candidate.health.entry.id.clone());
    let upstream = ids.next().ok_or(PlacementRefusal::NoUpstream)?;
    let others: Vec<UpstreamId> = ids.collect();
    let shard_time = prefill_time(spec, request.size.prompt, engines);
    Ok(Placement {
        upstream,
        helpers: Vec::new(),
        memory_shares: others.into_iter().map(|id| (id, memory_share)).collect(),
        shard_time,
        decode_delay: spec
            .pass_time(spec.slots / 2, 0)
            .mul_f64(DECODE_DELAY_PASSES),
        time_to_prefill: shard_time,
        keeps_event_gaps: true,
    })
}

pub(crate) fn usable_memory(spec: &EngineSpec) -> TokenCount {
    truncate_to_u64(to_f64(spec.kv_cache_tokens) * USABLE_MEMORY_SHARE)
}

fn random_tiebreak(rng: &mut impl Rng) -> u8 {
    rng.random()
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
