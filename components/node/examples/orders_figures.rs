//! Measures the cost of an order: store calls, added latency, throughput under
//! a store limit, and the time to write pending settlements after an outage.

#![allow(clippy::cast_precision_loss)]

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use errors::UpstreamError;
use hdrhistogram::Histogram;
use kernel::{CancellationToken, ClockSource};
use node::orders::{OrderRequest, OrderService, OrderSettings, ServicePeer, ServiceTarget};
use notes::ServiceGuarantee;
use orders::{OrderName, OrderOutcome};
use stores::fakes::{MemoryTable, OutageKind};
use upstream::{OrderCall, PlainService, ServiceResponse};

const STORE_DELAY_MS: u64 = 5;
const STORE_WRITES_PER_S: u32 = 300;
const CALLERS: usize = 256;
const RUN_TIME: Duration = Duration::from_secs(5);
const UNSETTLED_ORDERS: u64 = 1_000;

/// Plain service that answers orders after a fixed delay.
struct DelayService {
    delay: Duration,
    runs: AtomicU64,
}

#[async_trait]
impl PlainService for DelayService {
    async fn read(
        &self,
        _path: &str,
        _limit: Duration,
        _traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError> {
        Ok(answer())
    }

    async fn order(&self, _call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        self.runs.fetch_add(1, Ordering::Relaxed);
        ClockSource::System.sleep(self.delay).await;
        Ok(answer())
    }
}

fn answer() -> ServiceResponse {
    ServiceResponse {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "ok".to_owned(),
    }
}

struct Bench {
    table: Arc<MemoryTable>,
    service: Arc<DelayService>,
    nodes: Vec<Arc<OrderService>>,
    stop: CancellationToken,
}

impl Bench {
    fn new(
        guarantee: ServiceGuarantee,
        service_delay: Duration,
        batch_orders: usize,
        nodes: usize,
    ) -> Self {
        let table = Arc::new(MemoryTable::new(ClockSource::System));
        table
            .fault_injector()
            .change(|faults| faults.delay_ms = STORE_DELAY_MS);
        let service = Arc::new(DelayService {
            delay: service_delay,
            runs: AtomicU64::new(0),
        });
        let target = ServiceTarget {
            guarantee,
            timeout: Duration::from_secs(10),
            peers: vec![ServicePeer {
                id: "desk-1".to_owned(),
                client: Arc::clone(&service) as _,
            }],
        };
        let stop = CancellationToken::new();
        let nodes = (0..nodes).map(|index| {
            let settings = OrderSettings {
                batch_orders,
                ..OrderSettings::new(format!("node-{index}"))
            };
            let target = target.clone();
            let orders = OrderService::new(
                settings,
                Arc::clone(&table) as _,
                Arc::new(move |_| Some(target.clone())),
                ClockSource::System,
                CancellationToken::new(),
            );
            smol::spawn(Arc::clone(&orders).run(stop.clone())).detach();
            orders
        });
        let nodes = nodes.collect();
        Self {
            table,
            service,
            nodes,
            stop,
        }
    }

    async fn submit(&self, node: usize, key: String) -> OrderOutcome {
        let request = OrderRequest {
            name: OrderName {
                organisation: "ash".to_owned(),
                service: "notices".to_owned(),
                key,
            },
            path: "notices".to_owned(),
            content_type: "text/plain".to_owned(),
            body: "a notice".to_owned(),
            deadline_in: Duration::from_secs(30),
            traceparent: String::new(),
        };
        self.nodes[node % self.nodes.len()].submit(request).await
    }
}

/// Measures store calls and added latency per order, one order at a time.
async fn measure_single(guarantee: ServiceGuarantee) {
    let bench = Bench::new(guarantee, Duration::ZERO, 32, 1);
    let mut times = Histogram::<u64>::new(3).expect("a valid precision");
    let orders = 200;
    for number in 0..orders {
        let started = Instant::now();
        bench.submit(0, format!("key-{number}")).await;
        times += u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    }
    print_calls(&format!("{guarantee:?}, one at a time"), &bench, orders);
    println!(
        "  added latency p50 {:.1} ms, p99 {:.1} ms",
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99))
    );
    bench.stop.cancel();
}

