//! Tests of the orders service: answers, settlement by hand, retention, and
//! that the HTTP client never repeats an order.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::support::{FaultSimulation, SimulatedNode, drive_clock};
use kernel::{CancellationToken, ClockSource, PausedClock};
use node::orders::{
    OrderRequest, OrderService, OrderSettings, ReadOutcome, ReadSettings, ServicePeer,
    ServiceTarget,
};
use notes::ServiceGuarantee;
use orders::{
    ManualSettleError, OrderName, OrderOutcome, OrderVerdict, RETENTION, RefusalCause, StatusReply,
};
use smol::Task;
use stores::{ReadMode, TableService};
use upstream::{HttpService, PlainService};

struct Fixture {
    clock: Arc<PausedClock>,
    simulation: Arc<FaultSimulation>,
    orders: Arc<OrderService>,
    stop: CancellationToken,
    _clock_task: Task<()>,
}

fn target(clients: Vec<Arc<dyn PlainService>>) -> ServiceTarget {
    let peers = clients.into_iter().enumerate();
    ServiceTarget {
        guarantee: ServiceGuarantee::None,
        timeout: Duration::from_secs(5),
        peers: peers
            .map(|(index, client)| ServicePeer {
                id: format!("desk-{index}"),
                client,
            })
            .collect(),
    }
}

impl Fixture {
    fn new(client: Option<Arc<dyn PlainService>>) -> Self {
        let clock = PausedClock::new();
        let source = ClockSource::Paused(Arc::clone(&clock));
        let simulation = FaultSimulation::new(source.clone(), 1, false);
        simulation.faults_enabled.store(false, Ordering::Relaxed);
        let access = SimulatedNode::new(&simulation, false);
        let client = client.unwrap_or_else(|| Arc::clone(&access) as _);
        let found = target(vec![client]);
        let orders = OrderService::new(
            OrderSettings::new("node-1".to_owned()),
            access,
            Arc::new(move |service| (service == "notices").then(|| found.clone())),
            source,
            CancellationToken::new(),
        );
        let stop = CancellationToken::new();
        smol::spawn(Arc::clone(&orders).run(stop.clone())).detach();
        Self {
            _clock_task: drive_clock(Arc::clone(&clock)),
            clock,
            simulation,
            orders,
            stop,
        }
    }

    fn run_count(&self) -> usize {
        self.simulation.arrivals.lock().unwrap().len()
    }

    async fn submit(&self, organisation: &str, key: &str, body: &str) -> OrderOutcome {
        self.orders.submit(request(organisation, key, body)).await
    }

    async fn sleep(&self, time: Duration) {
        self.simulation.clock.sleep(time).await;
    }

    async fn row_count(&self, table: &str) -> usize {
        let rows = self
            .simulation
            .table
            .scan(table, "", None, 100, ReadMode::Latest);
        rows.await.unwrap().len()
    }
}

fn name(organisation: &str, key: &str) -> OrderName {
    OrderName {
        organisation: organisation.to_owned(),
        service: "notices".to_owned(),
        key: key.to_owned(),
    }
}

fn request(organisation: &str, key: &str, body: &str) -> OrderRequest {
    OrderRequest {
        name: name(organisation, key),
        path: "issue".to_owned(),
        content_type: "text/plain".to_owned(),
        body: body.to_owned(),
        deadline_in: Duration::from_secs(20),
        traceparent: String::new(),
    }
}

/// Starts a service that reads one whole order on each connection and closes it
/// without an answer; the task returns the number of orders read.
fn hang_up_server() -> (String, Task<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let served = smol::unblock(move || {
        let mut orders = 0;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut text = Vec::new();
            let mut buffer = [0; 1024];
            while !text.ends_with(b"notice") && !text.ends_with(b"stop") {
                let count = stream.read(&mut buffer).unwrap();
                text.extend_from_slice(&buffer[..count]);
            }
            if text.ends_with(b"stop") {
                stream.write_all(b"ok").ok();
                return orders;
            }
            orders += 1;
        }
        orders
    });
    (address, served)
}

#[test]
fn a_resend_gets_the_recorded_answer_and_another_body_a_conflict() {
    smol::block_on(async {
        let fixture = Fixture::new(None);
        let first = fixture.submit("ash", "a/1", "notice").await;
        let again = fixture.submit("ash", "a/1", "notice").await;
        let changed = fixture.submit("ash", "a/1", "another notice").await;
        assert_eq!((first.status(), first.code()), (201, "order_done"));
        assert!(matches!(again, OrderOutcome::Done { replayed: true, .. }));
        assert_eq!(changed.code(), "order_key_conflict");
        assert_eq!(fixture.run_count(), 1);

        let other = fixture.submit("mast", "a/1", "notice").await;
        assert_eq!(other.code(), "order_done");
        assert_eq!(fixture.run_count(), 2);
        let listed = fixture.orders.list(&"ash".to_owned(), None, 10).await;
        assert_eq!(listed.unwrap()[0].name, name("ash", "a/1"));
        fixture.stop.cancel();
    });
}

