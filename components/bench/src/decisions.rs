//! Measures the scheduler's decision time as its state grows.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{DecisionState, StateSize};

/// Time limit for measuring one point.
const MEASURE_TIME: Duration = Duration::from_millis(300);
/// Limit on prompts measured for one point.
const PROMPTS_MAX: u32 = 20_000;
/// Sizes of the dimensions that are not varied.
const DEFAULT_SIZE: StateSize = StateSize {
    queued: 100,
    owned: 10,
    remote: 0,
    organisations: 10,
};

/// A varied dimension of the state and the sizes measured.
#[derive(Clone, Copy, Debug)]
struct VariedDimension {
    name: &'static str,
    values: [usize; 5],
    state: fn(usize) -> StateSize,
}

const VARIED: [VariedDimension; 4] = [
    VariedDimension {
        name: "queued",
        values: [10, 100, 1_000, 10_000, 100_000],
        state: |queued| StateSize {
            queued,
            ..DEFAULT_SIZE
        },
    },
    VariedDimension {
        name: "owned-upstreams",
        values: [4, 14, 56, 224, 896],
        state: |owned| StateSize {
            owned,
            ..DEFAULT_SIZE
        },
    },
    VariedDimension {
        name: "fleet-upstreams",
        values: [14, 56, 224, 896, 3_500],
        state: |remote| StateSize {
            remote,
            ..DEFAULT_SIZE
        },
    },
    VariedDimension {
        name: "organisations",
        values: [10, 50, 250, 1_250, 6_100],
        state: |organisations| StateSize {
            organisations,
            ..DEFAULT_SIZE
        },
    },
];

/// Decision time per prompt at one size of the state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionPoint {
    /// Name of the varied dimension.
    pub varied: String,
    /// Target size in that dimension.
    pub size: usize,
    /// Prompts actually queued before the measurement.
    pub queued: usize,
    /// Mean time of all decisions about one prompt, from arrival to end, in
    /// nanoseconds.
    pub nanoseconds: f64,
}

/// Growth of the decision time along one dimension.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionSlope {
    /// Name of the varied dimension.
    pub varied: String,
    /// Nanoseconds at size zero, by a linear least-squares fit.
    pub base_ns: f64,
    /// Nanoseconds per further unit of size, by the same fit.
    pub each_ns: f64,
    /// Exponent of the growth with size, by a least-squares fit of the
    /// logarithms.
    pub exponent: f64,
}

/// All measured decision times and their growth.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionReport {
    /// Seed of the scheduler's random choices.
    pub seed: u64,
    /// One point for each size measured.
    pub points: Vec<DecisionPoint>,
    /// Growth along each dimension.
    pub slopes: Vec<DecisionSlope>,
}

/// Measures decision times on this machine. `progress` receives the name of
/// each dimension before it is measured.
pub fn measure_decisions(seed: u64, mut progress: impl FnMut(&str)) -> DecisionReport {
    let mut report = DecisionReport {
        seed,
        points: Vec::new(),
        slopes: Vec::new(),
    };
    for varied in VARIED {
        progress(varied.name);
        let points: Vec<DecisionPoint> = varied
            .values
            .iter()
            .map(|size| measure_point(seed, varied, *size))
            .collect();
        report.slopes.push(fit(varied.name, &points));
        report.points.extend(points);
    }
    report
}

fn measure_point(seed: u64, varied: VariedDimension, size: usize) -> DecisionPoint {
    let mut state = DecisionState::with_size(seed, (varied.state)(size));
    let queued = state.queued();
    let started = Instant::now();
    let mut prompts: u32 = 0;
    while prompts < PROMPTS_MAX && started.elapsed() < MEASURE_TIME {
        state.replace_prompt();
        prompts += 1;
    }
    let nanoseconds = started.elapsed().as_secs_f64() * 1e9 / f64::from(prompts);
    DecisionPoint {
        varied: varied.name.to_owned(),
        size,
        queued,
        nanoseconds,
    }
}

/// Fits a line and a power law to the points.
fn fit(varied: &str, points: &[DecisionPoint]) -> DecisionSlope {
    let line = least_squares(points, |point| (as_f64(point.size), point.nanoseconds));
    let power = least_squares(points, |point| {
        (as_f64(point.size).ln(), point.nanoseconds.max(1.0).ln())
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
    let count = as_f64(pairs.len());
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

fn as_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
