//! Settlements written after the attempt has ended: after an outage of the
//! table service, after a late answer, or manually by an operator.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptTag, DoubtCause, OrderPhase, OrderRow, OrderVerdict, OrderWrite, RowCondition,
    VersionedRow,
};

/// A result that an attempt knows and its row may not show yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PendingSettlement {
    /// Tag of the attempt that the result belongs to.
    pub tag: AttemptTag,
    /// Verdict on that attempt's own send.
    pub verdict: OrderVerdict,
}

/// What to do with a pending settlement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettleStep {
    /// Write the row; after a conflict, read it and decide again.
    Write(Box<OrderWrite>),
    /// Discard the settlement, since it would not change the row.
    Discard,
    /// The service ran the order for this attempt, but the row neither names nor
    /// lists the attempt, so the answer can't be recorded.
    Contradiction,
}

/// Decides what to do with a pending settlement, given the latest version of
/// the row.
#[must_use]
pub fn settle_step(
    found: Option<&VersionedRow>,
    pending: &PendingSettlement,
    now: SystemTime,
) -> SettleStep {
    let Some(found) = found else {
        return SettleStep::Discard;
    };
    if found.row.attempt == pending.tag {
        return settle_current_attempt(found, pending, now);
    }
    if found.row.earlier.contains(&pending.tag) {
        return settle_earlier_attempt(found, pending, now);
    }
    // Two answers for one order are correct only where a resend is allowed.
    let allowed_resend = is_done(&found.row) && found.row.rule.allows_resend();
    match &pending.verdict {
        OrderVerdict::Done { .. } if !allowed_resend => SettleStep::Contradiction,
        _ => SettleStep::Discard,
    }
}

fn settle_current_attempt(
    found: &VersionedRow,
    pending: &PendingSettlement,
    now: SystemTime,
) -> SettleStep {
    match (&found.row.phase, &pending.verdict) {
        (OrderPhase::Claimed | OrderPhase::Sending, _)
        // The attempt's own verdict replaces "in doubt"; its answer also
        // replaces "not run", even if an operator set it.
        | (
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }),
            OrderVerdict::Done { .. } | OrderVerdict::NotRun { .. },
        )
        | (OrderPhase::Settled(OrderVerdict::NotRun { .. }), OrderVerdict::Done { .. }) => {
            let verdict = in_doubt_if_earlier_sends(&found.row, &pending.verdict);
            verdict_step(found, &verdict, now)
        }
        _ => SettleStep::Discard,
    }
}

/// Turns "not run" into "in doubt" if the row lists earlier attempts, because
/// the last attempt knows nothing about their sends.
fn in_doubt_if_earlier_sends(row: &OrderRow, verdict: &OrderVerdict) -> OrderVerdict {
    match verdict {
        OrderVerdict::NotRun { .. } if !row.earlier.is_empty() => OrderVerdict::InDoubt {
            cause: DoubtCause::SenderSilent,
        },
        verdict => verdict.clone(),
    }
}

/// Settles an attempt listed in `earlier`: a later attempt took over the row
/// while the result of its send was unknown.
fn settle_earlier_attempt(
    found: &VersionedRow,
    pending: &PendingSettlement,
    now: SystemTime,
) -> SettleStep {
    match &pending.verdict {
        OrderVerdict::Done { .. } if !is_done(&found.row) => {
            verdict_step(found, &pending.verdict, now)
        }
        OrderVerdict::NotRun { .. } if !is_done(&found.row) => {
            let mut row = found.row.clone();
            row.earlier.retain(|tag| *tag != pending.tag);
            SettleStep::Write(Box::new(OrderWrite {
                expected: RowCondition::Version(found.version),
                was_in_doubt: row.in_doubt(),
                is_claim: false,
                row,
            }))
        }
        _ => SettleStep::Discard,
    }
}

/// Returns the write that settles the row with `verdict`, or `Discard` if the row
/// has that verdict already.
fn verdict_step(found: &VersionedRow, verdict: &OrderVerdict, now: SystemTime) -> SettleStep {
    let row = settled_row(&found.row, verdict, now);
    if row.phase == found.row.phase {
        return SettleStep::Discard;
    }
    SettleStep::Write(Box::new(OrderWrite {
        expected: RowCondition::Version(found.version),
        was_in_doubt: found.row.in_doubt(),
        is_claim: false,
        row,
    }))
}

/// The row settled with `verdict`. An answer also settles the earlier attempts.
pub(crate) fn settled_row(row: &OrderRow, verdict: &OrderVerdict, now: SystemTime) -> OrderRow {
    let recorded = match verdict {
        OrderVerdict::Done { answer } => OrderVerdict::Done {
            answer: answer.without_oversized_body(),
        },
        other => other.clone(),
    };
    let mut settled = row.with_phase(OrderPhase::Settled(recorded), now);
    if is_done(&settled) {
        settled.earlier.clear();
    }
    settled
}

fn is_done(row: &OrderRow) -> bool {
    matches!(row.phase, OrderPhase::Settled(OrderVerdict::Done { .. }))
}

/// Why an order can't be settled manually.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManualSettleError {
    /// No order is recorded under the name.
    Unrecorded,
    /// The order is not in doubt.
    NotInDoubt,
    /// The verdict is neither done nor not run.
    VerdictUnfit,
    /// The row changed concurrently; read it again before settling. Set by the
    /// caller that writes the row.
    Changed,
    /// The table service can't be reached. Set by the caller that writes the
    /// row.
    StoreUnavailable,
}

/// Builds the write with which an operator settles an order in doubt.
///
/// A node that is paused between mark and send may still send. Before settling
/// an order as not run, the operator must make sure that the process named in
/// the row has ended.
///
/// # Errors
/// `ManualSettleError` if the order is not recorded or not in doubt, or if the
/// verdict is itself in doubt.
pub fn settle_manually(
    found: Option<&VersionedRow>,
    verdict: &OrderVerdict,
    now: SystemTime,
) -> Result<OrderWrite, ManualSettleError> {
    let found = found.ok_or(ManualSettleError::Unrecorded)?;
    let sender_silent = found.row.phase == OrderPhase::Sending
        && found.row.unchanged_for(found.row.send_limit, now);
    if !sender_silent && !found.row.in_doubt() {
        return Err(ManualSettleError::NotInDoubt);
    }
    if matches!(verdict, OrderVerdict::InDoubt { .. }) {
        return Err(ManualSettleError::VerdictUnfit);
    }
    let mut row = settled_row(&found.row, verdict, now);
    row.earlier.clear();
    Ok(OrderWrite {
        expected: RowCondition::Version(found.version),
        row,
        was_in_doubt: found.row.in_doubt(),
        is_claim: false,
    })
}