#[test]
fn orders_are_refused_while_the_store_is_down_and_without_calls_once_the_breaker_opens() {
    smol::block_on(async {
        let fixture = Fixture::new(None);
        fixture.simulation.store_down.store(true, Ordering::Relaxed);
        for number in 0..8 {
            let key = format!("key-{number}");
            let outcome = fixture.submit("ash", &key, "notice").await;
            assert_eq!(outcome.code(), "order_not_run_store_unavailable");
        }
        let calls = fixture.orders.store_calls();
        let outcome = fixture.submit("ash", "key-9", "notice").await;
        assert_eq!(outcome.status(), 503);
        assert_eq!(fixture.orders.store_calls()[1], calls[1]);
        assert_eq!(fixture.run_count(), 0);

        fixture
            .simulation
            .store_down
            .store(false, Ordering::Relaxed);
        fixture.sleep(Duration::from_mins(1)).await;
        assert_eq!(fixture.orders.open_count(), 0);
        let outcome = fixture.submit("ash", "key-0", "notice").await;
        assert_eq!(outcome.code(), "order_done");
        fixture.stop.cancel();
    });
}

/// Guards against a client that silently resends an order when the service
/// closes the connection without an answer.
#[test]
fn the_http_client_does_not_repeat_an_order() {
    smol::block_on(async {
        let (address, served) = hang_up_server();
        let limit = Duration::from_mins(1);
        let client = HttpService::new(address.clone(), ClockSource::System, limit);
        let fixture = Fixture::new(Some(Arc::new(client)));
        let outcome = fixture.submit("ash", "key", "notice").await;
        assert_eq!(outcome.code(), "order_in_doubt");
        let again = fixture.submit("ash", "key", "notice").await;
        assert_eq!(again.code(), "order_in_doubt");

        let mut stop = std::net::TcpStream::connect(&address).unwrap();
        stop.write_all(b"stop").unwrap();
        assert_eq!(served.await, 1);
        fixture.stop.cancel();
    });
}

#[test]
fn an_order_in_doubt_is_listed_and_settled_by_hand() {
    smol::block_on(async {
        let (address, served) = hang_up_server();
        let limit = Duration::from_mins(1);
        let client = HttpService::new(address.clone(), ClockSource::System, limit);
        let fixture = Fixture::new(Some(Arc::new(client)));
        let order = name("ash", "key");
        fixture.submit("ash", "key", "notice").await;
        let listed = fixture.orders.list_in_doubt(None, 10).await.unwrap();
        assert_eq!(listed.len(), 1);
        assert_eq!(listed[0].name, order);

        let verdict = OrderVerdict::NotRun {
            cause: RefusalCause::SettledByHand,
        };
        assert_eq!(fixture.orders.settle(&order, &verdict).await, Ok(()));
        let again = fixture.orders.settle(&order, &verdict).await;
        assert_eq!(again, Err(ManualSettleError::NotInDoubt));
        let listed = fixture.orders.list_in_doubt(None, 10).await.unwrap();
        assert_eq!(listed, []);
        let state = fixture.orders.state(&order).await;
        assert_eq!(state.code(), "order_not_run_settled_by_hand");
        drop(served);
        fixture.stop.cancel();
    });
}

#[test]
fn keys_are_kept_for_the_retention_and_then_deleted() {
    smol::block_on(async {
        let fixture = Fixture::new(None);
        fixture.submit("ash", "key", "notice").await;
        fixture
            .clock
            .advance(RETENTION.saturating_sub(Duration::from_mins(30)));
        fixture.sleep(Duration::from_mins(5)).await;
        assert_eq!(fixture.row_count("orders").await, 1);

        fixture.sleep(Duration::from_mins(30)).await;
        assert_eq!(fixture.row_count("orders").await, 0);
        assert_eq!(fixture.row_count("order-claims").await, 0);
        let state = fixture.orders.state(&name("ash", "key")).await;
        assert_eq!(state, StatusReply::Unrecorded);
        fixture.stop.cancel();
    });
}

#[test]
fn a_drain_refuses_new_orders_and_waits_for_those_in_flight() {
    smol::block_on(async {
        let fixture = Fixture::new(None);
        let orders = Arc::clone(&fixture.orders);
        let in_flight = smol::spawn(async move {
            let order = request("ash", "key", "notice");
            orders.submit(order).await
        });
        while fixture.orders.open_count() == 0 {
            smol::future::yield_now().await;
        }
        assert_eq!(fixture.orders.drain(Duration::from_mins(1)).await, 0);
        assert_eq!(in_flight.await.code(), "order_done");
        let refused = fixture.submit("ash", "other", "notice").await;
        assert_eq!(refused.code(), "order_not_run_draining");
        fixture.stop.cancel();
    });
}

#[test]
fn reads_skip_a_failing_process_once_its_breaker_opens() {
    smol::block_on(async {
        let fixture = Fixture::new(None);
        let settings = ReadSettings {
            deadline_in: Duration::from_secs(1),
            traceparent: String::new(),
        };
        let mut refused = 0;
        for _ in 0..10 {
            let outcome = fixture.orders.read("notices", "status", &settings).await;
            refused += usize::from(outcome == ReadOutcome::NoPeer);
        }
        assert_eq!(refused, 5);
        let unknown = fixture.orders.read("other", "status", &settings).await;
        assert_eq!(unknown, ReadOutcome::ServiceUnknown);
        fixture.stop.cancel();
    });
}
