//! Picks the upstream of a request, and the engines that prefill a long prompt
//! together. The prompt is divided into equal shards, one for each engine; one
//! of the engines then decodes the answer.
//!
//! Strict requests, whose callers accept only the shortest event gap, are packed
//! onto as few engines as can decode them, and so are the answers to long
//! prompts; the remaining engines only prefill. Each decision derives these
//! groups anew from the current number of requests. Shards of a long prompt also
//! go to engines that decode, as long as the pass that prefills them stays within
//! the event gap.
//!
//! An engine prefills shards for other engines before the prompts that it answers
//! itself, and the newest of these shards first. So the shards of a long prompt go
//! to engines that have nothing else to prefill, and the next prompt waits for
//! them; only small shards go before others.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt, seq::SliceRandom};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineLoad, EngineSpec, LoadTracker, PromptSize, UpstreamHealth,
    pick::{
        max_useful_engines, pick_decode_engine, pick_long_prompt_engine, place_on_idle_engines,
        place_with_helpers, usable_memory,
    },
    prefill_time,
};

/// Share of an engine's slots that are filled, by strict requests and the relaxed
/// ones beside them, before strict requests get another engine.
pub(crate) const PACKING_TARGET: f64 = 0.9;
/// Longest prefill time of a shard that may go before the shards of other
/// prompts. It is less than three times the shortest useful shard, so that it
/// delays them only briefly. Prompts with such shards may be answered beside
/// strict requests.
pub(crate) const SMALL_SHARD_TIME: Duration = Duration::from_millis(25);
/// Share of the engines that strict requests are assumed to need while the others' loads are
/// not known. The rest is left to long prompts.
const ASSUMED_STRICT_SHARE: f64 = 0.5;
/// After its wait has expired, a prompt is placed only if it is prefilled within
/// this share of the first-event goal, including the wait for earlier shards and
/// passes. Its answer will be late anyway; if it took longer, a later retry by the
/// caller is better.
const LATE_PREFILL_SHARE: f64 = 0.4;

/// Upstream and helpers chosen for a request, with the estimates behind the
/// choice.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream that answers.
    pub upstream: UpstreamId,
    /// Further engines that prefill one shard each.
    pub helpers: Vec<UpstreamId>,
    /// Further engines that prefill a shard and hold KV cache memory, with the
    /// tokens that each holds, in the order in which their memory is filled.
    /// `upstream` is not among them and holds the rest, at most as much as each.
    pub memory_shares: Vec<(UpstreamId, TokenCount)>,
    /// Time that an engine takes to prefill its shard.
    pub shard_time: Duration,
    /// Additional time for a shard on an engine that decodes answers, estimated
    /// for half of the slots in use and empty contexts.
    pub decode_delay: Duration,
    /// Estimated time until every shard is prefilled, including the wait for
    /// earlier shards and passes.
    pub time_to_prefill: Duration,
    /// Whether the prefill keeps the event gaps of other requests within their
    /// goals.
    pub keeps_event_gaps: bool,
}

impl Placement {
    /// All engines that prefill a shard, without `upstream`.
    #[must_use]
    pub fn other_prefill_engines(&self) -> Vec<&str> {
        let shares = self.memory_shares.iter().map(|(id, _)| id);
        self.helpers
            .iter()
            .chain(shares)
            .map(String::as_str)
            .collect()
    }

    /// Placement of a request that one upstream serves without prefill.
    #[must_use]
    pub fn single_upstream(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            helpers: Vec::new(),
            memory_shares: Vec::new(),
            shard_time: Duration::ZERO,
            decode_delay: Duration::ZERO,
            time_to_prefill: Duration::ZERO,
            keeps_event_gaps: true,
        }
    }
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementRefusal {
    /// There is no upstream to select.
    NoUpstream,
    /// All upstreams that could be selected asked for no requests for this time.
    Paused(Duration),
    /// All upstreams of the service are in evacuated zones.
    Evacuated,
    /// The service has upstreams, but none in a region that the request may not leave.
    OutsideHomes,
    /// No upstream has enough free slots and memory, or the prompt would not be
    /// prefilled soon enough; it may be placed later.
    Full,
    /// The prompt would delay all others if it were placed now. A prompt that needs
    /// the memory of several engines is refused when its wait has expired, or when
    /// too few engines are free of decoding to prefill it in time. Any other prompt
    /// is refused when its wait has expired and its prefill would end too late.
    NeedsIdleEngines,
    /// The prompt doesn't fit into the KV cache memory of all engines that it may
    /// use together.
    TooLarge,
}

/// A prompt to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Tokens of the prompt and of its longest answer.
    pub size: PromptSize,
    /// Latency that the caller expects.
    pub goals: LatencyGoals,
    /// Whether the prompt may wait for a better placement; not used for strict
    /// requests.
    pub wait: PlacementWait,
    /// Estimated number of strict requests that other nodes have placed since
    /// their last reports.
    pub unreported_strict: u32,
}

