//! A rate-limited weight store in memory.

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

/// How fast a weight store gives leave to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightRate {
    /// Time between two slots.
    pub interval: Duration,
    /// Slots given at once after a pause.
    pub burst: u32,
    /// Size of each model's weights in bytes.
    pub bytes: u64,
    /// Time within which a load must begin.
    pub valid_for: Duration,
}

#[derive(Debug, Default)]
struct WeightState {
    // The time at which the allowance is whole again.
    full_at: Option<Instant>,
    given: u64,
}

/// A weight store in memory, with switchable faults.
#[derive(Debug)]
pub struct MemoryWeights {
    switch: FaultInjector,
    rate: WeightRate,
    state: Mutex<WeightState>,
}

impl MemoryWeights {
    /// A store whose whole burst is free.
    #[must_use]
    pub fn new(clock: ClockSource, rate: WeightRate) -> Self {
        Self {
            switch: FaultInjector::new("memory-weights", clock),
            rate,
            state: Mutex::default(),
        }
    }

    /// The faults.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.switch
    }

    fn give(&self, model: &ModelId, version: &ModelVersion) -> Result<WeightSlot, PlatformError> {
        let now = self.switch.clock().now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let full_at = state.full_at.unwrap_or(now).max(now);
        let debt = full_at.saturating_duration_since(now);
        let allowance = self.rate.interval * self.rate.burst;
        let after = debt + self.rate.interval;
        if after > allowance {
            return Err(PlatformError::Refused {
                step: "slot".to_owned(),
                peer: self.switch.name().to_owned(),
                retry_after: Some(after.saturating_sub(allowance)),
            });
        }
        state.full_at = Some(now + after);
        state.given += 1;
        Ok(WeightSlot {
            slot: format!("{model}/{version}/{}", state.given),
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
        let effect = |_| self.give(model, version);
        self.switch.run("slot", CallKind::Write, effect).await
    }
}
