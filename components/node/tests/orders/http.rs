//! Runs order histories over HTTP: three orders services in this process, and
//! the platform and a plain service without deduplication on loopback ports.
//! Messages to both of them get lost or delayed.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource};
use node::orders::{OrderRequest, OrderService, OrderSettings, ServicePeer, ServiceTarget};
use notes::ServiceGuarantee;
use orders::{OrderName, OrderOutcome, RefusalScope, StatusReply};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use smol::Task;
use standins::{PlatformServer, PlatformSettings, ServiceServer, ServiceSettings};
use stores::{HttpTable, fakes::InjectedFaults};
use upstream::HttpService;

const HISTORIES: u64 = 200;
const HISTORIES_AT_ONCE: usize = 25;
const NODES: usize = 3;
const CALL_LIMIT: Duration = Duration::from_secs(1);

struct HttpFixture {
    platform: Arc<PlatformServer>,
    server: Arc<ServiceServer>,
    nodes: Vec<Arc<OrderService>>,
    stop: CancellationToken,
    /// By key: the number of effects before each submission, and its outcome.
    log: Mutex<BTreeMap<String, Vec<(usize, OrderOutcome)>>>,
}

impl HttpFixture {
    async fn start() -> Arc<Self> {
        let clock = ClockSource::System;
        let stop = CancellationToken::new();
        let any_port = "127.0.0.1:0";
        let settings = PlatformSettings::default();
        let platform = PlatformServer::bind(any_port, settings, clock.clone());
        let platform = platform.await.unwrap();
        let settings = ServiceSettings::default();
        let server = ServiceServer::bind(any_port, settings, clock);
        let server = server.await.unwrap();
        smol::spawn(Arc::clone(&platform).run(stop.clone())).detach();
        smol::spawn(Arc::clone(&server).run(stop.clone())).detach();
        let nodes = (0..NODES).map(|index| start_node(index, &platform, &server, &stop));
        Arc::new(Self {
            nodes: nodes.collect(),
            platform,
            server,
            stop,
            log: Mutex::default(),
        })
    }

    fn effects(&self, key: &str) -> usize {
        let dedup_key = name(key).dedup_key();
        let effects = self.server.service().effects();
        let own = effects
            .iter()
            .filter(|effect| effect.dedup_key.as_ref() == Some(&dedup_key));
        own.count()
    }

    /// Runs one seeded caller: two to four submissions, some concurrent.
    async fn call(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let key = format!("key-{seed}");
        let mut open: Vec<Task<()>> = Vec::new();
        for _ in 0..rng.random_range(2..5) {
            self.inject_fault(&mut rng);
            let node_index = rng.random_range(0..NODES);
            let submission = smol::spawn(Arc::clone(&self).submit(key.clone(), node_index));
            if rng.random_bool(0.5) {
                submission.await;
            } else {
                open.push(submission);
            }
        }
        for submission in open {
            submission.await;
        }
    }

    /// Loses or delays one of the next messages, of whichever caller.
    fn inject_fault(&self, rng: &mut StdRng) {
        let store = self.platform.table().fault_injector();
        let switch = self.server.service().fault_injector();
        match rng.random_range(0..20) {
            0 | 1 => store.change(|faults| faults.lose_answers += 1),
            2 => store.change(|faults| faults.lose_requests += 1),
            3 => store.change(|faults| faults.hold_writes += 1),
            4 => {
                self.platform.table().release_held();
            }
            5 => switch.change(|faults| faults.lose_answers += 1),
            6 => switch.change(|faults| faults.lose_requests += 1),
            _ => {}
        }
    }

    async fn submit(self: Arc<Self>, key: String, node_index: usize) {
        let request = OrderRequest {
            name: name(&key),
            path: "issue".to_owned(),
            content_type: "text/plain".to_owned(),
            body: "notice".to_owned(),
            deadline_in: Duration::from_secs(20),
            traceparent: String::new(),
        };
        let before = self.effects(&key);
        let outcome = self.nodes[node_index].submit(request).await;
        let mut log = self.log.lock().unwrap();
        log.entry(key).or_default().push((before, outcome));
    }

