//! The scheduling policies of a run: the two baselines and this project's scheduler.

use std::time::Instant;

use routing::{NodeScheduler, NodeSummary, SchedulerAction, SchedulerEvent, SchedulerSettings};
use types::{NodeId, ZoneId};

use crate::{BaselineKind, BaselineRouter, workload::mix};

/// The scheduling policy of all nodes in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PolicyKind {
    /// A baseline balancer.
    Baseline(BaselineKind),
    /// This project's scheduler.
    Gentiantally,
}

impl PolicyKind {
    pub(crate) const ALL: [Self; 3] = [
        Self::Baseline(BaselineKind::RoundRobin),
        Self::Baseline(BaselineKind::LeastLoaded),
        Self::Gentiantally,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Baseline(BaselineKind::RoundRobin) => "round-robin",
            Self::Baseline(BaselineKind::LeastLoaded) => "least-loaded",
            Self::Gentiantally => "gentiantally",
        }
    }

    /// Whether every node receives the reports of every engine, or only of its own.
    pub(crate) fn sees_all(self) -> bool {
        matches!(self, Self::Baseline(_))
    }
}

/// The policy instance of one node.
#[derive(Debug)]
pub(crate) enum NodePolicy {
    Baseline(Box<BaselineRouter>),
    Scheduler(Box<NodeScheduler>),
}

impl NodePolicy {
    pub(crate) fn new(
        policy: PolicyKind,
        seed: u64,
        index: usize,
        node: NodeId,
        zone: ZoneId,
    ) -> Self {
        let number = u64::try_from(index).unwrap_or(0);
        match policy {
            PolicyKind::Baseline(kind) => {
                let router = BaselineRouter::new(kind, mix(seed, number));
                Self::Baseline(Box::new(router))
            }
            PolicyKind::Gentiantally => {
                let settings = SchedulerSettings {
                    seed: mix(seed, number),
                    ..SchedulerSettings::default()
                };
                let scheduler = NodeScheduler::new(node, zone, settings);
                Self::Scheduler(Box::new(scheduler))
            }
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        match self {
            Self::Baseline(router) => router.handle(now, event),
            Self::Scheduler(scheduler) => scheduler.handle(now, event),
        }
    }

    pub(crate) fn summary(&mut self, now: Instant) -> Option<NodeSummary> {
        match self {
            Self::Baseline(_) => None,
            Self::Scheduler(scheduler) => Some(scheduler.summary(now)),
        }
    }
}
