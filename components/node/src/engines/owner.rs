//! Orders to the engines that this node owns.

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
use types::{EngineId, EngineOrder, EngineReport, FencingNumber, LoadedModel, NodeId};

use super::FencingSource;
use crate::{
    directory::{KnownEngine, UpstreamDirectory},
    fleet::EngineOwnership,
    notes::NoteService,
    prompts::PromptService,
};

const REVIEW_PAUSE: Duration = Duration::from_millis(500);
/// An order is sent again when the engine does not show it after this time.
const REORDER_PAUSE: Duration = Duration::from_secs(3);
/// The same for engines that ignore fencing numbers: an older owner's order may
/// have come behind.
const UNFENCED_REORDER_PAUSE: Duration = Duration::from_secs(1);
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// What the engine service works with.
pub struct OwnerParts {
    /// This node.
    pub node: NodeId,
    /// Clock.
    pub clock: ClockSource,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Who owns which engine.
    pub fleet: Arc<EngineOwnership>,
    /// What is in force.
    pub notes: Arc<NoteService>,
    /// Roles that the scheduler wants, and models known as ready.
    pub prompts: Arc<PromptService>,
    /// Leave to load weights.
    pub weights: Arc<dyn WeightStore>,
    /// Fencing numbers.
    pub fencing: FencingSource,
    /// Engines that ignore them.
    pub unfenced: Vec<EngineId>,
}

/// Keeps the owned engines at their desired state.
///
/// Engines that check fencing numbers refuse an older owner. For those that
/// don't, the state is observed again and again, and the owner of now orders
/// until the engine shows it.
pub struct EngineOwner {
    parts: OwnerParts,
    planner: ModelPlanner,
    owned: BTreeMap<EngineId, OwnedEngine>,
}

#[derive(Default)]
struct OwnedEngine {
    fencing: Option<FencingNumber>,
    /// Highest number that the engine is known to have taken.
    taken: FencingNumber,
    granted: Vec<LoadedModel>,
    last_order: Option<(Instant, EngineOrder)>,
    not_before: Option<Instant>,
}

impl EngineOwner {
    /// A service that has given no order.
    #[must_use]
    pub fn new(parts: OwnerParts) -> Self {
        Self {
            parts,
            planner: ModelPlanner::default(),
            owned: BTreeMap::new(),
        }
    }

    /// Reviews the owned engines until `token` is cancelled.
    pub async fn run(mut self, token: CancellationToken) {
        while !token.is_cancelled() {
            smol::future::or(self.review(), token.cancelled()).await;
            let pause = self.parts.clock.sleep(REVIEW_PAUSE);
            smol::future::or(pause, token.cancelled()).await;
        }
    }

    async fn review(&mut self) {
        let state = self.parts.notes.current();
        if state.version == 0 {
            return;
        }
        let engines = self.parts.directory.engines();
        let fleet: Vec<EngineId> = engines.iter().map(|engine| engine.id.clone()).collect();
        let needs = self.needs(&state);
        let owned: Vec<&KnownEngine> = engines
            .iter()
            .filter(|engine| engine.state == UpstreamState::Usable)
            .filter(|engine| self.parts.fleet.owns(&engine.id, &engine.zone))
            .collect();
        self.forget_lost(&owned);
        for engine in owned {
            if let Some(report) = self.parts.directory.last_report(&engine.id) {
                self.review_engine(engine, &report, &fleet, &needs).await;
            }
        }
    }

    fn forget_lost(&mut self, owned: &[&KnownEngine]) {
        let planner = &mut self.planner;
        self.owned.retain(|id, _| {
            let kept = owned.iter().any(|engine| engine.id == *id);
            if !kept {
                planner.forget(id);
            }
            kept
        });
    }

    fn needs(&self, state: &FleetState) -> Vec<ModelRequirement> {
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
                ready: self.parts.prompts.ready_engines(model, &entry.version),
            })
            .collect()
    }

    async fn review_engine(
        &mut self,
        engine: &KnownEngine,
        report: &EngineReport,
        fleet: &[EngineId],
        needs: &[ModelRequirement],
    ) {
        let now = self.parts.clock.now();
        let plan = self
            .planner
            .plan(now, &engine.id, &report.models, fleet, needs);
        let entry = self.owned.entry(engine.id.clone()).or_default();
        entry.taken = entry.taken.max(report.fencing);
        if entry.not_before.is_some_and(|time| now < time) {
            return;
        }
        entry.granted.retain(|model| plan.load.contains(model));
        if let Some(next) = plan
            .load
            .iter()
            .find(|model| !entry.granted.contains(model))
        {
            match self.parts.weights.slot(&next.model, &next.version).await {
                Ok(_) => entry.granted.push(next.clone()),
                Err(error) => entry.not_before = Some(now + weight_pause(&error)),
            }
        }
        let mut models = plan.keep;
        models.extend(entry.granted.iter().cloned());
        models.sort();
        self.order(engine, report, models).await;
    }

    async fn order(
        &mut self,
        engine: &KnownEngine,
        report: &EngineReport,
        models: Vec<LoadedModel>,
    ) {
        let role = self.parts.prompts.wanted_role(&engine.id);
        let mut shown = report.models.clone();
        shown.sort();
        if shown == models && report.role == role {
            return;
        }
        let now = self.parts.clock.now();
        let Some(entry) = self.owned.get_mut(&engine.id) else {
            return;
        };
        let pause = if self.parts.unfenced.contains(&engine.id) {
            UNFENCED_REORDER_PAUSE
        } else {
            REORDER_PAUSE
        };
        let same = |order: &EngineOrder| order.models == models && order.role == role;
        if let Some((sent, order)) = &entry.last_order
            && same(order)
            && now.saturating_duration_since(*sent) < pause
        {
            return;
        }
        let Some(fencing) = number(&self.parts.fencing, &engine.id, entry, now).await else {
            return;
        };
        let order = EngineOrder {
            owner: self.parts.node.clone(),
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
                    entry.taken = entry.taken.max(newest);
                    entry.fencing = None;
                }
            }
        }
        entry.last_order = Some((now, order));
    }
}

/// The engine's number, taken from the store when there is none yet or when
/// another node's order has a higher one.
async fn number(
    source: &FencingSource,
    engine: &EngineId,
    entry: &mut OwnedEngine,
    now: Instant,
) -> Option<FencingNumber> {
    if let Some(fencing) = entry.fencing.filter(|fencing| *fencing >= entry.taken) {
        return Some(fencing);
    }
    match source.next(engine, entry.taken).await {
        Ok(fencing) => {
            entry.fencing = Some(fencing);
            Some(fencing)
        }
        Err(error) => {
            log::warn!("event=fencing_not_taken engine={engine} cause=\"{error}\"");
            entry.not_before = Some(now + STORE_PAUSE);
            None
        }
    }
}

/// When to ask for weights again: as told, and a random part more, so that
/// many engines that restart together don't ask together.
fn weight_pause(error: &PlatformError) -> Duration {
    let told = match error {
        PlatformError::Refused { retry_after, .. } => retry_after.unwrap_or(STORE_PAUSE),
        _ => STORE_PAUSE,
    };
    told.mul_f64(1.0 + rand::random::<f64>())
}
