//! Settling of rows that have not changed for too long, and deletion of old
//! rows.

use std::time::{Duration, SystemTime};

use crate::{
    DoubtCause, OrderPhase, OrderRow, OrderVerdict, OrderWrite, RefusalCause, RowCondition,
    VersionedRow,
};

/// Minimum time that an idempotency key is kept, counted from the last claim.
/// Rows that are unsettled or in doubt are kept until they are settled.
pub const RETENTION: Duration = Duration::from_hours(7 * 24);
/// Age after which a claim that was not marked `Sending` may be taken over.
pub(crate) const CLAIM_LEASE: Duration = Duration::from_secs(5);
/// Minimum time since a row's last change before the sweep settles it, or the
/// row's send limit if that is longer. The sweep reads claims older than this.
pub const SWEEP_AGE: Duration = Duration::from_mins(5);

/// Builds the write that settles a row that has not changed for too long; `None`
/// if the row stays as it is. If the write conflicts, the caller must drop it,
/// because another process is handling the row.
///
/// A claim is settled as not run, which is safe: the write makes the mark of
/// its attempt fail. A row in `Sending` can only become in doubt.
#[must_use]
pub fn sweep_step(found: &VersionedRow, now: SystemTime) -> Option<OrderWrite> {
    settle_stale_row(found, now, SWEEP_AGE)
}

/// Like [`sweep_step`], but for a row that a status read returned: the minimum
/// time since the last change is 5 s, or the row's send limit if longer.
#[must_use]
pub fn status_read_step(found: &VersionedRow, now: SystemTime) -> Option<OrderWrite> {
    settle_stale_row(found, now, CLAIM_LEASE)
}

fn settle_stale_row(found: &VersionedRow, now: SystemTime, age: Duration) -> Option<OrderWrite> {
    if !found.row.unchanged_for(age.max(found.row.send_limit), now) {
        return None;
    }
    let verdict = match &found.row.phase {
        OrderPhase::Claimed => OrderVerdict::NotRun {
            cause: RefusalCause::Abandoned,
        },
        OrderPhase::Sending => OrderVerdict::InDoubt {
            cause: DoubtCause::SenderSilent,
        },
        OrderPhase::Settled(_) => return None,
    };
    Some(OrderWrite {
        expected: RowCondition::Version(found.version),
        row: found.row.with_phase(OrderPhase::Settled(verdict), now),
        was_in_doubt: false,
        is_claim: false,
    })
}

/// What to do with a row whose claim in the index is older than [`RETENTION`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PurgeStep {
    /// Delete the row at the version that was read.
    Delete,
    /// Keep the row: a newer claim of the order is in the index.
    Skip,
    /// Keep the row, which is unsettled or in doubt, and add its claim to the
    /// index again.
    Relist,
}

/// Decides what to do with a row whose claim in the index is older than
/// [`RETENTION`].
#[must_use]
pub fn purge_step(row: &OrderRow, now: SystemTime) -> PurgeStep {
    let expired = now
        .duration_since(row.claimed_at)
        .is_ok_and(|age| age >= RETENTION);
    if !expired {
        return PurgeStep::Skip;
    }
    match &row.phase {
        OrderPhase::Settled(OrderVerdict::Done { .. } | OrderVerdict::NotRun { .. }) => {
            PurgeStep::Delete
        }
        OrderPhase::Claimed
        | OrderPhase::Sending
        | OrderPhase::Settled(OrderVerdict::InDoubt { .. }) => PurgeStep::Relist,
    }
}