    async fn violation(&self, key: &str) -> Option<String> {
        let effects = self.effects(key);
        let state = self.nodes[0].state(&name(key)).await;
        let log = self.log.lock().unwrap();
        let submissions = &log[key];
        let is_done = |(_, outcome): &(_, _)| matches!(outcome, OrderOutcome::Done { .. });
        let is_refused = |(_, outcome): &(_, _)| matches!(outcome, OrderOutcome::Refused { .. });
        let false_order = submissions.iter().any(|(before, outcome)| match outcome {
            OrderOutcome::Refused { scope, .. } => *scope == RefusalScope::Order && *before > 0,
            _ => false,
        });
        let state_not_run = match &state {
            StatusReply::Known { outcome } => matches!(outcome, OrderOutcome::Refused { .. }),
            StatusReply::Unrecorded => true,
            StatusReply::StoreUnavailable => return Some(format!("{key} can't be read")),
        };
        let wrong = effects > 1
            || false_order
            || (effects == 0 && submissions.iter().any(is_done))
            || (effects == 1 && (submissions.iter().all(is_refused) || state_not_run));
        wrong.then(|| format!("{key}: {effects} effects, {state:?}, {submissions:?}"))
    }
}

fn start_node(
    index: usize,
    platform: &PlatformServer,
    server: &ServiceServer,
    stop: &CancellationToken,
) -> Arc<OrderService> {
    let clock = ClockSource::System;
    let address = platform.address().to_owned();
    let table = HttpTable::new(address, clock.clone(), CALL_LIMIT);
    let client = HttpService::new(server.address().to_owned(), clock.clone(), CALL_LIMIT);
    let target = ServiceTarget {
        guarantee: ServiceGuarantee::None,
        timeout: CALL_LIMIT,
        peers: vec![ServicePeer {
            id: "desk-1".to_owned(),
            client: Arc::new(client),
        }],
    };
    let orders = OrderService::new(
        OrderSettings::new(format!("node-{index}")),
        Arc::new(table),
        Arc::new(move |_| Some(target.clone())),
        clock,
        CancellationToken::new(),
    );
    smol::spawn(Arc::clone(&orders).run(stop.clone())).detach();
    orders
}

fn name(key: &str) -> OrderName {
    OrderName {
        organisation: "ash".to_owned(),
        service: "notices".to_owned(),
        key: key.to_owned(),
    }
}

/// Guards against answers that contradict the service's effects when HTTP
/// messages from the nodes to the store or the service are lost or delayed.
#[test]
fn answers_over_http_match_effects() {
    smol::block_on(async {
        let fixture = HttpFixture::start().await;
        let seeds: Vec<u64> = (0..HISTORIES).collect();
        for group in seeds.chunks(HISTORIES_AT_ONCE) {
            let calls = group
                .iter()
                .map(|seed| smol::spawn(Arc::clone(&fixture).call(*seed)));
            for call in calls.collect::<Vec<_>>() {
                call.await;
            }
        }
        fixture
            .platform
            .table()
            .fault_injector()
            .set(InjectedFaults::default());
        fixture
            .server
            .service()
            .fault_injector()
            .set(InjectedFaults::default());
        fixture.platform.table().release_held();
        for node in &fixture.nodes {
            assert_eq!(node.drain(Duration::from_mins(2)).await, 0);
        }
        let mut violations = Vec::new();
        for seed in 0..HISTORIES {
            violations.extend(fixture.violation(&format!("key-{seed}")).await);
        }
        assert_eq!(violations, Vec::<String>::new());
        let mut codes = BTreeMap::new();
        for (_, outcome) in fixture.log.lock().unwrap().values().flatten() {
            *codes.entry(outcome.code()).or_insert(0) += 1;
        }
        println!("{HISTORIES} histories over HTTP: {codes:?}");
        assert!(codes.contains_key("order_done") && codes.contains_key("order_in_doubt"));
        fixture.stop.cancel();
    });
}
