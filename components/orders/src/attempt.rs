//! The state machine of one submission of an order, from claim to settlement.
//!
//! The attempt claims the row, marks it `Sending`, sends the order and settles
//! the row. For a service that allows resends, one write does both claim and
//! mark. Each step waits until the previous row change is confirmed, by the
//! response to the write or by reading the row back. Only a running attempt
//! whose own mark was confirmed may send. A write that takes effect after the
//! attempt has ended allows no send.

use std::{mem, time::SystemTime};

use types::FencingNumber;

use crate::{
    AttemptAction, AttemptEnd, AttemptEvent, AttemptPlan, AttemptTag, DoubtCause, GuardSet,
    OrderGuard, OrderOutcome, OrderPhase, OrderRow, OrderVerdict, OrderWrite, PendingSettlement,
    RefusalCause, RefusalScope, RowCondition, SendResult, SettleStep, VersionedRow,
    settle::settled_row, settle_step, sweep::CLAIM_LEASE,
};

/// Maximum number of reads of the row before sending. If more are needed, the
/// order is refused.
const MAX_ROW_READS: u8 = 3;
/// Maximum length of [`OrderRow::earlier`], the attempts whose sends have an
/// unknown result. When it is reached, the order is not sent again and stays in
/// doubt.
const MAX_EARLIER_ATTEMPTS: usize = 8;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum AttemptPhase {
    Idle,
    Claiming(OrderRow),
    /// The row marked `Sending`, with the version of the claim before it.
    Marking(VersionedRow),
    /// Reading the row before anything is sent.
    ReadingRow(RefusalScope),
    Sending(VersionedRow),
    Settling(OrderVerdict),
    RereadingRow(OrderVerdict),
    Ended,
}

/// The state machine of one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderAttempt {
    plan: AttemptPlan,
    guards: GuardSet,
    phase: AttemptPhase,
    row_reads: u8,
    took_over: bool,
    may_have_claimed: bool,
    resent: bool,
}

impl OrderAttempt {
    /// Creates an attempt that starts on the first event, whatever it is.
    #[must_use]
    pub fn new(plan: AttemptPlan, guards: GuardSet) -> Self {
        Self {
            plan,
            guards,
            phase: AttemptPhase::Idle,
            row_reads: 0,
            took_over: false,
            may_have_claimed: false,
            resent: false,
        }
    }

    /// Tag of the attempt, as its row and its settlements name it.
    #[must_use]
    pub fn tag(&self) -> &AttemptTag {
        &self.plan.tag
    }

    /// Handles the result of the last action and returns the next action.
    pub fn step(&mut self, now: SystemTime, event: AttemptEvent) -> AttemptAction {
        match mem::replace(&mut self.phase, AttemptPhase::Ended) {
            AttemptPhase::Idle => self.claim(now, None),
            AttemptPhase::Claiming(row) => self.on_claim_write(now, row, &event),
            AttemptPhase::Marking(marked) => self.on_mark_write(now, marked, &event),
            AttemptPhase::ReadingRow(scope) => self.on_row_read(now, scope, event),
            AttemptPhase::Sending(own) => self.on_send_result(now, own, event),
            AttemptPhase::Settling(verdict) => self.on_settle_write(verdict, &event),
            AttemptPhase::RereadingRow(verdict) => self.on_conflicting_row(now, &verdict, event),
            AttemptPhase::Ended => self.on_late_event(now, event),
        }
    }

