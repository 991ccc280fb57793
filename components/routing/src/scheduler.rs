//! The scheduler of a node.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{AttemptId, EngineId, EngineReport, NodeId, PromptJob, RequestId, ZoneId};

use crate::{NodeSummary, RefusalReason, SchedulerAction, SchedulerEvent};

/// Knobs of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest time between two `Tick` events.
    pub tick: Duration,
    /// Seed of the randomised choices.
    pub seed: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            seed: 1,
        }
    }
}

/// Decides about every prompt that a node holds.
#[derive(Debug)]
pub struct NodeScheduler {
    node: NodeId,
    zone: ZoneId,
    engines: BTreeMap<EngineId, EngineReport>,
    running: BTreeMap<RequestId, RunningJob>,
    sequence: u64,
}

#[derive(Debug)]
struct RunningJob {
    job: PromptJob,
    attempt: AttemptId,
    engine: EngineId,
}

impl NodeScheduler {
    /// A scheduler that knows no engine yet.
    #[must_use]
    pub fn new(node: NodeId, zone: ZoneId, _settings: SchedulerSettings) -> Self {
        Self {
            node,
            zone,
            engines: BTreeMap::new(),
            running: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, _now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        match event {
            SchedulerEvent::Arrived { job, .. } => self.dispatch(job, 1, 0),
            SchedulerEvent::Reported(report) => {
                self.engines.insert(report.profile.engine.clone(), report);
                Vec::new()
            }
            SchedulerEvent::EngineGone { engine } => {
                self.engines.remove(&engine);
                Vec::new()
            }
            SchedulerEvent::Finished { request, .. } | SchedulerEvent::Cancelled { request } => {
                self.running.remove(&request);
                Vec::new()
            }
            SchedulerEvent::Failed {
                request, delivered, ..
            } => match self.running.remove(&request) {
                Some(running) => self.dispatch(running.job, running.attempt + 1, delivered),
                None => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// What this node tells the others.
    pub fn summary(&mut self, _now: Instant) -> NodeSummary {
        self.sequence += 1;
        NodeSummary {
            node: self.node.clone(),
            zone: self.zone.clone(),
            sequence: self.sequence,
            pools: Vec::new(),
            usage: Vec::new(),
        }
    }

    fn dispatch(
        &mut self,
        job: PromptJob,
        attempt: AttemptId,
        resume_at: u64,
    ) -> Vec<SchedulerAction> {
        let request = job.request.clone();
        let Some(engine) = self.least_loaded() else {
            return vec![SchedulerAction::Refuse {
                request,
                reason: RefusalReason::ModelNotReady,
                retry_after: Duration::from_secs(1),
            }];
        };
        let running = RunningJob {
            job,
            attempt,
            engine: engine.clone(),
        };
        self.running.insert(request.clone(), running);
        vec![SchedulerAction::Dispatch {
            request,
            attempt,
            engines: vec![engine],
            priority: 0,
            resume_at,
        }]
    }

    fn least_loaded(&self) -> Option<EngineId> {
        let count = |engine: &EngineId| {
            self.running
                .values()
                .filter(|running| running.engine == *engine)
                .count()
        };
        self.engines
            .keys()
            .min_by_key(|engine| count(engine))
            .cloned()
    }
}
