//! Breadth-first search of every interleaving of a few attempts at one order,
//! with a store that loses and delays writes, pauses, crashes and resends.
//!
//! A pause is an attempt that is not scheduled. Every state that is reached is
//! checked; a guard that is taken away must lead to a state that fails.

use std::{
    collections::{HashSet, VecDeque},
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    time::{Duration, SystemTime},
};

use orders::{
    AttemptAction, AttemptEvent, AttemptPlan, DoubtCause, GuardSet, OrderAttempt, OrderGuard,
    OrderOutcome, OrderPhase, OrderVerdict, OrderWrite, PendingSettlement, RecordedAnswer,
    RefusalCause, RefusalScope, ResendRule, RowCondition, SendResult, SettleStep, VersionedRow,
    settle_manually, settle_step, sweep_step,
};

const TICK: Duration = Duration::from_hours(1);

#[derive(Clone, Eq, Hash, PartialEq)]
enum Pending {
    NotBegun,
    Read,
    Write(Box<OrderWrite>),
    Send,
    Over,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct Actor {
    attempt: OrderAttempt,
    pending: Pending,
    answer: Option<OrderOutcome>,
    /// Attempts that had begun to send before this one began.
    sent_before: Vec<usize>,
    sent: bool,
    late_answer: bool,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct World {
    ticks: u32,
    ticks_left: u32,
    faults_left: u32,
    row: Option<VersionedRow>,
    actors: Vec<Actor>,
    delayed_writes: Vec<OrderWrite>,
    delayed_sends: Vec<usize>,
    owed: Vec<PendingSettlement>,
    /// Attempts whose order reached the service, in order.
    arrivals: Vec<usize>,
}

#[derive(Clone)]
struct Scenario {
    /// Body and rule of each attempt.
    attempts: Vec<(&'static str, ResendRule)>,
    guards: GuardSet,
    faults: u32,
    ticks: u32,
}

struct Search {
    states: usize,
    violation: Option<String>,
    /// Quiet states (nothing pending) in which every attempt has an answer.
    answered: usize,
}

fn plan(index: usize, body: &str, rule: ResendRule) -> AttemptPlan {
    AttemptPlan {
        tag: format!("attempt-{index}"),
        node: format!("node-{index}"),
        digest: body.to_owned(),
        rule,
        send_limit: Duration::from_secs(10),
        deadline: SystemTime::UNIX_EPOCH + TICK * 100,
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "ok".to_owned(),
        truncated: false,
    }
}

impl Scenario {
    fn world(&self) -> World {
        let actors = self.attempts.iter().enumerate();
        World {
            ticks: 1,
            ticks_left: self.ticks,
            faults_left: self.faults,
            row: None,
            actors: actors
                .map(|(index, (body, rule))| Actor {
                    attempt: OrderAttempt::new(plan(index, body, *rule), self.guards),
                    pending: Pending::NotBegun,
                    answer: None,
                    sent_before: Vec::new(),
                    sent: false,
                    late_answer: false,
                })
                .collect(),
            delayed_writes: Vec::new(),
            delayed_sends: Vec::new(),
            owed: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn search(&self) -> Search {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let first = self.world();
        let mut seen = HashSet::from([hasher.hash_one(&first)]);
        let mut queue = VecDeque::from([first]);
        let mut answered = 0;
        while let Some(world) = queue.pop_front() {
            if let Some(violation) = world.violation(self) {
                return Search {
                    states: seen.len(),
                    violation: Some(violation),
                    answered,
                };
            }
            answered += usize::from(world.actors.iter().all(|actor| actor.answer.is_some()));
            for next in world.successors(self) {
                if seen.insert(hasher.hash_one(&next)) {
                    queue.push_back(next);
                }
            }
        }
        Search {
            states: seen.len(),
            violation: None,
            answered,
        }
    }
}

impl World {
    fn now(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + TICK * self.ticks
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// A successor that uses up one fault; none when there are no more.
    fn faulty(&self, change: impl FnOnce(&mut Self)) -> Option<Self> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(self.with(|next| {
            next.faults_left = faults_left;
            change(next);
        }))
    }

    fn apply(&mut self, write: &OrderWrite) -> Option<u64> {
        let version = self.row.as_ref().map(|found| found.version);
        let met = match write.expected {
            RowCondition::Absent => version.is_none(),
            RowCondition::Version(expected) => version == Some(expected),
            RowCondition::Any => true,
        };
        let version = version.unwrap_or(0) + 1;
        met.then(|| {
            let row = write.row.clone();
            self.row = Some(VersionedRow { version, row });
            version
        })
    }

    fn step(&mut self, index: usize, event: AttemptEvent) {
        let now = self.now();
        let actor = &mut self.actors[index];
        match actor.attempt.step(now, event) {
            AttemptAction::Write(write) => actor.pending = Pending::Write(Box::new(write)),
            AttemptAction::Read => actor.pending = Pending::Read,
            AttemptAction::Send { .. } => {
                actor.sent = true;
                actor.pending = Pending::Send;
            }
            AttemptAction::Finish(end) => {
                actor.pending = Pending::Over;
                actor.answer.get_or_insert(end.outcome);
                self.owed.extend(end.pending);
            }
            AttemptAction::Ignore => {}
        }
    }

    fn successors(&self, scenario: &Scenario) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.actors.len() {
            self.actor_moves(index, scenario, &mut next);
        }
        self.store_moves(&mut next);
        for (place, index) in self.delayed_sends.iter().enumerate() {
            next.push(self.with(|world| {
                world.delayed_sends.remove(place);
                world.arrivals.push(*index);
            }));
        }
        if self.ticks_left > 0 {
            next.push(self.with(|world| {
                world.ticks_left -= 1;
                world.ticks += 1;
            }));
        }
        next
    }

    fn store_moves(&self, next: &mut Vec<Self>) {
        for place in 0..self.delayed_writes.len() {
            next.push(self.with(|world| {
                let write = world.delayed_writes.remove(place);
                world.apply(&write);
            }));
        }
        for place in 0..self.owed.len() {
            next.push(self.with(|world| {
                let owed = world.owed.remove(place);
                let step = settle_step(world.row.as_ref(), &owed, world.now());
                if let SettleStep::Write(write) = step {
                    world.apply(&write);
                }
            }));
        }
        self.hand_moves(next);
        let swept = self
            .row
            .as_ref()
            .and_then(|found| sweep_step(found, self.now()));
        if let Some(write) = swept {
            next.push(self.with(|world| {
                world.apply(&write);
            }));
        }
    }

    /// An operator settles by what the service shows, once every process that
    /// may have sent is gone and nothing is on its way.
    fn hand_moves(&self, next: &mut Vec<Self>) {
        let Some(found) = &self.row else {
            return;
        };
        let gone = |actor: &Actor| {
            let tag = actor.attempt.tag();
            let named = found.row.attempt == *tag || found.row.earlier.contains(tag);
            !named || actor.pending == Pending::Over
        };
        if !self.delayed_sends.is_empty() || !self.actors.iter().all(gone) {
            return;
        }
        let verdict = if self.arrivals.is_empty() {
            let cause = RefusalCause::SettledByHand;
            OrderVerdict::NotRun { cause }
        } else {
            OrderVerdict::Done { answer: answer() }
        };
        if let Ok(write) = settle_manually(Some(found), &verdict, self.now()) {
            next.push(self.with(|world| {
                world.apply(&write);
            }));
        }
    }

    fn actor_moves(&self, index: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let actor = &self.actors[index];
        match &actor.pending {
            Pending::NotBegun => next.push(self.with(|world| {
                let senders = world.actors.iter().enumerate();
                let sent = senders.filter(|(_, actor)| actor.sent).map(|(at, _)| at);
                world.actors[index].sent_before = sent.collect();
                world.step(index, AttemptEvent::Submitted);
            })),
            Pending::Read => {
                let found = self.row.clone();
                next.push(self.with(|world| world.step(index, AttemptEvent::RowRead(found))));
                next.extend(self.faulty(|world| world.step(index, AttemptEvent::ReadFailed)));
            }
            Pending::Write(write) => self.write_moves(index, write, next),
            Pending::Send => self.send_moves(index, next),
            Pending::Over => self.late_moves(index, scenario, next),
        }
        if !matches!(actor.pending, Pending::NotBegun | Pending::Over) {
            // A crash: what was under way in the network is covered by faults.
            next.extend(self.faulty(|world| world.actors[index].pending = Pending::Over));
        }
    }

    fn write_moves(&self, index: usize, write: &OrderWrite, next: &mut Vec<Self>) {
        next.push(self.with(|world| {
            let event = world
                .apply(write)
                .map_or(AttemptEvent::WriteConflicted, AttemptEvent::RowWritten);
            world.step(index, event);
        }));
        next.extend(self.faulty(|world| {
            world.apply(write);
            world.step(index, AttemptEvent::WriteUnknown);
        }));
        next.extend(self.faulty(|world| {
            world.delayed_writes.push(write.clone());
            world.step(index, AttemptEvent::WriteUnknown);
        }));
        next.extend(self.faulty(|world| world.step(index, AttemptEvent::WriteFailed)));
    }

    fn send_moves(&self, index: usize, next: &mut Vec<Self>) {
        let lost = || AttemptEvent::SendEnded(SendResult::Unknown(DoubtCause::AnswerLost));
        next.push(self.with(|world| {
            world.arrivals.push(index);
            world.step(
                index,
                AttemptEvent::SendEnded(SendResult::Answered(answer())),
            );
        }));
        next.extend(self.faulty(|world| {
            world.arrivals.push(index);
            world.actors[index].late_answer = true;
            world.step(index, lost());
        }));
        next.extend(self.faulty(|world| {
            world.delayed_sends.push(index);
            world.step(index, lost());
        }));
        let cause = RefusalCause::ServiceUnreachable;
        next.extend(self.faulty(|world| {
            world.step(index, AttemptEvent::SendEnded(SendResult::NotRun(cause)));
        }));
    }

    fn late_moves(&self, index: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let actor = &self.actors[index];
        if actor.late_answer {
            next.push(self.with(|world| {
                world.actors[index].late_answer = false;
                let verdict = OrderVerdict::Done { answer: answer() };
                let tag = actor.attempt.tag().clone();
                world.owed.push(PendingSettlement { tag, verdict });
            }));
        }
        // The answered attempt sees its row show up after all.
        let stays = scenario.guards.holds(OrderGuard::RefusalIsFinal);
        if !stays && !actor.sent && actor.answer.is_some() && self.row.is_some() {
            let found = self.row.clone();
            next.push(self.with(|world| world.step(index, AttemptEvent::RowRead(found))));
        }
    }

    fn ran(&self, index: usize) -> bool {
        self.arrivals.contains(&index) || self.delayed_sends.contains(&index)
    }

    fn effects(&self, scenario: &Scenario) -> usize {
        let keyed = |index: &&usize| scenario.attempts[**index].1 == ResendRule::Keyed;
        let with_key = self.arrivals.iter().filter(keyed).count();
        self.arrivals.len() - with_key + with_key.min(1)
    }

    fn violation(&self, scenario: &Scenario) -> Option<String> {
        if self.effects(scenario) > 1 {
            return Some(format!("the order ran for attempts {:?}", self.arrivals));
        }
        let row_says_not_run = self.row.as_ref().is_some_and(|found| {
            matches!(
                found.row.phase,
                OrderPhase::Settled(OrderVerdict::NotRun { .. })
            )
        });
        let sending = self
            .actors
            .iter()
            .any(|actor| actor.pending == Pending::Send);
        let any_ran = (0..self.actors.len()).any(|index| self.ran(index));
        if row_says_not_run && (sending || any_ran) {
            return Some("the row says not run, and it ran or may".to_owned());
        }
        (0..self.actors.len()).find_map(|index| self.false_answer(index, scenario))
    }

    fn false_answer(&self, index: usize, scenario: &Scenario) -> Option<String> {
        let actor = &self.actors[index];
        match actor.answer.as_ref()? {
            OrderOutcome::Refused { scope, .. } => {
                let before = actor.sent_before.iter().any(|sender| self.ran(*sender));
                let false_for_order = *scope == RefusalScope::Order && before;
                (self.ran(index) || false_for_order)
                    .then(|| format!("attempt {index} was told {scope:?} not run, and it ran"))
            }
            OrderOutcome::Done { .. } => {
                let body = scenario.attempts[index].0;
                let own = |sender: &usize| scenario.attempts[*sender].0 == body;
                (!self.arrivals.iter().any(own))
                    .then(|| format!("attempt {index} was told done, and its body never ran"))
            }
            OrderOutcome::InDoubt { .. } | OrderOutcome::InProgress => None,
        }
    }
}

/// `ORDER_MODEL_FAULTS` adds faults to what CI searches.
fn added_faults() -> u32 {
    let asked = std::env::var("ORDER_MODEL_FAULTS").ok();
    asked.and_then(|count| count.parse().ok()).unwrap_or(0)
}

fn scenario(attempts: &[(&'static str, ResendRule)], faults: u32, ticks: u32) -> Scenario {
    Scenario {
        attempts: attempts.to_vec(),
        guards: GuardSet::default(),
        faults,
        ticks,
    }
}

fn assert_holds(scenario: &Scenario) -> Search {
    let mut scenario = scenario.clone();
    scenario.faults += added_faults();
    let search = scenario.search();
    println!("{} states, {} answered", search.states, search.answered);
    assert_eq!(search.violation, None);
    assert!(search.answered > 0);
    search
}

const NEVER: (&str, ResendRule) = ("body", ResendRule::Never);
const KEYED: (&str, ResendRule) = ("body", ResendRule::Keyed);

#[test]
fn two_attempts_at_a_service_without_guarantee() {
    assert_holds(&scenario(&[NEVER, NEVER], 2, 1));
}

#[test]
fn three_attempts_at_a_service_without_guarantee() {
    assert_holds(&scenario(&[NEVER, NEVER, NEVER], 1, 1));
}

#[test]
fn two_attempts_at_a_service_that_deduplicates() {
    assert_holds(&scenario(&[KEYED, KEYED], 2, 1));
}

#[test]
fn three_attempts_at_a_service_that_deduplicates() {
    assert_holds(&scenario(&[KEYED, KEYED, KEYED], 1, 1));
}

#[test]
fn another_body_under_the_same_key() {
    let other = ("other body", ResendRule::Never);
    assert_holds(&scenario(&[NEVER, other], 2, 1));
}

#[test]
fn the_guarantee_changes_between_attempts() {
    assert_holds(&scenario(&[NEVER, KEYED], 2, 1));
    assert_holds(&scenario(&[KEYED, NEVER], 2, 1));
}

#[test]
fn without_faults_one_runs_and_nobody_is_in_doubt() {
    let scenario = scenario(&[NEVER, NEVER], 0, 0);
    let mut queue = vec![scenario.world()];
    let mut ends = 0;
    while let Some(world) = queue.pop() {
        let next = world.successors(&scenario);
        if next.is_empty() {
            ends += 1;
            assert_eq!(world.arrivals.len(), 1);
            for actor in &world.actors {
                let told = actor.answer.as_ref().expect("every attempt ends");
                assert!(matches!(
                    told,
                    OrderOutcome::Done { .. } | OrderOutcome::InProgress
                ));
            }
        }
        queue.extend(next);
    }
    assert!(ends > 1);
}

/// Takes one guard away and expects the search to find what it was for.
fn assert_caught(guard: OrderGuard, attempts: &[(&'static str, ResendRule)], expected: &str) {
    let mut broken = scenario(attempts, 2, 1);
    broken.guards = GuardSet::without(guard);
    let violation = broken.search().violation.expect("a violation");
    println!("{guard:?}: {violation}");
    assert!(violation.contains(expected), "{guard:?}: {violation:?}");
}

#[test]
fn each_missing_guard_is_caught() {
    let never = [NEVER, NEVER];
    let keyed = [KEYED, KEYED];
    let other = [NEVER, ("other body", ResendRule::Never)];
    assert_caught(OrderGuard::ReadBack, &never, "not run");
    assert_caught(OrderGuard::MarkBeforeSend, &never, "not run");
    assert_caught(OrderGuard::NoTakeoverWhileSending, &never, "not run");
    assert_caught(OrderGuard::SendOnce, &never, "the order ran");
    assert_caught(OrderGuard::UnknownIsInDoubt, &never, "not run");
    assert_caught(OrderGuard::VersionCheck, &never, "not run");
    assert_caught(OrderGuard::CountEarlierSends, &keyed, "not run");
    assert_caught(OrderGuard::RefusalIsFinal, &never, "not run");
    assert_caught(OrderGuard::RejectOtherBody, &other, "its body never ran");
    assert_caught(
        OrderGuard::ResendUnderSameRule,
        &[NEVER, KEYED],
        "the order ran",
    );
}
