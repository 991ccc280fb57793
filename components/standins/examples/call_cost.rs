//! Measures the median and 99th percentile latency of calls to the table, host
//! list, plain service and engine on loopback.
//!
//! `cargo run --release -p standins --example call_cost`

use std::{error::Error, time::Duration};

use futures_lite::StreamExt;
use hdrhistogram::Histogram;
use kernel::{CancellationToken, ClockSource};
use smol::block_on;
use standins::{
    EngineServer, EngineSettings, PlatformServer, PlatformSettings, ServiceServer, ServiceSettings,
};
use stores::{HostList, HttpHosts, HttpTable, ReadMode, RowExpectation, RowWrite, TableService};
use types::ModelSpec;
use upstream::{EngineCall, HttpEngine, HttpService, ModelEngine, OrderCall, PlainService};

const CALLS: u32 = 2_000;
const STREAM_CALLS: u32 = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_LATENCY_US: u64 = 60_000_000;
const ANY_PORT: &str = "127.0.0.1:0";
const LONG_PROMPT_BYTES: usize = 4_000_000;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    block_on(async {
        println!(
            "{:<24} {:>6} {:>9} {:>9}",
            "call", "calls", "p50 us", "p99 us"
        );
        measure_platform().await?;
        measure_service().await?;
        measure_engine().await
    })
}

async fn measure(name: &str, calls: u32, call: impl AsyncFn(u32) -> Outcome<()>) -> Outcome<()> {
    let clock = ClockSource::System;
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    for round in 0..calls {
        let began = clock.now();
        call(round).await?;
        let spent = clock.now().saturating_duration_since(began);
        times.record(u64::try_from(spent.as_micros())?.max(1))?;
    }
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!("{name:<24} {calls:>6} {p50:>9} {p99:>9}");
    Ok(())
}

async fn measure_platform() -> Outcome<()> {
    let clock = ClockSource::System;
    let server = PlatformServer::bind(ANY_PORT, PlatformSettings::default(), clock.clone()).await?;
    let address = server.address().to_owned();
    let run = smol::spawn(server.run(CancellationToken::new()));
    let table = HttpTable::new(address.clone(), clock.clone(), CALL_TIMEOUT);
    measure("table transact", CALLS, async |round| {
        table.transact(vec![row(round)]).await?;
        Ok(())
    })
    .await?;
    measure("table read", CALLS, async |round| {
        table
            .read("orders", &round.to_string(), ReadMode::Latest)
            .await?;
        Ok(())
    })
    .await?;
    let hosts = HttpHosts::new(address, clock, CALL_TIMEOUT);
    measure("host list, empty", CALLS, async |_| {
        hosts.hosts().await?;
        Ok(())
    })
    .await?;
    run.cancel().await;
    Ok(())
}

fn row(number: u32) -> RowWrite {
    RowWrite {
        table: "orders".to_owned(),
        key: number.to_string(),
        expected: RowExpectation::Absent,
        value: Some("{}".to_owned()),
    }
}

async fn measure_service() -> Outcome<()> {
    let clock = ClockSource::System;
    let server = ServiceServer::bind(ANY_PORT, ServiceSettings::default(), clock.clone()).await?;
    let service = HttpService::new(server.address().to_owned(), clock, CALL_TIMEOUT);
    let run = smol::spawn(server.run(CancellationToken::new()));
    measure("service order", CALLS, async |_| {
        service.order(order()).await?;
        Ok(())
    })
    .await?;
    run.cancel().await;
    Ok(())
}

fn order() -> OrderCall {
    OrderCall {
        path: "issue".to_owned(),
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
        dedup_key: None,
        fencing: None,
        deadline_in: CALL_TIMEOUT,
        traceparent: String::new(),
    }
}

async fn measure_engine() -> Outcome<()> {
    let clock = ClockSource::System;
    let settings = EngineSettings {
        time_scale: 0.000_01,
        models: vec![ModelSpec {
            model: "ash".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
        }],
        kv_capacity: 2_000_000,
        ..EngineSettings::default()
    };
    let server = EngineServer::bind(ANY_PORT, settings, clock.clone()).await?;
    let engine = HttpEngine::new(server.address().to_owned(), clock, CALL_TIMEOUT);
    let run = smol::spawn(server.run(CancellationToken::new()));
    measure("engine report", CALLS, async |_| {
        engine.report().await?;
        Ok(())
    })
    .await?;
    let short = "x".repeat(4_000);
    let long = "x".repeat(LONG_PROMPT_BYTES);
    for (name, prompt) in [("stream, 1k prompt", short), ("stream, 1M prompt", long)] {
        measure(name, STREAM_CALLS, async |round| {
            let call = engine_call(format!("{name} {round}"), prompt.clone());
            let mut events = engine.submit(call).await?;
            while let Some(event) = events.next().await {
                event?;
            }
            Ok(())
        })
        .await?;
    }
    run.cancel().await;
    Ok(())
}

fn engine_call(request: String, prompt: String) -> EngineCall {
    EngineCall {
        request,
        attempt: 1,
        model: "ash".to_owned(),
        version: "v1".to_owned(),
        adapter: None,
        prompt,
        output_tokens: 16,
        resume_at: 0,
        priority: 1,
        deadline_in: CALL_TIMEOUT,
        members: Vec::new(),
        traceparent: String::new(),
    }
}
