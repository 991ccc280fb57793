//! Requests that crash the upstreams which run them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use types::UpstreamId;

/// Upstreams that a request may crash before it is refused.
const CRASHES_MAX: usize = 2;
/// Time for which a request that crashed upstreams is refused.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);

/// Hash over path, organisation and body: the same for every attempt.
pub type CrashFingerprint = u64;

/// Requests and the upstreams they are suspected to have crashed.
#[derive(Debug, Default)]
pub struct QuarantineList {
    suspects: HashMap<CrashFingerprint, (Instant, Vec<UpstreamId>)>,
}

impl QuarantineList {
    /// Notes that `upstream` broke off while it ran the request; returns
    /// whether that is news.
    pub fn note_crash(
        &mut self,
        now: Instant,
        fingerprint: CrashFingerprint,
        upstream: &str,
    ) -> bool {
        self.suspects
            .retain(|_, (last, _)| now.duration_since(*last) < QUARANTINE_TIME);
        let (last, upstreams) = self.suspects.entry(fingerprint).or_insert((now, Vec::new()));
        *last = now;
        if upstreams.iter().any(|one| one == upstream) {
            return false;
        }
        upstreams.push(upstream.to_owned());
        true
    }

    /// Whether the request has crashed too many upstreams to be sent again.
    #[must_use]
    pub fn holds(&self, now: Instant, fingerprint: CrashFingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|(last, all)| {
            all.len() >= CRASHES_MAX && now.duration_since(*last) < QUARANTINE_TIME
        })
    }
}
