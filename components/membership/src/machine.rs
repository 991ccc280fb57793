//! State machine of the membership protocol: takes events with the time and returns
//! actions.

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
    own_bodies::OwnBodySchedule,
    probe::{ProbeSchedule, ProbeTable},
    spread::{SendBudget, TopicStore, UpdateQueue},
};

/// Maximum length of a topic's body in bytes. A body is sent in one datagram. Whoever
/// sends `MemberEvent::Publish` must keep to it: the protocol doesn't check it.
pub const MAX_TOPIC_BODY_BYTES: usize = 1_000;

/// Number of members that are told immediately of a new release note version, a leave
/// or an exit.
const PUSH_FANOUT: usize = 8;

/// Number of seeds pinged in each probe round while no other member is known.
const SEEDS_PER_JOIN_ROUND: usize = 3;

/// Factor of the number of times a node sends each member update or relayed topic body:
/// this times (`log10(present members + 1)`, rounded down, + 2).
const SENDS_PER_LOG_UNIT: u32 = 4;

/// Membership protocol of one node: failure detection by probes, and dissemination
/// of member updates and topic bodies by gossip.
#[derive(Debug)]
pub struct MembershipProtocol {
    settings: MemberSettings,
    own: MemberRecord,
    // Incarnation under which datagrams are signed and topic bodies published. The
    // member record has `own.incarnation`, which is never lower and grows with each
    // change of state.
    process_incarnation: IncarnationNumber,
    table: MemberTable,
    seeds: Vec<SocketAddr>,
    probes: ProbeTable,
    probe_schedule: ProbeSchedule,
    update_queue: UpdateQueue,
    topics: TopicStore,
    own_body_schedule: OwnBodySchedule,
    budget: SendBudget,
    // Highest release note version known of.
    highest_note_version: NoteVersion,
    // Highest version in force on this node or on a node that sent it a datagram.
    highest_held_note: NoteVersion,
    topic_sequence: u64,
    // Whether a peer's digest has equalled this node's or a complete sync reply has
    // arrived.
    joined: bool,
    // Messages with a differing digest since the last sync request, or since
    // `sync_mismatch_threshold` equal ones in a row.
    digest_mismatches: u32,
    // Equal digests in a row.
    digest_matches: u32,
    mismatched_peer: Option<(NodeId, SocketAddr)>,
    last_tick: Instant,
    resumed_at: Instant,
    next_probe_round: Instant,
    next_gone_probe: Instant,
    next_sync: Instant,
    rng: StdRng,
    actions: Vec<MemberAction>,
}

impl MembershipProtocol {
    /// Creates the protocol of a node that knows only itself and `seeds`.
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
        let mut update_queue = UpdateQueue::new();
        update_queue.push(own.node.clone(), own.clone());
        Self {
            process_incarnation: identity.incarnation,
            table,
            seeds,
            probes: ProbeTable::default(),
            probe_schedule: ProbeSchedule::default(),
            update_queue,
            topics: TopicStore::default(),
            own_body_schedule: OwnBodySchedule::new(&own.node, settings.cross_zone_interval),
            budget: SendBudget::new(now, settings.send_bytes_per_second),
            highest_note_version: 0,
            highest_held_note: 0,
            topic_sequence: 0,
            joined: false,
            digest_mismatches: 0,
            digest_matches: 0,
            mismatched_peer: None,
            last_tick: now,
            resumed_at: now,
            next_probe_round: now,
            next_gone_probe: now + settings.gone_probe_period,
            next_sync: now,
            rng: StdRng::seed_from_u64(settings.seed),
            actions: Vec::new(),
            own,
            settings,
        }
    }

    /// Applies one event and returns the resulting actions in order.
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
            MemberEvent::NoteInForce(version) => self.activate_note(now, version),
            MemberEvent::Leave => {
                self.set_own_state(now, MemberState::Leaving);
                self.push_updates();
            }
            MemberEvent::Exit => {
                self.set_own_state(now, MemberState::Left);
                self.push_updates();
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Record that this node publishes about itself.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Highest version of a release note that this node knows of.
    #[must_use]
    pub fn highest_note_version(&self) -> NoteVersion {
        self.highest_note_version
    }

    /// Returns all members with the time since each was last heard.
    #[must_use]
    pub fn views(&self, now: Instant) -> Vec<MemberView> {
        self.table.views(now)
    }

    /// Member table with the newest known record of each member.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the newest body of `topic` that `node` published.
    #[must_use]
    pub fn body(&self, topic: GossipTopic, node: &NodeId) -> Option<&TopicRecord> {
        self.topics.get(topic, node)
    }

    fn tick(&mut self, now: Instant) {
        self.budget.refill(now);
        let gap = now.saturating_duration_since(self.last_tick);
        if gap > self.settings.max_tick_gap {
            self.reset_after_pause(now);
        }
        self.last_tick = now;
        self.expire_probes(now);
        self.expire_suspects(now);
        self.remove_expired_members(now);
        if now >= self.next_probe_round {
            self.next_probe_round = now + self.settings.probe_period;
            self.probe_round(now);
        }
        if now >= self.next_gone_probe {
            self.next_gone_probe = now + self.settings.gone_probe_period;
            self.probe_gone_member();
        }
        self.request_due_sync(now);
        self.send_gossip();
    }

    /// Drops pending probes and restarts suspicion timeouts after a pause of this
    /// process: answers that it missed meanwhile are no evidence against others.
    fn reset_after_pause(&mut self, now: Instant) {
        self.probes.clear();
        self.resumed_at = now;
    }

    fn remove_expired_members(&mut self, now: Instant) {
        for node in self.table.remove_expired(now, self.settings.gone_retention) {
            self.topics.forget(&node);
            self.own_body_schedule.forget(&node);
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
        self.own_body_schedule.mark_updated();
    }

    fn activate_note(&mut self, now: Instant, version: NoteVersion) {
        if version <= self.own.note_version {
            return;
        }
        self.own.note_version = version;
        let node = self.own.node.clone();
        self.table.record_contact(now, &node, version);
        self.highest_note_version = self.highest_note_version.max(version);
        self.highest_held_note = self.highest_held_note.max(version);
        // Only a node that has the note announces it, so that receivers can fetch
        // it from there.
        self.push_updates();
    }

    fn set_own_state(&mut self, now: Instant, state: MemberState) {
        if self.own.state == state {
            return;
        }
        self.own.state = state;
        self.update_own_incarnation(now, self.own.incarnation + 1);
    }

    fn update_own_incarnation(&mut self, now: Instant, incarnation: IncarnationNumber) {
        self.own.incarnation = incarnation;
        self.table.merge(now, &self.own);
        self.update_queue
            .push(self.own.node.clone(), self.own.clone());
    }
}

/// Returns the longest time from a crash of a member to its suspicion by the member
/// that probes it on the ring, when no datagram is lost. Rounds and timeouts take effect
/// at ticks, so each of the three parts may take up to one `tick_interval` longer.
#[must_use]
pub fn max_suspicion_delay(settings: &MemberSettings) -> Duration {
    settings.probe_period + settings.probe_timeout + settings.indirect_timeout
}
