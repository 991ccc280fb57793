//! The other nodes: who lives, and which addresses callers are given.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, ZoneId};

/// Silence after which a node is left out of address answers.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Silence after which a node is forgotten.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Addresses of an answer, as callers accept.
const MAX_ADDRESSES: usize = 64;
/// Time for which the largest size of the fleet is remembered.
const FLEET_SIZE_WINDOW: Duration = Duration::from_secs(30);

/// What a node says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RosterEntry {
    /// Unique among nodes.
    pub node: NodeId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes datagrams and calls of other nodes.
    pub peers: SocketAddr,
    /// Orders its lives; a higher number is newer.
    pub life: u64,
    /// Whether callers may be sent to it.
    pub ready: bool,
}

#[derive(Debug)]
struct RosterMember {
    entry: RosterEntry,
    last_heartbeat: Option<Instant>,
    last_listing: Instant,
}

/// All nodes that this one knows of, without itself.
#[derive(Debug, Default)]
pub struct NodeRoster {
    members: BTreeMap<NodeId, RosterMember>,
    recent_sizes: Vec<(Instant, usize)>,
}

impl NodeRoster {
    /// Takes over what a node said itself.
    pub fn record_heartbeat(&mut self, now: Instant, entry: RosterEntry) {
        if let Some(member) = self.members.get_mut(&entry.node) {
            if entry.life >= member.entry.life {
                member.entry = entry;
                member.last_heartbeat = Some(now);
                member.last_listing = now;
            }
        } else {
            self.insert(now, entry, Some(now));
        }
    }

    /// Takes over what a third party says of a node.
    pub fn record_listing(&mut self, now: Instant, entry: RosterEntry) {
        match self.members.get_mut(&entry.node) {
            Some(member) if entry.life > member.entry.life => {
                member.entry = entry;
                member.last_listing = now;
            }
            Some(_) => {}
            None => self.insert(now, entry, None),
        }
    }

    /// Forgets a node that said it leaves; returns whether that is news.
    pub fn remove_left(&mut self, node: &str, life: u64) -> bool {
        let member = self.members.get(node);
        let known = member.is_some_and(|member| member.entry.life <= life);
        if known {
            self.members.remove(node);
        }
        known
    }

    /// Forgets nodes that have been silent for long; returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<RosterEntry> {
        let is_silent = |member: &RosterMember| {
            let last = member.last_heartbeat.unwrap_or(member.last_listing);
            now.duration_since(last.max(member.last_listing)) > REMOVAL_TIMEOUT
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

    /// Whether `node` was heard of late.
    #[must_use]
    pub fn is_alive(&self, now: Instant, node: &str) -> bool {
        self.members
            .get(node)
            .is_some_and(|member| member.is_alive(now))
    }

    /// All known nodes, dead ones too.
    pub fn members(&self) -> impl Iterator<Item = &RosterEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Nodes that were heard of late.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &RosterEntry> {
        self.members
            .values()
            .filter(move |member| member.is_alive(now))
            .map(|member| &member.entry)
    }

    /// Addresses for a caller: `own` when this node takes callers, and all
    /// live nodes that do.
    #[must_use]
    pub fn addresses(&self, now: Instant, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let others = self.live(now).filter(|entry| entry.ready);
        own.into_iter()
            .chain(others.map(|entry| entry.callers))
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// The largest number of nodes known lately, this one included.
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

    fn insert(&mut self, now: Instant, entry: RosterEntry, heartbeat: Option<Instant>) {
        let member = RosterMember {
            last_heartbeat: heartbeat,
            last_listing: now,
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
