//! Model checking of order attempts: a breadth-first search over all
//! interleavings of a few attempts at one order, with lost and delayed writes,
//! pauses, crashes and resends.
//!
//! A pause is an attempt that takes no step while others do. Every state reached
//! is checked for a second run and for false outcomes. With a guard disabled, the
//! search must find a violation.

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

/// Step of the clock: longer than the send limit and the minimum ages for
/// takeover and sweep.
const TICK: Duration = Duration::from_hours(1);

/// Action of an attempt that is in flight, or none before its start and after
/// its end.
#[derive(Clone, Eq, Hash, PartialEq)]
enum ActorPhase {
    NotStarted,
    Read,
    Write(Box<OrderWrite>),
    Send,
    Ended,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct Actor {
    attempt: OrderAttempt,
    phase: ActorPhase,
    outcome: Option<OrderOutcome>,
    /// Attempts that had started to send before this one started.
    earlier_senders: Vec<usize>,
    sent: bool,
    answer_still_due: bool,
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
    pending_settlements: Vec<PendingSettlement>,
    /// Attempts whose order reached the service, in order of arrival.
    arrivals: Vec<usize>,
}

#[derive(Clone)]
struct Scenario {
    /// Body and resend rule of each attempt.
    attempts: Vec<(&'static str, ResendRule)>,
    guards: GuardSet,
    faults: u32,
    ticks: u32,
}

struct Search {
    states: usize,
    violation: Option<String>,
    /// States in which every attempt has an outcome.
    finished: usize,
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
                    phase: ActorPhase::NotStarted,
                    outcome: None,
                    earlier_senders: Vec::new(),
                    sent: false,
                    answer_still_due: false,
                })
                .collect(),
            delayed_writes: Vec::new(),
            delayed_sends: Vec::new(),
            pending_settlements: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn search(&self) -> Search {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let first = self.world();
        let mut seen = HashSet::from([hasher.hash_one(&first)]);
        let mut queue = VecDeque::from([first]);
        let mut finished = 0;
        while let Some(world) = queue.pop_front() {
            if let Some(violation) = world.violation(self) {
                return Search {
                    states: seen.len(),
                    violation: Some(violation),
                    finished,
                };
            }
            finished += usize::from(world.actors.iter().all(|actor| actor.outcome.is_some()));
            for next in world.successors(self) {
                if seen.insert(hasher.hash_one(&next)) {
                    queue.push_back(next);
                }
            }
        }
        Search {
            states: seen.len(),
            violation: None,
            finished,
        }
    }
}

impl World {
    fn now(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + TICK * self.ticks
    }

    fn successor(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// A successor that uses one fault; `None` if no faults are left.
    fn with_fault(&self, change: impl FnOnce(&mut Self)) -> Option<Self> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(self.successor(|next| {
            next.faults_left = faults_left;
            change(next);
        }))
    }

    fn apply(&mut self, write: &OrderWrite) -> Option<u64> {
        let version = self.row.as_ref().map(|found| found.version);
        let condition_met = match write.expected {
            RowCondition::Absent => version.is_none(),
            RowCondition::Version(expected) => version == Some(expected),
            RowCondition::Any => true,
        };
        let version = version.unwrap_or(0) + 1;
        condition_met.then(|| {
            let row = write.row.clone();
            self.row = Some(VersionedRow { version, row });
            version
        })
    }

    fn step(&mut self, index: usize, event: AttemptEvent) {
        let now = self.now();
        let actor = &mut self.actors[index];
        match actor.attempt.step(now, event) {
            AttemptAction::Write(write) => actor.phase = ActorPhase::Write(Box::new(write)),
            AttemptAction::Read => actor.phase = ActorPhase::Read,
            AttemptAction::Send { .. } => {
                actor.sent = true;
                actor.phase = ActorPhase::Send;
            }
            AttemptAction::Finish(end) => {
                actor.phase = ActorPhase::Ended;
                actor.outcome.get_or_insert(end.outcome);
                self.pending_settlements.extend(end.pending);
            }
            AttemptAction::Ignore => {}
        }
    }

