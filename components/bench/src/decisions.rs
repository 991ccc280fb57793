//! What one decision of the scheduler costs, against the size of its state.

use std::time::{Duration, Instant};

use model::{EngineModel, engine_profile};
use routing::{NodeScheduler, SchedulerEvent, SchedulerSettings};
use serde::{Deserialize, Serialize};
use types::{LoadedModel, PlanKind, PromptJob};

use crate::fleet::{MODEL, VERSION};

/// Least time over which one point is measured.
const MEASURE_TIME: Duration = Duration::from_millis(200);
/// Most decisions of one point.
const DECISIONS_MAX: u32 = 20_000;
/// Sizes that are not varied.
const USUAL: StateSize = StateSize {
    queued: 100,
    upstreams: 14,
    organisations: 10,
};
const QUEUE_LENGTHS: [usize; 5] = [10, 100, 1_000, 10_000, 100_000];
const UPSTREAM_COUNTS: [usize; 5] = [14, 56, 224, 896, 3_500];
const ORGANISATION_COUNTS: [usize; 5] = [10, 50, 250, 1_250, 6_100];

#[derive(Clone, Copy, Debug)]
struct StateSize {
    queued: usize,
    upstreams: usize,
    organisations: usize,
}

/// Cost of one decision at one size.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionPoint {
    /// What was varied.
    pub varied: String,
    /// How many there were.
    pub size: usize,
    /// Nanoseconds for one decision: an arrival and the end of it.
    pub nanoseconds: f64,
}

/// Growth of a decision's cost along one size.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionSlope {
    /// What was varied.
    pub varied: String,
    /// Nanoseconds at size zero, by the straight line of least squares.
    pub base_ns: f64,
    /// Nanoseconds for each more, by the same line.
    pub each_ns: f64,
    /// Power of the size that the cost grows with, by least squares of the
    /// logarithms.
    pub exponent: f64,
}

/// Costs of decisions.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionReport {
    /// Seed of the prompts.
    pub seed: u64,
    /// Every size measured.
    pub points: Vec<DecisionPoint>,
    /// Growth along each.
    pub slopes: Vec<DecisionSlope>,
}

/// Measures the scheduler on this machine.
pub fn measure_decisions(seed: u64, mut progress: impl FnMut(&str)) -> DecisionReport {
    let mut report = DecisionReport {
        seed,
        points: Vec::new(),
        slopes: Vec::new(),
    };
    for (varied, sizes) in VARIED {
        progress(varied);
        let points: Vec<DecisionPoint> = sizes
            .iter()
            .map(|size| measure_point(seed, varied, *size))
            .collect();
        report.slopes.push(fit(varied, &points));
        report.points.extend(points);
    }
    report
}

const VARIED: [(&str, [usize; 5]); 3] = [
    ("queued", QUEUE_LENGTHS),
    ("upstreams", UPSTREAM_COUNTS),
    ("organisations", ORGANISATION_COUNTS),
];

fn measure_point(seed: u64, varied: &str, size: usize) -> DecisionPoint {
    let state = match varied {
        "queued" => StateSize {
            queued: size,
            ..USUAL
        },
        "upstreams" => StateSize {
            upstreams: size,
            ..USUAL
        },
        _ => StateSize {
            organisations: size,
            queued: size.max(USUAL.queued),
            ..USUAL
        },
    };
    DecisionPoint {
        varied: varied.to_owned(),
        size,
        nanoseconds: DecisionRun::new(seed, state).measure(),
    }
}

struct DecisionRun {
    scheduler: NodeScheduler,
    now: Instant,
    state: StateSize,
    next: usize,
}

impl DecisionRun {
    fn new(seed: u64, state: StateSize) -> Self {
        let settings = SchedulerSettings {
            seed,
            ..SchedulerSettings::default()
        };
        let node = "node-001".to_owned();
        let mut run = Self {
            scheduler: NodeScheduler::new(node, "zone-1".to_owned(), settings),
            now: Instant::now(),
            state,
            next: 0,
        };
        run.report_engines();
        run.fill_queue();
        run
    }

    fn report_engines(&mut self) {
        let loaded = LoadedModel {
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            adapters: Vec::new(),
        };
        for place in 0..self.state.upstreams {
            let profile = engine_profile(format!("engine-{place:04}"), "zone-1".to_owned());
            let mut model = EngineModel::new(profile, vec![loaded.clone()]);
            let report = model.report(self.now);
            self.scheduler
                .handle(self.now, SchedulerEvent::Reported(report));
        }
    }

    /// Long prompts until all engines are taken and the queue is as long as
    /// wanted.
    fn fill_queue(&mut self) {
        for _ in 0..self.state.queued + self.state.upstreams {
            self.arrive();
        }
    }

    fn arrive(&mut self) {
        let number = self.next;
        self.next += 1;
        let organisation = number % self.state.organisations;
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
            deadline: self.now + Duration::from_hours(10),
        };
        let event = SchedulerEvent::Arrived { job, via: None };
        self.scheduler.handle(self.now, event);
    }

    /// Nanoseconds for an arrival and, to keep the size, a cancellation.
    fn measure(mut self) -> f64 {
        let started = Instant::now();
        let mut decisions: u32 = 0;
        while decisions < DECISIONS_MAX && started.elapsed() < MEASURE_TIME {
            self.arrive();
            let request = format!("r{}", self.next - 1);
            self.scheduler
                .handle(self.now, SchedulerEvent::Cancelled { request });
            decisions += 1;
        }
        started.elapsed().as_secs_f64() * 1e9 / f64::from(decisions.max(1))
    }
}

/// Fits a straight line, and a power of the size, to the points.
fn fit(varied: &str, points: &[DecisionPoint]) -> DecisionSlope {
    let line = least_squares(points, |point| (float(point.size), point.nanoseconds));
    let power = least_squares(points, |point| {
        (float(point.size).ln(), point.nanoseconds.max(1.0).ln())
    });
    DecisionSlope {
        varied: varied.to_owned(),
        base_ns: line.base,
        each_ns: line.slope,
        exponent: power.slope,
    }
}

struct FittedLine {
    base: f64,
    slope: f64,
}

fn least_squares(
    points: &[DecisionPoint],
    axes: impl Fn(&DecisionPoint) -> (f64, f64),
) -> FittedLine {
    let pairs: Vec<(f64, f64)> = points.iter().map(axes).collect();
    let count = float(pairs.len());
    let mean_x = pairs.iter().map(|pair| pair.0).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|pair| pair.1).sum::<f64>() / count;
    let spread: f64 = pairs.iter().map(|pair| (pair.0 - mean_x).powi(2)).sum();
    let joint: f64 = pairs
        .iter()
        .map(|pair| (pair.0 - mean_x) * (pair.1 - mean_y))
        .sum();
    let slope = joint / spread;
    FittedLine {
        base: mean_y - slope * mean_x,
        slope,
    }
}

fn float(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
