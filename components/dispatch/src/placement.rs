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

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt, seq::IteratorRandom};
use types::{TokenCount, UpstreamId};

use crate::{EngineLoad, EngineSpec, LoadBook, PromptSize, UpstreamView, read_time};

/// Most engines that read one prompt: the first and sixteen helpers.
const READERS_MAX: usize = 17;
/// Time of a part below which a further reader saves nothing: the time of a
/// few steps, so that the hop and the wait for a pass outweigh it.
const PART_MIN: Duration = Duration::from_millis(18);
/// Share of an engine's places that writers with short pauses fill before the
/// next engine is opened for them.
const PACKED_SHARE: f64 = 0.8;
/// Share of a pause that a pass may take, so that delays on the way fit too.
const PASS_SHARE: f64 = 0.75;
/// Passes of an engine's writers that a part waits for: half of one under way,
/// and the one that reads it.
const PASS_LAG: f64 = 1.5;
/// Share of memory that placements count on; answers are shorter than their
/// limit, and reports of other nodes lag.
const MEMORY_SHARE: f64 = 0.95;

/// Longest part that may be read before the parts of other prompts: about the
/// shortest part, so that it delays them by no more than a few steps.
const SMALL_PART: Duration = Duration::from_millis(25);
/// Share of the goal within which a prompt must be read once its answer will
/// be late; its caller does better to come back.
const LATE_READ_SHARE: f64 = 0.4;

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream that answers.
    pub first: UpstreamId,
    /// Further engines that read a part each.
    pub helpers: Vec<UpstreamId>,
    /// Further engines that read a part and hold memory, in the order in
    /// which it is filled; the first engine holds the rest.
    pub shares: Vec<(UpstreamId, TokenCount)>,
    /// Time to read a part.
    pub part: Duration,
    /// Time that a part takes longer where answers are written.
    pub pass: Duration,
    /// Time until every part is read, as far as known.
    pub read: Duration,
    /// Whether no pause of another request suffers.
    pub harmless: bool,
}

impl Placement {
    /// Engines that read a part, without the first.
    #[must_use]
    pub fn readers_beside_first(&self) -> Vec<&str> {
        let shares = self.shares.iter().map(|(id, _)| id);
        self.helpers
            .iter()
            .chain(shares)
            .map(String::as_str)
            .collect()
    }

