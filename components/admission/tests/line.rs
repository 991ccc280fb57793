//! The waiting line under the loads that it answers. A few engines that each run one
//! request at a time stand for the room; bounds are the callers' goals.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use admission::{EntryId, LengthClass, LineBounds, LineEntry, WaitingLine};

/// Step of the played time.
const STEP: Duration = Duration::from_millis(5);
/// Share of requests that must meet their goals where the room is enough for them.
const SERVED_SHARE: f64 = 0.95;

#[derive(Clone, Debug)]
struct Caller {
    at: Duration,
    organisation: &'static str,
    priority: u8,
    class: LengthClass,
    work: Duration,
    goal: Duration,
    deadline: Duration,
    /// Time after which the caller leaves.
    patience: Duration,
}

/// A short request of 30 ms that should start within 250 ms.
fn short(at_ms: u64, organisation: &'static str) -> Caller {
    Caller {
        at: Duration::from_millis(at_ms),
        organisation,
        priority: 0,
        class: LengthClass::Short,
        work: Duration::from_millis(30),
        goal: Duration::from_millis(250),
        deadline: Duration::from_secs(10),
        patience: Duration::MAX,
    }
}

/// A long request of a second that should start within 4 s.
fn long(at_ms: u64, organisation: &'static str) -> Caller {
    Caller {
        class: LengthClass::Long,
        work: Duration::from_secs(1),
        goal: Duration::from_secs(4),
        deadline: Duration::from_secs(15),
        ..short(at_ms, organisation)
    }
}

/// `per_second` callers a second, evenly, from `from_ms` to `until_ms`.
fn steady(
    per_second: u64,
    from_ms: u64,
    until_ms: u64,
    caller: impl Fn(u64) -> Caller,
) -> Vec<Caller> {
    let count = (until_ms - from_ms) * per_second / 1_000;
    let callers = (0..count).map(|index| caller(from_ms + index * 1_000 / per_second));
    callers.collect()
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    InTime,
    Late,
    Expired,
    Left,
}

/// Plays the callers on engines, whose number may change; returns each one's fate.
fn play(mut callers: Vec<Caller>, engines: impl Fn(Duration) -> usize) -> Vec<(Caller, Fate)> {
    callers.sort_by_key(|caller| caller.at);
    let start = Instant::now();
    let mut line = WaitingLine::default();
    let mut waiting: HashMap<EntryId, Caller> = HashMap::new();
    let mut busy_until: Vec<Duration> = Vec::new();
    let mut fates = Vec::new();
    let mut arriving = callers.into_iter().peekable();
    let mut time = Duration::ZERO;
    while arriving.peek().is_some() || !waiting.is_empty() {
        let now = start + time;
        while let Some(caller) = arriving.next_if(|caller| caller.at <= time) {
            let arrived = start + caller.at;
            let entry = LineEntry {
                organisation: line.intern(Some(&caller.organisation.to_owned())),
                priority: caller.priority,
                class: caller.class,
                cost: u64::try_from(caller.work.as_millis()).unwrap(),
                engine_time: caller.work,
                goal_start: arrived + caller.goal,
                deadline_start: arrived + caller.deadline.saturating_sub(caller.work),
                bytes: 1_000,
            };
            waiting.insert(line.push(now, entry), caller);
        }
        let leaving = waiting.iter();
        let leaving =
            leaving.filter(|(_, caller)| time.saturating_sub(caller.at) >= caller.patience);
        let leaving: Vec<EntryId> = leaving.map(|(id, _)| *id).collect();
        for id in leaving {
            line.remove(now, id);
            fates.push((waiting.remove(&id).unwrap(), Fate::Left));
        }
        while let Some((id, _)) = line.expire(now) {
            fates.push((waiting.remove(&id).unwrap(), Fate::Expired));
        }
        busy_until.retain(|until| *until > time);
        while busy_until.len() < engines(time)
            && let Some(id) = line.next_in_order(now, 1).first().copied()
        {
            line.take_to_start(now, id).unwrap();
            // A request that was told to leave but stayed in line costs its room.
            let Some(caller) = waiting.remove(&id) else {
                busy_until.push(time + Duration::from_millis(30));
                continue;
            };
            busy_until.push(time + caller.work);
            let fate = if time.saturating_sub(caller.at) <= caller.goal {
                Fate::InTime
            } else {
                Fate::Late
            };
            fates.push((caller, fate));
        }
        time += STEP;
    }
    assert!(line.is_empty());
    fates
}

