//! Model engine calls without faults, in process and over HTTP.

use std::sync::Arc;

use errors::UpstreamError;
use futures_lite::StreamExt;
use kernel::{CancellationToken, ClockSource};
use smol::block_on;
use standins::{EngineSettings, StandinEngine, expected_answer};
use types::{EngineOrder, EngineRole, estimate_tokens};
use upstream::{EngineCall, EngineEvent, HttpEngine, ModelEngine, TokenStream};

use crate::fixture::{CALL_TIMEOUT, base_model, engine, wait_until};

/// Settings of an engine that runs a hundred times faster than at time scale 1.
pub fn fast_settings() -> EngineSettings {
    EngineSettings {
        time_scale: 0.01,
        models: vec![base_model()],
        load_ms: 20,
        report_interval_ms: 10,
        ..EngineSettings::default()
    }
}

/// Runs `check` against the stand-in in process, then against the HTTP adapter with
/// a stand-in server.
pub fn with_both_engines(
    settings: &EngineSettings,
    check: &impl AsyncFn(&dyn ModelEngine, &StandinEngine),
) {
    block_on(async {
        let memory = StandinEngine::new(settings.clone(), ClockSource::System);
        let token = CancellationToken::new();
        let driven = drive(memory.clone(), token.clone());
        let drive = smol::spawn(driven);
        check(memory.as_ref(), memory.as_ref()).await;
        token.cancel();
        drive.await;
        let running = engine(settings.clone()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpEngine::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.engine()).await;
    });
}

async fn drive(engine: Arc<StandinEngine>, token: CancellationToken) {
    engine.drive(token).await;
}

pub fn call(request: &str, prompt: &str, output_tokens: u64) -> EngineCall {
    EngineCall {
        request: request.to_owned(),
        attempt: 1,
        model: "ash".to_owned(),
        version: "v1".to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        output_tokens,
        resume_at: 0,
        priority: 1,
        deadline_in: CALL_TIMEOUT,
        members: Vec::new(),
        traceparent: String::new(),
    }
}

/// Events that a stream delivered, and how it ended.
#[derive(Debug, Default)]
pub struct StreamRecord {
    pub text: String,
    pub indices: Vec<u64>,
    pub cached: u64,
    pub finished: Option<u64>,
    pub failed: Option<String>,
    pub fault: Option<UpstreamError>,
}

pub async fn read_all(mut stream: TokenStream) -> StreamRecord {
    let mut record = StreamRecord::default();
    while let Some(event) = stream.next().await {
        match event {
            Ok(EngineEvent::Started { cached_tokens, .. }) => record.cached = cached_tokens,
            Ok(EngineEvent::Token { index, text, .. }) => {
                record.indices.push(index);
                record.text.push_str(&text);
            }
            Ok(EngineEvent::Finished { tokens, .. }) => record.finished = Some(tokens),
            Ok(EngineEvent::Failed { cause, .. }) => record.failed = Some(cause),
            Err(fault) => record.fault = Some(fault),
        }
    }
    record
}

pub fn answer(prompt: &str, tokens: u64) -> String {
    let model = base_model();
    expected_answer(&model.model, &model.version, None, prompt, tokens)
}

#[test]
fn an_answer_has_all_tokens_and_equals_the_expected_answer_to_its_prompt() {
    with_both_engines(&fast_settings(), &async |engine, _| {
        let prompts = ["first".repeat(500), "second".repeat(2_000)];
        for (number, prompt) in prompts.iter().enumerate() {
            let call = call(&format!("r{number}"), prompt, 20);
            let record = read_all(engine.submit(call).await.expect("submit")).await;
            assert_eq!(record.finished, Some(20));
            assert_eq!(record.indices, (0..20).collect::<Vec<_>>());
            assert_eq!(record.text, answer(prompt, 20));
        }
    });
}

#[test]
fn a_resumed_answer_continues_at_the_requested_token() {
    with_both_engines(&fast_settings(), &async |engine, _| {
        let prompt = "a plume brief";
        let resumed = EngineCall {
            resume_at: 7,
            ..call("r1", prompt, 12)
        };
        let record = read_all(engine.submit(resumed).await.expect("submit")).await;
        assert_eq!(record.indices, (7..12).collect::<Vec<_>>());
        let whole = answer(prompt, 7) + &record.text;
        assert_eq!(whole, answer(prompt, 12));
    });
}

#[test]
fn a_repeated_prompt_hits_the_prefix_cache_and_appears_in_cache_events() {
    with_both_engines(&fast_settings(), &async |engine, _| {
        let prompt = "digest ".repeat(2_000);
        let first = engine.submit(call("r1", &prompt, 2)).await.expect("first");
        assert_eq!(read_all(first).await.cached, 0);
        let second = engine.submit(call("r2", &prompt, 2)).await.expect("second");
        let cached = read_all(second).await.cached;
        assert!(cached > estimate_tokens(&prompt) / 2, "{cached}");
        let batch = engine.cache_events(0).await.expect("cache events");
        assert!(!batch.events.is_empty());
        assert_eq!(batch.next, batch.first + batch.events.len() as u64);
        let rest = engine.cache_events(batch.next).await.expect("rest");
        assert!(rest.events.is_empty());
    });
}

#[test]
fn an_order_loads_models_and_sets_the_role() {
    with_both_engines(&fast_settings(), &async |engine, _| {
        let mut wanted = base_model();
        wanted.version = "v2".to_owned();
        let newer = EngineCall {
            version: "v2".to_owned(),
            ..call("r1", "brief", 2)
        };
        let refused = engine.submit(newer.clone()).await.err().expect("refused");
        assert!(matches!(refused, UpstreamError::Refused { .. }));
        let order = EngineOrder {
            owner: "node-1".to_owned(),
            fencing: 3,
            role: EngineRole::Long,
            models: vec![base_model(), wanted.clone()],
        };
        engine.order(order).await.expect("order");
        wait_until(async || {
            let report = engine.report().await.expect("report");
            let loaded = report.models.contains(&wanted);
            loaded && report.role == EngineRole::Long && report.fencing == 3
        })
        .await;
        let stream = engine.submit(newer).await.expect("submit");
        assert_eq!(read_all(stream).await.finished, Some(2));
    });
}

#[test]
fn an_order_with_an_older_fencing_number_is_refused_only_if_the_engine_checks() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            ..fast_settings()
        };
        with_both_engines(&settings, &async |engine, _| {
            let order = |fencing, role| EngineOrder {
                owner: "node-1".to_owned(),
                fencing,
                role,
                models: vec![base_model()],
            };
            let newer = engine.order(order(9, EngineRole::Long)).await;
            newer.expect("newer");
            match engine.order(order(8, EngineRole::Short)).await {
                Ok(()) => assert!(!checks_fencing),
                Err(UpstreamError::Fenced { newest, .. }) => assert_eq!(newest, 9),
                Err(fault) => panic!("{fault}"),
            }
            let expected = if checks_fencing {
                EngineRole::Long
            } else {
                EngineRole::Short
            };
            wait_until(async || engine.report().await.expect("report").role == expected).await;
        });
    }
}
