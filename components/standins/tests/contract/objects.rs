//! Object store: writes under faults, and unchanged bodies and keys.

use kernel::ClockSource;
use smol::block_on;
use standins::PlatformSettings;
use stores::{
    HttpObjects, ObjectStore,
    fakes::{InjectedFaults, MemoryObjects},
};

use crate::fixture::{CALL_TIMEOUT, platform, platform_outcome, write_fault_cases};

/// Runs `check` against the in-memory store, then against the HTTP adapter with a
/// stand-in server.
fn with_both_stores(check: &impl AsyncFn(&dyn ObjectStore, &MemoryObjects)) {
    block_on(async {
        let memory = MemoryObjects::new(ClockSource::System);
        check(&memory, &memory).await;
        let running = platform(PlatformSettings::default(), ClockSource::System).await;
        let address = running.server.address().to_owned();
        let adapter = HttpObjects::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.objects()).await;
    });
}

#[test]
fn a_lost_write_is_unanswered_whether_or_not_it_took_effect() {
    with_both_stores(&async |store, memory| {
        for case in write_fault_cases() {
            memory.fault_injector().set(case.faults);
            let outcome = store.put(case.name, b"body".to_vec()).await;
            memory.fault_injector().set(InjectedFaults::default());
            assert_eq!(platform_outcome(&outcome), case.outcome, "{}", case.name);
            let found = store.get(case.name).await.expect("get");
            assert_eq!(found.is_some(), case.takes_effect, "{}", case.name);
        }
    });
}

#[test]
fn bodies_and_keys_are_stored_unchanged() {
    with_both_stores(&async |store, _| {
        let all_bytes: Vec<u8> = (0..=u8::MAX).cycle().take(300_000).collect();
        let bodies = [Vec::new(), vec![0], all_bytes];
        let keys = ["notes/7.json", "a key?with=signs&more#é", "../up"];
        for (key, body) in keys.iter().zip(&bodies) {
            store.put(key, body.clone()).await.expect("put");
        }
        for (key, body) in keys.iter().zip(&bodies) {
            let found = store.get(key).await.expect("get");
            assert_eq!(found.as_ref(), Some(body), "{key}");
        }
        assert_eq!(store.get("notes").await, Ok(None));
    });
}
