//! Membership: which other nodes are alive, and which addresses callers get.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, ZoneId};

/// Time without a heartbeat after which a node counts as dead and is left out
/// of address answers.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time after which a node is removed, counted from the last heartbeat of its known
/// incarnation or from the listing that first showed this incarnation.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(40);
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
}

#[derive(Debug)]
struct RosterMember {
    entry: RosterEntry,
    last_heartbeat: Option<Instant>,
    /// Last heartbeat of this incarnation, or the listing that first showed it.
    last_seen: Instant,
}

/// The other nodes that this node knows of, dead ones included.
#[derive(Debug, Default)]
pub struct NodeRoster {
    members: BTreeMap<NodeId, RosterMember>,
    recent_sizes: Vec<(Instant, usize)>,
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
            }
        } else {
            self.insert(now, entry, Some(now));
        }
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

    /// Removes a node when `incarnation` of it announced that it leaves; returns
    /// whether the node was known in this or an older incarnation.
    pub fn remove_left(&mut self, node: &str, incarnation: u64) -> bool {
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
        self.members.retain(|_, member| {
            let is_silent = is_silent(member);
            if is_silent {
                removed.push(member.entry.clone());
            }
            !is_silent
        });
        removed
    }

    /// Whether the last heartbeat of `node` is recent.
    #[must_use]
    pub fn is_alive(&self, now: Instant, node: &str) -> bool {
        self.members
            .get(node)
            .is_some_and(|member| member.is_alive(now))
    }

    /// All known nodes, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &RosterEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Nodes whose last heartbeat is recent.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &RosterEntry> {
        self.members
            .values()
            .filter(move |member| member.is_alive(now))
            .map(|member| &member.entry)
    }

    /// Addresses for a caller: `own`, when this node takes callers, and those of
    /// the live nodes that do; at most `MAX_ADDRESSES`.
    #[must_use]
    pub fn addresses(&self, now: Instant, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let others = self.live(now).filter(|entry| entry.ready);
        own.into_iter()
            .chain(others.map(|entry| entry.caller_address))
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// Records the present number of live nodes, this one included, and returns
    /// the largest number recorded in the last 30 s.
    pub fn recent_fleet_size(&mut self, now: Instant) -> usize {
        let size = self.live(now).count() + 1;
        self.recent_sizes
            .retain(|(seen, old)| now.duration_since(*seen) < FLEET_SIZE_WINDOW && *old > size);
        self.recent_sizes.push((now, size));
        self.recent_sizes
            .iter()
            .map(|(_, size)| *size)
            .max()
            .unwrap_or(1)
    }

    fn insert(&mut self, now: Instant, entry: RosterEntry, last_heartbeat: Option<Instant>) {
        let member = RosterMember {
            last_heartbeat,
            last_seen: now,
            entry,
        };
        self.members.insert(member.entry.node.clone(), member);
    }
}

impl RosterMember {
    fn is_alive(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|heartbeat| now.duration_since(heartbeat) <= ALIVE_TIMEOUT)
    }
}
