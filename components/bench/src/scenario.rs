//! The scenarios: their fleets, prompts and faults.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    BenchRequest, FleetShape, RunLimits,
    mixes::streams_of,
    workload::{engine_time, merge_streams, mix},
};

/// A scenario of the bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScenarioKind {
    /// Many briefs, digests and a few sweeps of nearly a million tokens on
    /// 14 engines.
    Lakeshore,
    /// A wide mix of lengths on 20 engines.
    Sundarban,
    /// Trial load of ten times the fleet's capacity beside paying load.
    TrialFlood,
    /// One paying organisation sends several times the fleet's capacity.
    BigCustomer,
    /// Load of three times the fleet's capacity.
    Overload,
    /// A third of the engines crash halfway through the run.
    EngineLoss,
    /// Prompts that share long prefixes.
    Prefix,
    /// Many nodes that receive reports two seconds late and so may all choose the
    /// same engines.
    HotHerd,
}

/// Whether a run includes the scenario's disturbance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScenarioVariant {
    /// The whole scenario.
    Full,
    /// The same arrivals without the disturbance.
    Alone,
}

/// An engine crash without restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineFault {
    /// Index of the engine.
    pub engine: usize,
    /// Time of the crash, from the start of the run.
    pub at: Duration,
}

/// Everything drawn in advance for one run.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioPlan {
    /// Scenario that the run was drawn from.
    pub kind: ScenarioKind,
    /// Size and lags of the fleet.
    pub shape: FleetShape,
    /// Time span in which requests arrive.
    pub duration: Duration,
    /// All requests, in order of arrival.
    pub requests: Vec<BenchRequest>,
    /// Engine crashes during the run.
    pub faults: Vec<EngineFault>,
}

impl ScenarioPlan {
    /// Applies `limits` to the plan: leaves out the requests beyond them, numbers
    /// the rest anew and crashes engines by the middle of the shorter time.
    #[must_use]
    pub fn limited(mut self, limits: RunLimits) -> Self {
        if let Some(nodes) = limits.nodes {
            self.shape.nodes = nodes.max(1);
        }
        if let Some(longest) = limits.longest {
            self.requests
                .retain(|request| request.prompt_tokens <= longest);
        }
        if let Some(arrivals) = limits.arrivals {
            self.duration = self.duration.min(arrivals);
            self.requests.retain(|request| request.at < arrivals);
        }
        for fault in &mut self.faults {
            fault.at = fault.at.min(self.duration / 2);
        }
        renumber(&mut self.requests);
        self
    }

    /// Engine time requested, relative to the engine time available while requests
    /// arrive. Without cache hits, a fleet can serve at most 1.
    #[must_use]
    pub fn offered_load(&self) -> f64 {
        let engines = u32::try_from(self.shape.engines).unwrap_or(u32::MAX);
        let available = self.duration * engines;
        engine_time(&self.requests).as_secs_f64() / available.as_secs_f64()
    }
}

impl ScenarioKind {
    /// All scenarios.
    pub const ALL: [Self; 8] = [
        Self::Lakeshore,
        Self::Sundarban,
        Self::TrialFlood,
        Self::BigCustomer,
        Self::Overload,
        Self::EngineLoss,
        Self::Prefix,
        Self::HotHerd,
    ];

    /// Name of the scenario on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Lakeshore => "lakeshore",
            Self::Sundarban => "sundarban",
            Self::TrialFlood => "trial-flood",
            Self::BigCustomer => "big-customer",
            Self::Overload => "overload",
            Self::EngineLoss => "engine-loss",
            Self::Prefix => "prefix",
            Self::HotHerd => "hot-herd",
        }
    }

    /// Finds a scenario by its name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Whether the scenario has a disturbance that can be left out.
    #[must_use]
    pub fn has_disturbance(self) -> bool {
        matches!(
            self,
            Self::TrialFlood | Self::BigCustomer | Self::Overload | Self::EngineLoss
        )
    }

    fn shape(self) -> FleetShape {
        let lakes = ["duluth", "thunder-bay", "sault"];
        let bengal = ["kolkata", "howrah", "durgapur"];
        match self {
            Self::Lakeshore | Self::EngineLoss => FleetShape::new(&lakes, 14, 6),
            Self::HotHerd => FleetShape {
                report_lag: Duration::from_secs(2),
                summary_lag: Duration::from_secs(2),
                ..FleetShape::new(&bengal, 24, 24)
            },
            _ => FleetShape::new(&bengal, 20, 7),
        }
    }

    fn duration(self) -> Duration {
        match self {
            Self::Lakeshore => Duration::from_mins(10),
            Self::Sundarban => Duration::from_mins(6),
            _ => Duration::from_mins(3),
        }
    }
}

/// Share of the requests of `overload` that are not part of the disturbance;
/// alone they load the fleet to its capacity.
const OVERLOAD_KEPT_SHARE: f64 = 1.0 / 3.0;
/// One engine in this many crashes in `engine-loss`.
const LOST_ENGINES_ONE_IN: usize = 3;

/// Draws the requests and faults of a run from a seed. The variant `Alone`
/// leaves out the requests of the disturbance, and the crashes.
#[must_use]
pub fn scenario_plan(kind: ScenarioKind, seed: u64, variant: ScenarioVariant) -> ScenarioPlan {
    let duration = kind.duration();
    let shape = kind.shape();
    let mut requests = merge_streams(&streams_of(kind), seed, duration);
    if kind == ScenarioKind::Overload {
        mark_excess(&mut requests, seed);
    }
    let mut faults = match kind {
        ScenarioKind::EngineLoss => engine_faults(&shape, duration, seed),
        _ => Vec::new(),
    };
    if variant == ScenarioVariant::Alone {
        requests.retain(|request| !request.disturbance);
        faults.clear();
        renumber(&mut requests);
    }
    ScenarioPlan {
        kind,
        shape,
        duration,
        requests,
        faults,
    }
}

fn mark_excess(requests: &mut [BenchRequest], seed: u64) {
    let mut rng = StdRng::seed_from_u64(mix(seed, 1_000));
    for request in requests {
        request.disturbance = !rng.random_bool(OVERLOAD_KEPT_SHARE);
    }
}

fn engine_faults(shape: &FleetShape, duration: Duration, seed: u64) -> Vec<EngineFault> {
    let mut rng = StdRng::seed_from_u64(mix(seed, 2_000));
    let lost = shape.engines / LOST_ENGINES_ONE_IN;
    let first = rng.random_range(0..shape.engines);
    (0..lost)
        .map(|step| EngineFault {
            engine: (first + step * LOST_ENGINES_ONE_IN) % shape.engines,
            at: duration / 2,
        })
        .collect()
}

fn renumber(requests: &mut [BenchRequest]) {
    for (index, request) in requests.iter_mut().enumerate() {
        request.index = index;
    }
}
