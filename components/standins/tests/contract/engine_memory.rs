//! KV cache memory of the model engine: release, reservation, export and import,
//! and sequences that span several engines.

use std::time::Duration;

use errors::UpstreamError;
use futures_lite::StreamExt;
use kernel::ClockSource;
use smol::block_on;
use standins::EngineSettings;
use types::estimate_tokens;
use upstream::{
    EngineCall, EngineEvent, GangMember, HttpEngine, KvImport, KvReservation, ModelEngine,
};

use crate::{
    engine::{answer, call, fast_settings, read_all, with_both_engines},
    fixture::{CALL_TIMEOUT, engine, wait_until},
};

#[test]
fn a_dropped_stream_and_a_cancelled_attempt_free_their_kv_memory() {
    let slow = EngineSettings {
        time_scale: 1.0,
        ..fast_settings()
    };
    with_both_engines(&slow, &async |engine, standin| {
        let prompt = "sweep ".repeat(100_000);
        let stream = engine.submit(call("r1", &prompt, 9)).await.expect("submit");
        wait_until(async || standin.used_tokens() > 0).await;
        drop(stream);
        wait_until(async || standin.used_tokens() == 0).await;

        let stream = engine.submit(call("r2", &prompt, 9)).await.expect("submit");
        wait_until(async || standin.used_tokens() > 0).await;
        engine.cancel(&"r2".to_owned(), 1).await.expect("cancel");
        let record = read_all(stream).await;
        assert_eq!((record.finished, record.text.as_str()), (None, ""));
        assert!(record.failed.is_some() || record.fault.is_some());
        assert_eq!(standin.used_tokens(), 0);
    });
}

#[test]
fn reserved_memory_is_freed_by_release_and_on_expiry() {
    with_both_engines(&fast_settings(), &async |engine, standin| {
        let reservation = |attempt, lifetime| KvReservation {
            request: "r1".to_owned(),
            attempt,
            holder: "node-1".to_owned(),
            tokens: 300_000,
            lifetime,
        };
        let first = engine.reserve(reservation(1, CALL_TIMEOUT)).await;
        first.expect("reserve");
        let fault = engine.reserve(reservation(2, CALL_TIMEOUT)).await;
        let fault = fault.expect_err("no memory");
        assert!(matches!(
            fault,
            UpstreamError::Refused {
                retry_after: Some(_),
                ..
            }
        ));
        engine.release(&"r1".to_owned(), 1).await.expect("release");
        assert_eq!(standin.used_tokens(), 0);
        let expiring = reservation(2, Duration::from_millis(20));
        engine.reserve(expiring).await.expect("reserve");
        wait_until(async || standin.used_tokens() == 0).await;
    });
}

#[test]
fn an_attempt_reuses_a_kv_cache_imported_from_another_engine() {
    let source_settings = EngineSettings {
        time_scale: 0.1,
        ..fast_settings()
    };
    block_on(async {
        let source = engine(source_settings).await;
        let source_address = source.server.address().to_owned();
        let exporter = HttpEngine::new(source_address.clone(), ClockSource::System, CALL_TIMEOUT);
        let prompt = "bundle ".repeat(10_000);
        let long = call("r1", &prompt, 10_000);
        let mut stream = exporter.submit(long).await.expect("submit");
        while !matches!(stream.next().await, Some(Ok(EngineEvent::Token { .. }))) {}
        let export = exporter.export_kv(&"r1".to_owned(), 1, CALL_TIMEOUT).await;
        let export = export.expect("export");
        assert!(export.tokens >= estimate_tokens(&prompt));
        assert!(read_all(stream).await.failed.is_some());

        with_both_engines(&fast_settings(), &async |importer, _| {
            let import = KvImport {
                request: "r1".to_owned(),
                attempt: 2,
                source: source_address.clone(),
                export: export.export.clone(),
                holder: "node-1".to_owned(),
                lifetime: CALL_TIMEOUT,
            };
            let unknown = KvImport {
                export: "none".to_owned(),
                ..import.clone()
            };
            importer.import_kv(unknown).await.expect_err("unknown");
            importer.import_kv(import).await.expect("import");
            let moved = EngineCall {
                attempt: 2,
                ..call("r1", &prompt, 5)
            };
            let stream = importer.submit(moved).await.expect("submit");
            let record = read_all(stream).await;
            assert!(record.cached >= estimate_tokens(&prompt) - 1);
            assert_eq!(record.text, answer(&prompt, 5));
        });
    });
}

#[test]
fn a_prompt_too_large_for_one_engine_runs_with_a_member() {
    block_on(async {
        let member = engine(fast_settings()).await;
        let member_address = member.server.address().to_owned();
        let lender = HttpEngine::new(member_address.clone(), ClockSource::System, CALL_TIMEOUT);
        let prompt = "x".repeat(4 * 500_000);
        let reservation = KvReservation {
            request: "r1".to_owned(),
            attempt: 1,
            holder: "node-1".to_owned(),
            tokens: 250_000,
            lifetime: CALL_TIMEOUT,
        };
        lender.reserve(reservation).await.expect("reserve");
        with_both_engines(&fast_settings(), &async |engine, _| {
            let alone = engine.submit(call("r1", &prompt, 3)).await;
            let fault = alone.err().expect("too large");
            assert!(matches!(fault, UpstreamError::Refused { status: 413, .. }));
            let shared = EngineCall {
                members: vec![GangMember {
                    engine: "engine-2".to_owned(),
                    address: member_address.clone(),
                    tokens: 250_000,
                }],
                ..call("r1", &prompt, 3)
            };
            let stream = engine.submit(shared).await.expect("submit");
            let record = read_all(stream).await;
            assert_eq!(record.finished, Some(3), "{record:?}");
            assert_eq!(record.text, answer(&prompt, 3));
        });
    });
}
