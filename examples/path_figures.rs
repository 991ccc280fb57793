//! Measures what a node adds to a request, against the same load sent straight
//! to the stand-in engine in the same run.
//!
//! `cargo run --release --example path_figures`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::StreamExt;
use gentiantally::cmd::{
    client::NodeClient,
    local::{FleetPlan, LOCAL_MODEL, LocalFleet, PAYING_KEY, publish_first_note},
};
use hdrhistogram::Histogram;
use kernel::ClockSource;
use serde::Serialize;
use serde_json::{Value, json};
use smol::lock::Mutex;
use upstream::{EngineCall, EngineEvent, HttpEngine, ModelEngine};

/// Engines answer in next to no time, so that what is measured is the path.
const TIME_SCALE: f64 = 0.000_01;
const CALL_LIMIT: Duration = Duration::from_secs(30);
const REQUESTS: usize = 2_000;
const PROMPT_BYTES: [usize; 4] = [4_000, 16_000, 64_000, 256_000];
const CALLERS: [usize; 3] = [1, 8, 32];

/// Latencies and rate of one way, in microseconds and requests a second.
#[derive(Debug)]
#[derive(Serialize)]
struct PathFigures {
    p50_us: u64,
    p99_us: u64,
    requests_s: f64,
}

/// One load, sent both ways.
#[derive(Debug)]
#[derive(Serialize)]
struct PathComparison {
    prompt_bytes: usize,
    callers: usize,
    output_tokens: u64,
    direct: PathFigures,
    through_node: PathFigures,
    added_p50_us: i64,
    added_p99_us: i64,
}

fn main() {
    let comparisons = smol::block_on(measure());
    println!("{}", serde_json::to_string_pretty(&comparisons).unwrap());
}

async fn measure() -> Vec<PathComparison> {
    let plan = FleetPlan {
        nodes: 1,
        engines: 1,
        time_scale: TIME_SCALE,
    };
    let fleet = LocalFleet::start(&plan).await.unwrap();
    publish_first_note(&fleet).await.unwrap();
    let engine = fleet.engines[0].address().to_owned();
    let node = fleet.callers_address(0);
    warm_up(&node).await;
    let mut comparisons = Vec::new();
    for (prompt_bytes, callers, output_tokens) in loads() {
        let prompt: Arc<str> = "ash ".repeat(prompt_bytes / 4).into();
        let direct = drive(callers, output_tokens, &prompt, Way::Direct(engine.clone())).await;
        let through = drive(callers, output_tokens, &prompt, Way::Node(node.clone())).await;
        comparisons.push(PathComparison {
            prompt_bytes,
            callers,
            output_tokens,
            added_p50_us: difference(through.p50_us, direct.p50_us),
            added_p99_us: difference(through.p99_us, direct.p99_us),
            direct,
            through_node: through,
        });
    }
    fleet.stop().await;
    comparisons
}

fn loads() -> Vec<(usize, usize, u64)> {
    let lengths = PROMPT_BYTES.iter().map(|bytes| (*bytes, 1, 1));
    let callers = CALLERS.iter().map(|callers| (PROMPT_BYTES[0], *callers, 1));
    let streams = [16, 64, 256]
        .iter()
        .map(|tokens| (PROMPT_BYTES[0], 8, *tokens));
    lengths.chain(callers).chain(streams).collect()
}

#[derive(Clone)]
enum Way {
    Direct(String),
    Node(String),
}

async fn warm_up(node: &str) {
    let deadline = Instant::now() + CALL_LIMIT;
    while through_node(node, "warm", 1).await.is_none() && Instant::now() < deadline {
        smol::Timer::after(Duration::from_millis(100)).await;
    }
}

async fn drive(callers: usize, output_tokens: u64, prompt: &Arc<str>, way: Way) -> PathFigures {
    let latencies = Arc::new(Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let started = Instant::now();
    let tasks: Vec<smol::Task<()>> = (0..callers)
        .map(|caller| {
            let latencies = Arc::clone(&latencies);
            let prompt = Arc::clone(prompt);
            let way = way.clone();
            smol::spawn(async move {
                for index in 0..REQUESTS / callers {
                    let sent = Instant::now();
                    let tokens = match &way {
                        Way::Direct(engine) => {
                            let id = format!("{caller}-{index}");
                            straight(engine, id, &prompt, output_tokens).await
                        }
                        Way::Node(node) => through_node(node, &prompt, output_tokens).await,
                    };
                    assert_eq!(tokens, Some(output_tokens), "an answer was not whole");
                    let taken = u64::try_from(sent.elapsed().as_micros()).unwrap();
                    latencies.lock().await.record(taken.max(1)).unwrap();
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let taken = started.elapsed().as_secs_f64();
    let latencies = latencies.lock().await;
    let count = u32::try_from(latencies.len()).unwrap();
    PathFigures {
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        requests_s: f64::from(count) / taken,
    }
}

async fn through_node(node: &str, prompt: &str, output_tokens: u64) -> Option<u64> {
    let client = NodeClient::new(node, Some(PAYING_KEY));
    let body = json!({"model": LOCAL_MODEL, "prompt": prompt, "max_tokens": output_tokens});
    let sent: Result<Value, _> = client
        .post("prompt", "/v1/completions", body.to_string())
        .await;
    sent.ok()?["usage"]["completion_tokens"].as_u64()
}

async fn straight(engine: &str, request: String, prompt: &str, output_tokens: u64) -> Option<u64> {
    let client = HttpEngine::new(engine.to_owned(), ClockSource::System, CALL_LIMIT);
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
        deadline_in: CALL_LIMIT,
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

fn difference(through: u64, direct: u64) -> i64 {
    i64::try_from(through).unwrap() - i64::try_from(direct).unwrap()
}
