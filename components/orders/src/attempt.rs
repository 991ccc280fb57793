//! One submission of an order, from claim to settlement.
//!
//! The attempt claims the row, marks it `Sending`, sends, and settles. For a
//! service that allows resends the claim is the mark. Each step follows only
//! an acknowledged row change; nothing but the live attempt that saw its own
//! mark acknowledged may send, so a claim or mark that shows up late
//! authorises nobody.

use std::{mem, time::SystemTime};

use types::FencingNumber;

use crate::{
    AttemptAction, AttemptEnd, AttemptEvent, AttemptPlan, AttemptTag, DoubtCause, GuardSet,
    OrderGuard, OrderOutcome, OrderPhase, OrderRow, OrderVerdict, OrderWrite, PendingSettlement,
    RefusalCause, RefusalScope, RowCondition, SendResult, SettleStep, VersionedRow,
    settle::settled_row, settle_step, sweep::CLAIM_LEASE,
};

/// Reads that an attempt makes before it gives up.
const MAX_READS: u8 = 3;
/// Most earlier sends that a row carries; a resend beyond stays in doubt.
const MAX_EARLIER: usize = 8;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum AttemptPhase {
    Idle,
    Claiming(OrderRow),
    /// The mark and the version of the claim that it follows.
    Marking(VersionedRow),
    /// Reads the row before anything was sent.
    Inspecting(RefusalScope),
    Sending(VersionedRow),
    Settling(OrderVerdict),
    Rechecking(OrderVerdict),
    Ended,
}

/// The state machine of one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderAttempt {
    plan: AttemptPlan,
    guards: GuardSet,
    phase: AttemptPhase,
    reads: u8,
    took_over: bool,
    may_have_claimed: bool,
    resent: bool,
}

impl OrderAttempt {
    /// An attempt that has done nothing yet.
    #[must_use]
    pub fn new(plan: AttemptPlan, guards: GuardSet) -> Self {
        Self {
            plan,
            guards,
            phase: AttemptPhase::Idle,
            reads: 0,
            took_over: false,
            may_have_claimed: false,
            resent: false,
        }
    }

    /// The attempt's name.
    #[must_use]
    pub fn tag(&self) -> &AttemptTag {
        &self.plan.tag
    }

    /// Takes one event and says what to do next.
    pub fn step(&mut self, now: SystemTime, event: AttemptEvent) -> AttemptAction {
        match mem::replace(&mut self.phase, AttemptPhase::Ended) {
            AttemptPhase::Idle => self.claim(now, None),
            AttemptPhase::Claiming(row) => self.on_claim(now, row, &event),
            AttemptPhase::Marking(marked) => self.on_mark(now, marked, &event),
            AttemptPhase::Inspecting(scope) => self.on_inspection(now, scope, event),
            AttemptPhase::Sending(found) => self.on_sent(now, found, event),
            AttemptPhase::Settling(verdict) => self.on_settlement(verdict, &event),
            AttemptPhase::Rechecking(verdict) => self.on_recheck(now, &verdict, event),
            AttemptPhase::Ended => self.on_late_event(now, event),
        }
    }

    /// Writes the claim over `found`, which nobody else may be sending.
    fn claim(&mut self, now: SystemTime, found: Option<&VersionedRow>) -> AttemptAction {
        let phase = if self.plan.rule.allows_resend() {
            OrderPhase::Sending
        } else {
            OrderPhase::Claimed
        };
        let row = OrderRow {
            digest: self.plan.digest.clone(),
            attempt: self.plan.tag.clone(),
            node: self.plan.node.clone(),
            rule: self.plan.rule,
            phase,
            claimed_at: now,
            changed_at: now,
            send_limit: self.plan.send_limit,
            fencing: next_fencing(now, found),
            earlier: found
                .map(|found| earlier_sends(&found.row))
                .unwrap_or_default(),
        };
        self.phase = AttemptPhase::Claiming(row.clone());
        self.write(found, row)
    }

