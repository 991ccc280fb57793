//! Log of load reports, sampled at an interval and delivered after a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use types::EngineReport;

#[derive(Debug)]
struct ReportSample {
    sampled_at: Instant,
    report: EngineReport,
}

/// The logged samples, including those that are still younger than the delay.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    samples: VecDeque<ReportSample>,
}

impl ReportLog {
    /// Returns when the next sample is due.
    pub(crate) fn next_sample_at(&self, now: Instant, interval: Duration) -> Instant {
        let last = self.samples.back();
        last.map_or(now, |sample| sample.sampled_at + interval)
    }

    pub(crate) fn record(&mut self, now: Instant, report: EngineReport) {
        self.samples.push_back(ReportSample {
            sampled_at: now,
            report,
        });
    }

    /// Returns the newest sample that is at least `delay` old, or the oldest one if
    /// all are younger.
    pub(crate) fn latest_visible(&mut self, now: Instant, delay: Duration) -> Option<EngineReport> {
        while self.second_sample_is_old_enough(now, delay) {
            self.samples.pop_front();
        }
        let sample = self.samples.front()?;
        let mut report = sample.report.clone();
        report.age = now.saturating_duration_since(sample.sampled_at);
        Some(report)
    }

    fn second_sample_is_old_enough(&self, now: Instant, delay: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|sample| now.saturating_duration_since(sample.sampled_at) >= delay)
    }
}
