//! Membership: which other nodes are alive, and which addresses callers get.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use types::{NodeId, ZoneId};

/// Time without a heartbeat after which a node counts as dead and is left out
/// of address answers.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time for which a node that did not answer is passed over, whatever a relay says. It
/// doubles each time. Longer than a new relay needs until it hears all nodes, also if some
/// nodes that would go before it have to be found silent first, half a second each: a node
/// that is passed over for less comes back as the relay before the new one is settled. One
/// that lives counts again with its next report.
const SILENCE_TIME_MIN: Duration = Duration::from_secs(10);
/// Longest time for which a node is passed over.
const SILENCE_TIME_MAX: Duration = Duration::from_mins(1);
/// Time after which a node is removed, counted from the last heartbeat of its known
/// incarnation or from the listing that first showed this incarnation.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after a node was last heard for which it keeps its share of what nodes divide.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Time for which a node that fell silent still counts in the fleet's size after it was
/// removed: it may be cut off, and use its share. Longer than links between zones are usually
/// lost.
const LOST_NODE_TIME: Duration = Duration::from_mins(10);
/// Most addresses in an answer; callers accept no more.
const MAX_ADDRESSES: usize = 64;
/// Time for which the largest fleet size is remembered.
const FLEET_SIZE_WINDOW: Duration = Duration::from_secs(30);

/// Entry that a node publishes about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RosterEntry {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    /// Availability zone in which the node runs.
    pub zone: ZoneId,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address for datagrams and calls of other nodes.
    pub peer_address: SocketAddr,
    /// Incarnation number of the node's process; a higher one is newer.
    pub incarnation: u64,
    /// Whether callers may be sent to the node.
    pub ready: bool,
    /// Processor and network share of the host, to compare nodes by.
    pub capacity: u32,
}

#[derive(Debug)]
struct RosterMember {
    entry: RosterEntry,
    last_heartbeat: Option<Instant>,
    /// Last heartbeat of this incarnation, or the listing that first showed it.
    last_seen: Instant,
    /// Whether a relay says that the node is alive.
    told_alive: bool,
    /// Until when the node is passed over, since it did not answer.
    silent_until: Option<Instant>,
    /// Number of times that it did not answer since it was last heard.
    silences: u32,
    /// When the store last confirmed the upstreams to the node.
    store_confirmed_at: Option<Instant>,
}

/// The other nodes that this node knows of, dead ones included.
#[derive(Debug, Default)]
pub struct NodeRoster {
    members: BTreeMap<NodeId, RosterMember>,
    /// Nodes that were removed since they fell silent, and when.
    lost: BTreeMap<NodeId, Instant>,
    recent_sizes: Vec<(Instant, usize)>,
    /// Whether this node hears all others itself, and doesn't need to be told.
    hears_all: bool,
    /// Whether this node has read a list of all nodes.
    is_listed: bool,
}

impl NodeRoster {
    /// Stores an entry that came from the node itself, unless the known one has a
    /// newer incarnation.
    pub fn record_heartbeat(&mut self, now: Instant, entry: RosterEntry) {
        if let Some(member) = self.members.get_mut(&entry.node) {
            if entry.incarnation >= member.entry.incarnation {
                member.entry = entry;
                member.last_heartbeat = Some(now);
                member.last_seen = now;
                member.silent_until = None;
                member.silences = 0;
            }
        } else {
            self.insert(now, entry, Some(now));
        }
    }

    /// Records a sign of life that says nothing else, such as a datagram that can't be read,
    /// of the node at `address`, if it is known. Returns whether it is.
    pub fn record_contact(&mut self, now: Instant, address: SocketAddr) -> bool {
        let mut members = self.members.values_mut();
        let Some(member) = members.find(|member| member.entry.peer_address == address) else {
            return false;
        };
        member.last_heartbeat = Some(now);
        member.last_seen = now;
        true
    }

    /// Stores a listing, an entry that did not come from the node itself but from
    /// the store, when the node is unknown or the entry has a newer incarnation.
    /// Does not count as a heartbeat.
    pub fn record_listing(&mut self, now: Instant, entry: RosterEntry) {
        match self.members.get_mut(&entry.node) {
            Some(member) if entry.incarnation > member.entry.incarnation => {
                member.entry = entry;
                member.last_seen = now;
            }
            Some(_) => {}
            None => self.insert(now, entry, None),
        }
    }

