//! The engines of a prompt: one that answers, and those that read parts.

use std::{cmp::Reverse, time::Duration};

use rand::{Rng, RngExt, seq::IteratorRandom};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineLoad, EngineSpec, Placement, PlacementRefusal, PlacementRequest, PlacementWait,
    placement::{Candidate, PACKING_TARGET, SMALL_SHARD_TIME, truncate_to_u64},
    prefill_time,
};

/// Most engines that read one prompt: the first and sixteen helpers.
const MAX_PREFILL_ENGINES: usize = 17;
/// Time of a part below which a further reader saves nothing: about the time
/// of a chunk, which an engine reads whole.
const MIN_SHARD_TIME: Duration = Duration::from_millis(9);
/// Most that a short prompt's own reading counts for; longer ones are read
/// with helpers.
const MAX_COUNTED_PREFILL: Duration = Duration::from_millis(18);
/// Share of a pause that a pass may take, so that delays on the way fit too.
const PASS_GAP_SHARE: f64 = 0.88;
/// Passes of an engine's writers that a part waits for: half of one under way,
/// and the one that reads it.
const DECODE_DELAY_PASSES: f64 = 1.5;
/// Share of memory that placements count on; answers are shorter than their
/// limit, and reports of other nodes lag.
const USABLE_MEMORY_SHARE: f64 = 0.95;

/// Time that reading may add to a pass of this engine.
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

/// An engine among those that are open for short pauses: the less busy of two,
/// since nodes with the same summaries would all pick the same least busy one.
/// Where none of them fits, one after the other is opened, in the order that
/// all nodes agree on, so that few readers get writers.
pub(crate) fn pick_decode_engine(
    spec: &EngineSpec,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    let writing = candidates.iter().filter(|one| one.load.strict > 0);
    let writers: u32 = writing.map(|one| one.load.running()).sum();
    let target = f64::from(spec.slots) * PACKING_TARGET;
    let writers = writers + request.unreported_strict;
    let open = truncate_to_u64((f64::from(writers + 1) / target).ceil());
    let open = usize::try_from(open).unwrap_or(usize::MAX);
    let own = prefill_time(spec, request.size.prompt, 1).min(MAX_COUNTED_PREFILL);
    let fits = |one: &Candidate<'_>| {
        has_capacity(spec, request, &one.load)
            && one.load.prefill_work + own <= prefill_allowance(spec, request, &one.load)
    };
    let best = |range: &[Candidate<'_>], rng: &mut _| {
        let fitting = range.iter().enumerate().filter(|(_, one)| fits(one));
        let two = fitting.sample(rng, 2).into_iter();
        two.min_by_key(|(_, one)| (one.load.running(), one.load.prefill_wait))
            .map(|(index, _)| index)
    };
    let open = open.min(candidates.len());
    (open..=candidates.len())
        .find_map(|open| best(&candidates[..open], rng))
        .or_else(|| {
            let roomy = candidates.iter().enumerate();
            roomy
                .filter(|(_, one)| has_capacity(spec, request, &one.load))
                .min_by_key(|(_, one)| (one.load.prefill_wait, one.load.running()))
                .map(|(index, _)| index)
        })
}

/// An engine for the answer to a long prompt. Answers are written on few
/// engines, so that the others read without the steps of writers in between.
pub(crate) fn pick_long_prompt_engine(
    spec: &EngineSpec,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let readers = max_useful_engines(spec, request).min(candidates.len());
    let part = prefill_time(spec, request.size.prompt, readers);
    let roomy = candidates.iter().enumerate();
    roomy
        .filter(|(_, one)| has_capacity(spec, request, &one.load))
        .min_by_key(|(index, one)| {
            let load = &one.load;
            let harmful = load.prefill_work + part > prefill_allowance(spec, request, load);
            let kind = match (load.strict, load.relaxed) {
                (0, 1..) => 0,
                (0, 0) => 1,
                _ => 2,
            };
            (harmful, kind, load.prefill_wait, Reverse(*index))
        })
        .map(|(index, _)| index)
}

/// Engines that may read a prompt before the parts get too short.
pub(crate) fn max_useful_engines(spec: &EngineSpec, request: &PlacementRequest) -> usize {
    let whole_read = prefill_time(spec, request.size.prompt, 1);
    let wanted = truncate_to_u64(whole_read.as_secs_f64() / MIN_SHARD_TIME.as_secs_f64());
    usize::try_from(wanted)
        .unwrap_or(usize::MAX)
        .clamp(1, MAX_PREFILL_ENGINES)
}

/// Time that a part waits at an engine beside the reading before it: writers
/// there have a pass under way, and one more while it is read.
fn decode_delay_at(spec: &EngineSpec, load: &EngineLoad) -> Duration {
    if load.running() == 0 {
        return Duration::ZERO;
    }
    spec.pass_time(load.running(), load.memory)
        .mul_f64(DECODE_DELAY_PASSES)
}

