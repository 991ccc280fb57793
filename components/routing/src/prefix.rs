//! Estimate of the prompt prefixes in each engine's prefix cache.

use std::collections::{HashMap, VecDeque};

use types::{CACHE_BLOCK_TOKENS, CacheEvent, PrefixHash, PromptJob, TokenCount};

/// Largest number of prefixes tracked per engine.
const PREFIXES_MAX: usize = 16_384;

/// Prefixes that one engine is estimated to have cached. A wrong entry costs
/// time only.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    cached: HashMap<PrefixHash, u64>,
    insertion_order: VecDeque<(PrefixHash, u64)>,
    sequence: u64,
}

impl PrefixIndex {
    /// Applies cache events. Entries stay when earlier events were lost, since
    /// the token counts that the engine reports at the start of prefills
    /// correct them.
    pub(crate) fn apply_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            match event {
                CacheEvent::Stored { prefix } => self.insert(*prefix),
                CacheEvent::Evicted { prefix } => {
                    self.cached.remove(prefix);
                }
            }
        }
    }

    /// Estimated number of cached tokens of the job's prompt.
    pub(crate) fn cached_tokens(&self, job: &PromptJob) -> TokenCount {
        let blocks = job.prefixes.iter();
        let found = blocks
            .take_while(|prefix| self.cached.contains_key(prefix))
            .count();
        prefix_tokens(job, found)
    }

    /// Corrects the estimate by the number of tokens that the engine found when
    /// it started the job, and records that the engine now stores the prompt.
    /// Of a long prompt only as many blocks are recorded as fill a quarter of
    /// the index.
    pub(crate) fn correct_from_start(&mut self, job: &PromptJob, cached_tokens: TokenCount) {
        let blocks = job.prefixes.len();
        let found = (0..=blocks)
            .rev()
            .find(|count| prefix_tokens(job, *count) <= cached_tokens);
        for prefix in job.prefixes.iter().skip(found.unwrap_or(0)) {
            self.cached.remove(prefix);
        }
        for prefix in job.prefixes.iter().take(PREFIXES_MAX / 4) {
            self.insert(*prefix);
        }
    }

    /// Clears the index after the engine restarted with an empty cache.
    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.insertion_order.clear();
    }

    fn insert(&mut self, prefix: PrefixHash) {
        self.sequence += 1;
        self.cached.insert(prefix, self.sequence);
        self.insertion_order.push_back((prefix, self.sequence));
        while self.insertion_order.len() > PREFIXES_MAX {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((prefix, sequence)) = self.insertion_order.pop_front() else {
            return;
        };
        if self.cached.get(&prefix) == Some(&sequence) {
            self.cached.remove(&prefix);
        }
    }
}

/// Number of tokens in the first `blocks` cache blocks of the job.
fn prefix_tokens(job: &PromptJob, blocks: usize) -> TokenCount {
    let blocks = u64::try_from(blocks).unwrap_or(u64::MAX);
    let tokens = blocks.saturating_mul(CACHE_BLOCK_TOKENS);
    tokens.min(job.prompt_tokens)
}
