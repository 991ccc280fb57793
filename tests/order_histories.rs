//! Randomised histories of orders through the nodes' HTTP interface, with a
//! platform and a service that lose requests and answers, and a store that delays
//! writes until they are released, and goes down.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use gentiantally::cmd::{
    client::NodeClient,
    local::{
        FleetConfig, LOCAL_SERVICE, LOCAL_TIME_SCALE, LocalFleet, OPERATOR_KEY, PAYING_KEY,
        first_note,
    },
};
use http_types::Method;
use kernel::ClockSource;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use smol::Task;
use stores::fakes::{InjectedFaults, OutageKind};
use transport::{CallError, HttpClient, HttpResponse};

const HISTORIES: u64 = 200;
const HISTORIES_AT_ONCE: usize = 20;
const NODES: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls before the test fails: about a minute.
const POLL_ATTEMPTS: u32 = 1_200;

/// One submission of an order: the effects before it, which are runs of the order
/// at the service, and the answer that its caller got.
#[derive(Debug)]
struct Submission {
    effects_before: usize,
    code: String,
    /// Scope of a refusal: `order` claims that neither this submission nor an
    /// earlier one ran; `request` speaks of this submission only.
    scope: String,
}

/// A fleet and the submissions sent to it, by idempotency key.
struct OrderHistories {
    fleet: LocalFleet,
    log: Mutex<BTreeMap<String, Vec<Submission>>>,
}

impl OrderHistories {
    async fn start() -> Arc<Self> {
        let config = FleetConfig {
            time_scale: LOCAL_TIME_SCALE,
            nodes: NODES,
            engines: 1,
        };
        let fleet = LocalFleet::start(&config).await.unwrap();
        let operator = NodeClient::new(&fleet.callers_address(0), Some(OPERATOR_KEY));
        let note = serde_json::to_string(&first_note()).unwrap();
        operator
            .post::<Value>("publish", "/v1/operator/notes", note)
            .await
            .unwrap();
        let histories = Self {
            fleet,
            log: Mutex::default(),
        };
        for position in 0..NODES {
            histories.await_note(position).await;
        }
        Arc::new(histories)
    }