    /// Stores what a relay says of a node, unless a newer incarnation is known.
    pub fn record_told(&mut self, now: Instant, entry: RosterEntry, alive: bool) {
        match self.members.get_mut(&entry.node) {
            Some(member) if entry.incarnation >= member.entry.incarnation => {
                member.entry = entry;
                member.told_alive = alive;
                if alive {
                    member.last_seen = now;
                }
            }
            Some(_) => {}
            None => {
                let node = entry.node.clone();
                self.insert(now, entry, None);
                if let Some(member) = self.members.get_mut(&node) {
                    member.told_alive = alive;
                }
            }
        }
    }

    /// Takes back what relays said of the nodes for which `is_listed` is false.
    pub fn retain_told(&mut self, is_listed: impl Fn(&NodeId) -> bool) {
        for (node, member) in &mut self.members {
            member.told_alive &= is_listed(node);
        }
    }

    /// Records that the known nodes include all of a list: the rows of the store, or what a
    /// relay tells.
    pub fn record_whole_listing(&mut self) {
        self.is_listed = true;
    }

    /// Passes over a node that did not answer, for [`SILENCE_TIME_MIN`] at first.
    pub fn record_silence(&mut self, now: Instant, node: &str) {
        if let Some(member) = self.members.get_mut(node) {
            let time = SILENCE_TIME_MIN * 2u32.saturating_pow(member.silences.min(8));
            member.last_heartbeat = None;
            member.silences += 1;
            member.silent_until = Some(now + time.min(SILENCE_TIME_MAX));
        }
    }

    /// Sets whether this node hears all others itself, as a relay does. What other
    /// relays say then no longer counts, so that two relays can't keep a dead node
    /// alive by telling each other.
    pub fn set_hears_all(&mut self, hears_all: bool) {
        self.hears_all = hears_all;
    }

    /// Records when the store last confirmed the upstreams to a node.
    pub fn record_store_confirmation(&mut self, node: &str, at: Instant) {
        if let Some(member) = self.members.get_mut(node) {
            member.store_confirmed_at = member.store_confirmed_at.max(Some(at));
        }
    }

    /// The live node to which the store has confirmed the upstreams last, and when.
    #[must_use]
    pub fn newest_store_confirmation(&self, now: Instant) -> Option<(&RosterEntry, Instant)> {
        let live = self
            .members
            .values()
            .filter(|member| self.counts_as_alive(now, member));
        live.filter_map(|member| Some((&member.entry, member.store_confirmed_at?)))
            .max_by_key(|(_, at)| *at)
    }

    /// Removes a node when `incarnation` of it announced that it leaves; returns
    /// whether the node was known in this or an older incarnation.
    pub fn remove_left(&mut self, node: &str, incarnation: u64) -> bool {
        self.lost.remove(node);
        let member = self.members.get(node);
        let known = member.is_some_and(|member| member.entry.incarnation <= incarnation);
        if known {
            self.members.remove(node);
        }
        known
    }

