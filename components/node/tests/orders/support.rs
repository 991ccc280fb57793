//! Simulated table service and plain service with seeded faults, on a paused
//! clock that a background task advances.

use std::{
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use errors::{PlatformError, SendPhase, UpstreamError};
use kernel::{ClockSource, PausedClock};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use smol::Task;
use stores::{ReadMode, RowWrite, TableRow, TableService, fakes::MemoryTable};
use types::RowVersion;
use upstream::{OrderCall, PlainService, ServiceResponse};

/// Times that the clock task yields to the executor between two steps.
const YIELDS: usize = 40;

/// Advances `clock` to the next timer once the other tasks had time to run.
pub fn drive_clock(clock: Arc<PausedClock>) -> Task<()> {
    smol::spawn(async move {
        loop {
            for _ in 0..YIELDS {
                smol::future::yield_now().await;
            }
            if let Some(due) = clock.next_due() {
                clock.advance(due.max(Duration::from_millis(1)));
            }
        }
    })
}

/// Seeded random number generator shared by several tasks.
pub struct SharedRng(Mutex<StdRng>);

impl SharedRng {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self(Mutex::new(StdRng::seed_from_u64(seed))))
    }

    pub fn below(&self, bound: u64) -> u64 {
        self.0.lock().unwrap().random_range(0..bound)
    }

    pub fn millis(&self, bound: u64) -> Duration {
        Duration::from_millis(self.below(bound))
    }
}

/// State that all nodes of a history share: store, service and faults.
pub struct FaultSimulation {
    pub clock: ClockSource,
    pub rng: Arc<SharedRng>,
    pub table: Arc<MemoryTable>,
    /// Whether faults are injected.
    pub faults_enabled: AtomicBool,
    pub store_down: AtomicBool,
    /// Orders that ran at the service, in order of arrival.
    pub arrivals: Mutex<Vec<Arrival>>,
    pub deduplicates: bool,
}

/// One order that ran at the service; `submission` is its trace context.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub key: String,
    pub body: String,
    pub submission: String,
}

impl FaultSimulation {
    pub fn new(clock: ClockSource, seed: u64, deduplicates: bool) -> Arc<Self> {
        Arc::new(Self {
            table: Arc::new(MemoryTable::new(clock.clone())),
            rng: SharedRng::new(seed),
            faults_enabled: AtomicBool::new(true),
            store_down: AtomicBool::new(false),
            arrivals: Mutex::default(),
            clock,
            deduplicates,
        })
    }

    /// Draws a number below 100 that selects a fault; 100 when faults are off.
    fn draw_fault(&self) -> u64 {
        if self.faults_enabled.load(Ordering::Relaxed) {
            self.rng.below(100)
        } else {
            100
        }
    }

    fn run(&self, call: &OrderCall) -> ServiceResponse {
        let mut arrivals = self.arrivals.lock().unwrap();
        let key = call.dedup_key.clone().unwrap_or_default();
        let known = arrivals.iter().position(|arrival| arrival.key == key);
        let number = match known {
            Some(index) if self.deduplicates => index,
            _ => {
                arrivals.push(Arrival {
                    key,
                    body: call.body.clone(),
                    submission: call.traceparent.clone(),
                });
                arrivals.len() - 1
            }
        };
        ServiceResponse {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: format!("effect {number}"),
        }
    }
}

/// One node's access to the services; the calls of a crashed node never return.
pub struct SimulatedNode {
    pub simulation: Arc<FaultSimulation>,
    may_crash: bool,
    crashed: AtomicBool,
}

impl SimulatedNode {
    /// Creates a node's access; with `may_crash`, the node crashes at a random
    /// call.
    pub fn new(simulation: &Arc<FaultSimulation>, may_crash: bool) -> Arc<Self> {
        Arc::new(Self {
            simulation: Arc::clone(simulation),
            may_crash,
            crashed: AtomicBool::new(false),
        })
    }

