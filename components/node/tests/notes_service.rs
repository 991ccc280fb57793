//! Tests that nodes adopt a note everywhere, and join while the store is down.

mod support;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::{CancellationToken, ClockSource, PausedClock, ServiceKernel};
use membership::{MemberAddresses, MemberIdentity, MemberRecord, MemberSettings};
use node::{
    members::{MemberConfig, MemberService},
    notes::{NoteFetchError, NoteFetcher, NoteService, NoteStore, PublishOptions, PublishOutcome},
};
use notes::{AdopterSettings, NoteDocument, NotesReply, NotesRequest, VersionGate, parse_document};
use smol::{Timer, net::UdpSocket};
use stores::{HostEntry, HostList, ObjectStore, TableService};
use support::FakePlatform;
use types::NodeId;
use wire::{KeyRing, MacKey};

/// Maximum number of clock steps that a test waits.
const STEPS: usize = 4_000;

/// Fetches notes from other nodes' services in the same process.
#[derive(Default)]
struct DirectPeers {
    services: Mutex<BTreeMap<NodeId, Arc<NoteService>>>,
}

#[async_trait]
impl NoteFetcher for DirectPeers {
    async fn fetch(
        &self,
        peer: &MemberRecord,
        request: NotesRequest,
    ) -> Result<NotesReply, NoteFetchError> {
        let service = self.services.lock().unwrap().get(&peer.node).cloned();
        let service = service.ok_or_else(|| NoteFetchError {
            step: "fetch notes".to_owned(),
            peer: peer.node.clone(),
            cause: "stopped".to_owned(),
        })?;
        Ok(service.reply(&request))
    }
}

struct NoHosts;

#[async_trait]
impl HostList for NoHosts {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        Ok(Vec::new())
    }
}

struct TestNode {
    kernel: Arc<ServiceKernel>,
    members: Arc<MemberService>,
    notes: Arc<NoteService>,
}

struct TestFleet {
    clock: Arc<PausedClock>,
    platform: Arc<FakePlatform>,
    peers: Arc<DirectPeers>,
    nodes: Vec<TestNode>,
    seeds: Vec<std::net::SocketAddr>,
}

impl TestFleet {
    async fn start(count: usize) -> Self {
        let mut fleet = Self {
            clock: PausedClock::new(),
            platform: FakePlatform::new(6, 0.0),
            peers: Arc::default(),
            nodes: Vec::new(),
            seeds: Vec::new(),
        };
        for _ in 0..count {
            fleet.add().await;
        }
        fleet
    }

    async fn add(&mut self) {
        let index = self.nodes.len();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let key = MacKey {
            id: 1,
            secret: b"of the test fleet".to_vec(),
        };
        let name = format!("node-{index}");
        let config = MemberConfig {
            identity: MemberIdentity {
                node: name.clone(),
                zone: "duluth".to_owned(),
                region: "lakes".to_owned(),
                addresses: MemberAddresses {
                    datagram: address,
                    peer: address,
                    callers: address,
                },
                incarnation: 1,
            },
            ring: KeyRing::new(key, Vec::new()),
            seeds: self.seeds.clone(),
            settings: MemberSettings {
                seed: index as u64,
                ..MemberSettings::default()
            },
            list_period: Duration::from_secs(10),
        };
        self.seeds.push(address);
        let clock = ClockSource::Paused(Arc::clone(&self.clock));
        let kernel = ServiceKernel::new(clock, CancellationToken::new());
        let members = MemberService::start(&kernel, socket, config, Arc::new(NoHosts));
        let table: Arc<dyn TableService> = Arc::clone(&self.platform) as _;
        let objects: Arc<dyn ObjectStore> = Arc::clone(&self.platform) as _;
        let notes = NoteService::start(
            &kernel,
            AdopterSettings::default(),
            NoteStore::new(table, objects),
            Arc::clone(&members),
            Arc::clone(&self.peers) as _,
        );
        let mut services = self.peers.services.lock().unwrap();
        services.insert(name, Arc::clone(&notes));
        drop(services);
        self.nodes.push(TestNode {
            kernel,
            members,
            notes,
        });
    }

    async fn until(&self, what: &str, done: impl Fn(&[TestNode]) -> bool) {
        for _ in 0..STEPS {
            if done(&self.nodes) {
                return;
            }
            self.advance(Duration::from_millis(25)).await;
        }
        panic!("{what}: not reached within {STEPS} steps");
    }

    /// Publishes repeatedly, while the clock advances, until the note is accepted.
    async fn publish_until_accepted(&self, node: usize, name: &str) {
        let document = model_note(name);
        let options = PublishOptions::default();
        let work = async {
            loop {
                let outcome = self.nodes[node].notes.publish(&document, &options).await;
                let known = [
                    matches!(outcome, Ok(PublishOutcome::Accepted(_))),
                    matches!(outcome, Ok(PublishOutcome::AlreadyPublished { .. })),
                ];
                if known.contains(&true) {
                    return;
                }
            }
        };
        let time = async {
            loop {
                self.advance(Duration::from_millis(25)).await;
            }
        };
        smol::future::or(work, time).await;
    }

    async fn advance(&self, step: Duration) {
        self.clock.advance(step);
        Timer::after(Duration::from_millis(2)).await;
    }
}

