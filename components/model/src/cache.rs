//! One engine's prefix cache: reference-counted blocks with LRU eviction.

use std::collections::{BTreeMap, HashMap, VecDeque};

use types::{CACHE_BLOCK_TOKENS, CacheEvent, PrefixHash, TokenCount};

/// Cache events kept for readers; older ones are dropped.
const EVENT_LIMIT: usize = 8_192;

/// A run of cache events from a position in the engine's log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheSlice {
    /// Position of the first event.
    pub first: u64,
    /// Position to read from next time.
    pub next: u64,
    /// The events; those between the requested position and `first` are lost.
    pub events: Vec<CacheEvent>,
}

/// Eviction order: least recently used first, then the longest prefix first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvictionKey {
    last_use: u64,
    /// `u64::MAX` minus the block number, so that long prefixes sort first.
    inverse_depth: u64,
    prefix: PrefixHash,
}

#[derive(Clone, Copy, Debug)]
struct CacheBlock {
    /// Sequences that reference the block.
    users: u32,
    key: EvictionKey,
}

/// Cache of prompt prefix blocks, which stay in memory after their sequences
/// end until they are evicted.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    blocks: HashMap<PrefixHash, CacheBlock>,
    /// Blocks without users, in eviction order.
    idle: BTreeMap<EvictionKey, PrefixHash>,
    /// Counter of acquire and release calls, which orders blocks by last use.
    use_count: u64,
    events: VecDeque<CacheEvent>,
    /// Log position of the first event that is still kept.
    first_position: u64,
}

impl PrefixCache {
    /// Returns how many leading blocks of `prefixes` are in the cache.
    #[must_use]
    pub fn matching_blocks(&self, prefixes: &[PrefixHash]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains_key(prefix))
            .count()
    }

    /// Tokens in blocks that running sequences reference.
    #[must_use]
    pub fn used_tokens(&self) -> TokenCount {
        tokens_in(self.blocks.len() - self.idle.len())
    }

    /// Tokens in blocks that can be evicted at any time.
    #[must_use]
    pub fn idle_tokens(&self) -> TokenCount {
        tokens_in(self.idle.len())
    }

    /// Tokens in idle blocks of `prefixes`, which stop being evictable once a
    /// sequence uses them.
    #[must_use]
    pub fn idle_tokens_in(&self, prefixes: &[PrefixHash]) -> TokenCount {
        let idle = prefixes.iter().filter(|prefix| {
            self.blocks
                .get(prefix)
                .is_some_and(|block| block.users == 0)
        });
        tokens_in(idle.count())
    }

    /// Adds a reference to each block of `prefixes` and stores missing blocks;
    /// the first is block number `from` of its prompt.
    pub fn acquire(&mut self, from: usize, prefixes: &[PrefixHash]) {
        self.use_count += 1;
        for (index, prefix) in prefixes.iter().enumerate() {
            self.acquire_block(*prefix, from + index);
        }
    }

    /// Drops a reference to each block of `prefixes`.
    pub fn release(&mut self, prefixes: &[PrefixHash]) {
        self.use_count += 1;
        for prefix in prefixes {
            let Some(block) = self.blocks.get_mut(prefix) else {
                continue;
            };
            block.users = block.users.saturating_sub(1);
            block.key.last_use = self.use_count;
            if block.users == 0 {
                self.idle.insert(block.key, *prefix);
            }
        }
    }

    /// Evicts idle blocks until they hold at most `limit` tokens.
    pub fn shrink_idle(&mut self, limit: TokenCount) {
        while self.idle_tokens() > limit {
            let Some((_, prefix)) = self.idle.pop_first() else {
                return;
            };
            self.blocks.remove(&prefix);
            self.record(CacheEvent::Evicted { prefix });
        }
    }

    /// Events from log position `after` on.
    #[must_use]
    pub fn events_after(&self, after: u64) -> CacheSlice {
        let first = after.max(self.first_position);
        let skipped = usize::try_from(first - self.first_position).unwrap_or(usize::MAX);
        let events: Vec<CacheEvent> = self.events.iter().skip(skipped).copied().collect();
        let next = first + u64::try_from(events.len()).unwrap_or(0);
        CacheSlice {
            first,
            next,
            events,
        }
    }

    /// Drops every block, as a crash does. Log positions keep increasing, so
    /// readers see a gap.
    pub fn clear(&mut self) {
        let lost = u64::try_from(self.events.len()).unwrap_or(0);
        self.first_position += lost + 1;
        self.events.clear();
        self.blocks.clear();
        self.idle.clear();
    }

    fn acquire_block(&mut self, prefix: PrefixHash, index: usize) {
        if let Some(block) = self.blocks.get_mut(&prefix) {
            if block.users == 0 {
                self.idle.remove(&block.key);
            }
            block.users += 1;
            block.key.last_use = self.use_count;
            return;
        }
        let depth = u64::try_from(index).unwrap_or(u64::MAX);
        let key = EvictionKey {
            last_use: self.use_count,
            inverse_depth: u64::MAX - depth,
            prefix,
        };
        self.blocks.insert(prefix, CacheBlock { users: 1, key });
        self.record(CacheEvent::Stored { prefix });
    }

    fn record(&mut self, event: CacheEvent) {
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
            self.first_position += 1;
        }
        self.events.push_back(event);
    }
}

fn tokens_in(blocks: usize) -> TokenCount {
    u64::try_from(blocks).unwrap_or(u64::MAX) * CACHE_BLOCK_TOKENS
}