    fn write(&self, found: Option<&VersionedRow>, row: OrderRow) -> AttemptAction {
        let expected = match found {
            None => RowCondition::Absent,
            Some(_) if !self.guards.holds(OrderGuard::VersionCheck) => RowCondition::Any,
            Some(found) => RowCondition::Version(found.version),
        };
        AttemptAction::Write(OrderWrite {
            expected,
            was_in_doubt: found.is_some_and(|found| found.row.in_doubt()),
            is_claim: matches!(self.phase, AttemptPhase::Claiming(_)),
            row,
        })
    }

    fn on_claim(&mut self, now: SystemTime, row: OrderRow, event: &AttemptEvent) -> AttemptAction {
        self.may_have_claimed |= matches!(
            event,
            AttemptEvent::RowWritten(_) | AttemptEvent::WriteUnknown
        );
        match event {
            AttemptEvent::RowWritten(version) => {
                let version = *version;
                self.on_claimed(now, VersionedRow { version, row })
            }
            AttemptEvent::WriteConflicted => self.inspect(RefusalScope::Request),
            AttemptEvent::WriteUnknown if self.guards.holds(OrderGuard::ReadBack) => {
                self.inspect(RefusalScope::Request)
            }
            AttemptEvent::WriteUnknown => self.on_claimed(now, VersionedRow { version: 1, row }),
            _ => self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Request),
        }
    }

    fn on_claimed(&mut self, now: SystemTime, claim: VersionedRow) -> AttemptAction {
        let marked = claim.row.phase == OrderPhase::Sending;
        if marked || !self.guards.holds(OrderGuard::MarkBeforeSend) {
            return self.send(now, claim);
        }
        let row = claim.row.moved(OrderPhase::Sending, now);
        let action = self.write(Some(&claim), row.clone());
        let version = claim.version;
        self.phase = AttemptPhase::Marking(VersionedRow { version, row });
        action
    }

    fn on_mark(
        &mut self,
        now: SystemTime,
        mut marked: VersionedRow,
        event: &AttemptEvent,
    ) -> AttemptAction {
        match event {
            AttemptEvent::RowWritten(version) => {
                marked.version = *version;
                self.send(now, marked)
            }
            AttemptEvent::WriteConflicted => self.inspect(RefusalScope::Request),
            AttemptEvent::WriteUnknown if self.guards.holds(OrderGuard::ReadBack) => {
                self.inspect(RefusalScope::Order)
            }
            AttemptEvent::WriteUnknown => {
                marked.version += 1;
                self.send(now, marked)
            }
            _ => self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Order),
        }
    }

    /// Sends, unless the caller's time is over. The mark is acknowledged.
    fn send(&mut self, now: SystemTime, found: VersionedRow) -> AttemptAction {
        if now > self.plan.deadline {
            let cause = RefusalCause::DeadlinePassed;
            return self.settle(now, &found, OrderVerdict::NotRun { cause });
        }
        let fencing = found.row.fencing;
        self.phase = AttemptPhase::Sending(found);
        AttemptAction::Send { fencing }
    }

    fn on_sent(
        &mut self,
        now: SystemTime,
        found: VersionedRow,
        event: AttemptEvent,
    ) -> AttemptAction {
        let result = match event {
            AttemptEvent::SendEnded(result) => result,
            _ => SendResult::Unknown(DoubtCause::AnswerLost),
        };
        let unknown = matches!(result, SendResult::Unknown(_));
        if unknown && !self.guards.holds(OrderGuard::SendOnce) && !self.resent {
            self.resent = true;
            return self.send(now, found);
        }
        if unknown && !self.guards.holds(OrderGuard::UnknownIsInDoubt) {
            let cause = RefusalCause::ServiceUnreachable;
            return self.settle(now, &found, OrderVerdict::NotRun { cause });
        }
        self.settle(now, &found, result.verdict())
    }

    /// Records the verdict, weakened by what earlier attempts may have sent.
    fn settle(
        &mut self,
        now: SystemTime,
        found: &VersionedRow,
        verdict: OrderVerdict,
    ) -> AttemptAction {
        let verdict = match verdict {
            OrderVerdict::NotRun { .. } if self.others_unknown(&found.row) => {
                OrderVerdict::InDoubt {
                    cause: DoubtCause::SenderSilent,
                }
            }
            verdict => verdict,
        };
        let settled = settled_row(&found.row, &verdict, now);
        self.phase = AttemptPhase::Settling(verdict);
        self.write(Some(found), settled)
    }

    fn others_unknown(&self, row: &OrderRow) -> bool {
        !row.earlier.is_empty() && self.guards.holds(OrderGuard::CountEarlierSends)
    }

    fn on_settlement(&mut self, verdict: OrderVerdict, event: &AttemptEvent) -> AttemptAction {
        match event {
            AttemptEvent::RowWritten(_) => Self::finish(verdict.outcome(false), None),
            AttemptEvent::WriteConflicted => {
                self.phase = AttemptPhase::Rechecking(verdict);
                AttemptAction::Read
            }
            // What is known is told; the store learns it later.
            _ => Self::finish(verdict.outcome(false), Some(self.owe(verdict))),
        }
    }

    /// Another change of the row came between the send and the settlement.
    fn on_recheck(
        &mut self,
        now: SystemTime,
        verdict: &OrderVerdict,
        event: AttemptEvent,
    ) -> AttemptAction {
        let owed = self.owe(verdict.clone());
        let AttemptEvent::RowRead(Some(found)) = event else {
            return Self::finish(narrow(verdict.outcome(false)), Some(owed));
        };
        let outcome = match &found.row.phase {
            OrderPhase::Settled(done @ OrderVerdict::Done { .. }) => done.outcome(true),
            _ if found.row.attempt == self.plan.tag => verdict.outcome(false),
            _ => narrow(verdict.outcome(false)),
        };
        let owed = match settle_step(Some(&found), &owed, now) {
            SettleStep::Write(_) => Some(owed),
            SettleStep::Discard | SettleStep::Contradiction => None,
        };
        Self::finish(outcome, owed)
    }

    /// Reads the row before anything is sent; `scope` is what a refusal may
    /// speak of if that fails.
    fn inspect(&mut self, scope: RefusalScope) -> AttemptAction {
        if self.reads >= MAX_READS {
            return self.refuse(RefusalCause::StoreUnavailable, scope);
        }
        self.reads += 1;
        self.phase = AttemptPhase::Inspecting(scope);
        AttemptAction::Read
    }

    fn on_inspection(
        &mut self,
        now: SystemTime,
        scope: RefusalScope,
        event: AttemptEvent,
    ) -> AttemptAction {
        match event {
            AttemptEvent::RowRead(Some(found)) if found.row.attempt == self.plan.tag => {
                self.on_own_row(now, found)
            }
            AttemptEvent::RowRead(Some(found)) => self.on_other_row(now, &found),
            // The claim may still land; nobody will ever send for it.
            AttemptEvent::RowRead(None) => {
                self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Order)
            }
            _ => self.inspect(scope),
        }
    }

    /// The row carries this attempt, which has sent nothing so far.
    fn on_own_row(&mut self, now: SystemTime, found: VersionedRow) -> AttemptAction {
        match &found.row.phase {
            OrderPhase::Claimed => self.on_claimed(now, found),
            OrderPhase::Sending => self.send(now, found),
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }) => {
                let cause = RefusalCause::Abandoned;
                self.settle(now, &found, OrderVerdict::NotRun { cause })
            }
            OrderPhase::Settled(verdict) => Self::finish(verdict.outcome(true), None),
        }
    }

    /// The row carries another attempt, or none that is under way.
    fn on_other_row(&mut self, now: SystemTime, found: &VersionedRow) -> AttemptAction {
        let row = &found.row;
        let same = row.digest == self.plan.digest;
        if !same && self.guards.holds(OrderGuard::RejectOtherBody) {
            return self.refuse(RefusalCause::KeyConflict, RefusalScope::Request);
        }
        if !self.took_over && self.may_take_over(now, row) {
            self.took_over = true;
            return self.claim(now, Some(found));
        }
        Self::finish(row.outcome(now), self.owe_abandonment())
    }

    fn may_take_over(&self, now: SystemTime, row: &OrderRow) -> bool {
        match &row.phase {
            OrderPhase::Claimed => row.older_than(CLAIM_LEASE, now),
            OrderPhase::Sending => {
                row.older_than(row.send_limit, now)
                    && (self.may_resend(row)
                        || !self.guards.holds(OrderGuard::NoTakeoverWhileSending))
            }
            OrderPhase::Settled(OrderVerdict::NotRun { .. }) => true,
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }) => self.may_resend(row),
            OrderPhase::Settled(OrderVerdict::Done { .. }) => false,
        }
    }

    /// Whether the send that `row` speaks of may be followed by another.
    fn may_resend(&self, row: &OrderRow) -> bool {
        // The service saw no key if it promised nothing when the first was sent.
        let same_rule =
            row.rule == self.plan.rule || !self.guards.holds(OrderGuard::ResendUnderSameRule);
        same_rule && self.plan.rule.allows_resend() && row.earlier.len() < MAX_EARLIER
    }

    fn refuse(&self, cause: RefusalCause, scope: RefusalScope) -> AttemptAction {
        let outcome = OrderOutcome::Refused { cause, scope };
        Self::finish(outcome, self.owe_abandonment())
    }

    /// A claim that landed, or may yet, is to be given up for good.
    fn owe_abandonment(&self) -> Option<PendingSettlement> {
        let verdict = OrderVerdict::NotRun {
            cause: RefusalCause::Abandoned,
        };
        self.may_have_claimed.then(|| self.owe(verdict))
    }

    fn owe(&self, verdict: OrderVerdict) -> PendingSettlement {
        PendingSettlement {
            tag: self.plan.tag.clone(),
            verdict,
        }
    }

    fn finish(outcome: OrderOutcome, pending: Option<PendingSettlement>) -> AttemptAction {
        AttemptAction::Finish(AttemptEnd { outcome, pending })
    }

    /// An attempt that has answered does nothing more, whatever shows up.
    fn on_late_event(&mut self, now: SystemTime, event: AttemptEvent) -> AttemptAction {
        match event {
            AttemptEvent::RowRead(Some(found))
                if !self.guards.holds(OrderGuard::RefusalIsFinal)
                    && found.row.attempt == self.plan.tag =>
            {
                self.on_own_row(now, found)
            }
            _ => AttemptAction::Ignore,
        }
    }
}

/// A refusal that no longer speaks for other requests with the same key.
fn narrow(outcome: OrderOutcome) -> OrderOutcome {
    match outcome {
        OrderOutcome::Refused { cause, .. } => OrderOutcome::Refused {
            cause,
            scope: RefusalScope::Request,
        },
        other => other,
    }
}

/// Sends that the next attempt must count as unknown.
fn earlier_sends(row: &OrderRow) -> Vec<AttemptTag> {
    let mut earlier = row.earlier.clone();
    if row.phase == OrderPhase::Sending || row.in_doubt() {
        earlier.push(row.attempt.clone());
    }
    earlier
}

/// Milliseconds of the wall clock, but always above the row's last number:
/// right for services with one fence for all orders and with one for each.
fn next_fencing(now: SystemTime, found: Option<&VersionedRow>) -> FencingNumber {
    let millis = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis());
    let clock = FencingNumber::try_from(millis).unwrap_or(FencingNumber::MAX);
    found.map_or(clock, |found| clock.max(found.row.fencing + 1))
}