/// Share of the callers that meet their goal, of those that `counts` accepts.
fn share_in_time(fates: &[(Caller, Fate)], counts: impl Fn(&Caller) -> bool) -> f64 {
    let counted = fates.iter().filter(|(caller, _)| counts(caller));
    let in_time = counted
        .clone()
        .filter(|(_, fate)| *fate == Fate::InTime)
        .count();
    f64::from(u32::try_from(in_time).unwrap()) / f64::from(u32::try_from(counted.count()).unwrap())
}

fn is_short(caller: &Caller) -> bool {
    caller.class == LengthClass::Short
}

/// Load: phases of 8 s, first of more short requests than there is room for, then of
/// long ones that fill it, while a few of the other kind keep coming.
#[test]
fn alternating_phases_starve_neither_short_nor_long_requests() {
    let mut callers = Vec::new();
    for phase in 0..4 {
        let (from, until) = (phase * 8_000, (phase + 1) * 8_000);
        let (shorts, longs) = if phase % 2 == 0 { (450, 1) } else { (50, 8) };
        callers.extend(steady(shorts, from, until, |at| short(at, "kiosks")));
        callers.extend(steady(longs, from, until, |at| long(at, "reviews")));
    }
    let fates = play(callers, |_| 10);
    let in_phase =
        |caller: &Caller, even: bool| (caller.at.as_secs() / 8).is_multiple_of(2) == even;
    let longs = share_in_time(&fates, |caller| !is_short(caller) && in_phase(caller, true));
    assert!(
        longs >= SERVED_SHARE,
        "long ones in the short phase: {longs}"
    );
    let shorts = share_in_time(&fates, |caller| is_short(caller) && in_phase(caller, false));
    assert!(
        shorts >= SERVED_SHARE,
        "short ones in the long phase: {shorts}"
    );
}

/// Load: 600 short requests of one organisation at once, then half of what there is room
/// for.
#[test]
fn a_burst_of_one_class_costs_only_its_own_requests() {
    let burst = (0..600).map(|_| short(1_000, "market"));
    let later = steady(160, 1_500, 6_000, |at| short(at, "market"));
    let callers = burst.chain(later).collect();
    let fates = play(callers, |_| 10);
    let later = share_in_time(&fates, |caller| caller.at >= Duration::from_millis(1_500));
    assert!(later >= SERVED_SHARE, "after the burst: {later}");
    let unserved = fates
        .iter()
        .filter(|(_, fate)| *fate == Fate::Expired)
        .count();
    assert_eq!(unserved, 0, "late requests are served, behind the others");
}

/// Load: one organisation asks for three times the room, nine others for half of it.
#[test]
fn one_hot_organisation_takes_nothing_from_the_others() {
    let others = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let mut callers = steady(1_000, 0, 5_000, |at| short(at, "hot"));
    for organisation in others {
        callers.extend(steady(18, 0, 5_000, |at| short(at, organisation)));
    }
    let fates = play(callers, |_| 10);
    for organisation in others {
        let served = share_in_time(&fates, |caller| caller.organisation == organisation);
        assert!(served >= SERVED_SHARE, "{organisation}: {served}");
    }
}

/// Load: callers of one organisation leave after 100 ms and repeat at once, so that
/// their requests are always new ones; others wait patiently.
#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    let mut callers = Vec::new();
    for repeat in 0..40 {
        let repeated = |at| Caller {
            patience: Duration::from_millis(100),
            goal: Duration::from_millis(100),
            ..short(at, "impatient")
        };
        callers.extend((0..90).map(|_| repeated(repeat * 100)));
    }
    callers.extend(steady(150, 0, 4_000, |at| short(at, "patient")));
    let fates = play(callers, |_| 10);
    let patient = share_in_time(&fates, |caller| caller.organisation == "patient");
    assert!(patient >= SERVED_SHARE, "patient callers: {patient}");
}

