//! Drains a node before it stops: removes it from address answers, serves
//! callers that hold an older answer, and finishes work in flight.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::{DrainAction, DrainPhase, DrainPlan, DrainSettings, RemainingWork};
use routing::SchedulerEvent;

use crate::{
    directory::UpstreamDirectory, fleet::EngineOwnership, members::MemberService,
    orders::OrderService, prompts::PromptService,
};

const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Kernel names of the listeners, which accept new work.
const LISTENER_NAMES: [&str; 2] = ["entry", "peers"];

/// Set once the node has begun to drain.
#[derive(Debug, Default)]
pub struct DrainFlag(AtomicBool);

impl DrainFlag {
    /// Whether the drain has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Carries out the actions of a drain plan.
pub struct DrainService {
    /// Clock that times the steps of the drain.
    pub clock: ClockSource,
    /// Announces to other nodes that this node leaves.
    pub members: Arc<MemberService>,
    /// Ownership of engines, which the drain gives up.
    pub ownership: Arc<EngineOwnership>,
    /// Lists the engines to release.
    pub directory: Arc<UpstreamDirectory>,
    /// Prompts in flight and waiting.
    pub prompts: Arc<PromptService>,
    /// Orders in flight and settlements not yet written.
    pub orders: Arc<OrderService>,
    /// Cancelled to refuse new orders.
    pub orders_token: CancellationToken,
    /// Set so that address answers leave this node out.
    pub flag: Arc<DrainFlag>,
}

impl DrainService {
    /// Drains the node within the times in `settings`; returns the number of
    /// requests cancelled at the hard limit.
    pub async fn run(&self, kernel: &ServiceKernel, settings: DrainSettings) -> usize {
        let mut plan = DrainPlan::new(settings);
        let mut cancelled = 0;
        let mut actions = plan.begin(self.clock.now());
        loop {
            for action in actions {
                cancelled += self.execute_action(kernel, action).await;
            }
            if plan.phase() == DrainPhase::Ended {
                return cancelled;
            }
            self.clock.sleep(POLL_PAUSE).await;
            actions = plan.poll(self.clock.now(), self.remaining_work());
        }
    }

    fn remaining_work(&self) -> RemainingWork {
        RemainingWork {
            requests: self.prompts.open_count(),
            orders: self.orders.open_count(),
            resources: self.prompts.gang_reservation_count(),
        }
    }

    /// Executes one action; returns the number of requests that it cancelled.
    async fn execute_action(&self, kernel: &ServiceKernel, action: DrainAction) -> usize {
        log::info!("event=drain action={action:?}");
        match action {
            DrainAction::LeaveAnswers => self.flag.set(),
            DrainAction::AnnounceLeaving => self.members.leave().await,
            DrainAction::HandOver => self.release_engines(),
            DrainAction::StopAccepting => {
                self.orders_token.cancel();
                for name in LISTENER_NAMES {
                    kernel.cancel(name);
                }
            }
            DrainAction::CutRemaining => return self.prompts.terminate_all(),
            DrainAction::Exit => self.members.exit().await,
        }
        0
    }

    /// Releases every engine. Prompts that run there finish; queued prompts are
    /// forwarded to other nodes.
    fn release_engines(&self) {
        self.ownership.release_all();
        for engine in self.directory.engines() {
            self.prompts
                .handle(SchedulerEvent::EngineGone { engine: engine.id });
        }
    }
}