    /// Waits until the node has the first note in force and accepts its callers.
    async fn await_note(&self, position: usize) {
        for _ in 0..POLL_ATTEMPTS {
            let path = format!("/v1/services/{LOCAL_SERVICE}/current");
            let answer = self.call(position, Method::Get, &path, None).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        panic!("node {position} did not serve a status read in time");
    }

    async fn call(
        &self,
        position: usize,
        method: Method,
        path: &str,
        order_key: Option<&str>,
    ) -> Result<HttpResponse, CallError> {
        let address = self.fleet.callers_address(position);
        let client = HttpClient::new(address, ClockSource::System, CALL_TIMEOUT);
        let mut request = client.request("test", method, path)?;
        let bearer = format!("Bearer {PAYING_KEY}");
        client.set_header("test", &mut request, "Authorization", &bearer)?;
        if let Some(key) = order_key {
            client.set_header("test", &mut request, "Idempotency-Key", key)?;
            request.set_body("notice");
        }
        client.call("test", request).await
    }

    fn effect_count(&self, key: &str) -> usize {
        let effects = self.fleet.service.service().effects();
        let matching = effects.iter().filter(|effect| {
            let dedup_key = effect.dedup_key.as_deref().unwrap_or_default();
            dedup_key.rsplit('/').next() == Some(key)
        });
        matching.count()
    }

    /// Runs one seeded caller, which submits its order two to four times, partly
    /// concurrently.
    async fn submit_all(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let key = format!("key-{seed}");
        let mut concurrent: Vec<Task<()>> = Vec::new();
        for _ in 0..rng.random_range(2..5) {
            self.inject_fault(&mut rng);
            let position = rng.random_range(0..NODES);
            let submission = smol::spawn(Arc::clone(&self).submit(key.clone(), position));
            if rng.random_bool(0.5) {
                submission.await;
            } else {
                concurrent.push(submission);
            }
        }
        for submission in concurrent {
            submission.await;
        }
    }

    async fn submit(self: Arc<Self>, key: String, position: usize) {
        let path = format!("/v1/services/{LOCAL_SERVICE}/issue");
        let effects_before = self.effect_count(&key);
        let answer = self.call(position, Method::Post, &path, Some(&key)).await;
        let mut submission = Submission {
            effects_before,
            code: "no_answer".to_owned(),
            scope: String::new(),
        };
        if let Ok(answer) = answer {
            let outcome = answer.header("X-Order-Outcome");
            submission.code = String::from(outcome.unwrap_or("no_outcome"));
            let body: Value = answer.json().unwrap_or_default();
            let scope = body["order"]["scope"].as_str();
            submission.scope = String::from(scope.unwrap_or_default());
        }
        let mut log = self.log.lock().unwrap();
        log.entry(key).or_default().push(submission);
    }

    /// Injects a random fault: loses one of the next messages of any caller, delays
    /// one of the next writes, releases the delayed writes, or cuts the store off
    /// until another draw restores it.
    fn inject_fault(&self, rng: &mut StdRng) {
        let table = self.fleet.platform.table();
        let store = table.fault_injector();
        let service = self.fleet.service.service().fault_injector();
        match rng.random_range(0..24) {
            0 | 1 => store.change(|faults| faults.lose_answers += 1),
            2 => store.change(|faults| faults.lose_requests += 1),
            3 => store.change(|faults| faults.hold_writes += 1),
            4 => {
                table.release_held();
            }
            5 => service.change(|faults| faults.lose_answers += 1),
            6 => service.change(|faults| faults.lose_requests += 1),
            7 => store.change(|faults| faults.outage = OutageKind::Cut),
            _ => store.change(|faults| faults.outage = OutageKind::None),
        }
    }

    /// Polls until the order is settled or in doubt and returns its code.
    async fn final_state(&self, key: &str) -> String {
        let path = format!("/v1/orders/{LOCAL_SERVICE}/{key}");
        for _ in 0..POLL_ATTEMPTS {
            let answer = self.call(0, Method::Get, &path, None).await.unwrap();
            let body: Value = answer.json().unwrap();
            let code = body["code"].as_str().unwrap_or_default();
            if !["order_in_progress", "order_state_unavailable"].contains(&code) {
                return code.to_owned();
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        panic!("{key} was not settled in time");
    }

    /// Compares the order's final state and the callers' answers with the effects
    /// at the service, and describes a contradiction.
    async fn find_violation(&self, key: &str) -> Option<String> {
        let state = self.final_state(key).await;
        let effects = self.effect_count(key);
        let log = self.log.lock().unwrap();
        let submissions = &log[key];
        let is_refusal = |submission: &Submission| submission.code.starts_with("order_not_run");
        let denies_earlier_run = submissions.iter().any(|submission| {
            is_refusal(submission) && submission.scope == "order" && submission.effects_before > 0
        });
        let done = submissions
            .iter()
            .any(|submission| submission.code == "order_done");
        let not_run = state.starts_with("order_not_run") || state == "order_unrecorded";
        let is_violation = effects > 1
            || denies_earlier_run
            || (effects == 0 && (done || state == "order_done"))
            || (effects == 1 && (not_run || submissions.iter().all(is_refusal)));
        is_violation.then(|| format!("{key}: {effects} effects, ends as {state}, {submissions:?}"))
    }
}

/// Guards against orders that run twice and against answers that say an order
/// ran or did not run when the service's effects show otherwise. Lost messages,
/// delayed writes and concurrent resends through several nodes can cause both.
#[test]
fn order_outcomes_agree_with_the_effects_under_injected_faults() {
    smol::block_on(async {
        let histories = OrderHistories::start().await;
        let seeds: Vec<u64> = (0..HISTORIES).collect();
        for group in seeds.chunks(HISTORIES_AT_ONCE) {
            let callers = group
                .iter()
                .map(|seed| smol::spawn(Arc::clone(&histories).submit_all(*seed)));
            for caller in callers.collect::<Vec<_>>() {
                caller.await;
            }
        }
        let table = histories.fleet.platform.table();
        table.fault_injector().set(InjectedFaults::default());
        let service = histories.fleet.service.service();
        service.fault_injector().set(InjectedFaults::default());
        table.release_held();

        let mut violations = Vec::new();
        for seed in 0..HISTORIES {
            violations.extend(histories.find_violation(&format!("key-{seed}")).await);
        }
        let mut codes = BTreeMap::new();
        for submission in histories.log.lock().unwrap().values().flatten() {
            *codes.entry(submission.code.clone()).or_insert(0) += 1;
        }
        println!("{HISTORIES} histories through the nodes: {codes:?}");
        assert_eq!(violations, Vec::<String>::new());
        assert!(codes.contains_key("order_done") && codes.contains_key("order_in_doubt"));
        let histories = Arc::into_inner(histories).expect("all callers have ended");
        histories.fleet.stop().await;
    });
}
