//! Tests that membership services find each other over UDP on loopback.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::{CancellationToken, ClockSource, PausedClock, ServiceKernel};
use membership::{GossipTopic, MemberAddresses, MemberIdentity, MemberSettings, MemberState};
use node::members::{MemberConfig, MemberService, TopicError};
use smol::{Timer, net::UdpSocket};
use stores::{HostEntry, HostKind, HostList, HostState};
use wire::{KeyRing, MacKey};

/// Maximum number of clock steps that a test waits.
const STEPS: usize = 4_000;

struct FixedList(Vec<HostEntry>);

#[async_trait]
impl HostList for FixedList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        Ok(self.0.clone())
    }
}

fn host(index: usize, address: SocketAddr) -> HostEntry {
    HostEntry {
        id: format!("node-{index}"),
        kind: HostKind::Node,
        service: String::new(),
        address: address.to_string(),
        zone: "kolkata".to_owned(),
        state: HostState::Live,
        incarnation: 1,
    }
}

fn ring(secret: &str) -> KeyRing {
    let key = MacKey {
        id: 1,
        secret: secret.as_bytes().to_vec(),
    };
    KeyRing::new(key, Vec::new())
}

fn config(index: usize, address: SocketAddr, ring: KeyRing) -> MemberConfig {
    MemberConfig {
        identity: MemberIdentity {
            node: format!("node-{index}"),
            zone: "kolkata".to_owned(),
            region: "bengal".to_owned(),
            addresses: MemberAddresses {
                datagram: address,
                peer: address,
                callers: address,
            },
            incarnation: 1,
        },
        ring,
        seeds: Vec::new(),
        settings: MemberSettings {
            seed: index as u64,
            ..MemberSettings::default()
        },
        list_period: Duration::from_secs(10),
    }
}

struct TestFleet {
    clock: Arc<PausedClock>,
    kernels: Vec<Arc<ServiceKernel>>,
    services: Vec<Arc<MemberService>>,
}

impl TestFleet {
    async fn start(rings: Vec<KeyRing>) -> Self {
        let clock = PausedClock::new();
        let mut sockets = Vec::new();
        for _ in &rings {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        }
        let hosts: Vec<_> = sockets
            .iter()
            .enumerate()
            .map(|(index, socket)| host(index, socket.local_addr().unwrap()))
            .collect();
        let list = Arc::new(FixedList(hosts));
        let mut fleet = Self {
            clock: Arc::clone(&clock),
            kernels: Vec::new(),
            services: Vec::new(),
        };
        for (index, (socket, ring)) in sockets.into_iter().zip(rings).enumerate() {
            let source = ClockSource::Paused(Arc::clone(&clock));
            let kernel = ServiceKernel::new(source, CancellationToken::new());
            let config = config(index, socket.local_addr().unwrap(), ring);
            let list: Arc<dyn HostList> = Arc::clone(&list) as _;
            let service = MemberService::start(&kernel, socket, config, list);
            fleet.kernels.push(kernel);
            fleet.services.push(service);
        }
        fleet
    }

    async fn until(&self, what: &str, done: impl Fn(&[Arc<MemberService>]) -> bool) {
        for _ in 0..STEPS {
            if done(&self.services) {
                return;
            }
            self.clock.advance(Duration::from_millis(25));
            Timer::after(Duration::from_millis(2)).await;
        }
        panic!("{what}: not reached within {STEPS} steps");
    }
}

fn state(service: &MemberService, index: usize) -> Option<MemberState> {
    let members = service.members();
    members
        .record(&format!("node-{index}"))
        .map(|record| record.state)
}

fn all_see(services: &[Arc<MemberService>], index: usize, wanted: MemberState) -> bool {
    services
        .iter()
        .all(|service| state(service, index) == Some(wanted))
}

/// Guards against a node that misses a join, a gossiped body, an announced note,
/// a leave or a death of another node.
#[test]
fn membership_events_and_topic_bodies_reach_all_nodes() {
    smol::block_on(async {
        let fleet = TestFleet::start(vec![ring("one"); 4]).await;
        let joined = |services: &[Arc<MemberService>]| {
            (0..4).all(|index| all_see(services, index, MemberState::Alive))
        };
        fleet.until("join", joined).await;

        let bodies = fleet.services[2].subscribe(GossipTopic::NodeSummary);
        let published = fleet.services[0]
            .publish(GossipTopic::NodeSummary, b"load".to_vec())
            .await;
        assert_eq!(published, Ok(()));
        fleet.until("body", |_| !bodies.is_empty()).await;
        let body = bodies.recv().await.unwrap();
        assert_eq!(
            (body.origin.as_str(), body.body.as_slice()),
            ("node-0", &b"load"[..])
        );

        let notes = fleet.services[3].subscribe_notes();
        fleet.services[1].note_in_force(7).await;
        fleet.until("note", |_| !notes.is_empty()).await;
        assert_eq!(notes.recv().await.unwrap().version, 7);

        fleet.services[1].leave().await;
        let leaving = |services: &[Arc<MemberService>]| all_see(services, 1, MemberState::Leaving);
        fleet.until("leaving", leaving).await;

        fleet.kernels[3].stop(Duration::from_secs(1)).await;
        let dead = |services: &[Arc<MemberService>]| all_see(&services[..3], 3, MemberState::Dead);
        fleet.until("dead", dead).await;
    });
}

/// Guards against a node of another cluster that joins: it signs with another
/// secret under the same key id.
#[test]
fn a_node_with_another_key_is_dropped_and_counted() {
    smol::block_on(async {
        let rings = vec![ring("one"), ring("one"), ring("two")];
        let fleet = TestFleet::start(rings).await;
        let done = |services: &[Arc<MemberService>]| {
            let forged = &services[0].counters().forged;
            state(&services[0], 1) == Some(MemberState::Alive) && forged.load(Ordering::Relaxed) > 0
        };
        fleet.until("forged datagrams", done).await;
        assert_eq!(state(&fleet.services[0], 2), None);
        assert_eq!(state(&fleet.services[2], 0), None);
    });
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    smol::block_on(async {
        let fleet = TestFleet::start(vec![ring("one")]).await;
        let published = fleet.services[0]
            .publish(GossipTopic::NodeSummary, vec![0; 1_001])
            .await;
        assert!(matches!(
            published,
            Err(TopicError::TooLong { bytes: 1_001, .. })
        ));
    });
}