    async fn delay(&self) {
        let simulation = &self.simulation;
        // A long delay, as of a suspended process, can occur at any call.
        let pause = if simulation.draw_fault() < 2 {
            simulation.rng.millis(600_000)
        } else {
            simulation.rng.millis(5)
        };
        simulation.clock.sleep(pause).await;
        self.hang_if_crashed().await;
    }

    /// May crash the node at random; returns only if it has not crashed.
    async fn hang_if_crashed(&self) {
        if self.may_crash && self.simulation.draw_fault() < 3 {
            self.crashed.store(true, Ordering::Relaxed);
        }
        if self.crashed.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
    }

    async fn call_store(&self) -> Result<(), PlatformError> {
        self.delay().await;
        if !self.simulation.store_down.load(Ordering::Relaxed) {
            return Ok(());
        }
        if self.simulation.rng.below(2) == 0 {
            pending::<()>().await;
        }
        Err(PlatformError::Refused {
            step: "call".to_owned(),
            peer: "table".to_owned(),
            retry_after: None,
        })
    }

    fn apply_later(&self, writes: Vec<RowWrite>, delay: Duration) {
        let simulation = Arc::clone(&self.simulation);
        smol::spawn(async move {
            simulation.clock.sleep(delay).await;
            simulation.table.transact(writes).await.ok();
        })
        .detach();
    }
}

fn unanswered() -> PlatformError {
    PlatformError::Unanswered {
        step: "call".to_owned(),
        peer: "table".to_owned(),
        cause: "lost".to_owned(),
    }
}

#[async_trait]
impl TableService for SimulatedNode {
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError> {
        self.call_store().await?;
        if self.simulation.draw_fault() < 5 {
            return Err(unanswered());
        }
        self.simulation.table.read(table, key, mode).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError> {
        self.call_store().await?;
        let scan = self
            .simulation
            .table
            .scan(table, prefix, after, limit, mode);
        scan.await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        self.call_store().await?;
        match self.simulation.draw_fault() {
            0..5 => {
                self.simulation.table.transact(writes).await.ok();
                Err(unanswered())
            }
            5..8 => Err(unanswered()),
            8..13 => {
                self.apply_later(writes, self.simulation.rng.millis(120_000));
                Err(unanswered())
            }
            13..16 => {
                self.apply_later(writes, Duration::from_millis(10));
                pending().await
            }
            16..18 => Err(PlatformError::Refused {
                step: "call".to_owned(),
                peer: "table".to_owned(),
                retry_after: None,
            }),
            _ => self.simulation.table.transact(writes).await,
        }
    }
}

fn connection_broken(phase: SendPhase) -> UpstreamError {
    UpstreamError::Broken {
        step: "order".to_owned(),
        peer: "service".to_owned(),
        phase,
        cause: "cut".to_owned(),
    }
}

#[async_trait]
impl PlainService for SimulatedNode {
    async fn read(
        &self,
        _path: &str,
        _limit: Duration,
        _traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError> {
        Err(connection_broken(SendPhase::BeforeFirstByte))
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        self.delay().await;
        let simulation = &self.simulation;
        match simulation.draw_fault() {
            0..6 => {
                simulation.run(&call);
                Err(connection_broken(SendPhase::AfterFirstByte))
            }
            6..10 => Err(connection_broken(SendPhase::AfterFirstByte)),
            10..16 => Err(connection_broken(SendPhase::BeforeFirstByte)),
            16..20 => {
                let answer = simulation.run(&call);
                simulation.clock.sleep(Duration::from_secs(8)).await;
                Ok(answer)
            }
            20..24 => {
                let delayed = Arc::clone(simulation);
                smol::spawn(async move {
                    delayed.clock.sleep(delayed.rng.millis(120_000)).await;
                    delayed.run(&call);
                })
                .detach();
                Err(connection_broken(SendPhase::AfterFirstByte))
            }
            24..27 => {
                let mut answer = simulation.run(&call);
                answer.status = 500;
                Ok(answer)
            }
            _ => {
                let answer = simulation.run(&call);
                self.hang_if_crashed().await;
                Ok(answer)
            }
        }
    }
}
