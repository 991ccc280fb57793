//! Estimates how many strict requests other nodes have started since their last
//! load report, from the increase of this node's own.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::placement::truncate_to_u64;

/// Time over which the increase of this node's own strict requests is measured;
/// covers several reports.
const GROWTH_WINDOW: Duration = Duration::from_millis(500);
/// Usual age of the known loads of other nodes: half the interval between
/// reports, plus half the interval between aggregates, plus the network delay.
const REPORT_LAG: Duration = Duration::from_millis(120);

/// Estimates the strict requests of other nodes that no report contains yet, from
/// samples of the number that this node has in flight.
#[derive(Debug, Default)]
pub(crate) struct UnreportedEstimator {
    samples: VecDeque<(Instant, u32)>,
}

impl UnreportedEstimator {
    pub(crate) fn record_sample(&mut self, now: Instant, strict_requests: u32) {
        self.samples.push_back((now, strict_requests));
        let is_expired =
            |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) > GROWTH_WINDOW;
        while self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
    }

    /// Estimates how many strict requests the other nodes, `others` in number, have
    /// added since their last reports, if each adds them as fast as this one, which
    /// has `strict_requests` in flight now.
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