    /// A request that one upstream serves.
    #[must_use]
    pub fn alone(first: UpstreamId) -> Self {
        Self {
            first,
            helpers: Vec::new(),
            shares: Vec::new(),
            part: Duration::ZERO,
            pass: Duration::ZERO,
            read: Duration::ZERO,
            harmless: true,
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
    NeedsQuiet,
    /// All engines together can't hold the prompt.
    TooLarge,
}

/// A prompt to place.
#[derive(Clone, Copy, Debug)]
pub struct PromptAsk {
    /// Its tokens.
    pub size: PromptSize,
    /// What its caller expects.
    pub goals: PromptGoals,
    /// Whether it may wait.
    pub patience: PlacePatience,
}

/// Whether a prompt may still wait for engines with less to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacePatience {
    /// It waits for engines that read it soon enough.
    Waits {
        /// Longest time in which it must be read.
        longest_read: Duration,
        /// Time until it must have been read.
        left: Duration,
    },
    /// It has waited long enough.
    Over,
}

/// What the caller of a prompt, and those of other prompts, expect.
#[derive(Clone, Copy, Debug)]
pub struct PromptGoals {
    /// Time until the first event.
    pub first_event: Duration,
    /// Longest pause between events.
    pub gap: Duration,
    /// Shortest pause that a route of the service allows.
    pub tightest_gap: Duration,
    /// Longest time until the first event that a route of the service allows.
    pub longest_first: Duration,
}

impl PromptGoals {
    /// Whether the caller accepts only the shortest pauses.
    #[must_use]
    pub fn tight(&self) -> bool {
        self.gap <= self.tightest_gap
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    view: &'a UpstreamView,
    /// Position by id, which all nodes agree on.
    rank: usize,
    load: EngineLoad,
}

/// Picks the least busy upstream of a plain service.
///
/// # Errors
///
/// Says why none can be picked.
pub fn place_call(
    now: Instant,
    upstreams: &[&UpstreamView],
    loads: &LoadBook,
    rng: &mut impl Rng,
) -> Result<UpstreamId, PlacementRefusal> {
    let least = upstreams.iter().min_by_key(|view| {
        let running = loads.load(now, &view.entry.id).running();
        let busy = 1000 * running / view.entry.places.max(1);
        let failing = whole(view.failure_share(now) * 10.0);
        (failing, busy, rng.random::<u32>())
    });
    let view = least.ok_or(PlacementRefusal::NoUpstream)?;
    Ok(view.entry.id.clone())
}

/// Picks the engines of a prompt.
///
/// # Errors
///
/// Says why none can be picked.
pub fn place_prompt(
    now: Instant,
    spec: &EngineSpec,
    ask: &PromptAsk,
    upstreams: &[&UpstreamView],
    loads: &LoadBook,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let mut candidates: Vec<Candidate<'_>> = upstreams
        .iter()
        .enumerate()
        .map(|(rank, view)| Candidate {
            view,
            rank,
            load: loads.load(now, &view.entry.id),
        })
        .collect();
    if candidates.is_empty() {
        return Err(PlacementRefusal::NoUpstream);
    }
    if ask.goals.tight() {
        let first = pick_writer(spec, ask, &candidates, rng);
        let first = first.ok_or(PlacementRefusal::Full)?;
        let first = candidates.swap_remove(first);
        return Ok(with_helpers(spec, ask, first, candidates, rng));
    }
    let most_apart = candidates.len().div_ceil(2).min(READERS_MAX);
    keep_places(spec, &mut candidates);
    if ask.size.memory() > usable_memory(spec) {
        return read_apart(spec, ask, most_apart, candidates, rng);
    }
    let readers = wanted_readers(spec, ask).min(candidates.len());
    let first = if read_time(spec, ask.size.prompt, readers) <= SMALL_PART {
        pick_writer(spec, ask, &candidates, rng)
    } else {
        pick_reader(spec, ask, &candidates)
    };
    let first = first.ok_or(PlacementRefusal::Full)?;
    let first = candidates.swap_remove(first);
    let placed = with_helpers(spec, ask, first, candidates, rng);
    match ask.patience {
        PlacePatience::Waits { longest_read, .. } if placed.read <= longest_read => Ok(placed),
        PlacePatience::Waits { .. } => Err(PlacementRefusal::Full),
        PlacePatience::Over if placed.read > ask.goals.first_event.mul_f64(LATE_READ_SHARE) => {
            Err(PlacementRefusal::NeedsQuiet)
        }
        PlacePatience::Over => Ok(placed),
    }
}

/// Leaves out engines that are still to be opened for the short prompts there
/// are: a long part would shut them for seconds.
fn keep_places(spec: &EngineSpec, candidates: &mut Vec<Candidate<'_>>) {
    let writing = candidates.iter().filter(|one| one.load.tight > 0);
    let writers: u32 = writing.map(|one| one.load.running()).sum();
    let target = f64::from(spec.places) * PACKED_SHARE;
    let needed = whole((f64::from(writers) / target).ceil());
    let needed = usize::try_from(needed).unwrap_or(usize::MAX);
    candidates.retain(|one| one.rank >= needed || one.load.running() > 0);
}

/// Time that reading may add to a pass of this engine.
fn reading_allowance(spec: &EngineSpec, ask: &PromptAsk, load: &EngineLoad) -> Duration {
    let pass = spec.pass_time(load.running() + 1, load.memory);
    let gap = if load.tight > 0 {
        ask.goals.tightest_gap
    } else if let Some(gap) = load.loose_gap {
        gap
    } else {
        return Duration::MAX;
    };
    gap.mul_f64(PASS_SHARE).saturating_sub(pass)
}

fn has_room(spec: &EngineSpec, ask: &PromptAsk, load: &EngineLoad) -> bool {
    load.running() < spec.places && load.memory + ask.size.memory() <= usable_memory(spec)
}

/// An engine among those that are open for short pauses: the less busy of two,
/// since nodes with the same summaries would all pick the same least busy one.
fn pick_writer(
    spec: &EngineSpec,
    ask: &PromptAsk,
    candidates: &[Candidate<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    let writing = candidates.iter().filter(|one| one.load.tight > 0);
    let writers: u32 = writing.map(|one| one.load.running()).sum();
    let target = f64::from(spec.places) * PACKED_SHARE;
    let open = whole((f64::from(writers + 1) / target).ceil());
    let open = usize::try_from(open).unwrap_or(usize::MAX);
    let own = read_time(spec, ask.size.prompt, 1).min(PART_MIN * 2);
    let fits = |one: &Candidate<'_>| {
        has_room(spec, ask, &one.load)
            && one.load.reading + own <= reading_allowance(spec, ask, &one.load)
    };
    let best = |range: &[Candidate<'_>], rng: &mut _| {
        let fitting = range.iter().enumerate().filter(|(_, one)| fits(one));
        let two = fitting.sample(rng, 2).into_iter();
        two.min_by_key(|(_, one)| (one.load.running(), one.load.reading))
            .map(|(index, _)| index)
    };
    let open = open.min(candidates.len());
    best(&candidates[..open], rng)
        .or_else(|| best(candidates, rng))
        .or_else(|| {
            let roomy = candidates.iter().enumerate();
            roomy
                .filter(|(_, one)| has_room(spec, ask, &one.load))
                .min_by_key(|(_, one)| (one.load.reading, one.load.running()))
                .map(|(index, _)| index)
        })
}

/// An engine for the answer to a long prompt. Answers are written on few
/// engines, so that the others read without the steps of writers in between.
fn pick_reader(spec: &EngineSpec, ask: &PromptAsk, candidates: &[Candidate<'_>]) -> Option<usize> {
    let readers = wanted_readers(spec, ask).min(candidates.len());
    let part = read_time(spec, ask.size.prompt, readers);
    let roomy = candidates.iter().enumerate();
    roomy
        .filter(|(_, one)| has_room(spec, ask, &one.load))
        .min_by_key(|(index, one)| {
            let load = &one.load;
            let harmful = load.reading + part > reading_allowance(spec, ask, load);
            let kind = match (load.tight, load.loose) {
                (0, 1..) => 0,
                (0, 0) => 1,
                _ => 2,
            };
            (harmful, kind, load.reading, Reverse(*index))
        })
        .map(|(index, _)| index)
}

/// Engines that may read a prompt before the parts get too short.
fn wanted_readers(spec: &EngineSpec, ask: &PromptAsk) -> usize {
    let whole_read = read_time(spec, ask.size.prompt, 1);
    let wanted = whole(whole_read.as_secs_f64() / PART_MIN.as_secs_f64());
    usize::try_from(wanted)
        .unwrap_or(usize::MAX)
        .clamp(1, READERS_MAX)
}

/// Time that a part waits at an engine beside the reading before it: writers
/// there have a pass under way, and one more while it is read.
fn pass_lag(spec: &EngineSpec, load: &EngineLoad) -> Duration {
    if load.running() == 0 {
        return Duration::ZERO;
    }
    spec.pass_time(load.running(), load.memory)
        .mul_f64(PASS_LAG)
}

fn with_helpers(
    spec: &EngineSpec,
    ask: &PromptAsk,
    first: Candidate<'_>,
    mut others: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Placement {
    let whole_read = read_time(spec, ask.size.prompt, 1);
    // Parts go before an engine's own prompts, which would wait without end.
    others.retain(|one| one.load.unanswered == 0);
    let most = wanted_readers(spec, ask).min(others.len() + 1);
    let before = |load: &EngineLoad| load.reading + pass_lag(spec, load);
    others.sort_by_cached_key(|one| (before(&one.load), tie(rng)));
    let mut best: Option<(Duration, Vec<usize>)> = None;
    for readers in (1..=most).rev() {
        let part = read_time(spec, ask.size.prompt, readers);
        let fitting: Vec<usize> = others
            .iter()
            .enumerate()
            .filter(|(_, one)| one.load.reading.is_zero() || part <= SMALL_PART)
            .filter(|(_, one)| one.load.reading + part <= reading_allowance(spec, ask, &one.load))
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
    let part = read_time(spec, ask.size.prompt, helpers.len() + 1);
    let harmless = first.load.reading + part <= reading_allowance(spec, ask, &first.load);
    let helpers = helpers
        .into_iter()
        .map(|index| others[index].view.entry.id.clone())
        .collect();
    Placement {
        first: first.view.entry.id.clone(),
        helpers,
        shares: Vec::new(),
        part,
        pass: spec.pass_time(spec.places / 2, 0).mul_f64(PASS_LAG),
        read,
        harmless,
    }
}

/// Engines without other work for a prompt that no engine can hold: `most` at
/// most, which is half of all.
fn read_apart(
    spec: &EngineSpec,
    ask: &PromptAsk,
    most: usize,
    mut candidates: Vec<Candidate<'_>>,
    rng: &mut impl Rng,
) -> Result<Placement, PlacementRefusal> {
    let usable = usable_memory(spec);
    let most_tokens = usable.saturating_mul(u64::try_from(most).unwrap_or(u64::MAX));
    if ask.size.memory() > most_tokens {
        return Err(PlacementRefusal::TooLarge);
    }
    let for_memory = ask.size.memory().div_ceil(usable.max(1));
    let PlacePatience::Waits { longest_read, left } = ask.patience else {
        return Err(PlacementRefusal::NeedsQuiet);
    };
    let needed = usize::try_from(for_memory).unwrap_or(usize::MAX);
    let made_by = |engines: usize, time: Duration| {
        engines >= needed && read_time(spec, ask.size.prompt, engines) <= time
    };
    // Writers go on for longer than a prompt may wait.
    candidates.retain(|one| one.load.running() == 0);
    if !made_by(candidates.len().min(most), left) {
        return Err(PlacementRefusal::NeedsQuiet);
    }
    candidates.retain(|one| one.load.reading.is_zero());
    candidates.sort_by_cached_key(|one| (Reverse(one.rank), tie(rng)));
    let readers = candidates.len().min(most);
    if !made_by(readers, longest_read) {
        return Err(PlacementRefusal::Full);
    }
    let share = ask
        .size
        .memory()
        .div_ceil(u64::try_from(readers).unwrap_or(u64::MAX));
    let ids = candidates[..readers].iter();
    let mut ids = ids.map(|one| one.view.entry.id.clone());
    let first = ids.next().ok_or(PlacementRefusal::NoUpstream)?;
    let others: Vec<UpstreamId> = ids.collect();
    let part = read_time(spec, ask.size.prompt, readers);
    let (helpers, shares) = if for_memory > 1 {
        let shares = others.into_iter().map(|id| (id, share)).collect();
        (Vec::new(), shares)
    } else {
        (others, Vec::new())
    };
    Ok(Placement {
        first,
        helpers,
        shares,
        part,
        pass: spec.pass_time(spec.places / 2, 0).mul_f64(PASS_LAG),
        read: part,
        harmless: true,
    })
}

fn usable_memory(spec: &EngineSpec) -> TokenCount {
    whole(float(spec.memory) * MEMORY_SHARE)
}

fn tie(rng: &mut impl Rng) -> u8 {
    rng.random()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, as wanted"
)]
fn whole(number: f64) -> u64 {
    number as u64
}