/// Load: twice as many requests of one organisation as there is room for; two in three
/// of the callers leave after 20 ms.
#[test]
fn callers_that_leave_early_take_no_room() {
    let patient = |at| Caller {
        goal: Duration::from_millis(500),
        ..short(at, "kiosks")
    };
    let mut callers = steady(220, 0, 5_000, patient);
    callers.extend(steady(440, 0, 5_000, |at| Caller {
        patience: Duration::from_millis(20),
        ..patient(at)
    }));
    let fates = play(callers, |_| 10);
    let staying = share_in_time(&fates, |caller| caller.patience == Duration::MAX);
    assert!(staying >= SERVED_SHARE, "callers that stay: {staying}");
}

/// Load: a third of the engines are lost for the second half of a load that filled
/// them by nine tenths; three in ten of the requests are urgent.
#[test]
fn losing_a_third_of_the_engines_keeps_the_room_that_is_left_useful() {
    let mut callers = steady(108, 0, 10_000, |at| short(at, "residents"));
    callers.extend(steady(252, 0, 10_000, |at| Caller {
        priority: 3,
        ..short(at, "residents")
    }));
    let is_peak = |time: Duration| time >= Duration::from_secs(5);
    let fates = play(callers, |time| if is_peak(time) { 8 } else { 12 });
    let urgent = share_in_time(&fates, |caller| caller.priority == 0);
    assert!(urgent >= SERVED_SHARE, "urgent ones: {urgent}");
    // Eight engines run 266 a second, of which the urgent ones leave 158 for 252.
    let room = 158.0 / 252.0;
    let others = share_in_time(&fates, |caller| caller.priority == 3 && is_peak(caller.at));
    assert!(others >= room * 0.9, "of the others in the peak: {others}");
}

/// Load: urgent requests alone are more than there is room for.
#[test]
fn a_low_priority_never_starves_altogether() {
    let mut callers = steady(500, 0, 9_000, |at| short(at, "urgent"));
    callers.extend(steady(10, 0, 5_000, |at| Caller {
        priority: 9,
        ..short(at, "batch")
    }));
    let fates = play(callers, |_| 10);
    let batch = fates.iter().filter(|(caller, _)| caller.priority == 9);
    let expired = batch.filter(|(_, fate)| *fate == Fate::Expired).count();
    assert_eq!(expired, 0, "requests of low priority that never ran");
}

#[test]
fn a_line_over_its_bounds_gives_up_the_last_in_order() {
    let now = Instant::now();
    let mut line = WaitingLine::default();
    let entry = |organisation, priority, bytes| LineEntry {
        organisation,
        priority,
        class: LengthClass::Short,
        cost: 1,
        engine_time: Duration::from_millis(30),
        goal_start: now,
        deadline_start: now,
        bytes,
    };
    let small = line.intern(Some(&"small".to_owned()));
    let large = line.intern(Some(&"large".to_owned()));
    line.record_immediate_start(&entry(large, 0, 0));
    let bounds = LineBounds {
        requests: 3,
        bytes: 1_000,
    };
    let first = line.push(now, entry(small, 0, 100));
    let of_large = line.push(now, entry(large, 0, 100));
    let last = line.push(now, entry(small, 5, 100));
    assert!(line.is_within(bounds));
    line.push(now, entry(small, 0, 100));
    assert!(!line.is_within(bounds));
    assert_eq!(line.evict(now).map(|(id, _)| id), Some(last));
    assert!(line.is_within(bounds));
    line.push(now, entry(small, 0, 900));
    assert_eq!(line.evict(now).map(|(id, _)| id), Some(of_large));
    assert_eq!(line.place_of(first), Some(0));
}
