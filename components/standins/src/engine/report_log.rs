//! Load reports as they reach readers: sampled now and then, and late.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use types::EngineReport;

#[derive(Debug)]
struct ReportSample {
    taken: Instant,
    report: EngineReport,
}

/// The samples that a reader may still get.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    samples: VecDeque<ReportSample>,
}

impl ReportLog {
    /// Time of the next sample.
    pub(crate) fn due(&self, now: Instant, interval: Duration) -> Instant {
        let last = self.samples.back();
        last.map_or(now, |sample| sample.taken + interval)
    }

    pub(crate) fn record(&mut self, now: Instant, report: EngineReport) {
        self.samples.push_back(ReportSample { taken: now, report });
    }

    /// The newest sample of at least age `delay`; the oldest there is when
    /// none is.
    pub(crate) fn latest(&mut self, now: Instant, delay: Duration) -> Option<EngineReport> {
        while self.second_is_ripe(now, delay) {
            self.samples.pop_front();
        }
        let sample = self.samples.front()?;
        let mut report = sample.report.clone();
        report.age = now.saturating_duration_since(sample.taken);
        Some(report)
    }

    fn second_is_ripe(&self, now: Instant, delay: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|sample| now.saturating_duration_since(sample.taken) >= delay)
    }
}
