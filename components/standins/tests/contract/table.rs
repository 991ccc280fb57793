//! Table service: transactions, scans, lagging reads, rate limits and lost calls.

use std::time::Duration;

use errors::PlatformError;
use kernel::{ClockSource, PausedClock};
use smol::{block_on, future};
use standins::PlatformSettings;
use stores::{
    HttpTable, ReadMode, RowExpectation, RowWrite, TableService,
    fakes::{InjectedFaults, MemoryTable, OutageKind},
};

use crate::fixture::{
    CALL_TIMEOUT, CallOutcome, SHORT_CALL_TIMEOUT, closed_address, platform, platform_outcome,
    wait_until, write_fault_cases,
};

/// Runs `check` against the in-memory table, then against the HTTP adapter with a
/// stand-in server.
fn with_both_tables(clock: &ClockSource, check: &impl AsyncFn(&dyn TableService, &MemoryTable)) {
    block_on(async {
        let memory = MemoryTable::new(clock.clone());
        check(&memory, &memory).await;
        let running = platform(PlatformSettings::default(), clock.clone()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpTable::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.table()).await;
    });
}

fn write(key: &str, expected: RowExpectation, value: Option<&str>) -> RowWrite {
    RowWrite {
        table: "orders".to_owned(),
        key: key.to_owned(),
        expected,
        value: value.map(str::to_owned),
    }
}

async fn read_value(table: &dyn TableService, key: &str, mode: ReadMode) -> Option<String> {
    let row = table.read("orders", key, mode).await.expect("read");
    row.map(|row| row.value)
}

#[test]
fn a_lost_write_is_unanswered_whether_or_not_it_took_effect() {
    with_both_tables(&ClockSource::System, &async |table, memory| {
        for case in write_fault_cases() {
            memory.fault_injector().set(case.faults);
            let writes = vec![write(case.name, RowExpectation::Absent, Some("1"))];
            let outcome = table.transact(writes).await;
            memory.fault_injector().set(InjectedFaults::default());
            assert_eq!(platform_outcome(&outcome), case.outcome, "{}", case.name);
            let found = read_value(table, case.name, ReadMode::Latest).await;
            assert_eq!(found.is_some(), case.takes_effect, "{}", case.name);
        }
    });
}

#[test]
fn a_held_write_is_applied_on_release_only_if_its_expectation_still_holds() {
    with_both_tables(&ClockSource::System, &async |table, memory| {
        memory
            .fault_injector()
            .change(|faults| faults.hold_writes = 2);
        for key in ["late", "overtaken"] {
            let writes = vec![write(key, RowExpectation::Absent, Some("held"))];
            let outcome = table.transact(writes).await;
            assert_eq!(platform_outcome(&outcome), CallOutcome::Unanswered);
        }
        assert_eq!(read_value(table, "late", ReadMode::Latest).await, None);
        let writes = vec![write("overtaken", RowExpectation::Absent, Some("first"))];
        table.transact(writes).await.expect("transact");
        assert_eq!(memory.release_held(), 1);
        let late = read_value(table, "late", ReadMode::Latest).await;
        assert_eq!(late.as_deref(), Some("held"));
        let overtaken = read_value(table, "overtaken", ReadMode::Latest).await;
        assert_eq!(overtaken.as_deref(), Some("first"));
    });
}

#[test]
fn a_transaction_is_atomic() {
    with_both_tables(&ClockSource::System, &async |table, _| {
        let first = vec![write("a", RowExpectation::Absent, Some("1"))];
        assert_eq!(table.transact(first).await, Ok(vec![1]));
        let both = vec![
            write("b", RowExpectation::Absent, Some("1")),
            write("a", RowExpectation::Version(7), Some("2")),
        ];
        let fault = table.transact(both).await.expect_err("conflict");
        let PlatformError::Conflict { key, found, .. } = fault else {
            panic!("{fault}");
        };
        assert_eq!((key.as_str(), found), ("a", Some(1)));
        assert_eq!(read_value(table, "b", ReadMode::Latest).await, None);
        let both = vec![
            write("b", RowExpectation::Any, Some("1")),
            write("a", RowExpectation::Version(1), None),
        ];
        assert_eq!(table.transact(both).await, Ok(vec![1, 0]));
        assert_eq!(read_value(table, "a", ReadMode::Latest).await, None);
    });
}