/// Whether a prompt may still wait for engines with less prefill work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementWait {
    /// The prompt waits until engines can prefill it soon enough.
    Allowed {
        /// The prompt is placed only if it is estimated to be prefilled within
        /// this time.
        max_prefill_time: Duration,
        /// Time left until the prefill must be finished.
        remaining: Duration,
    },
    /// The prompt has waited for as long as it may.
    Expired,
}

/// Latency that the caller of a prompt, and those of other prompts of the same
/// service, expect.
#[derive(Clone, Copy, Debug)]
pub struct LatencyGoals {
    /// Longest time until the first event of the answer.
    pub first_event: Duration,
    /// Longest gap between two events of the answer.
    pub event_gap: Duration,
    /// Shortest event gap that any route of the service allows.
    pub shortest_event_gap: Duration,
}

impl LatencyGoals {
    /// Whether the caller accepts only the shortest event gap of the service.
    #[must_use]
    pub fn is_strict(&self) -> bool {
        self.event_gap <= self.shortest_event_gap
    }
}

/// An engine that can be picked, with its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) health: &'a UpstreamHealth,
    /// Index among the upstreams that this node can select, sorted by id; the
    /// same at all nodes that can select the same ones.
    pub(crate) id_order: usize,
    pub(crate) load: EngineLoad,
}

/// Picks the upstream of a plain service with the lowest failure share, in tenths;
/// among equals, the least busy one.
///
/// # Errors
///
/// Returns [`PlacementRefusal::NoUpstream`] when `upstreams` is empty.
pub fn place_plain_request(
    now: Instant,
    upstreams: &[&UpstreamHealth],
    loads: &LoadTracker,
    rng: &mut impl Rng,
) -> Result<UpstreamId, PlacementRefusal> {
    let least_busy = upstreams.iter().min_by_key(|health| {
        let running = loads.engine_load(now, &health.entry.id).running();
        let busy = 1000 * running / health.entry.slots.max(1);
        let failing = truncate_to_u64(health.failure_share(now) * 10.0);
        // A cold upstream is slower, but one with a free slot goes before a warm queue.
        let preference = (busy >= 1000, health.is_cold(now));
        (failing, preference, busy, rng.random::<u32>())
    });
    let health = least_busy.ok_or(PlacementRefusal::NoUpstream)?;
    Ok(health.entry.id.clone())
}

/// Whether a prompt needs the KV cache memory of several engines.
#[must_use]
pub fn needs_several_engines(spec: &EngineSpec, size: PromptSize) -> bool {
    size.kv_cache_tokens() > usable_memory(spec)
}

/// Picks the engines that prefill and answer a prompt. `upstreams` are sorted by
/// id.
///
/// An engine that limits the rate of its requests counts a long prompt like a short one,
/// so long prompts go there first, and strict requests elsewhere. A cold engine is used
/// only if no placement on warm ones keeps the event gaps.
///
/// # Errors
///
/// Returns the reason when the prompt is not placed.
pub fn place_prompt(
    now: Instant,
    spec: &EngineSpec,
    request: &PlacementRequest,
    upstreams: &[&UpstreamHealth],
    loads: &LoadTracker,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let (cold, warm): (Vec<&UpstreamHealth>, Vec<&UpstreamHealth>) =
        upstreams.iter().partition(|health| health.is_cold(now));
    if !cold.is_empty() && !warm.is_empty() {
        let placement = place_by_rate(now, spec, request, &warm, loads, rng);
        if let Ok(placement) = placement
            && placement.keeps_event_gaps
        {
            return Ok(placement);
        }
    }
    place_by_rate(now, spec, request, upstreams, loads, rng)
}

fn place_by_rate(
    now: Instant,
    spec: &EngineSpec,
    request: &PlacementRequest,
    upstreams: &[&UpstreamHealth],
    loads: &LoadTracker,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let (limited, unlimited): (Vec<&UpstreamHealth>, Vec<&UpstreamHealth>) = upstreams
        .iter()
        .partition(|health| health.is_rate_limited());
    if !limited.is_empty() {
        let preferred = if request.goals.is_strict() {
            unlimited
        } else {
            limited
        };
        let placement = place_among(now, spec, request, &preferred, loads, rng);
        if let Ok(placement) = placement
            && placement.keeps_event_gaps
        {
            return Ok(placement);
        }
    }
    place_among(now, spec, request, upstreams, loads, rng)
}

