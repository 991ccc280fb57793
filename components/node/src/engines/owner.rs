//! Sends orders to the engines that this node owns until they report their
//! desired state.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use engines::{ModelPlanner, ModelRequirement};
use errors::{PlatformError, UpstreamError};
use kernel::{CancellationToken, ClockSource};
use membership::UpstreamState;
use notes::FleetState;
use stores::WeightStore;
use types::{EngineId, EngineOrder, EngineReport, FencingNumber, ModelSpec, NodeId};

use super::FencingAllocator;
use crate::{
    directory::{KnownEngine, UpstreamDirectory},
    fleet::EngineOwnership,
    notes::NoteService,
    prompts::PromptService,
};

const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an order is sent again if the engine does not report its
/// effect.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// The same for engines that ignore fencing numbers: an order of an earlier
/// owner may have arrived after this node's and replaced it.
const UNFENCED_RESEND_INTERVAL: Duration = Duration::from_secs(1);
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Services and settings that an [`EngineReconciler`] uses.
pub struct ReconcilerDependencies {
    /// This node, named in its orders as the owner.
    pub node: NodeId,
    /// Clock for intervals and retries.
    pub clock: ClockSource,
    /// Known engines and their last reports.
    pub directory: Arc<UpstreamDirectory>,
    /// Assignment of engines to owning nodes.
    pub fleet: Arc<EngineOwnership>,
    /// Source of the models and adapters of the release note in force.
    pub notes: Arc<NoteService>,
    /// Source of the roles that the scheduler wants and of the number of engines
    /// that have each model ready.
    pub prompts: Arc<PromptService>,
    /// Grants slots for loading weights; the weight store limits their rate.
    pub weights: Arc<dyn WeightStore>,
    /// Allocates the fencing numbers of orders.
    pub fencing: FencingAllocator,
    /// Engines that ignore fencing numbers.
    pub unfenced: Vec<EngineId>,
}

/// Reconciles the owned engines with their desired state.
///
/// Orders are repeated until the engine reports the desired state; sooner for engines
/// that don't check fencing numbers, where an earlier owner's order may have replaced
/// this one. Engines that check them refuse the orders of an earlier owner.
pub struct EngineReconciler {
    dependencies: ReconcilerDependencies,
    planner: ModelPlanner,
    owned: BTreeMap<EngineId, OwnedEngine>,
}

#[derive(Default)]
struct OwnedEngine {
    /// Fencing number of this node's orders; `None` until one is allocated, and after
    /// the engine refused an order as fenced.
    fencing: Option<FencingNumber>,
    /// Highest fencing number that the engine is known to have accepted.
    highest_fencing: FencingNumber,
    /// Planned models for which the weight store has granted a loading slot.
    granted_models: Vec<ModelSpec>,
    /// Last order sent, and when; also if the call failed.
    last_order: Option<(Instant, EngineOrder)>,
    /// The engine is not reconciled before this time; set after a request for a slot
    /// or a fencing number failed.
    retry_at: Option<Instant>,
}

impl EngineReconciler {
    /// Creates a reconciler that has sent no order yet.
    #[must_use]
    pub fn new(dependencies: ReconcilerDependencies) -> Self {
        Self {
            dependencies,
            planner: ModelPlanner::default(),
            owned: BTreeMap::new(),
        }
    }

    /// Reconciles the owned engines every `RECONCILE_INTERVAL` until `token` is
    /// cancelled.
    pub async fn run(mut self, token: CancellationToken) {
        while !token.is_cancelled() {
            smol::future::or(self.reconcile(), token.cancelled()).await;
            let sleep = self.dependencies.clock.sleep(RECONCILE_INTERVAL);
            smol::future::or(sleep, token.cancelled()).await;
        }
    }

    async fn reconcile(&mut self) {
        let state = self.dependencies.notes.current();
        if state.version == 0 {
            return;
        }
        let engines = self.dependencies.directory.engines();
        let engine_ids: Vec<EngineId> = engines.iter().map(|engine| engine.id.clone()).collect();
        let requirements = self.requirements(&state);
        let owned: Vec<&KnownEngine> = engines
            .iter()
            .filter(|engine| engine.state == UpstreamState::Usable)
            .filter(|engine| self.dependencies.fleet.owns(&engine.id, &engine.zone))
            .collect();
        self.retain_owned(&owned);
        for engine in owned {
            if let Some(report) = self.dependencies.directory.last_report(&engine.id) {
                self.reconcile_engine(engine, &report, &engine_ids, &requirements)
                    .await;
            }
        }
    }

    /// Forgets engines that are not owned or not usable now.
    fn retain_owned(&mut self, owned: &[&KnownEngine]) {
        let planner = &mut self.planner;
        self.owned.retain(|id, _| {
            let kept = owned.iter().any(|engine| engine.id == *id);
            if !kept {
                planner.forget(id);
            }
            kept
        });
    }

