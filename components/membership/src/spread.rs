//! Queues of gossip that is still to be sent, and the send budget.

use std::{collections::BTreeMap, time::Instant};

use types::NodeId;

use crate::{GossipStrategy, GossipTopic, MemberRecord, TopicRecord, message::encoded_size};

/// Maximum overdraft of the budget, in seconds of its rate.
const MAX_OVERDRAFT_SECONDS: f64 = 5.0;

/// Token bucket of bytes that a node may send. Only the gossip of a tick and relayed
/// topic bodies wait for it; all other messages are sent even when it is empty and
/// overdraw it.
#[derive(Clone, Debug)]
pub struct SendBudget {
    bytes_per_second: f64,
    available_bytes: f64,
    refilled_at: Instant,
}

impl SendBudget {
    /// Creates a budget that holds the bytes of one second, which is also its capacity.
    #[must_use]
    pub fn new(now: Instant, bytes_per_second: u32) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            available_bytes: f64::from(bytes_per_second),
            refilled_at: now,
        }
    }

    /// Adds the bytes that accrued since the last call.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let accrued = self.bytes_per_second * elapsed.as_secs_f64();
        self.available_bytes = (self.available_bytes + accrued).min(self.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Subtracts the bytes of a datagram that was sent.
    pub fn spend(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let minimum = -MAX_OVERDRAFT_SECONDS * self.bytes_per_second;
        self.available_bytes = (self.available_bytes - f64::from(bytes)).max(minimum);
    }

    /// Returns whether a datagram of `bytes` may be sent without an overdraft.
    #[must_use]
    pub fn allows(&self, bytes: usize) -> bool {
        self.available_bytes >= f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
    }
}

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    size: usize,
    send_count: u32,
}

/// Queue of items that are added to outgoing messages until each has been sent a given
/// number of times.
#[derive(Clone, Debug)]
pub struct GossipQueue<K, T> {
    items: BTreeMap<K, QueuedItem<T>>,
}

impl<K: Clone + Ord, T: Clone + serde::Serialize> GossipQueue<K, T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            items: BTreeMap::new(),
        }
    }

    /// Queues `item` and replaces an older one with the same key.
    pub fn push(&mut self, key: K, item: T) {
        let size = encoded_size(&item);
        let queued = QueuedItem {
            item,
            size,
            send_count: 0,
        };
        self.items.insert(key, queued);
    }

    /// Returns the least often sent items that fit into `free_bytes`, and subtracts
    /// their sizes from it. An item leaves the queue after `max_sends` sends.
    pub fn take(&mut self, free_bytes: &mut usize, max_sends: u32) -> Vec<T> {
        let mut order: Vec<_> = self.items.iter().collect();
        order.sort_by_key(|(_, queued)| queued.send_count);
        let mut chosen = Vec::new();
        for (key, queued) in order {
            if queued.size <= *free_bytes {
                *free_bytes -= queued.size;
                chosen.push(key.clone());
            }
        }
        chosen
            .iter()
            .filter_map(|key| self.count_send(key, max_sends))
            .collect()
    }

    /// Returns whether no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn count_send(&mut self, key: &K, max_sends: u32) -> Option<T> {
        let queued = self.items.get_mut(key)?;
        queued.send_count += 1;
        if queued.send_count >= max_sends {
            return self.items.remove(key).map(|queued| queued.item);
        }
        Some(queued.item.clone())
    }
}

impl<K: Clone + Ord, T: Clone + serde::Serialize> Default for GossipQueue<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

/// Queue of member records to send.
pub type UpdateQueue = GossipQueue<NodeId, MemberRecord>;

/// Newest body of each topic and node, and the queue of those to relay.
#[derive(Clone, Debug, Default)]
pub struct TopicStore {
    newest: BTreeMap<(GossipTopic, NodeId), TopicRecord>,
    relay_queue: GossipQueue<(GossipTopic, NodeId), TopicRecord>,
}

impl TopicStore {
    /// Stores `record` if it is newer than the known one; returns whether it was.
    pub fn merge(&mut self, record: &TopicRecord) -> bool {
        let key = (record.topic, record.origin.clone());
        let known = self.newest.get(&key);
        let is_newer = known.is_none_or(|known| {
            (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
        });
        if !is_newer {
            return false;
        }
        if record.topic.strategy() == GossipStrategy::Epidemic {
            self.relay_queue.push(key.clone(), record.clone());
        }
        self.newest.insert(key, record.clone());
        true
    }

    /// Returns the newest body of `topic` that `node` published.
    #[must_use]
    pub fn get(&self, topic: GossipTopic, node: &NodeId) -> Option<&TopicRecord> {
        self.newest.get(&(topic, node.clone()))
    }

    /// Returns bodies to relay that fit into `free_bytes`, and subtracts their sizes.
    pub fn take_relayed(&mut self, free_bytes: &mut usize, max_sends: u32) -> Vec<TopicRecord> {
        self.relay_queue.take(free_bytes, max_sends)
    }

    /// Returns whether bodies are queued to be relayed.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        !self.relay_queue.is_empty()
    }

    /// Returns the bodies of `node` that only the node itself sends.
    #[must_use]
    pub fn origin_only_records_of(&self, node: &NodeId) -> Vec<&TopicRecord> {
        let is_sent_by_node = |record: &&TopicRecord| {
            record.origin == *node && record.topic.strategy() == GossipStrategy::OriginOnly
        };
        self.newest.values().filter(is_sent_by_node).collect()
    }

    /// Removes the stored bodies of `node`; queued ones are still relayed.
    pub fn forget(&mut self, node: &NodeId) {
        self.newest.retain(|(_, origin), _| origin != node);
    }
}