    fn successors(&self, scenario: &Scenario) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.actors.len() {
            self.actor_successors(index, scenario, &mut next);
        }
        self.store_successors(&mut next);
        for (position, index) in self.delayed_sends.iter().enumerate() {
            next.push(self.successor(|world| {
                world.delayed_sends.remove(position);
                world.arrivals.push(*index);
            }));
        }
        if self.ticks_left > 0 {
            next.push(self.successor(|world| {
                world.ticks_left -= 1;
                world.ticks += 1;
            }));
        }
        next
    }

    fn store_successors(&self, next: &mut Vec<Self>) {
        for position in 0..self.delayed_writes.len() {
            next.push(self.successor(|world| {
                let write = world.delayed_writes.remove(position);
                world.apply(&write);
            }));
        }
        for position in 0..self.pending_settlements.len() {
            next.push(self.successor(|world| {
                let settlement = world.pending_settlements.remove(position);
                let step = settle_step(world.row.as_ref(), &settlement, world.now());
                if let SettleStep::Write(write) = step {
                    world.apply(&write);
                }
            }));
        }
        self.operator_successors(next);
        let swept = self
            .row
            .as_ref()
            .and_then(|found| sweep_step(found, self.now()));
        if let Some(write) = swept {
            next.push(self.successor(|world| {
                world.apply(&write);
            }));
        }
    }

    /// An operator settles the order by what the service shows, after every
    /// process that may have sent it has ended and no send is in flight.
    fn operator_successors(&self, next: &mut Vec<Self>) {
        let Some(found) = &self.row else {
            return;
        };
        let ended = |actor: &Actor| {
            let tag = actor.attempt.tag();
            let in_row = found.row.attempt == *tag || found.row.earlier.contains(tag);
            !in_row || actor.phase == ActorPhase::Ended
        };
        if !self.delayed_sends.is_empty() || !self.actors.iter().all(ended) {
            return;
        }
        let verdict = if self.arrivals.is_empty() {
            let cause = RefusalCause::SettledByHand;
            OrderVerdict::NotRun { cause }
        } else {
            OrderVerdict::Done { answer: answer() }
        };
        if let Ok(write) = settle_manually(Some(found), &verdict, self.now()) {
            next.push(self.successor(|world| {
                world.apply(&write);
            }));
        }
    }

    fn actor_successors(&self, index: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let actor = &self.actors[index];
        match &actor.phase {
            ActorPhase::NotStarted => next.push(self.successor(|world| {
                let senders = world.actors.iter().enumerate();
                let sent = senders.filter(|(_, actor)| actor.sent).map(|(at, _)| at);
                world.actors[index].earlier_senders = sent.collect();
                world.step(index, AttemptEvent::Submitted);
            })),
            ActorPhase::Read => {
                let found = self.row.clone();
                next.push(self.successor(|world| world.step(index, AttemptEvent::RowRead(found))));
                next.extend(self.with_fault(|world| world.step(index, AttemptEvent::ReadFailed)));
            }
            ActorPhase::Write(write) => self.write_successors(index, write, next),
            ActorPhase::Send => self.send_successors(index, next),
            ActorPhase::Ended => self.ended_successors(index, scenario, next),
        }
        if !matches!(actor.phase, ActorPhase::NotStarted | ActorPhase::Ended) {
            // A crash. Messages in flight at that time are covered by the faults
            // of writes and sends.
            next.extend(self.with_fault(|world| world.actors[index].phase = ActorPhase::Ended));
        }
    }

    fn write_successors(&self, index: usize, write: &OrderWrite, next: &mut Vec<Self>) {
        next.push(self.successor(|world| {
            let event = world
                .apply(write)
                .map_or(AttemptEvent::WriteConflicted, AttemptEvent::RowWritten);
            world.step(index, event);
        }));
        next.extend(self.with_fault(|world| {
            world.apply(write);
            world.step(index, AttemptEvent::WriteUnknown);
        }));
        next.extend(self.with_fault(|world| {
            world.delayed_writes.push(write.clone());
            world.step(index, AttemptEvent::WriteUnknown);
        }));
        next.extend(self.with_fault(|world| world.step(index, AttemptEvent::WriteFailed)));
    }

    fn send_successors(&self, index: usize, next: &mut Vec<Self>) {
        let lost = || AttemptEvent::SendEnded(SendResult::Unknown(DoubtCause::AnswerLost));
        next.push(self.successor(|world| {
            world.arrivals.push(index);
            world.step(
                index,
                AttemptEvent::SendEnded(SendResult::Answered(answer())),
            );
        }));
        next.extend(self.with_fault(|world| {
            world.arrivals.push(index);
            world.actors[index].answer_still_due = true;
            world.step(index, lost());
        }));
        next.extend(self.with_fault(|world| {
            world.delayed_sends.push(index);
            world.step(index, lost());
        }));
        let cause = RefusalCause::ServiceUnreachable;
        next.extend(self.with_fault(|world| {
            world.step(index, AttemptEvent::SendEnded(SendResult::NotRun(cause)));
        }));
    }

    fn ended_successors(&self, index: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let actor = &self.actors[index];
        if actor.answer_still_due {
            next.push(self.successor(|world| {
                world.actors[index].answer_still_due = false;
                let verdict = OrderVerdict::Done { answer: answer() };
                let tag = actor.attempt.tag().clone();
                world
                    .pending_settlements
                    .push(PendingSettlement { tag, verdict });
            }));
        }
        // With `RefusalIsFinal` disabled, a refused attempt reads its row after a
        // write that took effect late.
        let refusal_is_final = scenario.guards.holds(OrderGuard::RefusalIsFinal);
        if !refusal_is_final && !actor.sent && actor.outcome.is_some() && self.row.is_some() {
            let found = self.row.clone();
            next.push(self.successor(|world| world.step(index, AttemptEvent::RowRead(found))));
        }
    }

    fn may_run(&self, index: usize) -> bool {
        self.arrivals.contains(&index) || self.delayed_sends.contains(&index)
    }

    fn effect_count(&self, scenario: &Scenario) -> usize {
        let keyed = |index: &&usize| scenario.attempts[**index].1 == ResendRule::Keyed;
        let with_key = self.arrivals.iter().filter(keyed).count();
        self.arrivals.len() - with_key + with_key.min(1)
    }

    fn violation(&self, scenario: &Scenario) -> Option<String> {
        if self.effect_count(scenario) > 1 {
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
            .any(|actor| actor.phase == ActorPhase::Send);
        let any_may_run = (0..self.actors.len()).any(|index| self.may_run(index));
        if row_says_not_run && (sending || any_may_run) {
            return Some("the row says not run, but an attempt ran or may run".to_owned());
        }
        (0..self.actors.len()).find_map(|index| self.outcome_violation(index, scenario))
    }

    fn outcome_violation(&self, index: usize, scenario: &Scenario) -> Option<String> {
        let actor = &self.actors[index];
        match actor.outcome.as_ref()? {
            OrderOutcome::Refused { scope, .. } => {
                let before = actor
                    .earlier_senders
                    .iter()
                    .any(|sender| self.may_run(*sender));
                let false_for_order = *scope == RefusalScope::Order && before;
                (self.may_run(index) || false_for_order).then(|| {
                    format!(
                        "attempt {index} was refused as not run with scope {scope:?}, but it \
                             or an earlier attempt ran or may run"
                    )
                })
            }
            OrderOutcome::Done { .. } => {
                let body = scenario.attempts[index].0;
                let own = |sender: &usize| scenario.attempts[*sender].0 == body;
                (!self.arrivals.iter().any(own))
                    .then(|| format!("attempt {index} was told done, but its body never ran"))
            }
            OrderOutcome::InDoubt { .. } | OrderOutcome::InProgress => None,
        }
    }
}