fn place_among(
    now: Instant,
    spec: &EngineSpec,
    request: &PlacementRequest,
    upstreams: &[&UpstreamHealth],
    loads: &LoadTracker,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let mut candidates: Vec<Candidate<'_>> = upstreams
        .iter()
        .enumerate()
        .map(|(id_order, health)| Candidate {
            health,
            id_order,
            load: loads.engine_load(now, &health.entry.id),
        })
        .collect();
    if candidates.is_empty() {
        return Err(PlacementRefusal::NoUpstream);
    }
    let assumes_others = loads.assumes_others(now);
    let request = &if assumes_others {
        assume_others(spec, request, &candidates)
    } else {
        *request
    };
    if request.goals.is_strict() {
        if assumes_others {
            // Nodes that know nothing would all break ties in the same way.
            let strict_engines = assumed_strict_engines(candidates.len());
            candidates[..strict_engines].shuffle(rng);
        }
        let primary = pick_decode_engine(spec, request, &candidates, rng);
        let primary = primary.ok_or(PlacementRefusal::Full)?;
        let primary = candidates.swap_remove(primary);
        return Ok(place_with_helpers(spec, request, primary, candidates, rng));
    }
    let engine_limit = candidates.len().div_ceil(2);
    if assumes_others {
        exclude_assumed_engines(&mut candidates, rng);
    } else {
        exclude_reserved_engines(spec, &mut candidates);
    }
    if needs_several_engines(spec, request.size) {
        return place_on_idle_engines(spec, request, engine_limit, candidates, rng);
    }
    let engines = max_useful_engines(spec, request).min(candidates.len());
    let primary = if prefill_time(spec, request.size.prompt, engines) <= SMALL_SHARD_TIME {
        pick_decode_engine(spec, request, &candidates, rng)
    } else {
        pick_long_prompt_engine(spec, request, &candidates)
    };
    let primary = primary.ok_or(PlacementRefusal::Full)?;
    let primary = candidates.swap_remove(primary);
    let placement = place_with_helpers(spec, request, primary, candidates, rng);
    match request.wait {
        PlacementWait::Allowed {
            max_prefill_time, ..
        } if placement.time_to_prefill <= max_prefill_time => Ok(placement),
        PlacementWait::Allowed { .. } => Err(PlacementRefusal::Full),
        PlacementWait::Expired
            if placement.time_to_prefill
                > request.goals.first_event.mul_f64(LATE_PREFILL_SHARE) =>
        {
            Err(PlacementRefusal::NeedsIdleEngines)
        }
        PlacementWait::Expired => Ok(placement),
    }
}

/// The request of a node that has just started, as if other nodes had started with it: if
/// each of them assumed that it is alone, all would place their requests on the same few
/// engines.
fn assume_others(
    spec: &EngineSpec,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> PlacementRequest {
    let engines = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    let slots = f64::from(spec.slots) * f64::from(engines);
    let strict = truncate_to_u64(slots * PACKING_TARGET * ASSUMED_STRICT_SHARE);
    let strict = u32::try_from(strict).unwrap_or(u32::MAX);
    // The request itself and what this node knows count among them.
    let known: u32 = candidates.iter().map(|known| known.load.running()).sum();
    let assumed = strict.saturating_sub(known + 1);
    PlacementRequest {
        unreported_strict: request.unreported_strict.max(assumed),
        ..*request
    }
}

fn assumed_strict_engines(engines: usize) -> usize {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let strict = truncate_to_u64(f64::from(engines) * ASSUMED_STRICT_SHARE);
    usize::try_from(strict).unwrap_or(usize::MAX)
}

/// Leaves the engines that strict requests are not assumed to need, in random order, so that
/// nodes that start together don't all pick the same one.
fn exclude_assumed_engines(candidates: &mut Vec<Candidate<'_>>, rng: &mut impl Rng) {
    let strict_engines = assumed_strict_engines(candidates.len());
    candidates.retain(|candidate| candidate.id_order >= strict_engines);
    candidates.shuffle(rng);
    for (order, candidate) in candidates.iter_mut().enumerate() {
        candidate.id_order = order;
    }
}

/// Removes engines that answer no request but are reserved for strict requests: the
/// first by id, as many as `PACKING_TARGET` requires for the current number of
/// requests. A long shard would block such an engine for seconds.
fn exclude_reserved_engines(spec: &EngineSpec, candidates: &mut Vec<Candidate<'_>>) {
    let decoding = candidates
        .iter()
        .filter(|candidate| candidate.load.strict > 0);
    let running: u32 = decoding.map(|candidate| candidate.load.running()).sum();
    let target = f64::from(spec.slots) * PACKING_TARGET;
    let reserved_engines = truncate_to_u64((f64::from(running) / target).ceil());
    let reserved_engines = usize::try_from(reserved_engines).unwrap_or(usize::MAX);
    candidates
        .retain(|candidate| candidate.id_order >= reserved_engines || candidate.load.running() > 0);
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, as wanted"
)]
pub(crate) fn truncate_to_u64(number: f64) -> u64 {
    number as u64
}
