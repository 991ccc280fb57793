//! Simulated network of membership protocols in virtual time, with loss, delay,
//! duplication, partitions and signed datagrams.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    MemberAction, MemberAddresses, MemberEvent, MemberIdentity, MemberSettings, MemberState,
    MembershipProtocol, PeerMessage, TopicRecord,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::NodeId;
use wire::{DatagramError, DatagramSigner, DatagramVerifier, KeyRing, MacKey};

/// Bytes of the IPv4 and UDP headers of a datagram.
const IP_UDP_BYTES: usize = 28;

/// Faults and delays that the network applies to datagrams.
#[derive(Clone, Debug)]
pub struct NetworkFaults {
    pub loss_rate: f64,
    pub duplication_rate: f64,
    pub min_delay: Duration,
    pub max_delay: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss_rate: 0.0,
            duplication_rate: 0.0,
            min_delay: Duration::from_micros(500),
            max_delay: Duration::from_millis(3),
        }
    }
}

impl SimulatedNode {
    pub fn zone(&self) -> &str {
        &self.zone
    }
}

pub struct SimulatedNode {
    pub name: NodeId,
    pub protocol: MembershipProtocol,
    pub changes: Vec<(Duration, NodeId, MemberState)>,
    pub topic_updates: Vec<TopicRecord>,
    pub adopted_notes: Vec<(Duration, u64)>,
    pub sent_bytes: usize,
    pub received_bytes: usize,
    pub running: bool,
    pub paused: bool,
    pub partition: u32,
    pub processing_time: Duration,
    /// Offset of this node's clock from the network's time.
    clock_offset: Duration,
    signer: DatagramSigner,
    verifier: DatagramVerifier,
    address: SocketAddr,
    zone: String,
    backlog: Vec<(SocketAddr, Vec<u8>)>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct QueuedEvent {
    at: Instant,
    sequence: u64,
    event: NetworkEvent,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum NetworkEvent {
    Tick(usize),
    AdoptNote(usize, u64),
    Datagram {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
}

pub struct SimulatedNetwork {
    pub nodes: Vec<SimulatedNode>,
    pub faults: NetworkFaults,
    pub settings: MemberSettings,
    start: Instant,
    now: Instant,
    sequence: u64,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    by_address: BTreeMap<SocketAddr, usize>,
    rng: StdRng,
    zones: usize,
}

impl SimulatedNetwork {
    /// Creates `count` nodes in `zones` zones, with nodes 0 and 1 as their seeds.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut network = Self {
            nodes: Vec::new(),
            faults: NetworkFaults::default(),
            settings: MemberSettings::default(),
            start: now,
            now,
            sequence: 0,
            queue: BinaryHeap::new(),
            by_address: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            zones,
        };
        for index in 0..count {
            network.start_node(index, 1_000);
        }
        network
    }

    /// Starts a process of node `index` and replaces an earlier one.
    pub fn start_node(&mut self, index: usize, incarnation: u64) {
        let clock_offset = Duration::from_millis(self.rng.random_range(0..100_000));
        let node = self.new_node(index, incarnation, clock_offset);
        self.by_address.insert(node.address, index);
        if index < self.nodes.len() {
            self.nodes[index] = node;
            return;
        }
        self.nodes.push(node);
        let delay = Duration::from_millis(self.rng.random_range(0..50));
        self.schedule(delay, NetworkEvent::Tick(index));
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.process_event(next.event);
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `done` holds or `limit` has passed; returns the
    /// time that it took, or `None` at the limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.elapsed();
        while self.elapsed() < begin + limit {
            if done(self) {
                return Some(self.elapsed().saturating_sub(begin));
            }
            self.run(Duration::from_millis(10));
        }
        done(self).then(|| self.elapsed().saturating_sub(begin))
    }

    /// Returns the time on the clock of node `index`.
    pub fn local_time(&self, index: usize) -> Instant {
        self.now + self.nodes[index].clock_offset
    }

    pub fn handle(&mut self, index: usize, event: MemberEvent) {
        let now = self.local_time(index);
        let node = &mut self.nodes[index];
        let started_at = Instant::now();
        let actions = node.protocol.handle(now, event);
        node.processing_time += started_at.elapsed();
        for action in actions {
            self.apply_action(index, action);
        }
    }

    /// Drops the datagrams queued for a paused node, as a full socket buffer does.
    pub fn drop_backlog(&mut self, index: usize) {
        self.nodes[index].backlog.clear();
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[index].backlog) {
            self.receive(index, from, &bytes);
        }
    }

    /// Returns the state of node `member` in the table of node `observer`.
    pub fn state(&self, observer: usize, member: usize) -> Option<MemberState> {
        let entry = self.nodes[observer]
            .protocol
            .table()
            .get(&self.nodes[member].name)?;
        Some(entry.record.state)
    }

    /// Returns whether every other running node sees node `member` in `state`.
    pub fn all_see(&self, member: usize, state: MemberState) -> bool {
        self.running()
            .filter(|observer| *observer != member)
            .all(|observer| self.state(observer, member) == Some(state))
    }