    /// Claims the row. `found` is the row to replace, which
    /// [`Self::may_take_over`] has allowed; `None` if there is no row yet.
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
            fencing: next_fencing_number(now, found),
            earlier: found
                .map(|found| unknown_sends(&found.row))
                .unwrap_or_default(),
        };
        self.phase = AttemptPhase::Claiming(row.clone());
        self.write_row(found, row)
    }

    fn write_row(&self, found: Option<&VersionedRow>, row: OrderRow) -> AttemptAction {
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

    fn on_claim_write(
        &mut self,
        now: SystemTime,
        row: OrderRow,
        event: &AttemptEvent,
    ) -> AttemptAction {
        self.may_have_claimed |= matches!(
            event,
            AttemptEvent::RowWritten(_) | AttemptEvent::WriteUnknown
        );
        match event {
            AttemptEvent::RowWritten(version) => {
                let version = *version;
                self.mark_and_send(now, VersionedRow { version, row })
            }
            AttemptEvent::WriteConflicted => self.read_row(RefusalScope::Request),
            AttemptEvent::WriteUnknown if self.guards.holds(OrderGuard::ReadBack) => {
                self.read_row(RefusalScope::Request)
            }
            AttemptEvent::WriteUnknown => self.mark_and_send(now, VersionedRow { version: 1, row }),
            _ => self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Request),
        }
    }

    fn mark_and_send(&mut self, now: SystemTime, claim: VersionedRow) -> AttemptAction {
        let marked = claim.row.phase == OrderPhase::Sending;
        if marked || !self.guards.holds(OrderGuard::MarkBeforeSend) {
            return self.send(now, claim);
        }
        let row = claim.row.with_phase(OrderPhase::Sending, now);
        let action = self.write_row(Some(&claim), row.clone());
        let version = claim.version;
        self.phase = AttemptPhase::Marking(VersionedRow { version, row });
        action
    }

    fn on_mark_write(
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
            AttemptEvent::WriteConflicted => self.read_row(RefusalScope::Request),
            AttemptEvent::WriteUnknown if self.guards.holds(OrderGuard::ReadBack) => {
                self.read_row(RefusalScope::Order)
            }
            AttemptEvent::WriteUnknown => {
                marked.version += 1;
                self.send(now, marked)
            }
            _ => self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Order),
        }
    }

    /// Sends unless the caller's deadline has passed. The mark must have been
    /// confirmed by the response to the write or by reading the row back.
    fn send(&mut self, now: SystemTime, own: VersionedRow) -> AttemptAction {
        if now > self.plan.deadline {
            let cause = RefusalCause::DeadlinePassed;
            return self.settle(now, &own, OrderVerdict::NotRun { cause });
        }
        let fencing = own.row.fencing;
        self.phase = AttemptPhase::Sending(own);
        AttemptAction::Send { fencing }
    }

    fn on_send_result(
        &mut self,
        now: SystemTime,
        own: VersionedRow,
        event: AttemptEvent,
    ) -> AttemptAction {
        let result = match event {
            AttemptEvent::SendEnded(result) => result,
            _ => SendResult::Unknown(DoubtCause::AnswerLost),
        };
        let unknown = matches!(result, SendResult::Unknown(_));
        if unknown && !self.guards.holds(OrderGuard::SendOnce) && !self.resent {
            self.resent = true;
            return self.send(now, own);
        }
        if unknown && !self.guards.holds(OrderGuard::UnknownIsInDoubt) {
            let cause = RefusalCause::ServiceUnreachable;
            return self.settle(now, &own, OrderVerdict::NotRun { cause });
        }
        self.settle(now, &own, result.verdict())
    }

    /// Writes the verdict. "Not run" becomes "in doubt" if an earlier attempt
    /// may have sent the order.
    fn settle(
        &mut self,
        now: SystemTime,
        own: &VersionedRow,
        verdict: OrderVerdict,
    ) -> AttemptAction {
        let verdict = match verdict {
            OrderVerdict::NotRun { .. } if self.has_unknown_earlier_sends(&own.row) => {
                OrderVerdict::InDoubt {
                    cause: DoubtCause::SenderSilent,
                }
            }
            verdict => verdict,
        };
        let settled = settled_row(&own.row, &verdict, now);
        self.phase = AttemptPhase::Settling(verdict);
        self.write_row(Some(own), settled)
    }

    fn has_unknown_earlier_sends(&self, row: &OrderRow) -> bool {
        !row.earlier.is_empty() && self.guards.holds(OrderGuard::CountEarlierSends)
    }

    fn on_settle_write(&mut self, verdict: OrderVerdict, event: &AttemptEvent) -> AttemptAction {
        match event {
            AttemptEvent::RowWritten(_) => Self::finish(verdict.outcome(false), None),
            AttemptEvent::WriteConflicted => {
                self.phase = AttemptPhase::RereadingRow(verdict);
                AttemptAction::Read
            }
            // The caller gets the verdict now; the row is settled later.
            _ => Self::finish(
                verdict.outcome(false),
                Some(self.pending_settlement(verdict)),
            ),
        }
    }

    /// Handles the read after the settling write conflicted.
    fn on_conflicting_row(
        &mut self,
        now: SystemTime,
        verdict: &OrderVerdict,
        event: AttemptEvent,
    ) -> AttemptAction {
        let pending = self.pending_settlement(verdict.clone());
        let AttemptEvent::RowRead(Some(found)) = event else {
            return Self::finish(limit_to_request(verdict.outcome(false)), Some(pending));
        };
        let outcome = match &found.row.phase {
            OrderPhase::Settled(done @ OrderVerdict::Done { .. }) => done.outcome(true),
            _ if found.row.attempt == self.plan.tag => verdict.outcome(false),
            _ => limit_to_request(verdict.outcome(false)),
        };
        let pending = match settle_step(Some(&found), &pending, now) {
            SettleStep::Write(_) => Some(pending),
            SettleStep::Discard | SettleStep::Contradiction => None,
        };
        Self::finish(outcome, pending)
    }

    /// Reads the row before anything is sent. `scope` is the scope of the
    /// refusal if the reads fail.
    fn read_row(&mut self, scope: RefusalScope) -> AttemptAction {
        if self.row_reads >= MAX_ROW_READS {
            return self.refuse(RefusalCause::StoreUnavailable, scope);
        }
        self.row_reads += 1;
        self.phase = AttemptPhase::ReadingRow(scope);
        AttemptAction::Read
    }

    fn on_row_read(
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
            // The claim may still take effect, but this attempt ends here and
            // will not send.
            AttemptEvent::RowRead(None) => {
                self.refuse(RefusalCause::StoreUnavailable, RefusalScope::Order)
            }
            _ => self.read_row(scope),
        }
    }

    /// Handles a row that names this attempt, which has sent nothing so far.
    fn on_own_row(&mut self, now: SystemTime, own: VersionedRow) -> AttemptAction {
        match &own.row.phase {
            OrderPhase::Claimed => self.mark_and_send(now, own),
            OrderPhase::Sending => self.send(now, own),
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }) => {
                let cause = RefusalCause::Abandoned;
                self.settle(now, &own, OrderVerdict::NotRun { cause })
            }
            OrderPhase::Settled(verdict) => Self::finish(verdict.outcome(true), None),
        }
    }

    /// Handles a row that names another attempt, running or ended.
    fn on_other_row(&mut self, now: SystemTime, found: &VersionedRow) -> AttemptAction {
        let row = &found.row;
        let same_digest = row.digest == self.plan.digest;
        if !same_digest && self.guards.holds(OrderGuard::RejectOtherBody) {
            return self.refuse(RefusalCause::KeyConflict, RefusalScope::Request);
        }
        if !self.took_over && self.may_take_over(now, row) {
            self.took_over = true;
            return self.claim(now, Some(found));
        }
        Self::finish(row.outcome(now), self.pending_abandonment())
    }

    fn may_take_over(&self, now: SystemTime, row: &OrderRow) -> bool {
        match &row.phase {
            OrderPhase::Claimed => row.unchanged_for(CLAIM_LEASE, now),
            OrderPhase::Sending => {
                row.unchanged_for(row.send_limit, now)
                    && (self.may_resend(row)
                        || !self.guards.holds(OrderGuard::NoTakeoverWhileSending))
            }
            OrderPhase::Settled(OrderVerdict::NotRun { .. }) => true,
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }) => self.may_resend(row),
            OrderPhase::Settled(OrderVerdict::Done { .. }) => false,
        }
    }

    /// Whether the order may be sent again after the send recorded in `row`.
    fn may_resend(&self, row: &OrderRow) -> bool {
        // A service that gave no guarantee at the first send did not record its
        // key, so it can't deduplicate a resend.
        let same_rule =
            row.rule == self.plan.rule || !self.guards.holds(OrderGuard::ResendUnderSameRule);
        same_rule && self.plan.rule.allows_resend() && row.earlier.len() < MAX_EARLIER_ATTEMPTS
    }

    fn refuse(&self, cause: RefusalCause, scope: RefusalScope) -> AttemptAction {
        let outcome = OrderOutcome::Refused { cause, scope };
        Self::finish(outcome, self.pending_abandonment())
    }

    /// The settlement that gives up a claim which took effect or still may.
    fn pending_abandonment(&self) -> Option<PendingSettlement> {
        let verdict = OrderVerdict::NotRun {
            cause: RefusalCause::Abandoned,
        };
        self.may_have_claimed
            .then(|| self.pending_settlement(verdict))
    }

    fn pending_settlement(&self, verdict: OrderVerdict) -> PendingSettlement {
        PendingSettlement {
            tag: self.plan.tag.clone(),
            verdict,
        }
    }

    fn finish(outcome: OrderOutcome, pending: Option<PendingSettlement>) -> AttemptAction {
        AttemptAction::Finish(AttemptEnd { outcome, pending })
    }

    /// Ignores events after the end, unless a test disables `RefusalIsFinal`.
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

/// Limits the scope of a refusal to this request, since other requests with the
/// same key may have been sent.
fn limit_to_request(outcome: OrderOutcome) -> OrderOutcome {
    match outcome {
        OrderOutcome::Refused { cause, .. } => OrderOutcome::Refused {
            cause,
            scope: RefusalScope::Request,
        },
        other => other,
    }
}

/// Attempts whose sends the next attempt must treat as unknown.
fn unknown_sends(row: &OrderRow) -> Vec<AttemptTag> {
    let mut earlier = row.earlier.clone();
    if row.phase == OrderPhase::Sending || row.in_doubt() {
        earlier.push(row.attempt.clone());
    }
    earlier
}

/// Wall clock time in milliseconds, but always above the row's last number.
/// Works for services that compare fencing numbers across all orders and for
/// services that compare them per order.
fn next_fencing_number(now: SystemTime, found: Option<&VersionedRow>) -> FencingNumber {
    let millis = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis());
    let clock_number = FencingNumber::try_from(millis).unwrap_or(FencingNumber::MAX);
    found.map_or(clock_number, |found| {
        clock_number.max(found.row.fencing + 1)
    })
}
