//! What a node still has to pass on, and how many bytes it may spend.

use std::{collections::BTreeMap, time::Instant};

use types::NodeId;

use crate::{GossipTopic, MemberRecord, SpreadRule, TopicRecord, message::encoded_size};

/// Seconds of the budget that urgent datagrams may overdraw.
const OVERDRAW_SECONDS: f64 = 5.0;

/// Bytes a node may send, refilled with time; probes may overdraw it.
#[derive(Clone, Debug)]
pub struct SendBudget {
    bytes_per_second: f64,
    left: f64,
    filled: Instant,
}

impl SendBudget {
    /// A budget with one second's bytes.
    #[must_use]
    pub fn new(now: Instant, bytes_per_second: u32) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            left: f64::from(bytes_per_second),
            filled: now,
        }
    }

    /// Adds what has come in since the last call.
    pub fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled);
        let more = self.bytes_per_second * passed.as_secs_f64();
        self.left = (self.left + more).min(self.bytes_per_second);
        self.filled = self.filled.max(now);
    }

    /// Takes the bytes of a datagram that was sent.
    pub fn spend(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let floor = -OVERDRAW_SECONDS * self.bytes_per_second;
        self.left = (self.left - f64::from(bytes)).max(floor);
    }

    /// Whether a datagram of `bytes` may be sent.
    #[must_use]
    pub fn allows(&self, bytes: usize) -> bool {
        self.left >= f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
    }
}

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    size: usize,
    sent: u32,
}

/// Items that are sent with other messages until each was sent often enough.
#[derive(Clone, Debug)]
pub struct SpreadQueue<K, T> {
    items: BTreeMap<K, QueuedItem<T>>,
}

impl<K: Clone + Ord, T: Clone + serde::Serialize> SpreadQueue<K, T> {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            items: BTreeMap::new(),
        }
    }

    /// Queues `item`, in place of an older one of the same key.
    pub fn push(&mut self, key: K, item: T) {
        let size = encoded_size(&item);
        let queued = QueuedItem {
            item,
            size,
            sent: 0,
        };
        self.items.insert(key, queued);
    }

    /// Takes the least sent items that fit into `room`, which shrinks. An
    /// item leaves the queue when it was sent `times`.
    pub fn take(&mut self, room: &mut usize, times: u32) -> Vec<T> {
        let mut order: Vec<_> = self.items.iter().collect();
        order.sort_by_key(|(_, queued)| queued.sent);
        let mut chosen = Vec::new();
        for (key, queued) in order {
            if queued.size <= *room {
                *room -= queued.size;
                chosen.push(key.clone());
            }
        }
        chosen
            .iter()
            .filter_map(|key| self.send(key, times))
            .collect()
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn send(&mut self, key: &K, times: u32) -> Option<T> {
        let queued = self.items.get_mut(key)?;
        queued.sent += 1;
        if queued.sent >= times {
            return self.items.remove(key).map(|queued| queued.item);
        }
        Some(queued.item.clone())
    }
}

impl<K: Clone + Ord, T: Clone + serde::Serialize> Default for SpreadQueue<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

/// News of members to pass on.
pub type UpdateQueue = SpreadQueue<NodeId, MemberRecord>;

/// The newest body of each topic and node.
#[derive(Clone, Debug, Default)]
pub struct TopicStore {
    newest: BTreeMap<(GossipTopic, NodeId), TopicRecord>,
    relayed: SpreadQueue<(GossipTopic, NodeId), TopicRecord>,
}

impl TopicStore {
    /// Takes `record` if it is newer; returns whether it was.
    pub fn merge(&mut self, record: &TopicRecord) -> bool {
        let key = (record.topic, record.origin.clone());
        let known = self.newest.get(&key);
        let newer = known.is_none_or(|known| {
            (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
        });
        if !newer {
            return false;
        }
        if record.topic.spread() == SpreadRule::Epidemic {
            self.relayed.push(key.clone(), record.clone());
        }
        self.newest.insert(key, record.clone());
        true
    }

    /// The newest body of `topic` from `node`.
    #[must_use]
    pub fn get(&self, topic: GossipTopic, node: &NodeId) -> Option<&TopicRecord> {
        self.newest.get(&(topic, node.clone()))
    }

    /// Bodies to pass on within `room`, which shrinks.
    pub fn take_relayed(&mut self, room: &mut usize, times: u32) -> Vec<TopicRecord> {
        self.relayed.take(room, times)
    }

    /// Whether bodies wait to be passed on.
    #[must_use]
    pub fn relays(&self) -> bool {
        !self.relayed.is_empty()
    }

    /// The bodies that only `node` itself sends.
    #[must_use]
    pub fn sampled_of(&self, node: &NodeId) -> Vec<&TopicRecord> {
        let own = |record: &&TopicRecord| {
            record.origin == *node && record.topic.spread() == SpreadRule::Sampled
        };
        self.newest.values().filter(own).collect()
    }

    /// Forgets what `node` published.
    pub fn forget(&mut self, node: &NodeId) {
        self.newest.retain(|(_, origin), _| origin != node);
    }
}
