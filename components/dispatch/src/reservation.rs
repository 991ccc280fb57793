//! How long memory that is reserved on other engines outlives the request that uses it.
//!
//! A reservation lapses unless it is renewed. The node that made it can't always tell
//! that the answering engine has ended: behind a cut, nothing says so. So it renews only
//! while that engine is seen, and the last renewal lapses within the time that engines
//! are granted to have their memory back.

use std::time::{Duration, Instant};

/// Timeout of an order to an engine.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Share of the time to free memory for which a reservation lasts. With the pause and
/// [`ORDER_TIMEOUT`], nine tenths of four seconds are spent in the worst case.
const LIFETIME_SHARE: f64 = 0.625;
/// Share of a reservation's lifetime between renewals: short enough that the reservation
/// outlives two successive renewals that fail without delay, or one that times out.
const RENEWAL_SHARE: f64 = 0.3;

/// Times of the reservations of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReservationTerms {
    /// Time after an order's arrival after which the engine has its memory back.
    pub lifetime: Duration,
    /// Pause between renewals.
    pub renewal_pause: Duration,
}

impl ReservationTerms {
    /// Terms with which memory is free `free_time` after the request's last use of it,
    /// whatever is lost then: the engine is last seen a pause before a renewal, which arrives
    /// after [`ORDER_TIMEOUT`] and lapses. No reservation lasts longer than `lifetime_max`.
    #[must_use]
    pub fn new(free_time: Duration, lifetime_max: Duration) -> Self {
        let lifetime = free_time.mul_f64(LIFETIME_SHARE).min(lifetime_max);
        Self {
            lifetime,
            renewal_pause: lifetime.mul_f64(RENEWAL_SHARE),
        }
    }
}

/// What is known of the engine that answers the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineSign {
    /// It sent data, or it accepts connections of some node.
    Seen,
    /// No node that was asked reaches it.
    Unseen,
    /// Its process has ended, or another one has its id.
    Ended,
}

/// What to do about the reservations of a request when a renewal is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalStep {
    /// Renew them.
    Renew,
    /// Leave them to lapse unless a later step renews them.
    Wait,
    /// Release them: the request can't be answered any more.
    Release,
}

/// Decides on the renewals of one request's reservations.
#[derive(Clone, Copy, Debug)]
pub struct RenewalPlan {
    terms: ReservationTerms,
    /// When data of the answer last arrived.
    heard_at: Option<Instant>,
    /// When the last renewal that all engines confirmed was sent.
    renewed_at: Instant,
}

impl RenewalPlan {
    /// Begins with orders that were sent at `now` and that all engines confirmed.
    #[must_use]
    pub fn new(now: Instant, terms: ReservationTerms) -> Self {
        Self {
            terms,
            heard_at: None,
            renewed_at: now,
        }
    }

    /// Pause before the next step.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.terms.renewal_pause
    }

    /// Records that data of the answer arrived.
    pub fn record_data(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Records that all engines confirmed a renewal that was sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        self.renewed_at = sent_at;
    }

    /// Whether data of the answer shows that the engine still answers, so that it need
    /// not be probed.
    #[must_use]
    pub fn is_heard(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.terms.renewal_pause)
    }

    /// Decides on a renewal at `now`, by a check of the engine that began at `checked_at`.
    /// A check that is older than a pause, as after a freeze of this node, proves nothing.
    /// Reservations that have lapsed are not made anew: engines cut off a request when its
    /// memory lapses.
    #[must_use]
    pub fn step(&self, now: Instant, checked_at: Instant, sign: EngineSign) -> RenewalStep {
        let is_recent = now.saturating_duration_since(checked_at) <= self.terms.renewal_pause;
        let has_lapsed = now.saturating_duration_since(self.renewed_at) >= self.terms.lifetime;
        match sign {
            EngineSign::Ended => RenewalStep::Release,
            EngineSign::Seen | EngineSign::Unseen if has_lapsed => RenewalStep::Release,
            EngineSign::Seen if is_recent => RenewalStep::Renew,
            EngineSign::Seen | EngineSign::Unseen => RenewalStep::Wait,
        }
    }
}
