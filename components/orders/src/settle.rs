//! Settlements that are written later: owed after an outage, found late, or
//! made by an operator's hand.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptTag, DoubtCause, OrderPhase, OrderRow, OrderVerdict, OrderWrite, RowCondition,
    VersionedRow,
};

/// What an attempt knows and its row may not say yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PendingSettlement {
    /// The attempt.
    pub tag: AttemptTag,
    /// What it knows of its own send.
    pub verdict: OrderVerdict,
}

/// What to do about an owed settlement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettleStep {
    /// Change the row; on a conflict read it and decide again.
    Write(Box<OrderWrite>),
    /// The row needs nothing from this attempt.
    Discard,
    /// The row was settled against the evidence and can't be mended.
    Contradiction,
}

/// Decides about an owed settlement from the row as a latest read found it.
#[must_use]
pub fn settle_step(
    found: Option<&VersionedRow>,
    owed: &PendingSettlement,
    now: SystemTime,
) -> SettleStep {
    let Some(found) = found else {
        return SettleStep::Discard;
    };
    if found.row.attempt == owed.tag {
        return settle_own(found, owed, now);
    }
    if found.row.earlier.contains(&owed.tag) {
        return settle_earlier(found, owed, now);
    }
    // Two answers for one order are no fault only where a resend is allowed.
    let explained = is_done(&found.row) && found.row.rule.allows_resend();
    match &owed.verdict {
        OrderVerdict::Done { .. } if !explained => SettleStep::Contradiction,
        _ => SettleStep::Discard,
    }
}

fn settle_own(found: &VersionedRow, owed: &PendingSettlement, now: SystemTime) -> SettleStep {
    match (&found.row.phase, &owed.verdict) {
        (OrderPhase::Claimed | OrderPhase::Sending, _)
        // Evidence goes before a guess and before an operator's word.
        | (
            OrderPhase::Settled(OrderVerdict::InDoubt { .. }),
            OrderVerdict::Done { .. } | OrderVerdict::NotRun { .. },
        )
        | (OrderPhase::Settled(OrderVerdict::NotRun { .. }), OrderVerdict::Done { .. }) => {
            let verdict = weaken(&found.row, &owed.verdict);
            write_verdict(found, &verdict, now)
        }
        _ => SettleStep::Discard,
    }
}

/// A clean failure of the last attempt says nothing of earlier sends.
fn weaken(row: &OrderRow, verdict: &OrderVerdict) -> OrderVerdict {
    match verdict {
        OrderVerdict::NotRun { .. } if !row.earlier.is_empty() => OrderVerdict::InDoubt {
            cause: DoubtCause::SenderSilent,
        },
        verdict => verdict.clone(),
    }
}

/// The attempt was followed by another while its own send was unknown.
fn settle_earlier(found: &VersionedRow, owed: &PendingSettlement, now: SystemTime) -> SettleStep {
    match &owed.verdict {
        OrderVerdict::Done { .. } if !is_done(&found.row) => {
            write_verdict(found, &owed.verdict, now)
        }
        OrderVerdict::NotRun { .. } if !is_done(&found.row) => {
            let mut row = found.row.clone();
            row.earlier.retain(|tag| *tag != owed.tag);
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

fn write_verdict(found: &VersionedRow, verdict: &OrderVerdict, now: SystemTime) -> SettleStep {
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

/// The row with its verdict; an answer settles the earlier sends too.
pub(crate) fn settled_row(row: &OrderRow, verdict: &OrderVerdict, now: SystemTime) -> OrderRow {
    let kept = match verdict {
        OrderVerdict::Done { answer } => OrderVerdict::Done {
            answer: answer.for_row(),
        },
        other => other.clone(),
    };
    let mut settled = row.moved(OrderPhase::Settled(kept), now);
    if is_done(&settled) {
        settled.earlier.clear();
    }
    settled
}

fn is_done(row: &OrderRow) -> bool {
    matches!(row.phase, OrderPhase::Settled(OrderVerdict::Done { .. }))
}

/// Why an order can't be settled by hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManualSettleError {
    /// There is no such order.
    Unrecorded,
    /// It is not in doubt.
    NotInDoubt,
    /// A verdict by hand is done or not run.
    VerdictUnfit,
    /// The row changed at the same moment; look again.
    Changed,
    /// The table service can't be reached.
    StoreUnavailable,
}

/// The write that settles an order in doubt by hand.
///
/// A node that is paused between mark and send may still send: the operator
/// makes sure that the process named by the row is gone before saying not run.
///
/// # Errors
/// `ManualSettleError` when the order is not in doubt or the verdict doesn't settle.
pub fn settle_manually(
    found: Option<&VersionedRow>,
    verdict: &OrderVerdict,
    now: SystemTime,
) -> Result<OrderWrite, ManualSettleError> {
    let found = found.ok_or(ManualSettleError::Unrecorded)?;
    let silent =
        found.row.phase == OrderPhase::Sending && found.row.older_than(found.row.send_limit, now);
    if !silent && !found.row.in_doubt() {
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