#[test]
fn a_scan_returns_pages_of_a_prefix_in_key_order() {
    with_both_tables(&ClockSource::System, &async |table, _| {
        let keys = ["n/1", "n/2", "n/3", "m/9", "o/0"];
        let writes = keys.map(|key| write(key, RowExpectation::Absent, Some("1")));
        table.transact(writes.to_vec()).await.expect("transact");
        let page = async |after: Option<&str>| {
            let scan = table.scan("orders", "n/", after, 2, ReadMode::Latest);
            let rows = scan.await.expect("scan");
            rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
        };
        assert_eq!(page(None).await, ["n/1", "n/2"]);
        assert_eq!(page(Some("n/2")).await, ["n/3"]);
        assert!(page(Some("n/3")).await.is_empty());
    });
}

#[test]
fn a_lagging_read_misses_a_recent_write_that_a_latest_read_returns() {
    let paused = PausedClock::new();
    let clock = ClockSource::Paused(paused.clone());
    with_both_tables(&clock, &async |table, memory| {
        memory
            .fault_injector()
            .change(|faults| faults.lag_ms = 1_000);
        let writes = vec![write("row", RowExpectation::Absent, Some("new"))];
        table.transact(writes).await.expect("transact");
        assert!(read_value(table, "row", ReadMode::Latest).await.is_some());
        assert!(read_value(table, "row", ReadMode::Lagging).await.is_none());
        paused.advance(Duration::from_millis(999));
        assert!(read_value(table, "row", ReadMode::Lagging).await.is_none());
        paused.advance(Duration::from_millis(1));
        assert!(read_value(table, "row", ReadMode::Lagging).await.is_some());
    });
}

#[test]
fn calls_over_the_rate_limit_are_refused_with_a_retry_delay() {
    let paused = PausedClock::new();
    let clock = ClockSource::Paused(paused.clone());
    with_both_tables(&clock, &async |table, memory| {
        memory
            .fault_injector()
            .change(|faults| faults.writes_per_s = 2);
        let once = || vec![write("row", RowExpectation::Any, Some("1"))];
        table.transact(once()).await.expect("first");
        table.transact(once()).await.expect("second");
        let fault = table.transact(once()).await.expect_err("refused");
        let PlatformError::Refused { retry_after, .. } = fault else {
            panic!("{fault}");
        };
        paused.advance(retry_after.expect("a retry delay"));
        assert_eq!(table.transact(once()).await, Ok(vec![3]));
    });
}

#[test]
fn an_adapter_distinguishes_unsent_calls_from_unanswered_calls() {
    block_on(async {
        let writes = || vec![write("row", RowExpectation::Any, Some("1"))];
        let clock = ClockSource::System;
        let closed = HttpTable::new(closed_address().await, clock.clone(), CALL_TIMEOUT);
        let outcome = closed.transact(writes()).await;
        assert_eq!(platform_outcome(&outcome), CallOutcome::Unreachable);

        let running = platform(PlatformSettings::default(), clock.clone()).await;
        let address = running.server.address().to_owned();
        let short_timeout = HttpTable::new(address, clock, SHORT_CALL_TIMEOUT);
        let injector = running.server.table().fault_injector();
        injector.change(|faults| faults.outage = OutageKind::Hang);
        let outcome = short_timeout.transact(writes()).await;
        assert_eq!(platform_outcome(&outcome), CallOutcome::Unanswered);
    });
}

#[test]
fn a_write_that_takes_effect_but_is_answered_after_the_timeout_is_unanswered() {
    let paused = PausedClock::new();
    let clock = ClockSource::Paused(paused.clone());
    block_on(async {
        let running = platform(PlatformSettings::default(), clock.clone()).await;
        let memory = running.server.table();
        memory
            .fault_injector()
            .change(|faults| faults.answer_delay_ms = 600_000);
        let address = running.server.address().to_owned();
        let adapter = HttpTable::new(address, clock, CALL_TIMEOUT);
        let call = adapter.transact(vec![write("row", RowExpectation::Any, Some("1"))]);
        let effect = async {
            wait_until(async || read_value(memory, "row", ReadMode::Latest).await.is_some()).await;
            paused.advance(CALL_TIMEOUT);
        };
        let (outcome, ()) = future::zip(call, effect).await;
        assert_eq!(platform_outcome(&outcome), CallOutcome::Unanswered);
    });
}
