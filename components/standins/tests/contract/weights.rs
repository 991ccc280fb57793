//! Weight store: slot rate, retry delay and outages.

use std::time::Duration;

use errors::PlatformError;
use kernel::{ClockSource, PausedClock};
use smol::block_on;
use standins::PlatformSettings;
use stores::{
    HttpWeights, WeightStore,
    fakes::{InjectedFaults, MemoryWeights, OutageKind, WeightRate},
};

use crate::fixture::{CALL_TIMEOUT, CallOutcome, platform, platform_outcome};

const RATE: WeightRate = WeightRate {
    interval: Duration::from_secs(1),
    burst: 2,
    bytes: 5,
    valid_for: Duration::from_secs(30),
};

/// Runs `check` against the in-memory store, then against the HTTP adapter with a
/// stand-in server.
fn with_both_stores(clock: &ClockSource, check: &impl AsyncFn(&dyn WeightStore, &MemoryWeights)) {
    block_on(async {
        let memory = MemoryWeights::new(clock.clone(), RATE);
        check(&memory, &memory).await;
        let settings = PlatformSettings {
            weight_interval_ms: 1_000,
            weight_burst: RATE.burst,
            weight_bytes: RATE.bytes,
            weight_valid_ms: 30_000,
            ..PlatformSettings::default()
        };
        let running = platform(settings, clock.clone()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpWeights::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.weights()).await;
    });
}

#[test]
fn slots_are_granted_at_the_rate_and_a_refusal_states_the_retry_delay() {
    let paused = PausedClock::new();
    let clock = ClockSource::Paused(paused.clone());
    with_both_stores(&clock, &async |store, _| {
        let (model, version) = ("ash".to_owned(), "v1".to_owned());
        let first = store.slot(&model, &version).await.expect("first");
        let second = store.slot(&model, &version).await.expect("second");
        assert_ne!(first.slot, second.slot);
        assert_eq!((first.bytes, first.valid_for), (RATE.bytes, RATE.valid_for));
        let fault = store.slot(&model, &version).await.expect_err("refused");
        let PlatformError::Refused { retry_after, .. } = fault else {
            panic!("{fault}");
        };
        assert_eq!(retry_after, Some(RATE.interval));
        paused.advance(RATE.interval);
        store.slot(&model, &version).await.expect("third");
        let outcome = store.slot(&model, &version).await;
        assert_eq!(platform_outcome(&outcome), CallOutcome::Refused);
    });
}

#[test]
fn a_refused_call_and_a_cut_connection_are_told_apart() {
    with_both_stores(&ClockSource::System, &async |store, memory| {
        let cases = [
            (OutageKind::Refuse, CallOutcome::Refused),
            (OutageKind::Cut, CallOutcome::Unanswered),
            (OutageKind::None, CallOutcome::Done),
        ];
        for (outage, expected) in cases {
            memory.fault_injector().set(InjectedFaults {
                outage,
                ..InjectedFaults::default()
            });
            let outcome = store.slot(&"ash".to_owned(), &"v1".to_owned()).await;
            assert_eq!(platform_outcome(&outcome), expected, "{outage:?}");
        }
    });
}
