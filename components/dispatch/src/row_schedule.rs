//! When a node writes its row to the store and when it lists the rows of others, by which
//! nodes find each other that know no other way.

use std::time::{Duration, Instant};

/// Pause between listings of a relay that knows other nodes: they mostly learn of each other
/// by reports.
pub const LISTING_PAUSE: Duration = Duration::from_secs(20);
/// Pause before a node that knows no other lists the rows again; it doubles each time up to
/// [`LISTING_PAUSE`]. 300 such nodes make 300 calls in the first second, a twentieth of
/// what a store takes.
const ISOLATED_LISTING_PAUSE: Duration = Duration::from_secs(1);

/// Schedule of a node's own row and of its listings of all rows.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowSchedule {
    written_at: Option<Instant>,
    listed_at: Option<Instant>,
    /// Listings in a row that were made without knowing another node.
    isolated_listings: u32,
}

impl RowSchedule {
    /// Whether the store holds this node's row, as far as it knows.
    #[must_use]
    pub fn is_written(&self) -> bool {
        self.written_at.is_some()
    }

    /// Records that the row was written.
    pub fn record_written(&mut self, now: Instant) {
        self.written_at = Some(now);
    }

    /// Records that the store may have lost the row.
    pub fn record_lost(&mut self) {
        self.written_at = None;
    }

    /// Records that a listing that began at `began` has succeeded. `knows_others` is
    /// whether this node knows a live one by now.
    pub fn record_listing(&mut self, began: Instant, knows_others: bool) {
        self.listed_at = Some(began);
        self.isolated_listings = if knows_others {
            0
        } else {
            self.isolated_listings.saturating_add(1)
        };
    }

    /// Whether the rows are to be listed. Every node lists them after it has written its
    /// own, so of two that start at the same moment the one that writes last finds the
    /// other.
    #[must_use]
    pub fn is_listing_due(&self, now: Instant, knows_others: bool) -> bool {
        let Some(listed_at) = self.listed_at else {
            return true;
        };
        let pause = if knows_others {
            LISTING_PAUSE
        } else {
            let doublings = self.isolated_listings.saturating_sub(1).min(16);
            LISTING_PAUSE.min(ISOLATED_LISTING_PAUSE * 2u32.pow(doublings))
        };
        let is_older = self.written_at.is_some_and(|at| listed_at < at);
        is_older || now.saturating_duration_since(listed_at) >= pause
    }
}