    fn requirements(&self, state: &FleetState) -> Vec<ModelRequirement> {
        let models = state.models.iter();
        models
            .map(|(model, entry)| ModelRequirement {
                model: model.clone(),
                version: entry.version.clone(),
                adapters: state
                    .adapters
                    .iter()
                    .filter(|(_, adapter)| adapter.model == *model)
                    .map(|(adapter, _)| adapter.clone())
                    .collect(),
                copies: entry.copies,
                ready: self
                    .dependencies
                    .prompts
                    .ready_engine_count(model, &entry.version),
            })
            .collect()
    }

    async fn reconcile_engine(
        &mut self,
        engine: &KnownEngine,
        report: &EngineReport,
        engine_ids: &[EngineId],
        requirements: &[ModelRequirement],
    ) {
        let now = self.dependencies.clock.now();
        let plan = self
            .planner
            .plan(now, &engine.id, &report.models, engine_ids, requirements);
        let entry = self.owned.entry(engine.id.clone()).or_default();
        entry.highest_fencing = entry.highest_fencing.max(report.fencing);
        if entry.retry_at.is_some_and(|time| now < time) {
            return;
        }
        entry
            .granted_models
            .retain(|model| plan.load.contains(model));
        if let Some(next) = plan
            .load
            .iter()
            .find(|model| !entry.granted_models.contains(model))
        {
            match self
                .dependencies
                .weights
                .slot(&next.model, &next.version)
                .await
            {
                Ok(_) => entry.granted_models.push(next.clone()),
                Err(error) => entry.retry_at = Some(now + weight_retry_delay(&error)),
            }
        }
        let mut models = plan.keep;
        models.extend(entry.granted_models.iter().cloned());
        models.sort();
        self.send_order(engine, report, models).await;
    }

    async fn send_order(
        &mut self,
        engine: &KnownEngine,
        report: &EngineReport,
        models: Vec<ModelSpec>,
    ) {
        let role = self.dependencies.prompts.desired_role(&engine.id);
        let mut reported_models = report.models.clone();
        reported_models.sort();
        if reported_models == models && report.role == role {
            return;
        }
        let now = self.dependencies.clock.now();
        let Some(entry) = self.owned.get_mut(&engine.id) else {
            return;
        };
        let interval = if self.dependencies.unfenced.contains(&engine.id) {
            UNFENCED_RESEND_INTERVAL
        } else {
            RESEND_INTERVAL
        };
        let is_same_order = |order: &EngineOrder| order.models == models && order.role == role;
        if let Some((sent, order)) = &entry.last_order
            && is_same_order(order)
            && now.saturating_duration_since(*sent) < interval
        {
            return;
        }
        let Some(fencing) =
            current_fencing(&self.dependencies.fencing, &engine.id, entry, now).await
        else {
            return;
        };
        let order = EngineOrder {
            owner: self.dependencies.node.clone(),
            fencing,
            role,
            models,
        };
        match engine.client.order(order.clone()).await {
            Ok(()) => log::info!(
                "event=engine_ordered engine={} fencing={fencing} role={role:?} models={}",
                engine.id,
                order.models.len()
            ),
            Err(error) => {
                log::warn!(
                    "event=engine_order_failed engine={} cause=\"{error}\"",
                    engine.id
                );
                if let UpstreamError::Fenced { newest, .. } = error {
                    entry.highest_fencing = entry.highest_fencing.max(newest);
                    entry.fencing = None;
                }
            }
        }
        entry.last_order = Some((now, order));
    }
}

/// Returns the engine's fencing number. Allocates one when there is none yet or
/// when the engine has accepted a higher one from another node.
async fn current_fencing(
    allocator: &FencingAllocator,
    engine: &EngineId,
    entry: &mut OwnedEngine,
    now: Instant,
) -> Option<FencingNumber> {
    if let Some(fencing) = entry
        .fencing
        .filter(|fencing| *fencing >= entry.highest_fencing)
    {
        return Some(fencing);
    }
    match allocator.allocate(engine, entry.highest_fencing).await {
        Ok(fencing) => {
            entry.fencing = Some(fencing);
            Some(fencing)
        }
        Err(error) => {
            log::warn!("event=fencing_not_taken engine={engine} cause=\"{error}\"");
            entry.retry_at = Some(now + STORE_RETRY_DELAY);
            None
        }
    }
}

/// Delay before the next request for a weight slot: the store's `retry_after`
/// times a random factor from 1 to 2, so that engines that restart together
/// don't retry together.
fn weight_retry_delay(error: &PlatformError) -> Duration {
    let retry_after_delay = match error {
        PlatformError::Refused { retry_after, .. } => retry_after.unwrap_or(STORE_RETRY_DELAY),
        _ => STORE_RETRY_DELAY,
    };
    retry_after_delay.mul_f64(1.0 + rand::random::<f64>())
}