    pub fn converged(&self) -> bool {
        self.running()
            .all(|member| self.all_see(member, MemberState::Alive))
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.running)
            .map(|(index, _)| index)
    }

    fn new_node(&self, index: usize, incarnation: u64, clock_offset: Duration) -> SimulatedNode {
        let name = format!("node-{index}");
        let zone = format!("zone-{}", index % self.zones);
        let address = address_of(index);
        let identity = MemberIdentity {
            node: name.clone(),
            zone: zone.clone(),
            region: "region-1".to_owned(),
            addresses: MemberAddresses {
                datagram: address,
                peer: address,
                callers: address,
            },
            incarnation,
        };
        let settings = MemberSettings {
            seed: index as u64,
            ..self.settings.clone()
        };
        let seeds = vec![address_of(0), address_of(1)];
        SimulatedNode {
            protocol: MembershipProtocol::new(self.now + clock_offset, identity, seeds, settings),
            name: name.clone(),
            changes: Vec::new(),
            topic_updates: Vec::new(),
            adopted_notes: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
            running: true,
            paused: false,
            partition: 0,
            processing_time: Duration::ZERO,
            clock_offset,
            signer: DatagramSigner::new(ring(), name.clone(), incarnation),
            verifier: DatagramVerifier::new(ring(), name),
            address,
            zone,
            backlog: Vec::new(),
        }
    }

    pub fn zone(&self, index: usize) -> &str {
        self.nodes[index].zone()
    }

    fn schedule(&mut self, delay: Duration, event: NetworkEvent) {
        self.sequence += 1;
        let event = QueuedEvent {
            at: self.now + delay,
            sequence: self.sequence,
            event,
        };
        self.queue.push(Reverse(event));
    }

    fn process_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Tick(index) => {
                let node = &self.nodes[index];
                if node.running && !node.paused {
                    self.handle(index, MemberEvent::Tick);
                }
                self.schedule(self.settings.tick_interval, NetworkEvent::Tick(index));
            }
            NetworkEvent::AdoptNote(index, version) => {
                let elapsed = self.elapsed();
                self.nodes[index].adopted_notes.push((elapsed, version));
                self.handle(index, MemberEvent::NoteInForce(version));
            }
            NetworkEvent::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let sender = self.by_address[&from];
        let Some(&index) = self.by_address.get(&to) else {
            return;
        };
        if !self.nodes[index].running || self.nodes[index].partition != self.nodes[sender].partition
        {
            return;
        }
        if self.nodes[index].paused {
            self.nodes[index].backlog.push((from, bytes));
            return;
        }
        self.receive(index, from, &bytes);
    }

    fn receive(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let node = &mut self.nodes[index];
        node.received_bytes += bytes.len() + IP_UDP_BYTES;
        let started_at = Instant::now();
        let outcome = node.verifier.verify(bytes);
        node.processing_time += started_at.elapsed();
        match outcome {
            Ok(datagram) => {
                let message: PeerMessage = postcard::from_bytes(&datagram.body).unwrap();
                let sender = datagram.sender;
                self.handle(
                    index,
                    MemberEvent::Received {
                        sender,
                        from,
                        message,
                    },
                );
            }
            Err(DatagramError::StaleIncarnation { sender, newest }) => {
                self.handle(
                    index,
                    MemberEvent::StaleIncarnation {
                        sender,
                        from,
                        newest,
                    },
                );
            }
            Err(DatagramError::Replayed) => {}
            Err(fault) => panic!("{fault:?}"),
        }
    }

    fn apply_action(&mut self, index: usize, action: MemberAction) {
        let elapsed = self.elapsed();
        let node = &mut self.nodes[index];
        match action {
            MemberAction::Send {
                to,
                recipient,
                message,
            } => self.transmit(index, to, recipient.as_ref(), &message),
            MemberAction::MemberChanged(record) => {
                node.changes.push((elapsed, record.node, record.state));
            }
            MemberAction::TopicUpdated(record) => node.topic_updates.push(record),
            MemberAction::NoteDiscovered {
                version,
                holder: Some(_),
            } => {
                let fetch_delay = self.faults.max_delay * 2;
                self.schedule(fetch_delay, NetworkEvent::AdoptNote(index, version));
            }
            MemberAction::NoteDiscovered { holder: None, .. } => {}
            MemberAction::RaiseIncarnation(newest) => node.signer.raise_incarnation(newest),
            MemberAction::MemberRemoved(name) => node.verifier.forget(&name),
        }
    }

    fn transmit(
        &mut self,
        index: usize,
        to: SocketAddr,
        recipient: Option<&NodeId>,
        message: &PeerMessage,
    ) {
        let node = &mut self.nodes[index];
        let started_at = Instant::now();
        let body = postcard::to_stdvec(message).unwrap();
        let bytes = node.signer.sign(recipient, &body);
        node.processing_time += started_at.elapsed();
        node.sent_bytes += bytes.len() + IP_UDP_BYTES;
        assert!(bytes.len() + IP_UDP_BYTES <= 1_500, "{message:?}");
        let from = node.address;
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication_rate));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss_rate) {
                continue;
            }
            let delays = self.faults.min_delay..=self.faults.max_delay;
            let delay = self.rng.random_range(delays);
            let bytes = bytes.clone();
            self.schedule(delay, NetworkEvent::Datagram { from, to, bytes });
        }
    }
}

fn address_of(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn ring() -> KeyRing {
    let key = MacKey {
        id: 1,
        secret: b"shared by the simulated nodes".to_vec(),
    };
    KeyRing::new(key, Vec::new())
}