/// Faults from `ORDER_MODEL_FAULTS`, added to those that CI searches.
fn extra_faults() -> u32 {
    let value = std::env::var("ORDER_MODEL_FAULTS").ok();
    value.and_then(|count| count.parse().ok()).unwrap_or(0)
}

fn scenario(attempts: &[(&'static str, ResendRule)], faults: u32, ticks: u32) -> Scenario {
    Scenario {
        attempts: attempts.to_vec(),
        guards: GuardSet::default(),
        faults,
        ticks,
    }
}

fn assert_no_violation(scenario: &Scenario) -> Search {
    let mut scenario = scenario.clone();
    scenario.faults += extra_faults();
    let search = scenario.search();
    println!("{} states, {} answered", search.states, search.finished);
    assert_eq!(search.violation, None);
    assert!(search.finished > 0);
    search
}

const NEVER: (&str, ResendRule) = ("body", ResendRule::Never);
const KEYED: (&str, ResendRule) = ("body", ResendRule::Keyed);

#[test]
fn two_attempts_at_a_service_without_guarantee_run_at_most_once() {
    assert_no_violation(&scenario(&[NEVER, NEVER], 2, 1));
}

#[test]
fn three_attempts_at_a_service_without_guarantee_run_at_most_once() {
    assert_no_violation(&scenario(&[NEVER, NEVER, NEVER], 1, 1));
}

#[test]
fn two_attempts_at_a_service_that_deduplicates_take_effect_once() {
    assert_no_violation(&scenario(&[KEYED, KEYED], 2, 1));
}

#[test]
fn three_attempts_at_a_service_that_deduplicates_take_effect_once() {
    assert_no_violation(&scenario(&[KEYED, KEYED, KEYED], 1, 1));
}

#[test]
fn another_body_under_the_same_key_never_gets_the_first_answer() {
    let other = ("other body", ResendRule::Never);
    assert_no_violation(&scenario(&[NEVER, other], 2, 1));
}

#[test]
fn a_changed_guarantee_between_attempts_causes_no_second_run() {
    assert_no_violation(&scenario(&[NEVER, KEYED], 2, 1));
    assert_no_violation(&scenario(&[KEYED, NEVER], 2, 1));
}

#[test]
fn without_faults_one_attempt_runs_and_none_is_in_doubt() {
    let scenario = scenario(&[NEVER, NEVER], 0, 0);
    let mut queue = vec![scenario.world()];
    let mut final_states = 0;
    while let Some(world) = queue.pop() {
        let next = world.successors(&scenario);
        if next.is_empty() {
            final_states += 1;
            assert_eq!(world.arrivals.len(), 1);
            for actor in &world.actors {
                let outcome = actor.outcome.as_ref().expect("every attempt ends");
                assert!(matches!(
                    outcome,
                    OrderOutcome::Done { .. } | OrderOutcome::InProgress
                ));
            }
        }
        queue.extend(next);
    }
    assert!(final_states > 1);
}

/// Disables one guard and checks that the search finds the violation that the
/// guard prevents.
fn assert_violation_found(
    guard: OrderGuard,
    attempts: &[(&'static str, ResendRule)],
    expected: &str,
) {
    let mut broken = scenario(attempts, 2, 1);
    broken.guards = GuardSet::without(guard);
    let violation = broken
        .search()
        .violation
        .expect("the search finds no violation with the guard disabled");
    println!("{guard:?}: {violation}");
    assert!(violation.contains(expected), "{guard:?}: {violation:?}");
}

#[test]
fn each_missing_guard_leads_to_a_violation() {
    let never = [NEVER, NEVER];
    let keyed = [KEYED, KEYED];
    let other = [NEVER, ("other body", ResendRule::Never)];
    assert_violation_found(OrderGuard::ReadBack, &never, "not run");
    assert_violation_found(OrderGuard::MarkBeforeSend, &never, "not run");
    assert_violation_found(OrderGuard::NoTakeoverWhileSending, &never, "not run");
    assert_violation_found(OrderGuard::SendOnce, &never, "the order ran");
    assert_violation_found(OrderGuard::UnknownIsInDoubt, &never, "not run");
    assert_violation_found(OrderGuard::VersionCheck, &never, "not run");
    assert_violation_found(OrderGuard::CountEarlierSends, &keyed, "not run");
    assert_violation_found(OrderGuard::RefusalIsFinal, &never, "not run");
    assert_violation_found(OrderGuard::RejectOtherBody, &other, "its body never ran");
    assert_violation_found(
        OrderGuard::ResendUnderSameRule,
        &[NEVER, KEYED],
        "the order ran",
    );
}