fn print_calls(title: &str, bench: &Bench, orders: u64) {
    let mut sums = [0.0; 3];
    for node in &bench.nodes {
        let calls = node.store_calls();
        for (sum, count) in sums.iter_mut().zip(calls) {
            *sum += count as f64;
        }
    }
    let [reads, transactions, rows] = sums;
    let orders = orders as f64;
    println!(
        "{title}: reads {:.2}, transactions {:.2}, row writes {:.2} per order",
        reads / orders,
        transactions / orders,
        rows / orders
    );
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Measures throughput with many concurrent callers under the store's limit on
/// transactions.
async fn measure_load(nodes: usize, batch_orders: usize) {
    let bench = Arc::new(Bench::new(
        ServiceGuarantee::None,
        Duration::from_millis(10),
        batch_orders,
        nodes,
    ));
    bench
        .table
        .fault_injector()
        .change(|faults| faults.writes_per_s = STORE_WRITES_PER_S);
    let until = Instant::now() + RUN_TIME;
    let callers = (0..CALLERS).map(|caller| {
        let bench = Arc::clone(&bench);
        smol::spawn(async move {
            let mut done = 0;
            let mut serial = 0;
            while Instant::now() < until {
                serial += 1;
                match bench.submit(caller, format!("{caller}-{serial}")).await {
                    OrderOutcome::Done { .. } => done += 1,
                    _ => ClockSource::System.sleep(Duration::from_millis(50)).await,
                }
            }
            done
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut done = 0;
    for caller in callers {
        done += caller.await;
    }
    print_calls(
        &format!("{CALLERS} callers on {nodes} nodes, {batch_orders} orders a batch"),
        &bench,
        done,
    );
    println!(
        "  {:.0} orders/s under {STORE_WRITES_PER_S} transactions/s",
        done as f64 / RUN_TIME.as_secs_f64()
    );
    bench.stop.cancel();
}

/// Measures the time to settle orders after an outage that started between their
/// sends and their settlements.
async fn measure_recovery() {
    let bench = Arc::new(Bench::new(
        ServiceGuarantee::None,
        Duration::from_secs(3),
        32,
        1,
    ));
    let callers: Vec<_> = (0..UNSETTLED_ORDERS)
        .map(|caller| {
            let bench = Arc::clone(&bench);
            smol::spawn(async move { bench.submit(0, format!("key-{caller}")).await })
        })
        .collect();
    while bench.service.runs.load(Ordering::Relaxed) < UNSETTLED_ORDERS {
        ClockSource::System.sleep(Duration::from_millis(5)).await;
    }
    bench
        .table
        .fault_injector()
        .change(|faults| faults.outage = OutageKind::Refuse);
    for caller in callers {
        caller.await;
    }
    ClockSource::System.sleep(Duration::from_secs(10)).await;
    println!(
        "unsettled orders before the outage ends: {}",
        bench.nodes[0].open_count()
    );
    bench.table.fault_injector().change(|faults| {
        faults.outage = OutageKind::None;
        faults.writes_per_s = STORE_WRITES_PER_S;
    });
    let started = Instant::now();
    while bench.nodes[0].open_count() > 0 {
        ClockSource::System.sleep(Duration::from_millis(5)).await;
    }
    println!(
        "  all settled {:.2} s after recovery",
        started.elapsed().as_secs_f64()
    );
    bench.stop.cancel();
}

fn main() {
    println!("store delay {STORE_DELAY_MS} ms per call");
    smol::block_on(async {
        measure_single(ServiceGuarantee::None).await;
        measure_single(ServiceGuarantee::Deduplicated).await;
        measure_load(1, 1).await;
        measure_load(1, 32).await;
        measure_load(8, 32).await;
        measure_recovery().await;
    });
}
