//! Builds a scheduler whose state has a given size, to measure decisions.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use admission::QueueBounds;
use model::{EngineModel, engine_profile};
use routing::{NodeScheduler, SchedulerAction, SchedulerEvent, SchedulerSettings};
use types::{AttemptId, ModelSpec, NodeId, PlanKind, PromptJob, RequestId};

use crate::fleet::{MODEL, VERSION};

/// Engines that one node owns in a large fleet.
const ENGINES_PER_NODE: usize = 10;
/// Simulated time between two arrivals.
const PROMPT_GAP: Duration = Duration::from_micros(10);
/// Limit on prompts sent to fill a queue, beyond its target length.
const FILL_MAX: usize = 50_000;

/// Size of a scheduler's state in each dimension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StateSize {
    /// Prompts queued on the node.
    pub queued: usize,
    /// Engines that the node owns.
    pub owned: usize,
    /// Engines owned by other nodes, known from their summaries.
    pub remote: usize,
    /// Organisations that send prompts.
    pub organisations: usize,
}

/// An attempt dispatched to an engine.
#[derive(Clone, Debug)]
struct RunningAttempt {
    request: RequestId,
    attempt: AttemptId,
}

/// A prompt forwarded to another node.
#[derive(Clone, Debug)]
struct ForwardedPrompt {
    request: RequestId,
    node: NodeId,
}

/// A scheduler with its prompts in flight.
#[derive(Debug)]
pub struct DecisionState {
    scheduler: NodeScheduler,
    size: StateSize,
    now: Instant,
    next: usize,
    running: VecDeque<RunningAttempt>,
    forwarded: VecDeque<ForwardedPrompt>,
}

impl DecisionState {
    /// Builds a scheduler and fills its state to `size`. The queue stays shorter
    /// when the scheduler forwards prompts.
    #[must_use]
    pub fn with_size(seed: u64, size: StateSize) -> Self {
        let now = Instant::now();
        let mut state = Self {
            scheduler: scheduler(seed, "node-000"),
            size,
            now,
            next: 0,
            running: VecDeque::new(),
            forwarded: VecDeque::new(),
        };
        report_engines(&mut state.scheduler, now, 0, size.owned);
        state.add_summaries(seed);
        state.fill_queue();
        state
    }

    /// Prompts queued now.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.scheduler.prompt_counts().queued
    }

    /// Adds one arriving prompt and finishes the oldest forwarded one, or without
    /// any the oldest dispatched one, so that the size of the state stays the same.
    pub fn replace_prompt(&mut self) {
        self.now += PROMPT_GAP;
        self.add_arrival();
        if let Some(prompt) = self.forwarded.pop_front() {
            self.handle_event(SchedulerEvent::ForwardFinished {
                request: prompt.request,
                node: prompt.node,
                output_tokens: 100,
            });
            return;
        }
        let Some(attempt) = self.running.pop_front() else {
            return;
        };
        let RunningAttempt { request, attempt } = attempt;
        self.handle_event(SchedulerEvent::Started {
            request: request.clone(),
            attempt,
            prompt_tokens: 2_000,
            cached_tokens: 0,
        });
        self.handle_event(SchedulerEvent::FirstToken {
            request: request.clone(),
            attempt,
        });
        self.handle_event(SchedulerEvent::Finished {
            request,
            attempt,
            output_tokens: 100,
        });
    }

    fn add_summaries(&mut self, seed: u64) {
        let nodes = self.size.remote.div_ceil(ENGINES_PER_NODE);
        let mut left = self.size.remote;
        for node in 1..=nodes {
            let mut other = scheduler(seed, &format!("node-{node:03}"));
            let engines = left.min(ENGINES_PER_NODE);
            left -= engines;
            report_engines(&mut other, self.now, node * ENGINES_PER_NODE, engines);
            let summary = other.summary(self.now);
            self.handle_event(SchedulerEvent::SummaryReceived(summary));
        }
    }

    fn fill_queue(&mut self) {
        for _ in 0..self.size.queued + FILL_MAX {
            if self.queued() >= self.size.queued || !self.forwarded.is_empty() {
                break;
            }
            self.add_arrival();
        }
        while self.next < self.size.organisations {
            self.replace_prompt();
        }
    }

    fn add_arrival(&mut self) {
        let number = self.next;
        self.next += 1;
        let organisation = number % self.size.organisations;
        let job = PromptJob {
            request: format!("r{number}"),
            organisation: format!("organisation-{organisation}"),
            plan: PlanKind::Paying,
            weight: 1,
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            adapter: None,
            note_version: 1,
            prompt_tokens: 2_000,
            output_tokens: 300,
            prefixes: Vec::new(),
            zone: "zone-1".to_owned(),
            arrived: self.now,
            deadline: self.now + Duration::from_hours(100),
        };
        self.handle_event(SchedulerEvent::Arrived { job, via: None });
    }

    fn handle_event(&mut self, event: SchedulerEvent) {
        for action in self.scheduler.handle(self.now, event) {
            match action {
                SchedulerAction::Dispatch {
                    request, attempt, ..
                } => self.running.push_back(RunningAttempt { request, attempt }),
                SchedulerAction::Forward { request, node } => {
                    self.forwarded.push_back(ForwardedPrompt { request, node });
                }
                _ => {}
            }
        }
    }
}

fn scheduler(seed: u64, node: &str) -> NodeScheduler {
    let settings = SchedulerSettings {
        seed,
        queue: QueueBounds {
            requests: usize::MAX,
            tokens: u64::MAX,
        },
        ..SchedulerSettings::default()
    };
    NodeScheduler::new(node.to_owned(), "zone-1".to_owned(), settings)
}

fn report_engines(scheduler: &mut NodeScheduler, now: Instant, first: usize, count: usize) {
    let loaded = ModelSpec {
        model: MODEL.to_owned(),
        version: VERSION.to_owned(),
        adapters: Vec::new(),
    };
    for index in first..first + count {
        let profile = engine_profile(format!("engine-{index:05}"), "zone-1".to_owned());
        let mut model = EngineModel::new(profile, vec![loaded.clone()]);
        let report = model.report(now);
        scheduler.handle(now, SchedulerEvent::EngineReported(report));
    }
}
