//! Quarantine of requests that crash the upstreams which run them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use types::UpstreamId;

/// A request is refused once it has crashed this many upstreams.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Time that an upstream needs at least to restart after a crash. An answer
/// within this time shows that the upstream did not crash.
const MIN_RESTART_TIME: Duration = Duration::from_millis(1500);
/// Time after the last crash for which a request is refused.
const QUARANTINE_TIME: Duration = Duration::from_mins(1);

/// Hash of a request's path, organisation and body, equal for all its attempts.
pub type CrashFingerprint = u64;

/// Requests with the upstreams that each is suspected of having crashed.
#[derive(Debug, Default)]
pub struct QuarantineList {
    suspects: HashMap<CrashFingerprint, (Instant, Vec<(Instant, UpstreamId)>)>,
}

impl QuarantineList {
    /// Records that the connection to `upstream` broke while it ran the request;
    /// returns whether this upstream was not recorded yet.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: CrashFingerprint,
        upstream: &str,
    ) -> bool {
        self.suspects
            .retain(|_, (last_crash, _)| now.duration_since(*last_crash) < QUARANTINE_TIME);
        let (last_crash, upstreams) = self
            .suspects
            .entry(fingerprint)
            .or_insert((now, Vec::new()));
        *last_crash = now;
        if upstreams.iter().any(|(_, id)| id == upstream) {
            return false;
        }
        upstreams.push((now, upstream.to_owned()));
        true
    }

    /// Removes recent suspected crashes of `upstream` once it answers, since
    /// only a connection to it had broken.
    pub fn clear_suspected_crashes(&mut self, now: Instant, upstream: &str) {
        for (_, upstreams) in self.suspects.values_mut() {
            upstreams.retain(|(crashed_at, id)| {
                id != upstream || now.duration_since(*crashed_at) > MIN_RESTART_TIME
            });
        }
    }

    /// Whether the request is refused because it crashed too many upstreams.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant, fingerprint: CrashFingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|(last_crash, upstreams)| {
                upstreams.len() >= CRASHES_TO_QUARANTINE
                    && now.duration_since(*last_crash) < QUARANTINE_TIME
            })
    }
}
