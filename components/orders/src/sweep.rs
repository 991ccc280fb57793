//! What is done with rows that their attempts left, and with old rows.

use std::time::{Duration, SystemTime};

use crate::{
    DoubtCause, OrderPhase, OrderRow, OrderVerdict, OrderWrite, RefusalCause, RowCondition,
    VersionedRow,
};

/// How long a key is kept, counted from the last claim.
pub const RETENTION: Duration = Duration::from_hours(7 * 24);
/// Age from which a claim that was not marked may be taken over.
pub(crate) const CLAIM_LEASE: Duration = Duration::from_secs(5);
/// Age of a claim at which the sweep looks at it.
pub const SWEEP_AGE: Duration = Duration::from_mins(5);

/// Settles what a dead or paused node left; `None` keeps the row. On a
/// conflict the row is left to whoever changed it.
///
/// The change of a claim makes its attempt's mark fail, so not run is true.
/// A row that says `Sending` can only become in doubt.
#[must_use]
pub fn sweep_step(found: &VersionedRow, now: SystemTime) -> Option<OrderWrite> {
    stale_step(found, now, SWEEP_AGE)
}

/// The same, after a shorter time, for a row that a caller asks about.
#[must_use]
pub fn status_read_step(found: &VersionedRow, now: SystemTime) -> Option<OrderWrite> {
    stale_step(found, now, CLAIM_LEASE)
}

fn stale_step(found: &VersionedRow, now: SystemTime, age: Duration) -> Option<OrderWrite> {
    if !found.row.older_than(age.max(found.row.send_limit), now) {
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
        row: found.row.moved(OrderPhase::Settled(verdict), now),
        was_in_doubt: false,
        is_claim: false,
    })
}

/// What is done with a row whose claim is listed among the old ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PurgeStep {
    /// Delete it at the version read.
    Delete,
    /// A newer claim lists it again.
    Skip,
    /// It is not settled: list it again for later.
    Relist,
}

/// Decides about a row whose listed claim is older than [`RETENTION`].
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
