//! In-memory weight store with a rate limit.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use types::{ModelId, ModelVersion};

use crate::{
    WeightSlot, WeightStore,
    fakes::{FaultInjector, faults::CallKind},
};

/// Rate limit of a weight store, and the properties of its slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightRate {
    /// Time after which another slot becomes available.
    pub interval: Duration,
    /// Maximum number of slots granted at once after an idle period.
    pub burst: u32,
    /// Size of each model's weights in bytes.
    pub bytes: u64,
    /// Time within which a load must start.
    pub valid_for: Duration,
}

#[derive(Debug, Default)]
struct WeightState {
    // Time at which the whole burst is available again.
    burst_available_at: Option<Instant>,
    granted: u64,
}

/// In-memory weight store with fault injection.
#[derive(Debug)]
pub struct MemoryWeights {
    injector: FaultInjector,
    rate: WeightRate,
    state: Mutex<WeightState>,
}

impl MemoryWeights {
    /// Creates a store whose whole burst is available.
    #[must_use]
    pub fn new(clock: ClockSource, rate: WeightRate) -> Self {
        Self {
            injector: FaultInjector::new("memory-weights", clock),
            rate,
            state: Mutex::default(),
        }
    }

    /// Injector that sets the faults and limits of the calls.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    fn grant_slot(
        &self,
        model: &ModelId,
        version: &ModelVersion,
    ) -> Result<WeightSlot, PlatformError> {
        let now = self.injector.clock().now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let burst_available_at = state.burst_available_at.unwrap_or(now).max(now);
        let backlog = burst_available_at.saturating_duration_since(now);
        let allowance = self.rate.interval * self.rate.burst;
        let new_backlog = backlog + self.rate.interval;
        if new_backlog > allowance {
            return Err(PlatformError::Refused {
                step: "slot".to_owned(),
                peer: self.injector.name().to_owned(),
                retry_after: Some(new_backlog.saturating_sub(allowance)),
            });
        }
        state.burst_available_at = Some(now + new_backlog);
        state.granted += 1;
        Ok(WeightSlot {
            slot: format!("{model}/{version}/{}", state.granted),
            bytes: self.rate.bytes,
            valid_for: self.rate.valid_for,
        })
    }
}

#[async_trait]
impl WeightStore for MemoryWeights {
    async fn slot(
        &self,
        model: &ModelId,
        version: &ModelVersion,
    ) -> Result<WeightSlot, PlatformError> {
        let effect = |_| self.grant_slot(model, version);
        self.injector.run("slot", CallKind::Write, effect).await
    }
}
