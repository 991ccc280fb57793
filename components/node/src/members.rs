//! Membership service of a node: the membership protocol on a UDP socket.

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

/// Name under which the kernel registers the membership service.
pub const MEMBER_SERVICE: &str = "members";

/// Receive buffer in bytes; longer datagrams are truncated.
const RECEIVE_BYTES: usize = 2_048;

/// Configuration of the membership service.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Id, location and addresses that this node announces.
    pub identity: MemberIdentity,
    /// Cluster keys that sign and verify datagrams.
    pub ring: KeyRing,
    /// Datagram addresses of other nodes to join through, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the membership protocol.
    pub settings: MemberSettings,
    /// Interval between reads of the host list.
    pub list_period: Duration,
}

/// A release note that another node announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteAnnouncement {
    /// Version of the release note.
    pub version: NoteVersion,
    /// Node on which it is in force; `None` when only its existence is known.
    pub holder: Option<NodeId>,
}

/// Error of publishing the body of a topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TopicError {
    /// The body is longer than `MAX_TOPIC_BODY_BYTES`.
    TooLong {
        /// Operation that was tried.
        step: String,
        /// Topic to which the body was to be published.
        peer: String,
        /// Length of the body in bytes.
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

/// Membership of this node, and the topics that are gossiped with it.
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

    /// Latest snapshot of the members, renewed after each change.
    #[must_use]
    pub fn members(&self) -> Arc<MemberSnapshot> {
        self.locked(|core| core.snapshot())
    }

    /// Publishes `body` as this node's body of `topic`, replacing the previous
    /// one.
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

    /// Adds a subscriber of the bodies of `topic` from other nodes. A receiver
    /// that falls behind loses the oldest.
    #[must_use]
    pub fn subscribe(&self, topic: GossipTopic) -> Receiver<TopicRecord> {
        self.locked(|core| core.subscribe(topic))
    }

    /// Adds a subscriber that is woken after the state of any member changed.
    #[must_use]
    pub fn subscribe_changes(&self) -> Receiver<()> {
        self.locked(MemberCore::subscribe_changes)
    }

    /// Adds a subscriber of release notes that other nodes announce. A receiver
    /// that falls behind loses the oldest.
    #[must_use]
    pub fn subscribe_notes(&self) -> Receiver<NoteAnnouncement> {
        self.locked(MemberCore::subscribe_notes)
    }

    /// Announces to other nodes which release note is in force here.
    pub async fn note_in_force(&self, version: NoteVersion) {
        self.handle(MemberEvent::NoteInForce(version)).await;
    }

    /// Announces to other nodes that this node accepts no new work.
    pub async fn leave(&self) {
        log::info!("event=member_leaving node={}", self.config.identity.node);
        self.handle(MemberEvent::Leave).await;
    }

    /// Announces to other nodes that this process exits.
    pub async fn exit(&self) {
        log::info!("event=member_exit node={}", self.config.identity.node);
        self.handle(MemberEvent::Exit).await;
    }

    /// Counters of datagrams accepted and dropped since the start.
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
                // The socket reports here that an earlier send hit a closed port.
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

/// Seed addresses from the settings and the host list. The host list gives TCP
/// addresses; a node receives datagrams on the same port number.
fn seeds(fixed: &[SocketAddr], hosts: &[HostEntry]) -> Vec<SocketAddr> {
    let nodes = hosts.iter().filter(|host| host.kind == HostKind::Node);
    let listed = nodes.filter_map(|host| host.address.parse().ok());
    let mut seeds: Vec<_> = fixed.iter().copied().chain(listed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}
