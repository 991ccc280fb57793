//! The member machine: events go in with the time, actions come out.

mod probing;
mod receive;
mod send;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use types::{IncarnationNumber, NodeId, NoteVersion};

use crate::{
    GossipTopic, MemberAction, MemberEvent, MemberIdentity, MemberRecord, MemberSettings,
    MemberState, MemberTable, MemberView, MessageKind, TopicRecord,
    probe::{ProbeOrder, ProbeTable},
    sample::SampleOrder,
    spread::{SendBudget, TopicStore, UpdateQueue},
};

/// Most bytes of a topic's body.
pub const MAX_TOPIC_BODY_BYTES: usize = 1_000;

/// Members that are told at once of a new release note or an exit.
const PUSH_MEMBERS: usize = 8;

/// Seeds that are asked in one round while no member is known.
const JOIN_SEEDS: usize = 3;

/// Times an update is sent, for each decimal digit of the member count and
/// once more.
const SENDS_PER_DIGIT: u32 = 4;

/// Decides everything about one node's membership.
#[derive(Debug)]
pub struct MembershipProtocol {
    settings: MemberSettings,
    own: MemberRecord,
    process_incarnation: IncarnationNumber,
    table: MemberTable,
    seeds: Vec<SocketAddr>,
    probes: ProbeTable,
    order: ProbeOrder,
    updates: UpdateQueue,
    topics: TopicStore,
    samples: SampleOrder,
    budget: SendBudget,
    note_heard: NoteVersion,
    note_held: NoteVersion,
    topic_sequence: u64,
    joined: bool,
    // Messages with another digest since tables were compared, and those in
    // a row with the same.
    mismatches: u32,
    matches: u32,
    differing: Option<(NodeId, SocketAddr)>,
    last_tick: Instant,
    resumed: Instant,
    next_round: Instant,
    next_gone_probe: Instant,
    next_sync: Instant,
    rng: StdRng,
    actions: Vec<MemberAction>,
}

impl MembershipProtocol {
    /// A machine that knows only itself and `seeds`.
    #[must_use]
    pub fn new(
        now: Instant,
        identity: MemberIdentity,
        seeds: Vec<SocketAddr>,
        settings: MemberSettings,
    ) -> Self {
        let own = MemberRecord {
            node: identity.node,
            incarnation: identity.incarnation,
            state: MemberState::Alive,
            zone: identity.zone,
            region: identity.region,
            addresses: identity.addresses,
            note_version: 0,
        };
        let mut table = MemberTable::new();
        table.merge(now, &own);
        let mut updates = UpdateQueue::new();
        updates.push(own.node.clone(), own.clone());
        Self {
            process_incarnation: identity.incarnation,
            table,
            seeds,
            probes: ProbeTable::default(),
            order: ProbeOrder::default(),
            updates,
            topics: TopicStore::default(),
            samples: SampleOrder::new(&own.node, settings.far_sample_interval),
            budget: SendBudget::new(now, settings.bytes_per_second),
            note_heard: 0,
            note_held: 0,
            topic_sequence: 0,
            joined: false,
            mismatches: 0,
            matches: 0,
            differing: None,
            last_tick: now,
            resumed: now,
            next_round: now,
            next_gone_probe: now + settings.gone_probe_period,
            next_sync: now,
            rng: StdRng::seed_from_u64(settings.seed),
            actions: Vec::new(),
            own,
            settings,
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received {
                sender,
                from,
                message,
            } => self.receive(now, &sender, from, message),
            MemberEvent::StaleIncarnation {
                sender,
                from,
                newest,
            } => self.send(
                from,
                Some(sender),
                MessageKind::IncarnationTooOld { newest },
            ),
            MemberEvent::SeedsUpdated(seeds) => self.seeds = seeds,
            MemberEvent::Publish { topic, body } => self.publish(topic, body),
            MemberEvent::NoteInForce(version) => self.note_in_force(now, version),
            MemberEvent::Leave => {
                self.change_own(now, MemberState::Leaving);
                self.push_news();
            }
            MemberEvent::Exit => {
                self.change_own(now, MemberState::Left);
                self.push_news();
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// This node's own record.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Highest release note heard of.
    #[must_use]
    pub fn note_heard(&self) -> NoteVersion {
        self.note_heard
    }

    /// All members as known now.
    #[must_use]
    pub fn views(&self, now: Instant) -> Vec<MemberView> {
        self.table.views(now)
    }

    /// The members as known now.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The newest body of `topic` from `node`.
    #[must_use]
    pub fn body(&self, topic: GossipTopic, node: &NodeId) -> Option<&TopicRecord> {
        self.topics.get(topic, node)
    }

    fn tick(&mut self, now: Instant) {
        self.budget.refill(now);
        let gap = now.saturating_duration_since(self.last_tick);
        if gap > self.settings.pause_limit {
            self.resume(now);
        }
        self.last_tick = now;
        self.expire_probes(now);
        self.expire_suspects(now);
        self.forget_gone(now);
        if now >= self.next_round {
            self.next_round = now + self.settings.probe_period;
            self.probe_round(now);
        }
        if now >= self.next_gone_probe {
            self.next_gone_probe = now + self.settings.gone_probe_period;
            self.probe_gone();
        }
        self.compare_tables(now);
        self.share();
    }

    /// What came due while this process was paused says nothing of others.
    fn resume(&mut self, now: Instant) {
        self.probes.clear();
        self.resumed = now;
    }

    fn forget_gone(&mut self, now: Instant) {
        for node in self.table.forget(now, self.settings.forget_after) {
            self.topics.forget(&node);
            self.samples.forget(&node);
            self.actions.push(MemberAction::MemberRemoved(node));
        }
    }

    fn publish(&mut self, topic: GossipTopic, body: Vec<u8>) {
        self.topic_sequence += 1;
        let record = TopicRecord {
            topic,
            origin: self.own.node.clone(),
            incarnation: self.process_incarnation,
            sequence: self.topic_sequence,
            body,
        };
        self.topics.merge(&record);
        self.samples.renew();
    }

    fn note_in_force(&mut self, now: Instant, version: NoteVersion) {
        if version <= self.own.note_version {
            return;
        }
        self.own.note_version = version;
        let node = self.own.node.clone();
        self.table.heard(now, &node, version);
        self.note_heard = self.note_heard.max(version);
        self.note_held = self.note_held.max(version);
        // Who has it tells of it, so that those who hear can fetch it there.
        self.push_news();
    }

    fn change_own(&mut self, now: Instant, state: MemberState) {
        if self.own.state == state {
            return;
        }
        self.own.state = state;
        self.renew_own(now, self.own.incarnation + 1);
    }

    fn renew_own(&mut self, now: Instant, incarnation: IncarnationNumber) {
        self.own.incarnation = incarnation;
        self.table.merge(now, &self.own);
        self.updates.push(self.own.node.clone(), self.own.clone());
    }
}

/// Longest time from a member's death to its suspicion by the one that
/// watches it on the ring, with no loss.
#[must_use]
pub fn suspicion_delay(settings: &MemberSettings) -> Duration {
    settings.probe_period + settings.probe_timeout + settings.indirect_timeout
}
