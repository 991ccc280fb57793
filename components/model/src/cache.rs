//! The prefix cache of one engine: counted blocks, evicted least recent first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use types::{CACHE_BLOCK_TOKENS, CacheEvent, PrefixHash, TokenCount};

/// Most cache events kept for readers; older ones are lost to them.
const LOG_LIMIT: usize = 8_192;

/// Cache events after a place in the engine's log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheSlice {
    /// Place of the first event.
    pub first: u64,
    /// Place to read from next time.
    pub next: u64,
    /// The events; those between the place asked for and `first` are lost.
    pub events: Vec<CacheEvent>,
}

/// Order of eviction: least recent first, and the longest prefix first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvictionKey {
    used: u64,
    shortness: u64,
    prefix: PrefixHash,
}

#[derive(Clone, Copy, Debug)]
struct CacheBlock {
    users: u32,
    key: EvictionKey,
}

/// Blocks of prompt prefixes that stay in memory after their sequences ended.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    blocks: HashMap<PrefixHash, CacheBlock>,
    idle: BTreeMap<EvictionKey, PrefixHash>,
    uses: u64,
    log: VecDeque<CacheEvent>,
    log_first: u64,
}

impl PrefixCache {
    /// Blocks of `prefixes`, from the first on, that are in the cache.
    #[must_use]
    pub fn matching(&self, prefixes: &[PrefixHash]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains_key(prefix))
            .count()
    }

    /// Tokens in blocks that running sequences use.
    #[must_use]
    pub fn used_tokens(&self) -> TokenCount {
        tokens_of(self.blocks.len() - self.idle.len())
    }

    /// Tokens in blocks that can be evicted at any time.
    #[must_use]
    pub fn idle_tokens(&self) -> TokenCount {
        tokens_of(self.idle.len())
    }

    /// Tokens in blocks of `prefixes` that would leave the idle blocks if a
    /// sequence used them.
    #[must_use]
    pub fn idle_among(&self, prefixes: &[PrefixHash]) -> TokenCount {
        let idle = prefixes.iter().filter(|prefix| {
            self.blocks
                .get(prefix)
                .is_some_and(|block| block.users == 0)
        });
        tokens_of(idle.count())
    }

    /// Marks the blocks of `prefixes` as used by one more sequence, storing
    /// those that are missing; the first is block number `from` of its prompt.
    pub fn take(&mut self, from: usize, prefixes: &[PrefixHash]) {
        self.uses += 1;
        for (index, prefix) in prefixes.iter().enumerate() {
            self.take_block(*prefix, from + index);
        }
    }

    /// Marks the blocks of `prefixes` as used by one sequence less.
    pub fn leave(&mut self, prefixes: &[PrefixHash]) {
        self.uses += 1;
        for prefix in prefixes {
            let Some(block) = self.blocks.get_mut(prefix) else {
                continue;
            };
            block.users = block.users.saturating_sub(1);
            block.key.used = self.uses;
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

    /// Events from place `after` on.
    #[must_use]
    pub fn events_after(&self, after: u64) -> CacheSlice {
        let first = after.max(self.log_first);
        let skipped = usize::try_from(first - self.log_first).unwrap_or(usize::MAX);
        let events: Vec<CacheEvent> = self.log.iter().skip(skipped).copied().collect();
        let next = first + u64::try_from(events.len()).unwrap_or(0);
        CacheSlice {
            first,
            next,
            events,
        }
    }

    /// Forgets every block, as a crash does; the log's places go on.
    pub fn clear(&mut self) {
        let lost = u64::try_from(self.log.len()).unwrap_or(0);
        self.log_first += lost + 1;
        self.log.clear();
        self.blocks.clear();
        self.idle.clear();
    }

    fn take_block(&mut self, prefix: PrefixHash, index: usize) {
        if let Some(block) = self.blocks.get_mut(&prefix) {
            if block.users == 0 {
                self.idle.remove(&block.key);
            }
            block.users += 1;
            block.key.used = self.uses;
            return;
        }
        let depth = u64::try_from(index).unwrap_or(u64::MAX);
        let key = EvictionKey {
            used: self.uses,
            shortness: u64::MAX - depth,
            prefix,
        };
        self.blocks.insert(prefix, CacheBlock { users: 1, key });
        self.record(CacheEvent::Stored { prefix });
    }

    fn record(&mut self, event: CacheEvent) {
        if self.log.len() == LOG_LIMIT {
            self.log.pop_front();
            self.log_first += 1;
        }
        self.log.push_back(event);
    }
}

fn tokens_of(blocks: usize) -> TokenCount {
    u64::try_from(blocks).unwrap_or(u64::MAX) * CACHE_BLOCK_TOKENS
}
