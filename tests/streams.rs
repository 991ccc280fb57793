//! A scripted engine breaks its token stream in each known way. The caller must
//! get the complete answer to its own prompt or an error, never a gap, a repeated
//! token or the text of another attempt.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use entry::{EntryHandler, EntryLimits, EntryRequest, EntryServer};
use gentiantally::cmd::{
    client::NodeClient,
    local::{
        FleetConfig, LOCAL_MODEL, LOCAL_TIME_SCALE, LocalFleet, PAYING_KEY, publish_first_note,
    },
};
use http_types::{Method, Response, StatusCode};
use kernel::{CancellationToken, ClockSource};
use memory::MemoryBudget;
use serde_json::{Value, json};
use stores::{HostEntry, HostKind, HostRegistrar, HostState};
use transport::HttpClient;
use types::{EngineReport, EngineRole, ModelSpec};
use upstream::{CacheBatch, EngineCall, EngineEvent};

const TOKENS: u64 = 6;
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const COMPLETE_ANSWER: &str = " t0 t1 t2 t3 t4 t5";

/// The fault in the engine's answer to one attempt.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    None,
    NoEnd,
    Gap,
    Repeat,
    ForeignAttempt,
    ShortEnd,
    Failure,
    NotJson,
    Refusal,
}

/// The fault of the next attempt and the fault of all later attempts.
#[derive(Clone, Copy, Debug)]
struct FaultScript {
    next: StreamFault,
    later: StreamFault,
}

type SharedScript = Arc<Mutex<FaultScript>>;

fn token_event(call: &EngineCall, index: u64) -> EngineEvent {
    EngineEvent::Token {
        attempt: call.attempt,
        index,
        text: format!(" t{index}"),
    }
}

fn end_event(call: &EngineCall, tokens: u64) -> EngineEvent {
    EngineEvent::Finished {
        attempt: call.attempt,
        tokens,
    }
}

fn stream_events(call: &EngineCall, fault: StreamFault) -> Vec<EngineEvent> {
    let start = call.resume_at;
    let tokens_from = |from: u64| (from..TOKENS).map(|index| token_event(call, index));
    let mut events = vec![EngineEvent::Started {
        attempt: call.attempt,
        prompt_tokens: 5,
        cached_tokens: 0,
    }];
    match fault {
        StreamFault::None | StreamFault::NotJson | StreamFault::Refusal => {
            events.extend(tokens_from(start));
            events.push(end_event(call, TOKENS));
        }
        StreamFault::NoEnd => events.push(token_event(call, start)),
        StreamFault::Gap => events.extend([token_event(call, start), token_event(call, start + 2)]),
        StreamFault::Repeat => {
            events.push(token_event(call, start));
            events.extend(tokens_from(start));
            events.push(end_event(call, TOKENS));
        }
        StreamFault::ForeignAttempt => {
            let mut other = call.clone();
            other.attempt += 7;
            events.extend([token_event(&other, start), end_event(&other, 1)]);
            events.extend(tokens_from(start));
            events.push(end_event(call, TOKENS));
        }
        StreamFault::ShortEnd => events.extend([token_event(call, start), end_event(call, TOKENS)]),
        StreamFault::Failure => events.extend([
            token_event(call, start),
            EngineEvent::Failed {
                attempt: call.attempt,
                cause: "out of memory".to_owned(),
            },
        ]),
    }
    events
}

