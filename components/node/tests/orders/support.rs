//! A table service and a plain service with seeded faults, on a clock that
//! moves by itself.

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

/// Turns the executor between two steps of the clock.
const YIELDS: usize = 40;

/// Moves `clock` on whenever the tasks have had time to run.
pub fn pump(clock: Arc<PausedClock>) -> Task<()> {
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

/// Random numbers that several tasks draw from.
pub struct SharedDice(Mutex<StdRng>);

impl SharedDice {
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

/// What all nodes of a history share.
pub struct FaultWorld {
    pub clock: ClockSource,
    pub dice: Arc<SharedDice>,
    pub table: Arc<MemoryTable>,
    /// Whether faults still happen.
    pub faulty: AtomicBool,
    pub store_down: AtomicBool,
    /// Attempts of the callers, by trace context, in the order of arrival.
    pub arrivals: Mutex<Vec<Arrival>>,
    pub deduplicates: bool,
}

/// One order that ran at the service.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub key: String,
    pub body: String,
    pub submission: String,
}

impl FaultWorld {
    pub fn new(clock: ClockSource, seed: u64, deduplicates: bool) -> Arc<Self> {
        Arc::new(Self {
            table: Arc::new(MemoryTable::new(clock.clone())),
            dice: SharedDice::new(seed),
            faulty: AtomicBool::new(true),
            store_down: AtomicBool::new(false),
            arrivals: Mutex::default(),
            clock,
            deduplicates,
        })
    }

    /// A number below 100 that picks a fault; 100 when there are none.
    fn fate(&self) -> u64 {
        if self.faulty.load(Ordering::Relaxed) {
            self.dice.below(100)
        } else {
            100
        }
    }

    fn run(&self, call: &OrderCall) -> ServiceResponse {
        let mut arrivals = self.arrivals.lock().unwrap();
        let key = call.dedup_key.clone().unwrap_or_default();
        let known = arrivals.iter().position(|arrival| arrival.key == key);
        let number = match known {
            Some(place) if self.deduplicates => place,
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

/// One node's way to the world; a dead node's calls never come back.
pub struct NodeEdge {
    pub world: Arc<FaultWorld>,
    mortal: bool,
    dead: AtomicBool,
}

impl NodeEdge {
    /// A mortal node dies at some call.
    pub fn new(world: &Arc<FaultWorld>, mortal: bool) -> Arc<Self> {
        Arc::new(Self {
            world: Arc::clone(world),
            mortal,
            dead: AtomicBool::new(false),
        })
    }

    async fn pass(&self) {
        let world = &self.world;
        // A pause may fall between any two steps.
        let pause = if world.fate() < 2 {
            world.dice.millis(600_000)
        } else {
            world.dice.millis(5)
        };
        world.clock.sleep(pause).await;
        self.live_on().await;
    }

    /// Comes back only if the node is alive.
    async fn live_on(&self) {
        if self.mortal && self.world.fate() < 3 {
            self.dead.store(true, Ordering::Relaxed);
        }
        if self.dead.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
    }

    async fn store(&self) -> Result<(), PlatformError> {
        self.pass().await;
        if !self.world.store_down.load(Ordering::Relaxed) {
            return Ok(());
        }
        if self.world.dice.below(2) == 0 {
            pending::<()>().await;
        }
        Err(PlatformError::Refused {
            step: "call".to_owned(),
            peer: "table".to_owned(),
            retry_after: None,
        })
    }

    fn apply_later(&self, writes: Vec<RowWrite>, delay: Duration) {
        let world = Arc::clone(&self.world);
        smol::spawn(async move {
            world.clock.sleep(delay).await;
            world.table.transact(writes).await.ok();
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
impl TableService for NodeEdge {
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError> {
        self.store().await?;
        if self.world.fate() < 5 {
            return Err(unanswered());
        }
        self.world.table.read(table, key, mode).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError> {
        self.store().await?;
        let scan = self.world.table.scan(table, prefix, after, limit, mode);
        scan.await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        self.store().await?;
        match self.world.fate() {
            0..5 => {
                self.world.table.transact(writes).await.ok();
                Err(unanswered())
            }
            5..8 => Err(unanswered()),
            8..13 => {
                self.apply_later(writes, self.world.dice.millis(120_000));
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
            _ => self.world.table.transact(writes).await,
        }
    }
}

fn broken(phase: SendPhase) -> UpstreamError {
    UpstreamError::Broken {
        step: "order".to_owned(),
        peer: "service".to_owned(),
        phase,
        cause: "cut".to_owned(),
    }
}

#[async_trait]
impl PlainService for NodeEdge {
    async fn read(
        &self,
        _path: &str,
        _limit: Duration,
        _traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError> {
        Err(broken(SendPhase::BeforeFirstByte))
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        self.pass().await;
        let world = &self.world;
        match world.fate() {
            0..6 => {
                world.run(&call);
                Err(broken(SendPhase::AfterFirstByte))
            }
            6..10 => Err(broken(SendPhase::AfterFirstByte)),
            10..16 => Err(broken(SendPhase::BeforeFirstByte)),
            16..20 => {
                let answer = world.run(&call);
                world.clock.sleep(Duration::from_secs(8)).await;
                Ok(answer)
            }
            20..24 => {
                let late = Arc::clone(world);
                smol::spawn(async move {
                    late.clock.sleep(late.dice.millis(120_000)).await;
                    late.run(&call);
                })
                .detach();
                Err(broken(SendPhase::AfterFirstByte))
            }
            24..27 => {
                let mut answer = world.run(&call);
                answer.status = 500;
                Ok(answer)
            }
            _ => {
                let answer = world.run(&call);
                self.live_on().await;
                Ok(answer)
            }
        }
    }
}
