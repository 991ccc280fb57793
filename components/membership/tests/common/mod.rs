//! Member machines on a lossy network in virtual time, with sealed datagrams.

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
use wire::{DatagramError, DatagramOpener, DatagramSealer, KeyRing, SealKey};

/// Bytes of the IP and UDP headers.
const IP_UDP_BYTES: usize = 28;

/// What the network does to datagrams.
#[derive(Clone, Debug)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub least_delay: Duration,
    pub most_delay: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            least_delay: Duration::from_micros(500),
            most_delay: Duration::from_millis(3),
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
    pub machine: MembershipProtocol,
    pub changes: Vec<(Duration, NodeId, MemberState)>,
    pub bodies: Vec<TopicRecord>,
    pub notes: Vec<(Duration, u64)>,
    pub sent_bytes: usize,
    pub received_bytes: usize,
    pub running: bool,
    pub paused: bool,
    pub group: u32,
    pub busy: Duration,
    /// How far this node's clock is ahead.
    skew: Duration,
    sealer: DatagramSealer,
    opener: DatagramOpener,
    address: SocketAddr,
    zone: String,
    backlog: Vec<(SocketAddr, Vec<u8>)>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct QueuedEvent {
    at: Instant,
    order: u64,
    event: NetworkEvent,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum NetworkEvent {
    Tick(usize),
    Adopt(usize, u64),
    Packet {
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
    order: u64,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    by_address: BTreeMap<SocketAddr, usize>,
    rng: StdRng,
    zones: usize,
}

impl SimulatedNetwork {
    /// `count` nodes in `zones` zones that know node 0 as their seed.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut network = Self {
            nodes: Vec::new(),
            faults: NetworkFaults::default(),
            settings: MemberSettings::default(),
            start: now,
            now,
            order: 0,
            queue: BinaryHeap::new(),
            by_address: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            zones,
        };
        for index in 0..count {
            network.add(index, 1_000);
        }
        network
    }

    /// Starts a process for node `index`, in place of an earlier one.
    pub fn add(&mut self, index: usize, incarnation: u64) {
        let skew = Duration::from_millis(self.rng.random_range(0..100_000));
        let node = self.fresh_node(index, incarnation, skew);
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
            self.step(next.event);
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `done` or `limit` is over.
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

    /// The time as node `index` reads it.
    pub fn local_time(&self, index: usize) -> Instant {
        self.now + self.nodes[index].skew
    }

    pub fn handle(&mut self, index: usize, event: MemberEvent) {
        let now = self.local_time(index);
        let node = &mut self.nodes[index];
        let begun = Instant::now();
        let actions = node.machine.handle(now, event);
        node.busy += begun.elapsed();
        for action in actions {
            self.act(index, action);
        }
    }

    /// Loses what a paused node's socket could not hold.
    pub fn drop_backlog(&mut self, index: usize) {
        self.nodes[index].backlog.clear();
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[index].backlog) {
            self.receive(index, from, &bytes);
        }
    }

    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let entry = self.nodes[at].machine.table().get(&self.nodes[of].name)?;
        Some(entry.record.state)
    }

    /// Whether every running node sees every running node in `state`.
    pub fn all_see(&self, of: usize, state: MemberState) -> bool {
        self.running()
            .filter(|at| *at != of)
            .all(|at| self.state(at, of) == Some(state))
    }

    pub fn converged(&self) -> bool {
        self.running()
            .all(|of| self.all_see(of, MemberState::Alive))
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.running)
            .map(|(index, _)| index)
    }

    fn fresh_node(&self, index: usize, incarnation: u64, skew: Duration) -> SimulatedNode {
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
            machine: MembershipProtocol::new(self.now + skew, identity, seeds, settings),
            name: name.clone(),
            changes: Vec::new(),
            bodies: Vec::new(),
            notes: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
            running: true,
            paused: false,
            group: 0,
            busy: Duration::ZERO,
            skew,
            sealer: DatagramSealer::new(ring(), name.clone(), incarnation),
            opener: DatagramOpener::new(ring(), name),
            address,
            zone,
            backlog: Vec::new(),
        }
    }

    pub fn zone(&self, index: usize) -> &str {
        self.nodes[index].zone()
    }

    fn schedule(&mut self, delay: Duration, event: NetworkEvent) {
        self.order += 1;
        let event = QueuedEvent {
            at: self.now + delay,
            order: self.order,
            event,
        };
        self.queue.push(Reverse(event));
    }

    fn step(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Tick(index) => {
                let node = &self.nodes[index];
                if node.running && !node.paused {
                    self.handle(index, MemberEvent::Tick);
                }
                self.schedule(self.settings.tick_interval, NetworkEvent::Tick(index));
            }
            NetworkEvent::Adopt(index, version) => {
                let elapsed = self.elapsed();
                self.nodes[index].notes.push((elapsed, version));
                self.handle(index, MemberEvent::NoteInForce(version));
            }
            NetworkEvent::Packet { from, to, bytes } => self.deliver(from, to, bytes),
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let sender = self.by_address[&from];
        let Some(&index) = self.by_address.get(&to) else {
            return;
        };
        if !self.nodes[index].running || self.nodes[index].group != self.nodes[sender].group {
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
        let begun = Instant::now();
        let outcome = node.opener.open(bytes);
        node.busy += begun.elapsed();
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

    fn act(&mut self, index: usize, action: MemberAction) {
        let elapsed = self.elapsed();
        let node = &mut self.nodes[index];
        match action {
            MemberAction::Send {
                to,
                recipient,
                message,
            } => self.transmit(index, to, recipient.as_ref(), &message),
            MemberAction::Changed(record) => {
                node.changes.push((elapsed, record.node, record.state));
            }
            MemberAction::TopicUpdated(record) => node.bodies.push(record),
            MemberAction::NoteDiscovered {
                version,
                holder: Some(_),
            } => {
                let fetch = self.faults.most_delay * 2;
                self.schedule(fetch, NetworkEvent::Adopt(index, version));
            }
            MemberAction::NoteDiscovered { holder: None, .. } => {}
            MemberAction::RaiseIncarnation(incarnation) => {
                node.sealer.raise_incarnation(incarnation)
            }
            MemberAction::MemberRemoved(name) => node.opener.forget(&name),
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
        let begun = Instant::now();
        let body = postcard::to_stdvec(message).unwrap();
        let bytes = node.sealer.seal(recipient, &body);
        node.busy += begun.elapsed();
        node.sent_bytes += bytes.len() + IP_UDP_BYTES;
        assert!(bytes.len() + IP_UDP_BYTES <= 1_500, "{message:?}");
        let from = node.address;
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let span = self.faults.least_delay..=self.faults.most_delay;
            let delay = self.rng.random_range(span);
            let bytes = bytes.clone();
            self.schedule(delay, NetworkEvent::Packet { from, to, bytes });
        }
    }
}

fn address_of(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn ring() -> KeyRing {
    let key = SealKey {
        id: 1,
        secret: b"shared by the simulated nodes".to_vec(),
    };
    KeyRing::new(key, Vec::new())
}