/// The engines that read parts beside `first`: as many as make the prompt read
/// soonest.
pub(crate) fn place_with_helpers(
    spec: &EngineSpec,
    request: &PlacementRequest,
    first: Candidate<'_>,
    mut others: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Placement {
    let whole_read = prefill_time(spec, request.size.prompt, 1);
    // Parts go before an engine's own prompts, which would wait without end.
    others.retain(|one| one.load.unanswered == 0);
    let most = max_useful_engines(spec, request).min(others.len() + 1);
    let before = |load: &EngineLoad| load.prefill_wait + decode_delay_at(spec, load);
    others.sort_by_cached_key(|one| (before(&one.load), random_tiebreak(rng)));
    let mut best: Option<(Duration, Vec<usize>)> = None;
    for readers in (1..=most).rev() {
        let part = prefill_time(spec, request.size.prompt, readers);
        let fitting: Vec<usize> = others
            .iter()
            .enumerate()
            .filter(|(_, one)| one.load.prefill_wait.is_zero() || part <= SMALL_SHARD_TIME)
            .filter(|(_, one)| {
                one.load.prefill_work + part <= prefill_allowance(spec, request, &one.load)
            })
            .map(|(index, _)| index)
            .take(readers - 1)
            .collect();
        if fitting.len() + 1 < readers {
            continue;
        }
        let slowest = fitting
            .iter()
            .map(|index| before(&others[*index].load))
            .fold(before(&first.load), Duration::max);
        let read = slowest + part;
        if best.as_ref().is_none_or(|(time, _)| read < *time) {
            best = Some((read, fitting));
        }
    }
    let (read, helpers) = best.unwrap_or((before(&first.load) + whole_read, Vec::new()));
    let part = prefill_time(spec, request.size.prompt, helpers.len() + 1);
    let harmless = first.load.prefill_work + part <= prefill_allowance(spec, request, &first.load);
    let helpers = helpers
        .into_iter()
        .map(|index| others[index].health.entry.id.clone())
        .collect();
    Placement {
        upstream: first.health.entry.id.clone(),
        helpers,
        memory_shares: Vec::new(),
        shard_time: part,
        decode_delay: spec
            .pass_time(spec.slots / 2, 0)
            .mul_f64(DECODE_DELAY_PASSES),
        prefill_time: read,
        keeps_event_gaps: harmless,
    }
}

/// Engines without other work for a prompt that no engine can hold: `half` of
/// all at most, so that others go on.
pub(crate) fn place_on_idle_engines(
    spec: &EngineSpec,
    request: &PlacementRequest,
    half: usize,
    mut candidates: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let usable = usable_memory(spec);
    let most = half.min(MAX_PREFILL_ENGINES);
    let most_tokens = usable.saturating_mul(u64::try_from(most).unwrap_or(u64::MAX));
    if request.size.kv_cache_tokens() > most_tokens {
        return Err(PlacementRefusal::TooLarge);
    }
    let PlacementWait::Allowed {
        max_prefill_time: longest_read,
        remaining: left,
    } = request.wait
    else {
        return Err(PlacementRefusal::NeedsIdleEngines);
    };
    let needed = request.size.kv_cache_tokens().div_ceil(usable.max(1));
    let needed = usize::try_from(needed).unwrap_or(usize::MAX);
    let made_by = |engines: usize, time: Duration| {
        engines >= needed && prefill_time(spec, request.size.prompt, engines) <= time
    };
    // Writers go on for longer than a prompt may wait.
    candidates.retain(|one| one.load.running() == 0);
    if !made_by(candidates.len().min(most), left) {
        return Err(PlacementRefusal::NeedsIdleEngines);
    }
    candidates.retain(|one| one.load.prefill_wait.is_zero());
    candidates.sort_by_cached_key(|one| (Reverse(one.id_order), random_tiebreak(rng)));
    let readers = candidates.len().min(most);
    if !made_by(readers, longest_read) {
        return Err(PlacementRefusal::Full);
    }
    let share = request
        .size
        .kv_cache_tokens()
        .div_ceil(u64::try_from(readers).unwrap_or(u64::MAX));
    let ids = candidates[..readers].iter();
    let mut ids = ids.map(|one| one.health.entry.id.clone());
    let first = ids.next().ok_or(PlacementRefusal::NoUpstream)?;
    let others: Vec<UpstreamId> = ids.collect();
    let part = prefill_time(spec, request.size.prompt, readers);
    Ok(Placement {
        upstream: first,
        helpers: Vec::new(),
        memory_shares: others.into_iter().map(|id| (id, share)).collect(),
        shard_time: part,
        decode_delay: spec
            .pass_time(spec.slots / 2, 0)
            .mul_f64(DECODE_DELAY_PASSES),
        prefill_time: part,
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
