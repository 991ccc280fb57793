//! Requests that crash the upstreams which run them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use types::UpstreamId;

/// Upstreams that a request may crash before it is refused.
const MAX_CRASHES: usize = 3;
/// Time within which an upstream that crashed can't be back, so that an answer
/// from it shows that it did not crash.
const MIN_RESTART_TIME: Duration = Duration::from_millis(1500);
/// Time for which a request that crashed upstreams is refused.
const QUARANTINE_TIME: Duration = Duration::from_mins(1);

/// Hash over path, organisation and body: the same for every attempt.
pub type CrashFingerprint = u64;

/// Requests and the upstreams they are suspected to have crashed.
#[derive(Debug, Default)]
pub struct QuarantineList {
    suspects: HashMap<CrashFingerprint, (Instant, Vec<(Instant, UpstreamId)>)>,
}

impl QuarantineList {
    /// Notes that `upstream` broke off while it ran the request; returns
    /// whether that is news.
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

    /// Notes an answer of `upstream`: only a connection to it had broken.
    pub fn clear_upstream(&mut self, now: Instant, upstream: &str) {
        for (_, upstreams) in self.suspects.values_mut() {
            upstreams.retain(|(crashed_at, id)| {
                id != upstream || now.duration_since(*crashed_at) > MIN_RESTART_TIME
            });
        }
    }

    /// Whether the request has crashed too many upstreams to be sent again.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant, fingerprint: CrashFingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|(last_crash, upstreams)| {
                upstreams.len() >= MAX_CRASHES && now.duration_since(*last_crash) < QUARANTINE_TIME
            })
    }
}
