//! Model engine calls under injected faults, crashes, delays and lost members.

use std::time::Duration;

use kernel::{CancellationToken, ClockSource};
use smol::{block_on, future};
use standins::{EngineSettings, HostListing, PlatformSettings, StandinEngine};
use stores::{HostList, HostState, HttpHosts, fakes::InjectedFaults};
use types::{EngineOrder, EngineRole};
use upstream::{EngineCall, GangMember, HttpEngine, KvReservation, ModelEngine};

use crate::{
    engine::{call, fast_settings, read_all, with_both_engines},
    fixture::{
        CALL_TIMEOUT, CallOutcome, base_model, closed_address, engine, platform, upstream_outcome,
        wait_until, write_fault_cases,
    },
};

fn slow_settings() -> EngineSettings {
    EngineSettings {
        time_scale: 1.0,
        ..fast_settings()
    }
}

#[test]
fn a_submit_under_each_fault_leaves_no_memory_in_use_once_its_stream_is_dropped() {
    with_both_engines(&slow_settings(), &async |engine, standin| {
        for case in write_fault_cases() {
            standin.fault_injector().set(case.faults);
            let outcome = engine.submit(call(case.name, "brief", 10_000)).await;
            standin.fault_injector().set(InjectedFaults::default());
            assert_eq!(upstream_outcome(&outcome), case.outcome, "{}", case.name);
            drop(outcome);
            wait_until(async || standin.used_tokens() == 0).await;
        }
    });
}

fn order(fencing: u64) -> EngineOrder {
    EngineOrder {
        owner: "node-1".to_owned(),
        fencing,
        role: EngineRole::Mixed,
        models: vec![base_model()],
    }
}

#[test]
fn a_lost_reservation_is_unanswered_whether_or_not_it_took_effect() {
    with_both_engines(&fast_settings(), &async |engine, standin| {
        for case in write_fault_cases() {
            let reservation = KvReservation {
                request: case.name.to_owned(),
                attempt: 1,
                holder: "node-1".to_owned(),
                tokens: 1_000,
                lifetime: CALL_TIMEOUT,
            };
            standin.fault_injector().set(case.faults);
            let outcome = engine.reserve(reservation).await;
            standin.fault_injector().set(InjectedFaults::default());
            assert_eq!(upstream_outcome(&outcome), case.outcome, "{}", case.name);
            let took_effect = standin.used_tokens() > 0;
            assert_eq!(took_effect, case.takes_effect, "{}", case.name);
            let released = engine.release(&case.name.to_owned(), 1).await;
            released.expect("release");
            assert_eq!(standin.used_tokens(), 0, "{}", case.name);
        }
    });
}

#[test]
fn a_crash_breaks_running_streams_instead_of_finishing_them() {
    with_both_engines(&slow_settings(), &async |engine, standin| {
        let streams = [
            engine.submit(call("r1", "brief", 10_000)).await,
            engine.submit(call("r2", &"x".repeat(900_000), 9)).await,
        ];
        wait_until(async || standin.used_tokens() > 0).await;
        standin.kill(None);
        for stream in streams {
            let record = read_all(stream.expect("submit")).await;
            assert_eq!(record.finished, None);
            let fault = record.fault.expect("a fault");
            assert!(fault.effect_unknown(), "{fault}");
        }
        assert_eq!(standin.used_tokens(), 0);
        wait_until(async || {
            let outcome = engine.report().await;
            upstream_outcome(&outcome) == CallOutcome::Unreachable
        })
        .await;
    });
}

// Each incarnation numbers its sequences from the start, so both attempts have the
// same sequence number. Dropping the earlier stream must not cancel the later one.
#[test]
fn dropping_a_stream_of_an_earlier_incarnation_does_not_cancel_a_later_attempt() {
    block_on(async {
        let engine = StandinEngine::new(fast_settings(), ClockSource::System);
        let earlier = engine.submit(call("r1", "brief", 5)).await.expect("submit");
        engine.kill(None);
        engine.restart();
        let later = engine.submit(call("r2", "brief", 5)).await.expect("submit");
        drop(earlier);
        let token = CancellationToken::new();
        let drive = engine.drive(token.clone());
        let read = async {
            let record = read_all(later).await;
            token.cancel();
            record
        };
        let ((), record) = future::zip(drive, read).await;
        assert_eq!(record.finished, Some(5), "{record:?}");
    });
}

