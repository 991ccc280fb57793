//! The plain service itself.

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

use crate::{faults::guarded, service::ServiceSettings};

const STATUS_OK: u16 = 200;
const JSON_TYPE: &str = "application/json";

/// One effect of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceEffect {
    /// Number of the effect, from 1.
    pub number: u64,
    /// Path of the order.
    pub path: String,
    /// Body of the order.
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
    // The newest number taken for each deduplication key, or path.
    fencing: BTreeMap<String, FencingNumber>,
}

/// A plain service in memory, with switchable faults.
#[derive(Debug)]
pub struct StandinService {
    settings: ServiceSettings,
    switch: FaultInjector,
    state: Mutex<ServiceState>,
}

impl StandinService {
    /// A service with no effects yet.
    #[must_use]
    pub fn new(settings: ServiceSettings, clock: ClockSource) -> Self {
        let switch = FaultInjector::new(&settings.id, clock);
        switch.set(settings.faults.clone());
        Self {
            settings,
            switch,
            state: Mutex::default(),
        }
    }

    /// The faults; a held order is lost.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.switch
    }

    /// All effects, in their order.
    #[must_use]
    pub fn effects(&self) -> Vec<ServiceEffect> {
        self.locked(|state| state.effects.clone())
    }

    fn read_answer(&self, path: &str) -> ServiceResponse {
        let effects = self.locked(|state| state.effects.len());
        json_answer(&serde_json::json!({
            "service": self.settings.service,
            "path": path,
            "effects": effects,
        }))
    }

    fn take_order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        self.locked(|state| {
            if let Some(answer) = self.known_answer(state, &call) {
                return Ok(answer);
            }
            self.check_fencing(state, &call)?;
            Ok(self.run(state, call))
        })
    }

    fn known_answer(&self, state: &ServiceState, call: &OrderCall) -> Option<ServiceResponse> {
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

    fn run(&self, state: &mut ServiceState, call: OrderCall) -> ServiceResponse {
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

    fn locked<T>(&self, change: impl FnOnce(&mut ServiceState) -> T) -> T {
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
        guarded(&self.switch, "service read", CallKind::Read, work).await
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        let work = || self.take_order(call);
        guarded(&self.switch, "service order", CallKind::Write, work).await
    }
}

fn json_answer(value: &serde_json::Value) -> ServiceResponse {
    ServiceResponse {
        status: STATUS_OK,
        content_type: JSON_TYPE.to_owned(),
        body: value.to_string(),
    }
}
