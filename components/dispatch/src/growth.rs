//! How fast a node's short prompts grow, and what follows for those of others
//! whose reports lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::placement::truncate_to_u64;

/// Time over which this node's own growth is measured: some reports.
const GROWTH_WINDOW: Duration = Duration::from_millis(500);
/// Usual age of what this node knows of others: half the pause between two
/// reports, the same for the sums, and the way.
const REPORT_LAG: Duration = Duration::from_millis(120);

/// This node's requests with short pauses, at regular times.
#[derive(Debug, Default)]
pub(crate) struct StrictGrowth {
    samples: VecDeque<(Instant, u32)>,
}

impl StrictGrowth {
    pub(crate) fn record_sample(&mut self, now: Instant, strict_requests: u32) {
        self.samples.push_back((now, strict_requests));
        let is_expired =
            |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) > GROWTH_WINDOW;
        while self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
    }

    /// What `others` other nodes have probably grown by since their last
    /// report, if each grows as this one, which has `shorts` now.
    pub(crate) fn estimate_unreported(
        &self,
        now: Instant,
        strict_requests: u32,
        others: usize,
    ) -> u32 {
        let Some((since, earlier_count)) = self.samples.front() else {
            return 0;
        };
        let elapsed = now.saturating_duration_since(*since).max(REPORT_LAG);
        let growth = strict_requests.saturating_sub(*earlier_count);
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        let total_growth = f64::from(growth.saturating_mul(others));
        let unreported = truncate_to_u64(total_growth * REPORT_LAG.div_duration_f64(elapsed));
        u32::try_from(unreported).unwrap_or(u32::MAX)
    }
}
