//! Memory reserved on other engines, on a simulated clock, while the engine that answers
//! ends at a random moment: behind a cut, or replaced by another process, while orders are
//! lost and the node freezes.

use std::time::{Duration, Instant};

use dispatch::{EngineSign, ORDER_TIMEOUT, RenewalPlan, RenewalStep, ReservationTerms};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time after the last use of memory within which engines must have it back.
const FREE_TIME: Duration = Duration::from_secs(4);
/// Longest time that it takes to find out whether the answering engine is seen: a probe
/// of the node's own and the answers of others.
const CHECK_TIME_MAX: Duration = Duration::from_millis(500);

fn terms() -> ReservationTerms {
    ReservationTerms::new(FREE_TIME, Duration::from_secs(20))
}

/// A request whose answering engine ends at `ends_at`.
struct ReservedRequest {
    rng: StdRng,
    ends_at: Duration,
    /// What the node finds out of the engine after its end.
    sign_after_end: EngineSign,
    /// Share of orders that are lost.
    loss: f64,
    /// The node stands still from the first moment to the second.
    freeze: (Duration, Duration),
}

impl ReservedRequest {
    /// Returns until when memory is set aside, if the node runs on for `time`.
    fn play(&mut self, time: Duration) -> Duration {
        let start = Instant::now();
        let mut plan = RenewalPlan::new(start, terms());
        let mut free_at = terms().lifetime;
        let mut now = Duration::ZERO;
        while now < time {
            now = self.advance(now, plan.pause());
            let is_alive = now < self.ends_at;
            let sign = if is_alive {
                EngineSign::Seen
            } else {
                self.sign_after_end
            };
            let checked_at = now;
            let check_time = self.rng.random_range(Duration::ZERO..CHECK_TIME_MAX);
            now = self.advance(now, check_time);
            match plan.step(start + now, start + checked_at, sign) {
                RenewalStep::Release => return free_at.min(now + ORDER_TIMEOUT),
                RenewalStep::Wait => {}
                RenewalStep::Renew => {
                    let sent_at = now;
                    let arrives_in = self.rng.random_range(Duration::ZERO..ORDER_TIMEOUT);
                    let is_lost = self.rng.random_bool(self.loss);
                    // Of a lost order, only the answer may be lost.
                    if !is_lost || self.rng.random_bool(0.5) {
                        free_at = sent_at + arrives_in + terms().lifetime;
                    }
                    if is_lost {
                        now = self.advance(now, ORDER_TIMEOUT);
                    } else {
                        now = self.advance(now, arrives_in);
                        plan.record_renewal(start + sent_at);
                    }
                }
            }
        }
        free_at
    }

    fn advance(&self, now: Duration, time: Duration) -> Duration {
        let (frozen_at, woken_at) = self.freeze;
        let then = now + time;
        if now < frozen_at && then >= frozen_at {
            then.max(woken_at)
        } else {
            then
        }
    }
}

#[test]
fn no_memory_stays_set_aside_after_the_answering_engine_has_ended() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ends_at = rng.random_range(Duration::ZERO..Duration::from_secs(6));
        let frozen_at = rng.random_range(Duration::ZERO..Duration::from_secs(8));
        let frozen_for = rng.random_range(Duration::ZERO..Duration::from_secs(5));
        let signs = [EngineSign::Unseen, EngineSign::Ended];
        let sign_after_end = signs[rng.random_range(0..2)];
        let mut request = ReservedRequest {
            rng,
            ends_at,
            sign_after_end,
            loss: 0.2,
            freeze: (frozen_at, frozen_at + frozen_for),
        };
        let free_at = request.play(Duration::from_secs(20));
        assert!(
            free_at <= ends_at.max(Duration::from_millis(1)) + FREE_TIME,
            "seed {seed}: free at {free_at:?}, ended at {ends_at:?}"
        );
    }
}

#[test]
fn lifetimes_outlast_lost_orders_and_end_in_time() {
    let terms = terms();
    let longest = terms.renewal_pause + ORDER_TIMEOUT + terms.lifetime;
    assert!(longest < FREE_TIME, "{terms:?}");
    let one_timeout = (terms.renewal_pause + ORDER_TIMEOUT) + terms.renewal_pause;
    assert!(one_timeout < terms.lifetime, "{terms:?}");
    assert!(terms.renewal_pause * 3 < terms.lifetime, "{terms:?}");
}

#[test]
fn data_of_the_answer_takes_the_place_of_a_probe_for_one_pause() {
    let start = Instant::now();
    let mut plan = RenewalPlan::new(start, terms());
    assert!(!plan.is_heard(start));
    plan.record_data(start);
    assert!(plan.is_heard(start + plan.pause() / 2));
    assert!(!plan.is_heard(start + plan.pause()));
}

/// An order would make the reservation anew, for a request that the engines have cut off.
#[test]
fn a_reservation_that_lapsed_during_a_freeze_is_not_made_anew() {
    let start = Instant::now();
    let plan = RenewalPlan::new(start, terms());
    let woken_at = start + Duration::from_secs(5);
    assert_eq!(
        plan.step(woken_at, woken_at, EngineSign::Seen),
        RenewalStep::Release
    );
}

#[test]
fn no_reservation_lasts_longer_than_engines_allow() {
    let terms = ReservationTerms::new(FREE_TIME, Duration::from_secs(1));
    assert_eq!(terms.lifetime, Duration::from_secs(1));
    assert!(terms.renewal_pause * 3 < terms.lifetime);
}
