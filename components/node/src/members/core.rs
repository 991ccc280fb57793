//! The membership protocol with datagram signing and subscribers; no I/O.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use membership::{
    GossipTopic, MemberAction, MemberEvent, MemberSnapshot, MembershipProtocol, PeerMessage,
    TopicRecord,
};
use smol::channel::{Receiver, Sender, bounded};
use types::NodeId;
use wire::{DatagramError, DatagramSigner, DatagramVerifier};

use super::{DatagramCounters, MemberConfig, NoteAnnouncement};

/// Capacity of a subscription; a slower subscriber loses the oldest items.
const SUBSCRIPTION_CAPACITY: usize = 1_024;

/// Largest age of the snapshot that services read.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(500);

/// A signed datagram that is ready to be sent.
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The signed message.
    pub bytes: Vec<u8>,
}

/// State that the tasks of the membership service share.
pub struct MemberCore {
    protocol: MembershipProtocol,
    signer: DatagramSigner,
    verifier: DatagramVerifier,
    counters: Arc<DatagramCounters>,
    snapshot: Arc<MemberSnapshot>,
    snapshot_time: Instant,
    bodies: BTreeMap<GossipTopic, Vec<Sender<TopicRecord>>>,
    changes: Vec<Sender<()>>,
    notes: Vec<Sender<NoteAnnouncement>>,
}

impl MemberCore {
    /// Creates a core that knows no other member.
    pub fn new(now: Instant, config: &MemberConfig, counters: Arc<DatagramCounters>) -> Self {
        let identity = config.identity.clone();
        let node = identity.node.clone();
        let ring = config.ring.clone();
        let signer = DatagramSigner::new(ring.clone(), node.clone(), identity.incarnation);
        let settings = config.settings.clone();
        let protocol = MembershipProtocol::new(now, identity, config.seeds.clone(), settings);
        let mut core = Self {
            protocol,
            signer,
            verifier: DatagramVerifier::new(ring, node),
            counters,
            snapshot: Arc::default(),
            snapshot_time: now,
            bodies: BTreeMap::new(),
            changes: Vec::new(),
            notes: Vec::new(),
        };
        core.take_snapshot(now);
        core
    }

    /// The latest snapshot of the members.
    pub fn snapshot(&self) -> Arc<MemberSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Adds a subscriber of `topic`.
    pub fn subscribe(&mut self, topic: GossipTopic) -> Receiver<TopicRecord> {
        let (sender, receiver) = bounded(SUBSCRIPTION_CAPACITY);
        self.bodies.entry(topic).or_default().push(sender);
        receiver
    }

    /// Adds a subscriber that is woken after the state of any member changed.
    pub fn subscribe_changes(&mut self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.changes.push(sender);
        receiver
    }

    /// Adds a subscriber of release notes that other nodes announce.
    pub fn subscribe_notes(&mut self) -> Receiver<NoteAnnouncement> {
        let (sender, receiver) = bounded(SUBSCRIPTION_CAPACITY);
        self.notes.push(sender);
        receiver
    }

    /// Handles a received datagram and returns the datagrams to send.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<OutgoingDatagram> {
        DatagramCounters::add(&self.counters.received_bytes, bytes.len());
        match self.decode(from, bytes) {
            Ok(event) => {
                DatagramCounters::add(&self.counters.accepted, 1);
                self.handle(now, event)
            }
            Err(fault) => {
                self.counters.count_drop(&fault);
                match fault {
                    DatagramError::StaleIncarnation { sender, newest } => self.handle(
                        now,
                        MemberEvent::StaleIncarnation {
                            sender,
                            from,
                            newest,
                        },
                    ),
                    _ => Vec::new(),
                }
            }
        }
    }

    /// Handles an event and returns the datagrams to send.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<OutgoingDatagram> {
        let mut changed = matches!(event, MemberEvent::Leave | MemberEvent::Exit);
        let actions = self.protocol.handle(now, event);
        let mut out = Vec::new();
        for action in actions {
            match action {
                MemberAction::Send {
                    to,
                    recipient,
                    message,
                } => out.extend(self.encode(to, recipient.as_ref(), &message)),
                MemberAction::MemberChanged(record) => {
                    log::info!(
                        "event=member_changed node={} state={:?} incarnation={}",
                        record.node,
                        record.state,
                        record.incarnation
                    );
                    changed = true;
                }
                MemberAction::TopicUpdated(record) => self.deliver(&record),
                MemberAction::NoteDiscovered { version, holder } => {
                    let note = NoteAnnouncement { version, holder };
                    broadcast(&mut self.notes, &note);
                }
                MemberAction::RaiseIncarnation(incarnation) => {
                    log::warn!("event=life_raised life={incarnation}");
                    self.signer.raise_incarnation(incarnation);
                }
                MemberAction::MemberRemoved(node) => {
                    self.verifier.forget(&node);
                    changed = true;
                }
            }
        }
        if changed || now.saturating_duration_since(self.snapshot_time) >= MAX_SNAPSHOT_AGE {
            self.take_snapshot(now);
        }
        if changed {
            broadcast(&mut self.changes, &());
        }
        out
    }

    fn decode(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<MemberEvent, DatagramError> {
        let datagram = self.verifier.verify(bytes)?;
        let message = postcard::from_bytes::<PeerMessage>(&datagram.body);
        Ok(MemberEvent::Received {
            sender: datagram.sender,
            from,
            message: message.map_err(|_| DatagramError::Malformed)?,
        })
    }

    fn encode(
        &mut self,
        to: SocketAddr,
        recipient: Option<&NodeId>,
        message: &PeerMessage,
    ) -> Option<OutgoingDatagram> {
        let body = postcard::to_stdvec(message).ok()?;
        let bytes = self.signer.sign(recipient, &body);
        DatagramCounters::add(&self.counters.sent_bytes, bytes.len());
        Some(OutgoingDatagram { to, bytes })
    }

    fn take_snapshot(&mut self, now: Instant) {
        self.snapshot_time = now;
        self.snapshot = Arc::new(MemberSnapshot {
            local_node: self.protocol.own_record().node.clone(),
            views: self.protocol.views(now),
        });
    }

    fn deliver(&mut self, record: &TopicRecord) {
        if let Some(senders) = self.bodies.get_mut(&record.topic) {
            broadcast(senders, record);
        }
    }
}

/// Sends `item` to each subscriber. A full subscription loses its oldest item;
/// a closed one is removed.
fn broadcast<T: Clone>(senders: &mut Vec<Sender<T>>, item: &T) {
    senders.retain(|sender| sender.force_send(item.clone()).is_ok());
}