fn model_note(name: &str) -> NoteDocument {
    parse_document(&format!(
        r#"{{"added": {{"models": {{"{name}": {{"version": "1", "context_tokens": 1000}}}}}}}}"#
    ))
    .unwrap()
}

fn all_serve(nodes: &[TestNode], version: u64) -> bool {
    nodes.iter().all(|node| {
        node.notes.current().version == version && node.notes.gate(version) == VersionGate::Serve
    })
}

fn joined(nodes: &[TestNode], count: usize) -> bool {
    nodes
        .iter()
        .all(|node| node.members.members().serving().count() == count)
}

async fn accepted(node: &TestNode, name: &str) -> bool {
    let options = PublishOptions::default();
    let outcome = node.notes.publish(&model_note(name), &options).await;
    matches!(outcome, Ok(PublishOutcome::Accepted(_)))
}

#[test]
fn a_note_comes_into_force_everywhere_and_status_shows_it() {
    smol::block_on(async {
        let fleet = TestFleet::start(3).await;
        fleet.until("join", |nodes| joined(nodes, 3)).await;
        fleet.until("ready", |nodes| all_serve(nodes, 0)).await;
        assert!(accepted(&fleet.nodes[1], "a").await);
        assert_eq!(fleet.nodes[1].notes.current().version, 1);
        // A caller that was served under version 1 must wait on a node at 0.
        let other = &fleet.nodes[0].notes;
        if other.current().version == 0 {
            assert_eq!(other.gate(1), VersionGate::Await(1));
        }
        fleet.until("in force", |nodes| all_serve(nodes, 1)).await;
        let shown = |nodes: &[TestNode]| {
            let status = nodes[2].notes.status();
            status.len() == 3
                && status
                    .iter()
                    .all(|node| node.in_force == 1 && node.behind == 0)
        };
        fleet.until("status", shown).await;
        assert_eq!(fleet.nodes[0].notes.history(0, 10).await.unwrap().len(), 1);
        assert_eq!(fleet.nodes[0].notes.diff(0, 1).await.unwrap().len(), 1);
    });
}

/// Guards against a new node that can't serve during an outage of the store,
/// although its peers have the notes.
#[test]
fn a_node_joins_from_its_peers_while_the_store_is_down() {
    smol::block_on(async {
        let mut fleet = TestFleet::start(2).await;
        fleet.until("join", |nodes| joined(nodes, 2)).await;
        fleet.until("ready", |nodes| all_serve(nodes, 0)).await;
        assert!(accepted(&fleet.nodes[0], "a").await);
        fleet.until("in force", |nodes| all_serve(nodes, 1)).await;
        fleet.platform.set_down(true);
        fleet.add().await;
        fleet.until("new node", |nodes| all_serve(nodes, 1)).await;
        assert!(!accepted(&fleet.nodes[2], "b").await);
        fleet.platform.set_down(false);
        assert!(accepted(&fleet.nodes[2], "b").await);
        fleet.until("in force", |nodes| all_serve(nodes, 2)).await;
    });
}

/// Guards against a note that is lost or accepted twice when the store fails or
/// answers are lost, and publishers try again.
#[test]
fn notes_come_into_force_while_answers_of_the_store_are_lost() {
    smol::block_on(async {
        let fleet = TestFleet::start(3).await;
        fleet.until("join", |nodes| joined(nodes, 3)).await;
        fleet.until("ready", |nodes| all_serve(nodes, 0)).await;
        fleet.platform.set_fault_rate(0.3);
        for number in 1..=6 {
            let node = usize::try_from(number % 3).unwrap();
            fleet
                .publish_until_accepted(node, &format!("model-{number}"))
                .await;
        }
        fleet.until("in force", |nodes| all_serve(nodes, 6)).await;
        fleet.platform.heal();
        fleet.platform.lose_next_answer();
        fleet.publish_until_accepted(0, "model-7").await;
        fleet.until("in force", |nodes| all_serve(nodes, 7)).await;
        assert_eq!(fleet.nodes[0].notes.history(0, 10).await.unwrap().len(), 7);
    });
}

/// Guards against nodes that serve an empty state: when all restart while the
/// store is down, no peer has the notes and no request may be served.
#[test]
fn nodes_that_all_restart_while_the_store_is_down_wait_for_it() {
    smol::block_on(async {
        let mut fleet = TestFleet::start(2).await;
        fleet.until("join", |nodes| joined(nodes, 2)).await;
        fleet.until("ready", |nodes| all_serve(nodes, 0)).await;
        assert!(accepted(&fleet.nodes[0], "a").await);
        fleet.until("in force", |nodes| all_serve(nodes, 1)).await;
        fleet.platform.set_down(true);
        for node in fleet.nodes.drain(..) {
            node.kernel.stop(Duration::from_secs(1)).await;
        }
        fleet.peers.services.lock().unwrap().clear();
        fleet.seeds.clear();
        fleet.add().await;
        fleet.add().await;
        for _ in 0..400 {
            fleet.advance(Duration::from_millis(100)).await;
            let gate = |node: &TestNode| node.notes.gate(0);
            assert!(
                fleet
                    .nodes
                    .iter()
                    .all(|node| gate(node) == VersionGate::NotReady)
            );
        }
        fleet.platform.set_down(false);
        fleet.until("store back", |nodes| all_serve(nodes, 1)).await;
    });
}
