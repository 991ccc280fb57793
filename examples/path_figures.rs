//! Measures the latency that a node adds to a request, compared with the same
//! load sent directly to the stand-in engine in the same run.
//!
//! `cargo run --release --example path_figures`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::StreamExt;
use gentiantally::cmd::{
    client::NodeClient,
    local::{FleetConfig, LOCAL_MODEL, LocalFleet, PAYING_KEY, publish_first_note},
};
use hdrhistogram::Histogram;
use kernel::ClockSource;
use serde::Serialize;
use serde_json::{Value, json};
use smol::lock::Mutex;
use upstream::{EngineCall, EngineEvent, HttpEngine, ModelEngine};

/// Engines answer almost at once, so that the measured time is that of the path.
const TIME_SCALE: f64 = 0.000_01;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests per load and path, divided among the callers.
const REQUESTS: usize = 2_000;
const PROMPT_BYTES: [usize; 4] = [4_000, 16_000, 64_000, 256_000];
/// Numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 8, 32];

/// Latencies in microseconds and throughput in requests a second of one path.
#[derive(Debug)]
#[derive(Serialize)]
struct PathMeasurement {
    p50_us: u64,
    p99_us: u64,
    requests_s: f64,
}

/// Results of one load, sent directly to the engine and through a node.
#[derive(Debug)]
#[derive(Serialize)]
struct PathComparison {
    prompt_bytes: usize,
    callers: usize,
    output_tokens: u64,
    direct: PathMeasurement,
    through_node: PathMeasurement,
    added_p50_us: i64,
    added_p99_us: i64,
}

fn main() {
    let comparisons = smol::block_on(measure());
    println!("{}", serde_json::to_string_pretty(&comparisons).unwrap());
}

async fn measure() -> Vec<PathComparison> {
    let config = FleetConfig {
        nodes: 1,
        engines: 1,
        time_scale: TIME_SCALE,
    };
    let fleet = LocalFleet::start(&config).await.unwrap();
    publish_first_note(&fleet).await.unwrap();
    let engine = fleet.engines[0].address().to_owned();
    let node = fleet.callers_address(0);
    await_first_answer(&node).await;
    let mut comparisons = Vec::new();
    for (prompt_bytes, callers, output_tokens) in loads() {
        let prompt: Arc<str> = "ash ".repeat(prompt_bytes / 4).into();
        let direct = measure_path(
            callers,
            output_tokens,
            &prompt,
            RequestPath::Direct(engine.clone()),
        )
        .await;
        let through = measure_path(
            callers,
            output_tokens,
            &prompt,
            RequestPath::Node(node.clone()),
        )
        .await;
        comparisons.push(PathComparison {
            prompt_bytes,
            callers,
            output_tokens,
            added_p50_us: signed_difference(through.p50_us, direct.p50_us),
            added_p99_us: signed_difference(through.p99_us, direct.p99_us),
            direct,
            through_node: through,
        });
    }
    fleet.stop().await;
    comparisons
}

/// Loads to measure, as (prompt bytes, concurrent callers, output tokens).
fn loads() -> Vec<(usize, usize, u64)> {
    let lengths = PROMPT_BYTES.iter().map(|bytes| (*bytes, 1, 1));
    let callers = CALLERS.iter().map(|callers| (PROMPT_BYTES[0], *callers, 1));
    let streams = [16, 64, 256]
        .iter()
        .map(|tokens| (PROMPT_BYTES[0], 8, *tokens));
    lengths.chain(callers).chain(streams).collect()
}

#[derive(Clone)]
enum RequestPath {
    Direct(String),
    Node(String),
}

async fn await_first_answer(node: &str) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    while complete_on_node(node, "warm", 1).await.is_none() && Instant::now() < deadline {
        smol::Timer::after(Duration::from_millis(100)).await;
    }
}

async fn measure_path(
    callers: usize,
    output_tokens: u64,
    prompt: &Arc<str>,
    path: RequestPath,
) -> PathMeasurement {
    let latencies = Arc::new(Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let started_at = Instant::now();
    let tasks: Vec<smol::Task<()>> = (0..callers)
        .map(|caller| {
            let latencies = Arc::clone(&latencies);
            let prompt = Arc::clone(prompt);
            let path = path.clone();
            smol::spawn(async move {
                for index in 0..REQUESTS / callers {
                    let sent_at = Instant::now();
                    let tokens = match &path {
                        RequestPath::Direct(engine) => {
                            let id = format!("{caller}-{index}");
                            complete_on_engine(engine, id, &prompt, output_tokens).await
                        }
                        RequestPath::Node(node) => {
                            complete_on_node(node, &prompt, output_tokens).await
                        }
                    };
                    assert_eq!(tokens, Some(output_tokens), "the answer is incomplete");
                    let elapsed = u64::try_from(sent_at.elapsed().as_micros()).unwrap();
                    latencies.lock().await.record(elapsed.max(1)).unwrap();
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let latencies = latencies.lock().await;
    let count = u32::try_from(latencies.len()).unwrap();
    PathMeasurement {
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        requests_s: f64::from(count) / elapsed,
    }
}

async fn complete_on_node(node: &str, prompt: &str, output_tokens: u64) -> Option<u64> {
    let client = NodeClient::new(node, Some(PAYING_KEY));
    let body = json!({"model": LOCAL_MODEL, "prompt": prompt, "max_tokens": output_tokens});
    let sent: Result<Value, _> = client
        .post("prompt", "/v1/completions", body.to_string())
        .await;
    sent.ok()?["usage"]["completion_tokens"].as_u64()
}

async fn complete_on_engine(
    engine: &str,
    request: String,
    prompt: &str,
    output_tokens: u64,
) -> Option<u64> {
    let client = HttpEngine::new(engine.to_owned(), ClockSource::System, CALL_TIMEOUT);
    let call = EngineCall {
        request,
        attempt: 1,
        model: LOCAL_MODEL.to_owned(),
        version: "1".to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        output_tokens,
        resume_at: 0,
        priority: 0,
        deadline_in: CALL_TIMEOUT,
        members: Vec::new(),
        traceparent: String::new(),
    };
    let mut stream = client.submit(call).await.ok()?;
    while let Some(event) = stream.next().await {
        if let Ok(EngineEvent::Finished { tokens, .. }) = event {
            return Some(tokens);
        }
    }
    None
}

fn signed_difference(through: u64, direct: u64) -> i64 {
    i64::try_from(through).unwrap() - i64::try_from(direct).unwrap()
}
