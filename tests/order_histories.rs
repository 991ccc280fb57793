//! Histories of orders through the nodes' HTTP interface, with a platform and
//! a service that lose requests and answers and hold writes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use gentiantally::cmd::{
    client::NodeClient,
    local::{
        FleetConfig, LOCAL_SERVICE, LocalFleet, OPERATOR_KEY, PAYING_KEY, TOUR_TIME_SCALE,
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
const CALL_LIMIT: Duration = Duration::from_secs(20);
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Polls until a test gives up: about a minute.
const POLL_LIMIT: u32 = 1_200;

/// One submission as its caller saw it.
#[derive(Debug)]
struct Submission {
    effects_before: usize,
    code: String,
    scope: String,
}

struct OrderHistory {
    fleet: LocalFleet,
    log: Mutex<BTreeMap<String, Vec<Submission>>>,
}

impl OrderHistory {
    async fn start() -> Arc<Self> {
        let config = FleetConfig {
            time_scale: TOUR_TIME_SCALE,
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
        let history = Self {
            fleet,
            log: Mutex::default(),
        };
        for place in 0..NODES {
            history.await_note(place).await;
        }
        Arc::new(history)
    }

    /// Waits until the node knows the callers of the first note.
    async fn await_note(&self, place: usize) {
        for _ in 0..POLL_LIMIT {
            let path = format!("/v1/services/{LOCAL_SERVICE}/current");
            let answer = self.call(place, Method::Get, &path, None).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            smol::Timer::after(POLL_PAUSE).await;
        }
        panic!("node {place} never served a read");
    }

    async fn call(
        &self,
        place: usize,
        method: Method,
        path: &str,
        order_key: Option<&str>,
    ) -> Result<HttpResponse, CallError> {
        let address = self.fleet.callers_address(place);
        let caller = HttpClient::new(address, ClockSource::System, CALL_LIMIT);
        let mut request = caller.request("test", method, path)?;
        let bearer = format!("Bearer {PAYING_KEY}");
        caller.set_header("test", &mut request, "Authorization", &bearer)?;
        if let Some(key) = order_key {
            caller.set_header("test", &mut request, "Idempotency-Key", key)?;
            request.set_body("notice");
        }
        caller.call("test", request).await
    }

    fn effects(&self, key: &str) -> usize {
        let effects = self.fleet.service.service().effects();
        let own = effects.iter().filter(|effect| {
            let sent = effect.dedup_key.as_deref().unwrap_or_default();
            sent.rsplit('/').next() == Some(key)
        });
        own.count()
    }

    /// One seeded caller: two to four submissions, some at the same moment.
    async fn submit_all(self: Arc<Self>, seed: u64) {
        let mut dice = StdRng::seed_from_u64(seed);
        let key = format!("key-{seed}");
        let mut open: Vec<Task<()>> = Vec::new();
        for _ in 0..dice.random_range(2..5) {
            self.disturb(&mut dice);
            let place = dice.random_range(0..NODES);
            let submission = smol::spawn(Arc::clone(&self).submit(key.clone(), place));
            if dice.random_bool(0.5) {
                submission.await;
            } else {
                open.push(submission);
            }
        }
        for submission in open {
            submission.await;
        }
    }

    async fn submit(self: Arc<Self>, key: String, place: usize) {
        let path = format!("/v1/services/{LOCAL_SERVICE}/issue");
        let effects_before = self.effects(&key);
        let answer = self.call(place, Method::Post, &path, Some(&key)).await;
        let mut submission = Submission {
            effects_before,
            code: "unheard".to_owned(),
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

    /// Loses or holds one of the next messages, whosever it is, or takes the
    /// store down until another caller takes it up again.
    fn disturb(&self, dice: &mut StdRng) {
        let table = self.fleet.platform.table();
        let store = table.fault_injector();
        let desk = self.fleet.service.service().fault_injector();
        match dice.random_range(0..24) {
            0 | 1 => store.change(|faults| faults.lose_answers += 1),
            2 => store.change(|faults| faults.lose_requests += 1),
            3 => store.change(|faults| faults.hold_writes += 1),
            4 => {
                table.release_held();
            }
            5 => desk.change(|faults| faults.lose_answers += 1),
            6 => desk.change(|faults| faults.lose_requests += 1),
            7 => store.change(|faults| faults.outage = OutageKind::Cut),
            _ => store.change(|faults| faults.outage = OutageKind::None),
        }
    }

    /// The state's code once it is settled or in doubt.
    async fn end_state(&self, key: &str) -> String {
        let path = format!("/v1/orders/{LOCAL_SERVICE}/{key}");
        for _ in 0..POLL_LIMIT {
            let answer = self.call(0, Method::Get, &path, None).await.unwrap();
            let body: Value = answer.json().unwrap();
            let code = body["code"].as_str().unwrap_or_default();
            if !["order_in_progress", "order_state_unavailable"].contains(&code) {
                return code.to_owned();
            }
            smol::Timer::after(POLL_PAUSE).await;
        }
        panic!("{key} never settled");
    }

    async fn fault(&self, key: &str) -> Option<String> {
        let state = self.end_state(key).await;
        let effects = self.effects(key);
        let log = self.log.lock().unwrap();
        let told = &log[key];
        let refused = |submission: &Submission| submission.code.starts_with("order_not_run");
        let false_scope = told.iter().any(|submission| {
            refused(submission) && submission.scope == "order" && submission.effects_before > 0
        });
        let done = told
            .iter()
            .any(|submission| submission.code == "order_done");
        let not_run = state.starts_with("order_not_run") || state == "order_unrecorded";
        let wrong = effects > 1
            || false_scope
            || (effects == 0 && (done || state == "order_done"))
            || (effects == 1 && (not_run || told.iter().all(refused)));
        wrong.then(|| format!("{key}: {effects} effects, ends as {state}, {told:?}"))
    }
}

#[test]
fn histories_through_the_nodes_are_true() {
    smol::block_on(async {
        let history = OrderHistory::start().await;
        let seeds: Vec<u64> = (0..HISTORIES).collect();
        for group in seeds.chunks(HISTORIES_AT_ONCE) {
            let callers = group
                .iter()
                .map(|seed| smol::spawn(Arc::clone(&history).submit_all(*seed)));
            for caller in callers.collect::<Vec<_>>() {
                caller.await;
            }
        }
        let table = history.fleet.platform.table();
        table.fault_injector().set(InjectedFaults::default());
        let desk = history.fleet.service.service();
        desk.fault_injector().set(InjectedFaults::default());
        table.release_held();

        let mut faults = Vec::new();
        for seed in 0..HISTORIES {
            faults.extend(history.fault(&format!("key-{seed}")).await);
        }
        let mut codes = BTreeMap::new();
        for submission in history.log.lock().unwrap().values().flatten() {
            *codes.entry(submission.code.clone()).or_insert(0) += 1;
        }
        println!("{HISTORIES} histories through the nodes: {codes:?}");
        assert_eq!(faults, Vec::<String>::new());
        assert!(codes.contains_key("order_done") && codes.contains_key("order_in_doubt"));
        let history = Arc::into_inner(history).expect("all callers have ended");
        history.fleet.stop().await;
    });
}
