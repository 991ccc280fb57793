//! Picks the upstream of a request, and the engines that read a long prompt
//! together.
//!
//! Requests whose callers accept only short pauses are packed onto as few
//! engines as can write for them, and so are the answers to long prompts; the
//! rest of the engines only read. The borders follow the number of requests at
//! each decision. Parts of a long prompt also go to engines with writers, as
//! long as the pass that reads them stays within the pause.
//!
//! Engines read the newest part first. So the parts of a long prompt go to
//! engines that have nothing else to read, and the next prompt waits for them;
//! only small parts go before others.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineLoad, EngineSpec, LoadTracker, PromptSize, UpstreamHealth,
    pick::{
        max_useful_engines, pick_decode_engine, pick_long_prompt_engine, place_on_idle_engines,
        place_with_helpers, usable_memory,
    },
    prefill_time,
};

/// Share of an engine's places that writers with short pauses fill before the
/// next engine is opened for them.
pub(crate) const PACKING_TARGET: f64 = 0.9;
/// Longest part that may be read before the parts of other prompts: about the
/// shortest part, so that it delays them by no more than a few steps.
pub(crate) const SMALL_SHARD_TIME: Duration = Duration::from_millis(25);
/// Share of the goal within which a prompt must be read once its answer will
/// be late; its caller does better to come back.
const LATE_PREFILL_SHARE: f64 = 0.4;

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream that answers.
    pub upstream: UpstreamId,
    /// Further engines that read a part each.
    pub helpers: Vec<UpstreamId>,
    /// Further engines that read a part and hold memory, in the order in
    /// which it is filled; the first engine holds the rest.
    pub memory_shares: Vec<(UpstreamId, TokenCount)>,
    /// Time to read a part.
    pub shard_time: Duration,
    /// Time that a part takes longer where answers are written.
    pub decode_delay: Duration,
    /// Time until every part is read, as far as known.
    pub prefill_time: Duration,
    /// Whether no pause of another request suffers.
    pub keeps_event_gaps: bool,
}

impl Placement {
    /// Engines that read a part, without the first.
    #[must_use]
    pub fn other_prefill_engines(&self) -> Vec<&str> {
        let shares = self.memory_shares.iter().map(|(id, _)| id);
        self.helpers
            .iter()
            .chain(shares)
            .map(String::as_str)
            .collect()
    }

    /// A request that one upstream serves.
    #[must_use]
    pub fn single_upstream(primary: UpstreamId) -> Self {
        Self {
            upstream: primary,
            helpers: Vec::new(),
            memory_shares: Vec::new(),
            shard_time: Duration::ZERO,
            decode_delay: Duration::ZERO,
            prefill_time: Duration::ZERO,
            keeps_event_gaps: true,
        }
    }
}

/// Why no upstream takes a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementRefusal {
    /// No upstream of the service is known to take work.
    NoUpstream,
    /// Every upstream is full, or too few of them can read the prompt now.
    Full,
    /// The prompt would hold up all others, and too few engines are idle.
    NeedsIdleEngines,
    /// All engines together can't hold the prompt.
    TooLarge,
}

/// A prompt to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Its tokens.
    pub size: PromptSize,
    /// What its caller expects.
    pub goals: LatencyGoals,
    /// Whether it may wait.
    pub wait: PlacementWait,
    /// Short prompts that other nodes have probably placed since their reports.
    pub unreported_strict: u32,
}

/// Whether a prompt may still wait for engines with less to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementWait {
    /// It waits for engines that read it soon enough.
    Allowed {
        /// Longest time in which it must be read.
        max_prefill_time: Duration,
        /// Time until it must have been read.
        remaining: Duration,
    },
    /// It has waited long enough.
    Expired,
}

/// What the caller of a prompt, and those of other prompts, expect.
#[derive(Clone, Copy, Debug)]
pub struct LatencyGoals {
    /// Time until the first event.
    pub first_event: Duration,
    /// Longest pause between events.
    pub event_gap: Duration,
    /// Shortest pause that a route of the service allows.
    pub shortest_event_gap: Duration,
}

impl LatencyGoals {
    /// Whether the caller accepts only the shortest pauses.
    #[must_use]
    pub fn is_strict(&self) -> bool {
        self.event_gap <= self.shortest_event_gap
    }
}

/// An engine that may be picked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) health: &'a UpstreamHealth,
    /// Position by id, which all nodes agree on.
    pub(crate) id_order: usize,
    pub(crate) load: EngineLoad,
}

/// Picks the least busy upstream of a plain service.
///
/// # Errors
///
/// Says why none can be picked.
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
        (failing, busy, rng.random::<u32>())
    });
    let health = least_busy.ok_or(PlacementRefusal::NoUpstream)?;
    Ok(health.entry.id.clone())
}

/// Picks the engines of a prompt.
///
/// # Errors
///
/// Says why none can be picked.
pub fn place_prompt(
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
    if request.goals.is_strict() {
        let primary = pick_decode_engine(spec, request, &candidates, rng);
        let primary = primary.ok_or(PlacementRefusal::Full)?;
        let primary = candidates.swap_remove(primary);
        return Ok(place_with_helpers(spec, request, primary, candidates, rng));
    }
    let engine_limit = candidates.len().div_ceil(2);
    exclude_reserved_engines(spec, &mut candidates);
    if request.size.kv_cache_tokens() > usable_memory(spec) {
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
        } if placement.prefill_time <= max_prefill_time => Ok(placement),
        PlacementWait::Allowed { .. } => Err(PlacementRefusal::Full),
        PlacementWait::Expired
            if placement.prefill_time > request.goals.first_event.mul_f64(LATE_PREFILL_SHARE) =>
        {
            Err(PlacementRefusal::NeedsIdleEngines)
        }
        PlacementWait::Expired => Ok(placement),
    }
}

/// Leaves out engines that are still to be opened for the short prompts there
/// are: a long part would shut them for seconds.
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
