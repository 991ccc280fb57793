//! Host list: replication lag, incarnations, outages and registration over HTTP.

use std::time::Duration;

use kernel::{ClockSource, PausedClock};
use smol::block_on;
use standins::PlatformSettings;
use stores::{
    HostDeparture, HostEntry, HostKind, HostList, HostRegistrar, HostState, HttpHosts,
    fakes::{InjectedFaults, MemoryHosts, OutageKind},
};

use crate::fixture::{CALL_TIMEOUT, CallOutcome, platform, platform_outcome};

fn entry(incarnation: u64) -> HostEntry {
    HostEntry {
        id: "engine-1".to_owned(),
        kind: HostKind::Engine,
        service: String::new(),
        address: "127.0.0.1:9".to_owned(),
        zone: "zone-a".to_owned(),
        state: HostState::Live,
        incarnation,
    }
}

fn departure(incarnation: u64) -> HostDeparture {
    HostDeparture {
        id: "engine-1".to_owned(),
        incarnation,
    }
}

async fn states(list: &dyn HostList) -> Vec<(u64, HostState)> {
    let hosts = list.hosts().await.expect("hosts");
    let hosts = hosts.into_iter();
    hosts.map(|host| (host.incarnation, host.state)).collect()
}

/// Runs `check` against the in-memory list, then against the HTTP adapter with a
/// stand-in server.
fn with_both_lists(clock: &ClockSource, check: &impl AsyncFn(&dyn HostList, &MemoryHosts)) {
    block_on(async {
        let memory = MemoryHosts::new(clock.clone());
        check(&memory, &memory).await;
        let running = platform(PlatformSettings::default(), clock.clone()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpHosts::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.hosts()).await;
    });
}

#[test]
fn the_list_shows_each_change_after_its_lag() {
    let paused = PausedClock::new();
    let clock = ClockSource::Paused(paused.clone());
    with_both_lists(&clock, &async |list, hosts| {
        hosts
            .fault_injector()
            .change(|faults| faults.lag_ms = 2_000);
        let lag = Duration::from_secs(2);
        hosts.register(entry(1));
        assert!(states(list).await.is_empty());
        paused.advance(lag);
        hosts.leave(&departure(1));
        assert_eq!(states(list).await, [(1, HostState::Live)]);
        paused.advance(lag);
        hosts.deregister(&departure(1));
        assert_eq!(states(list).await, [(1, HostState::Leaving)]);
        paused.advance(lag);
        assert!(states(list).await.is_empty());
    });
}

#[test]
fn calls_of_an_earlier_incarnation_do_not_change_a_later_one() {
    with_both_lists(&ClockSource::System, &async |list, hosts| {
        hosts.register(entry(2));
        hosts.register(entry(1));
        hosts.leave(&departure(1));
        hosts.deregister(&departure(1));
        assert_eq!(states(list).await, [(2, HostState::Live)]);
    });
}

#[test]
fn a_refused_call_and_a_cut_connection_are_told_apart() {
    with_both_lists(&ClockSource::System, &async |list, hosts| {
        let cases = [
            (OutageKind::Refuse, CallOutcome::Refused),
            (OutageKind::Cut, CallOutcome::Unanswered),
            (OutageKind::None, CallOutcome::Done),
        ];
        for (outage, expected) in cases {
            hosts.fault_injector().set(InjectedFaults {
                outage,
                ..InjectedFaults::default()
            });
            assert_eq!(platform_outcome(&list.hosts().await), expected);
        }
    });
}

#[test]
fn a_process_registers_leaves_and_deregisters_over_http() {
    block_on(async {
        let clock = ClockSource::System;
        let running = platform(PlatformSettings::default(), clock.clone()).await;
        let address = running.server.address().to_owned();
        let registrar = HostRegistrar::new(address.clone(), clock.clone(), CALL_TIMEOUT);
        let list = HttpHosts::new(address, clock, CALL_TIMEOUT);
        registrar.register(&entry(1)).await.expect("register");
        assert_eq!(list.hosts().await, Ok(vec![entry(1)]));
        registrar.leave(&entry(1)).await.expect("leave");
        assert_eq!(states(&list).await, [(1, HostState::Leaving)]);
        registrar.deregister(&entry(1)).await.expect("deregister");
        assert!(states(&list).await.is_empty());
    });
}
