//! A planned stop: out of the answers, old answers served, work finished.

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

/// Names of the tasks that take new work.
const LISTENER_NAMES: [&str; 2] = ["entry", "peers"];

/// Whether this node is on its way out.
#[derive(Debug, Default)]
pub struct DrainFlag(AtomicBool);

impl DrainFlag {
    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Carries out the plan of a stop.
pub struct DrainService {
    /// Clock.
    pub clock: ClockSource,
    /// Membership.
    pub members: Arc<MemberService>,
    /// Who may own engines.
    pub fleet: Arc<EngineOwnership>,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Prompts under way.
    pub prompts: Arc<PromptService>,
    /// Orders under way.
    pub orders: Arc<OrderService>,
    /// Stops new orders when cancelled.
    pub orders_token: CancellationToken,
    /// Read by the address answers.
    pub flag: Arc<DrainFlag>,
}

impl DrainService {
    /// Stops the node as `settings` say; returns the number of requests that
    /// had to be cut.
    pub async fn run(&self, kernel: &ServiceKernel, settings: DrainSettings) -> usize {
        let mut plan = DrainPlan::new(settings);
        let mut cut = 0;
        let mut actions = plan.begin(self.clock.now());
        loop {
            for action in actions {
                cut += self.execute_action(kernel, action).await;
            }
            if plan.phase() == DrainPhase::Ended {
                return cut;
            }
            self.clock.sleep(POLL_PAUSE).await;
            actions = plan.poll(self.clock.now(), self.remaining_work());
        }
    }

    fn remaining_work(&self) -> RemainingWork {
        RemainingWork {
            requests: self.prompts.open_count(),
            orders: self.orders.open_count(),
            resources: self.prompts.hold_count(),
        }
    }

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
            DrainAction::CutRemaining => return self.prompts.cut_all(),
            DrainAction::Exit => self.members.exit().await,
        }
        0
    }

    /// Gives up every engine; what runs there is finished, what waits here
    /// is forwarded.
    fn release_engines(&self) {
        self.fleet.release_all();
        for engine in self.directory.engines() {
            self.prompts
                .handle(SchedulerEvent::EngineGone { engine: engine.id });
        }
    }
}
