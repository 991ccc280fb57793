//! Polls reports and cache events of the engines that this node owns.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kernel::{CancellationToken, ClockSource};
use membership::{CallEvidence, UpstreamState};
use routing::SchedulerEvent;
use smol::Task;
use types::{EngineId, IncarnationNumber};

use crate::{
    directory::{KnownEngine, UpstreamDirectory},
    fleet::EngineOwnership,
    prompts::PromptService,
};

/// Interval between checks of which engines this node owns, while no change
/// wakes the task.
const OWNERSHIP_POLL_PAUSE: Duration = Duration::from_millis(250);
/// Interval between reports polled from one engine.
const REPORT_PAUSE: Duration = Duration::from_millis(250);

/// Polls the owned engines and passes their state to the scheduler.
pub struct EngineWatcher {
    clock: ClockSource,
    directory: Arc<UpstreamDirectory>,
    ownership: Arc<EngineOwnership>,
    prompts: Arc<PromptService>,
}

struct WatchedEngine {
    incarnation: IncarnationNumber,
    task: Task<()>,
}

impl EngineWatcher {
    /// Creates a watcher of the engines in `directory` that `ownership` assigns to
    /// this node.
    #[must_use]
    pub fn new(
        clock: ClockSource,
        directory: Arc<UpstreamDirectory>,
        ownership: Arc<EngineOwnership>,
        prompts: Arc<PromptService>,
    ) -> Self {
        Self {
            clock,
            directory,
            ownership,
            prompts,
        }
    }

    /// Starts and stops polling as ownership changes, until `token` is
    /// cancelled.
    pub async fn run(self, token: CancellationToken) {
        let upstream_changes = self.directory.changes();
        let owner_changes = self.ownership.changes();
        let mut watched: HashMap<EngineId, WatchedEngine> = HashMap::new();
        while !token.is_cancelled() {
            self.update_watched(&mut watched).await;
            let wake_up = async {
                smol::future::or(upstream_changes.recv(), owner_changes.recv())
                    .await
                    .ok();
            };
            let wake_up_or_due = smol::future::or(wake_up, self.clock.sleep(OWNERSHIP_POLL_PAUSE));
            smol::future::or(wake_up_or_due, token.cancelled()).await;
        }
    }

    /// Starts polling newly owned engines, and stops polling engines that this
    /// node no longer owns or that restarted.
    async fn update_watched(&self, watched: &mut HashMap<EngineId, WatchedEngine>) {
        let engines = self.directory.engines();
        self.ownership
            .set_engine_zones(engines.iter().map(|engine| &engine.zone));
        let owned: Vec<KnownEngine> = engines
            .into_iter()
            .filter(|engine| engine.state != UpstreamState::Leaving)
            .filter(|engine| self.ownership.owns(&engine.id, &engine.zone))
            .collect();
        let is_kept = |id: &EngineId, engine: &mut WatchedEngine| {
            owned
                .iter()
                .any(|known| known.id == *id && known.incarnation == engine.incarnation)
        };
        let lost: Vec<(EngineId, WatchedEngine)> = watched
            .extract_if(|id, engine| !is_kept(id, engine))
            .collect();
        for (id, engine) in lost {
            self.release(id, engine).await;
        }
        for engine in owned {
            if watched.contains_key(&engine.id) {
                continue;
            }
            log::info!(
                "event=engine_owned engine={} incarnation={}",
                engine.id,
                engine.incarnation
            );
            let id = engine.id.clone();
            let entry = WatchedEngine {
                incarnation: engine.incarnation,
                task: smol::spawn(poll_engine(
                    self.clock.clone(),
                    Arc::clone(&self.prompts),
                    Arc::clone(&self.directory),
                    engine,
                )),
            };
            watched.insert(id, entry);
        }
    }
}

impl EngineWatcher {
    /// Stops polling an engine, then tells the scheduler that it is gone. In
    /// the other order, a late report would make the scheduler know the engine
    /// for ever.
    async fn release(&self, id: EngineId, engine: WatchedEngine) {
        engine.task.cancel().await;
        log::info!("event=engine_released engine={id}");
        self.prompts
            .handle(SchedulerEvent::EngineGone { engine: id });
    }
}

/// Polls one engine. While the engine is backed off, the scheduler does not
/// know it; the next report makes it known again.
async fn poll_engine(
    clock: ClockSource,
    prompts: Arc<PromptService>,
    directory: Arc<UpstreamDirectory>,
    engine: KnownEngine,
) {
    let mut known = false;
    let mut next_sequence = 0;
    loop {
        match engine.client.report().await {
            Ok(report) => {
                directory.record_call(&engine.id, engine.incarnation, CallEvidence::Answered);
                directory.record_report(report.clone());
                prompts.handle(SchedulerEvent::EngineReported(report));
                known = true;
                next_sequence = poll_cache(&prompts, &engine, next_sequence).await;
            }
            Err(error) => {
                directory.record_call(&engine.id, engine.incarnation, CallEvidence::Failed);
                if known && !is_fully_usable(&directory, &engine) {
                    known = false;
                    log::warn!("event=engine_silent engine={} cause=\"{error}\"", engine.id);
                    prompts.handle(SchedulerEvent::EngineGone {
                        engine: engine.id.clone(),
                    });
                }
            }
        }
        clock.sleep(REPORT_PAUSE).await;
    }
}

/// Whether `engine` is in the state `Usable`; a half-open engine doesn't count.
fn is_fully_usable(directory: &UpstreamDirectory, engine: &KnownEngine) -> bool {
    directory
        .engine(&engine.id)
        .is_some_and(|known| known.state == UpstreamState::Usable)
}

/// Reads cache events from sequence number `next_sequence` on; returns the
/// sequence number to continue from.
async fn poll_cache(prompts: &Arc<PromptService>, engine: &KnownEngine, next_sequence: u64) -> u64 {
    let Ok(batch) = engine.client.cache_events(next_sequence).await else {
        return next_sequence;
    };
    if !batch.events.is_empty() {
        prompts.handle(SchedulerEvent::CacheChanged {
            engine: engine.id.clone(),
            events_lost: batch.first > next_sequence,
            events: batch.events,
        });
    }
    batch.next
}