#[test]
fn a_prompt_with_the_crash_marker_crashes_every_incarnation() {
    block_on(async {
        let running = engine(EngineSettings {
            crash_marker: "poison".to_owned(),
            restart_ms: Some(10),
            incarnation: 4,
            ..fast_settings()
        })
        .await;
        let address = running.server.address().to_owned();
        let adapter = HttpEngine::new(address, ClockSource::System, CALL_TIMEOUT);
        for incarnation in 5..7 {
            adapter.order(order(incarnation)).await.expect("order");
            let crashing = call("r1", "a poison prompt", 5);
            let record = read_all(adapter.submit(crashing).await.expect("submit")).await;
            assert!(record.fault.is_some());
            assert!(record.indices.is_empty());
            wait_until(async || adapter.report().await.is_ok()).await;
            let report = adapter.report().await.expect("report");
            assert_eq!(report.profile.incarnation, incarnation);
            assert_eq!(report.fencing, 0);
            let harmless = adapter.submit(call("r2", "brief", 5)).await;
            let record = read_all(harmless.expect("submit")).await;
            assert_eq!(record.finished, Some(5));
        }
        assert_eq!(running.server.engine().submits(), 4);
    });
}

#[test]
fn an_attempt_fails_if_a_member_is_unreachable_has_no_reservation_or_crashes() {
    block_on(async {
        let member = engine(slow_settings()).await;
        let address = member.server.address().to_owned();
        let lender = HttpEngine::new(address.clone(), ClockSource::System, CALL_TIMEOUT);
        let running = engine(slow_settings()).await;
        let adapter = HttpEngine::new(
            running.server.address().to_owned(),
            ClockSource::System,
            CALL_TIMEOUT,
        );
        let shared = |request: &str, address: String| EngineCall {
            members: vec![GangMember {
                engine: "engine-2".to_owned(),
                address,
                tokens: 250_000,
            }],
            ..call(request, &"x".repeat(4 * 500_000), 3)
        };
        let cases = [
            ("nobody listens", closed_address().await),
            ("nothing is held", address.clone()),
        ];
        for (name, address) in cases {
            let stream = adapter.submit(shared(name, address)).await;
            let record = read_all(stream.expect("submit")).await;
            assert!(record.failed.is_some(), "{name}: {record:?}");
        }
        let reservation = KvReservation {
            request: "r3".to_owned(),
            attempt: 1,
            holder: "node-1".to_owned(),
            tokens: 250_000,
            lifetime: CALL_TIMEOUT,
        };
        lender.reserve(reservation).await.expect("reserve");
        let stream = adapter.submit(shared("r3", address)).await;
        let stream = stream.expect("submit");
        wait_until(async || running.server.engine().used_tokens() > 0).await;
        member.server.engine().kill(None);
        let record = read_all(stream).await;
        assert!(record.failed.is_some(), "{record:?}");
        assert_eq!(running.server.engine().used_tokens(), 0);
    });
}

#[test]
fn reports_and_cache_events_are_delayed_and_cache_events_have_gaps() {
    let settings = EngineSettings {
        report_delay_ms: 60_000,
        cache_delay_ms: 60_000,
        ..fast_settings()
    };
    with_both_engines(&settings, &async |engine, standin| {
        let prompt = "digest ".repeat(2_000);
        wait_until(async || engine.report().await.is_ok()).await;
        let stream = engine.submit(call("r1", &prompt, 200)).await;
        read_all(stream.expect("submit")).await;
        let report = engine.report().await.expect("report");
        assert_eq!((report.generated, standin.submits()), (0, 1));
        let batch = engine.cache_events(0).await.expect("cache events");
        assert!(batch.events.is_empty());
    });
    let settings = EngineSettings {
        cache_gap_every: 5,
        ..fast_settings()
    };
    with_both_engines(&settings, &async |engine, _| {
        let prompt = "digest ".repeat(4 * 2_000);
        let stream = engine.submit(call("r1", &prompt, 2)).await;
        read_all(stream.expect("submit")).await;
        let batch = engine.cache_events(0).await.expect("cache events");
        assert!(batch.first > 0);
        assert_eq!(batch.next, batch.first + batch.events.len() as u64);
    });
}

#[test]
fn an_engine_registers_each_incarnation_and_its_departure_on_the_host_list() {
    block_on(async {
        let clock = ClockSource::System;
        let hosts = platform(PlatformSettings::default(), clock.clone()).await;
        let platform_address = hosts.server.address().to_owned();
        let running = engine(EngineSettings {
            listing: HostListing {
                platform: platform_address.clone(),
                unlist_ms: 0,
            },
            ..fast_settings()
        })
        .await;
        let list = HttpHosts::new(platform_address, clock, CALL_TIMEOUT);
        let has_host = async |incarnation, state| {
            let hosts = list.hosts().await.expect("hosts");
            let mut hosts = hosts.iter();
            hosts.any(|host| host.incarnation == incarnation && host.state == state)
        };
        wait_until(async || has_host(1, HostState::Live).await).await;
        running.server.engine().kill(Some(Duration::from_millis(5)));
        wait_until(async || has_host(2, HostState::Live).await).await;
        running.server.leave().await;
        assert!(has_host(2, HostState::Leaving).await);
        running.server.engine().kill(None);
        wait_until(async || list.hosts().await.expect("hosts").is_empty()).await;
    });
}