fn submit_response(call: &EngineCall, fault: StreamFault) -> Response {
    if matches!(fault, StreamFault::Refusal) {
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.set_body("{\"cause\": \"busy\"}");
        return response;
    }
    let lines: Vec<String> = stream_events(call, fault)
        .iter()
        .map(|event| serde_json::to_string(event).unwrap())
        .collect();
    let mut text = lines.join("\n");
    if matches!(fault, StreamFault::NotJson) {
        text = format!("{}\n{{\"event\": \"tok", lines[0]);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(format!("{text}\n"));
    response
}

fn engine_report(id: &str) -> EngineReport {
    EngineReport {
        profile: model::engine_profile(id.to_owned(), "duluth".to_owned()),
        role: EngineRole::Mixed,
        models: vec![ModelSpec {
            model: LOCAL_MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        }],
        age: Duration::ZERO,
        kv_used: 0,
        decoding: 0,
        waiting: 0,
        prefill_backlog: 0,
        generated: 0,
        holds: Vec::new(),
        fencing: 0,
    }
}

async fn engine_response(mut request: EntryRequest, script: SharedScript) -> Response {
    let body = request.body().await.unwrap();
    let mut response = Response::new(StatusCode::Ok);
    match request.path() {
        "/engine/report" => {
            response.set_body(serde_json::to_string(&engine_report("scripted")).unwrap());
        }
        "/engine/cache" => {
            let batch = CacheBatch {
                first: 0,
                next: 0,
                events: Vec::new(),
            };
            response.set_body(serde_json::to_string(&batch).unwrap());
        }
        "/engine/submit" => {
            let call: EngineCall = serde_json::from_slice(body.bytes()).unwrap();
            let mut script = script.lock().unwrap();
            let fault = script.next;
            script.next = script.later;
            return submit_response(&call, fault);
        }
        _ => {}
    }
    response
}

async fn start_engine(script: SharedScript, token: CancellationToken) -> String {
    let handler: EntryHandler = Arc::new(move |request| {
        let script = Arc::clone(&script);
        Box::pin(engine_response(request, script))
    });
    let limits = EntryLimits {
        body_bytes: 1 << 20,
        connections: 100,
        head_timeout: CALL_TIMEOUT,
        body_timeout: CALL_TIMEOUT,
        write_timeout: CALL_TIMEOUT,
    };
    let budget = MemoryBudget::new(1 << 24, 1 << 24);
    let server = EntryServer::bind("127.0.0.1:0", limits, budget, ClockSource::System)
        .await
        .unwrap()
        .with_handler(handler);
    let address = server.local_address().unwrap().to_string();
    smol::spawn(server.run(token)).detach();
    address
}

/// Starts a fleet of one node whose only live engine is the scripted one.
async fn start_fleet(script: SharedScript, token: CancellationToken) -> LocalFleet {
    let config = FleetConfig {
        nodes: 1,
        engines: 1,
        time_scale: LOCAL_TIME_SCALE,
    };
    let fleet = LocalFleet::start(&config).await.unwrap();
    publish_first_note(&fleet).await.unwrap();
    fleet.engines[0].engine().kill(None);
    let entry = HostEntry {
        id: "scripted".to_owned(),
        kind: HostKind::Engine,
        service: String::new(),
        address: start_engine(script, token).await,
        zone: "duluth".to_owned(),
        state: HostState::Live,
        incarnation: 1,
    };
    let platform = fleet.platform.address().to_owned();
    let registrar = HostRegistrar::new(platform, ClockSource::System, CALL_TIMEOUT);
    registrar.register(&entry).await.unwrap();
    fleet
}

async fn send_prompt(address: &str) -> Result<String, String> {
    let client = NodeClient::new(address, Some(PAYING_KEY));
    let body = json!({"model": LOCAL_MODEL, "prompt": "a prompt of ash", "max_tokens": TOKENS});
    let sent: Result<Value, _> = client
        .post("prompt", "/v1/completions", body.to_string())
        .await;
    let answer = sent.map_err(|error| format!("{error:?}"))?;
    Ok(answer["choices"][0]["text"].as_str().unwrap().to_owned())
}

async fn streamed_text(address: &str) -> String {
    let client = HttpClient::new(address.to_owned(), ClockSource::System, CALL_TIMEOUT);
    let mut request = client
        .request("stream", Method::Post, "/v1/completions")
        .unwrap();
    let key = format!("Bearer {PAYING_KEY}");
    client
        .set_header("stream", &mut request, "Authorization", &key)
        .unwrap();
    let body = json!({
        "model": LOCAL_MODEL, "prompt": "a prompt of ash", "max_tokens": TOKENS, "stream": true,
    });
    request.set_body(body.to_string());
    let answer = client.call("stream", request).await.unwrap();
    String::from_utf8(answer.into_body()).unwrap()
}

fn run_with_scripted_engine(test: impl AsyncFnOnce(&str, &SharedScript)) {
    smol::block_on(async {
        let script = Arc::new(Mutex::new(FaultScript {
            next: StreamFault::None,
            later: StreamFault::None,
        }));
        let token = CancellationToken::new();
        let fleet = start_fleet(Arc::clone(&script), token.clone()).await;
        let address = fleet.callers_address(0);
        while send_prompt(&address).await.as_deref() != Ok(COMPLETE_ANSWER) {
            smol::Timer::after(Duration::from_millis(50)).await;
        }

        test(&address, &script).await;

        fleet.stop().await;
        token.cancel();
    });
}

/// Guards against a broken attempt that reaches the caller as a gap, a repeat,
/// foreign text or an error, although a second attempt succeeds.
#[test]
fn the_answer_is_complete_after_one_broken_attempt_of_any_kind() {
    run_with_scripted_engine(async |address: &str, script: &SharedScript| {
        let faults = [
            StreamFault::NoEnd,
            StreamFault::Gap,
            StreamFault::Repeat,
            StreamFault::ForeignAttempt,
            StreamFault::ShortEnd,
            StreamFault::Failure,
            StreamFault::NotJson,
            StreamFault::Refusal,
        ];
        for fault in faults {
            script.lock().unwrap().next = fault;
            let text = send_prompt(address).await;
            assert_eq!(text.as_deref(), Ok(COMPLETE_ANSWER), "{fault:?}");
        }
    });
}

/// Guards against a truncated stream that looks finished. The tokens sent so
/// far can't be taken back, so an error must follow and `[DONE]` must not.
#[test]
fn a_stream_that_cannot_be_completed_ends_in_an_error_without_done() {
    run_with_scripted_engine(async |address: &str, script: &SharedScript| {
        *script.lock().unwrap() = FaultScript {
            next: StreamFault::NoEnd,
            later: StreamFault::NotJson,
        };
        let text = streamed_text(address).await;
        assert!(text.contains("\" t0\""), "{text}");
        assert!(text.contains("\"error\""), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");

        script.lock().unwrap().later = StreamFault::None;
        script.lock().unwrap().next = StreamFault::None;
        let text = streamed_text(address).await;
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    });
}
