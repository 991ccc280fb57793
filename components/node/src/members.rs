//! The members service of a node: the member machine on a UDP socket.

mod core;
mod counters;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::{
    GossipTopic, MAX_TOPIC_BODY_BYTES, MemberEvent, MemberIdentity, MemberSettings, MemberSnapshot,
    TopicRecord,
};
use smol::{channel::Receiver, net::UdpSocket};
use stores::{HostEntry, HostKind, HostList};
use types::{NodeId, NoteVersion};
use wire::KeyRing;

use self::core::{MemberCore, OutgoingDatagram};

pub use counters::DatagramCounters;

/// Name of the service in the kernel.
pub const MEMBER_SERVICE: &str = "members";

/// Largest datagram that is read, in bytes.
const RECEIVE_BYTES: usize = 2_048;

/// What the service is started with.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// This node.
    pub identity: MemberIdentity,
    /// Keys of the fleet.
    pub ring: KeyRing,
    /// Datagram addresses of other nodes, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Knobs of membership.
    pub settings: MemberSettings,
    /// Time between two reads of the host list.
    pub list_period: Duration,
}

/// A release note that another node told of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteAnnouncement {
    /// Its version.
    pub version: NoteVersion,
    /// Node that has it in force; `None` when it is only known of.
    pub holder: Option<NodeId>,
}

/// Why a body was not published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TopicError {
    /// The body is longer than `MAX_TOPIC_BODY_BYTES`.
    TooLong {
        /// What was tried.
        step: String,
        /// The topic.
        peer: String,
        /// Length in bytes.
        bytes: usize,
    },
}

impl std::fmt::Display for TopicError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong { step, peer, bytes } => {
                write!(
                    formatter,
                    "{step} on {peer}: {bytes} bytes, at most {MAX_TOPIC_BODY_BYTES}"
                )
            }
        }
    }
}

impl std::error::Error for TopicError {}

/// Membership of this node, and the topics spread with it.
pub struct MemberService {
    clock: ClockSource,
    socket: UdpSocket,
    core: Mutex<MemberCore>,
    counters: Arc<DatagramCounters>,
    config: MemberConfig,
}

impl MemberService {
    /// Starts membership on `socket`, which is bound to the identity's
    /// datagram address. It runs until the kernel stops it.
    pub fn start(
        kernel: &ServiceKernel,
        socket: UdpSocket,
        config: MemberConfig,
        hosts: Arc<dyn HostList>,
    ) -> Arc<Self> {
        let clock = kernel.clock().clone();
        let counters = Arc::new(DatagramCounters::default());
        let core = MemberCore::new(clock.now(), &config, Arc::clone(&counters));
        let service = Arc::new(Self {
            clock,
            socket,
            core: Mutex::new(core),
            counters,
            config,
        });
        let running = Arc::clone(&service);
        kernel.start(MEMBER_SERVICE, |token| async move {
            running.run(token, hosts).await;
        });
        service
    }

    /// The members as known now.
    #[must_use]
    pub fn members(&self) -> Arc<MemberSnapshot> {
        self.locked(|core| core.snapshot())
    }

    /// Sets this node's body of `topic`; it replaces the one before.
    ///
    /// # Errors
    /// `TopicError` when the body is too long.
    pub async fn publish(&self, topic: GossipTopic, body: Vec<u8>) -> Result<(), TopicError> {
        if body.len() > MAX_TOPIC_BODY_BYTES {
            return Err(TopicError::TooLong {
                step: "publish".to_owned(),
                peer: format!("{topic:?}"),
                bytes: body.len(),
            });
        }
        self.handle(MemberEvent::Publish { topic, body }).await;
        Ok(())
    }

    /// Bodies of `topic` from other nodes as they come. A reader that falls
    /// behind loses the oldest.
    #[must_use]
    pub fn subscribe(&self, topic: GossipTopic) -> Receiver<TopicRecord> {
        self.locked(|core| core.subscribe(topic))
    }

    /// Wakes its reader after any member's state changed.
    #[must_use]
    pub fn changes(&self) -> Receiver<()> {
        self.locked(MemberCore::changes)
    }

    /// Release notes as other nodes tell of them.
    #[must_use]
    pub fn note_announcements(&self) -> Receiver<NoteAnnouncement> {
        self.locked(MemberCore::note_announcements)
    }

    /// Tells the others which release note is in force here.
    pub async fn note_in_force(&self, version: NoteVersion) {
        self.handle(MemberEvent::NoteInForce(version)).await;
    }

    /// Tells the others that this node takes no more new work.
    pub async fn leave(&self) {
        log::info!("event=member_leaving node={}", self.config.identity.node);
        self.handle(MemberEvent::Leave).await;
    }

    /// Tells the others that this process ends.
    pub async fn exit(&self) {
        log::info!("event=member_exit node={}", self.config.identity.node);
        self.handle(MemberEvent::Exit).await;
    }

    /// Datagrams taken and dropped since the start.
    #[must_use]
    pub fn counters(&self) -> &DatagramCounters {
        &self.counters
    }

    async fn run(&self, token: CancellationToken, hosts: Arc<dyn HostList>) {
        let work = async {
            let reading = self.read_datagrams();
            let ticking = self.tick();
            let listing = self.read_hosts(hosts);
            smol::future::or(reading, smol::future::or(ticking, listing)).await;
        };
        smol::future::or(token.cancelled(), work).await;
    }

    async fn read_datagrams(&self) {
        let mut buffer = [0; RECEIVE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => {
                    let now = self.clock.now();
                    let out = self.locked(|core| core.receive(now, from, &buffer[..length]));
                    self.send(out).await;
                }
                // An earlier send to a closed port is reported here.
                Err(fault) => log::debug!("event=datagram_receive_failed cause=\"{fault}\""),
            }
        }
    }

    async fn tick(&self) {
        loop {
            self.handle(MemberEvent::Tick).await;
            self.clock.sleep(self.config.settings.tick_interval).await;
        }
    }

    async fn read_hosts(&self, hosts: Arc<dyn HostList>) {
        loop {
            match hosts.hosts().await {
                Ok(list) => {
                    let seeds = seeds(&self.config.seeds, &list);
                    self.handle(MemberEvent::SeedsUpdated(seeds)).await;
                }
                Err(fault) => log::warn!("event=host_list_unread cause=\"{fault}\""),
            }
            self.clock.sleep(self.config.list_period).await;
        }
    }

    async fn handle(&self, event: MemberEvent) {
        let now = self.clock.now();
        let out = self.locked(|core| core.handle(now, event));
        self.send(out).await;
    }

    async fn send(&self, datagrams: Vec<OutgoingDatagram>) {
        for datagram in datagrams {
            let sent = self.socket.send_to(&datagram.bytes, datagram.to).await;
            if let Err(fault) = sent {
                log::debug!(
                    "event=datagram_send_failed peer={} cause=\"{fault}\"",
                    datagram.to
                );
            }
        }
    }

    fn locked<T>(&self, work: impl FnOnce(&mut MemberCore) -> T) -> T {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut core)
    }
}

/// A node's datagrams go to the port number that the host list gives for TCP.
fn seeds(fixed: &[SocketAddr], hosts: &[HostEntry]) -> Vec<SocketAddr> {
    let nodes = hosts.iter().filter(|host| host.kind == HostKind::Node);
    let listed = nodes.filter_map(|host| host.address.parse().ok());
    let mut seeds: Vec<_> = fixed.iter().copied().chain(listed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}
