//! Which prompt prefixes an engine is believed to have in its cache.

use std::collections::{HashMap, VecDeque};

use types::{CACHE_BLOCK_TOKENS, CacheEvent, PrefixHash, PromptJob, TokenCount};

/// Most prefixes remembered for one engine.
const PREFIXES_MAX: usize = 16_384;

/// Beliefs about one engine's cache. A wrong one costs time only.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    cached: HashMap<PrefixHash, u64>,
    insertion_order: VecDeque<(PrefixHash, u64)>,
    sequence: u64,
}

impl PrefixIndex {
    /// Takes cache events; after a gap older beliefs are kept, since answers
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

    /// Tokens of the job's prompt believed to be cached.
    pub(crate) fn cached_tokens(&self, job: &PromptJob) -> TokenCount {
        let blocks = job.prefixes.iter();
        let found = blocks
            .take_while(|prefix| self.cached.contains_key(prefix))
            .count();
        prefix_tokens(job, found)
    }

    /// Corrects beliefs by what the engine found when it started the job, and
    /// notes that it stores the rest now.
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

    /// Forgets everything, as a new life of the engine does.
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

/// Tokens that the first `blocks` prefixes of the job cover.
fn prefix_tokens(job: &PromptJob, blocks: usize) -> TokenCount {
    let blocks = u64::try_from(blocks).unwrap_or(u64::MAX);
    let tokens = blocks.saturating_mul(CACHE_BLOCK_TOKENS);
    tokens.min(job.prompt_tokens)
}
