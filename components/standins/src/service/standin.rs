//! The plain service stand-in: runs orders and records their effects.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use errors::UpstreamError;
use kernel::ClockSource;
use serde::{Deserialize, Serialize};
use stores::fakes::{CallKind, FaultInjector};
use types::FencingNumber;
use upstream::{OrderCall, PlainService, ServiceResponse};

use crate::{faults::run_with_faults, service::ServiceSettings};

const STATUS_OK: u16 = 200;
const JSON_TYPE: &str = "application/json";

/// Record of an order that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceEffect {
    /// 1 for the first order that ran, and one more for each later one.
    pub number: u64,
    /// Request path of the order, without the leading slash.
    pub path: String,
    /// Request body of the order.
    pub body: String,
    /// Deduplication key, if the order had one.
    pub dedup_key: Option<String>,
    /// Fencing number, if the order had one.
    pub fencing: Option<FencingNumber>,
}

#[derive(Debug, Default)]
struct ServiceState {
    effects: Vec<ServiceEffect>,
    answers: BTreeMap<String, ServiceResponse>,
    // Newest accepted fencing number by deduplication key, or by path without one.
    fencing: BTreeMap<String, FencingNumber>,
}

/// A plain service in memory, with faults that can be injected.
#[derive(Debug)]
pub struct StandinService {
    settings: ServiceSettings,
    injector: FaultInjector,
    state: Mutex<ServiceState>,
}

impl StandinService {
    /// Creates a service that has run no orders.
    #[must_use]
    pub fn new(settings: ServiceSettings, clock: ClockSource) -> Self {
        let injector = FaultInjector::new(&settings.id, clock);
        injector.set(settings.faults.clone());
        Self {
            settings,
            injector,
            state: Mutex::default(),
        }
    }

    /// The fault injector of its calls. An order held back by `hold_writes` never
    /// runs.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    /// All effects since the start, oldest first.
    #[must_use]
    pub fn effects(&self) -> Vec<ServiceEffect> {
        self.with_state(|state| state.effects.clone())
    }

    fn read_answer(&self, path: &str) -> ServiceResponse {
        let effects = self.with_state(|state| state.effects.len());
        json_answer(&serde_json::json!({
            "service": self.settings.service,
            "path": path,
            "effects": effects,
        }))
    }

    fn run_order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        self.with_state(|state| {
            if let Some(answer) = self.recorded_answer(state, &call) {
                return Ok(answer);
            }
            self.check_fencing(state, &call)?;
            Ok(self.apply_order(state, call))
        })
    }

    fn recorded_answer(&self, state: &ServiceState, call: &OrderCall) -> Option<ServiceResponse> {
        if !self.settings.deduplicates {
            return None;
        }
        state.answers.get(call.dedup_key.as_ref()?).cloned()
    }

    fn check_fencing(
        &self,
        state: &mut ServiceState,
        call: &OrderCall,
    ) -> Result<(), UpstreamError> {
        let Some(fencing) = call.fencing.filter(|_| self.settings.checks_fencing) else {
            return Ok(());
        };
        let scope = call.dedup_key.as_ref().unwrap_or(&call.path);
        let newest = state.fencing.entry(scope.clone()).or_insert(fencing);
        if fencing < *newest {
            return Err(UpstreamError::Fenced {
                step: "service order".to_owned(),
                peer: self.settings.id.clone(),
                newest: *newest,
            });
        }
        *newest = fencing;
        Ok(())
    }

    fn apply_order(&self, state: &mut ServiceState, call: OrderCall) -> ServiceResponse {
        let number = state.effects.len() as u64 + 1;
        let answer = json_answer(&serde_json::json!({
            "service": self.settings.service,
            "effect": number,
        }));
        if let Some(key) = &call.dedup_key {
            state.answers.insert(key.clone(), answer.clone());
        }
        state.effects.push(ServiceEffect {
            number,
            path: call.path,
            body: call.body,
            dedup_key: call.dedup_key,
            fencing: call.fencing,
        });
        answer
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

#[async_trait]
impl PlainService for StandinService {
    async fn read(
        &self,
        path: &str,
        _limit: Duration,
        _traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError> {
        let work = || Ok(self.read_answer(path));
        run_with_faults(&self.injector, "service read", CallKind::Read, work).await
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        let work = || self.run_order(call);
        run_with_faults(&self.injector, "service order", CallKind::Write, work).await
    }
}

fn json_answer(value: &serde_json::Value) -> ServiceResponse {
    ServiceResponse {
        status: STATUS_OK,
        content_type: JSON_TYPE.to_owned(),
        body: value.to_string(),
    }
}