    /// Removes and returns the nodes whose known incarnation has sent no heartbeat,
    /// and was not first seen in a listing, within `REMOVAL_TIMEOUT`.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<RosterEntry> {
        let is_silent = |member: &RosterMember| {
            let last = member.last_heartbeat.unwrap_or(member.last_seen);
            now.duration_since(last.max(member.last_seen)) > REMOVAL_TIMEOUT
        };
        let mut removed = Vec::new();
        let hears_all = self.hears_all;
        self.members.retain(|_, member| {
            let is_silent = is_silent(member) && (hears_all || !member.told_alive);
            if is_silent {
                removed.push(member.entry.clone());
            }
            !is_silent
        });
        for entry in &removed {
            self.lost.insert(entry.node.clone(), now);
        }
        removed
    }

    /// Whether `node` is in the roster, dead or alive.
    #[must_use]
    pub fn is_known(&self, node: &str) -> bool {
        self.members.contains_key(node)
    }

    /// Whether the last heartbeat of `node` is recent, or a relay says that it is
    /// alive.
    #[must_use]
    pub fn is_alive(&self, now: Instant, node: &str) -> bool {
        self.members
            .get(node)
            .is_some_and(|member| self.counts_as_alive(now, member))
    }

    /// All known nodes, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &RosterEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Nodes of which a relay says that they are alive, whether or not this node
    /// believes it.
    pub fn told_alive(&self) -> impl Iterator<Item = &RosterEntry> {
        let told = self.members.values().filter(|member| member.told_alive);
        told.map(|member| &member.entry)
    }

    /// Nodes that are alive, as in [`is_alive`](Self::is_alive).
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &RosterEntry> {
        self.members
            .values()
            .filter(move |member| self.counts_as_alive(now, member))
            .map(|member| &member.entry)
    }

    /// Whether a live node serves callers, and so knows what a node that starts needs.
    #[must_use]
    pub fn has_ready(&self, now: Instant) -> bool {
        self.live(now).any(|entry| entry.ready)
    }

    /// Nodes that are alive or were lately: what they share is not divided anew whenever a
    /// heartbeat is late.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = &RosterEntry> {
        self.members
            .values()
            .filter(move |member| {
                let age = now.saturating_duration_since(member.last_seen);
                self.counts_as_alive(now, member) || age <= RECENT_TIME
            })
            .map(|member| &member.entry)
    }

    /// Addresses for a caller: `own`, when this node takes callers, and those of
    /// the live nodes that do, at most `MAX_ADDRESSES`. In a larger fleet, those in
    /// `zone` come first, and the rest is a random choice, so that no node is left out
    /// by its name. Only nodes in zones for which `is_allowed` holds are named, unless
    /// none is up there: a node elsewhere can still refuse with a reason.
    #[must_use]
    pub fn addresses(
        &self,
        now: Instant,
        own: Option<SocketAddr>,
        zone: &str,
        is_allowed: impl Fn(&ZoneId) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut others: Vec<&RosterEntry> = self.live(now).filter(|entry| entry.ready).collect();
        let own_allowed = own.filter(|_| is_allowed(&zone.to_owned()));
        let has_allowed =
            own_allowed.is_some() || others.iter().any(|entry| is_allowed(&entry.zone));
        let own = if has_allowed { own_allowed } else { own };
        if has_allowed {
            others.retain(|entry| is_allowed(&entry.zone));
        }
        if others.len() + own.iter().len() > MAX_ADDRESSES {
            others.shuffle(rng);
            others.sort_by_key(|entry| entry.zone != zone);
        }
        own.into_iter()
            .chain(others.into_iter().map(|entry| entry.caller_address))
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// At most `count` live nodes that take callers and are not in `excluded`, of
    /// different zones as far as possible, those of `own_zone` last.
    pub fn nodes_to_ask(
        &self,
        now: Instant,
        own_zone: &str,
        excluded: &[NodeId],
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<RosterEntry> {
        let mut nodes: Vec<&RosterEntry> = self
            .live(now)
            .filter(|entry| entry.ready && !excluded.contains(&entry.node))
            .collect();
        nodes.shuffle(rng);
        let mut in_zone: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut ranked: Vec<(bool, usize, &RosterEntry)> = Vec::new();
        for entry in nodes {
            let rank = in_zone.entry(&entry.zone).or_default();
            ranked.push((entry.zone == own_zone, *rank, entry));
            *rank += 1;
        }
        ranked.sort_by_key(|(is_neighbour, rank, _)| (*is_neighbour, *rank));
        let nodes = ranked.into_iter().take(count);
        nodes.map(|(_, _, entry)| entry.clone()).collect()
    }

    /// Whether a node of `zone` that should be alive is passed over.
    #[must_use]
    pub fn has_silent_node(&self, now: Instant, zone: &str) -> bool {
        self.members.values().any(|member| {
            let is_silent = member.silent_until.is_some_and(|until| now < until);
            is_silent && member.told_alive && member.entry.zone == zone
        })
    }

    /// Records the present number of known nodes, dead ones and this one included, with those
    /// lost in the last ten minutes, and returns the largest number recorded in the last 30 s;
    /// `None` while this node has read no list of all nodes.
    pub fn recent_fleet_size(&mut self, now: Instant) -> Option<usize> {
        if !self.is_listed {
            return None;
        }
        self.lost
            .retain(|_, lost_at| now.saturating_duration_since(*lost_at) < LOST_NODE_TIME);
        let size = self.members.len() + self.lost.len() + 1;
        self.recent_sizes
            .retain(|(seen, old)| now.duration_since(*seen) < FLEET_SIZE_WINDOW && *old > size);
        self.recent_sizes.push((now, size));
        self.recent_sizes.iter().map(|(_, size)| *size).max()
    }

    fn counts_as_alive(&self, now: Instant, member: &RosterMember) -> bool {
        let told_alive = member.told_alive && !self.hears_all;
        let is_silent = member.silent_until.is_some_and(|until| now < until);
        member.was_heard(now) || told_alive && !is_silent
    }

    fn insert(&mut self, now: Instant, entry: RosterEntry, last_heartbeat: Option<Instant>) {
        let member = RosterMember {
            last_heartbeat,
            last_seen: now,
            told_alive: false,
            silent_until: None,
            silences: 0,
            store_confirmed_at: None,
            entry,
        };
        self.lost.remove(&member.entry.node);
        self.members.insert(member.entry.node.clone(), member);
    }
}

impl RosterMember {
    fn was_heard(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|heartbeat| now.duration_since(heartbeat) <= ALIVE_TIMEOUT)
    }
}
