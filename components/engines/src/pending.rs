//! Gathers the reports of an engine's death. Several nodes may have had prompts
//! on the engine, and each reports only its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{DeathId, PromptFingerprint};

/// Deaths whose reports may still be incomplete. They count against no prompt
/// until they have settled, since a prompt that another node has not reported yet
/// may be the cause.
#[derive(Debug)]
pub struct PendingDeaths {
    settle_time: Duration,
    deaths: BTreeMap<DeathId, PendingDeath>,
}

#[derive(Debug)]
struct PendingDeath {
    first_reported: Instant,
    suspects: BTreeSet<PromptFingerprint>,
}

impl PendingDeaths {
    /// Creates an empty collection whose deaths settle `settle_time` after their
    /// first report.
    #[must_use]
    pub fn new(settle_time: Duration) -> Self {
        Self {
            settle_time,
            deaths: BTreeMap::new(),
        }
    }

    /// Whether every reported death has settled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty()
    }

    /// Adds one node's report of a death: the prompts that it had on the engine.
    pub fn add_report(
        &mut self,
        now: Instant,
        death: &DeathId,
        suspects: impl IntoIterator<Item = PromptFingerprint>,
    ) {
        let pending = self
            .deaths
            .entry(death.clone())
            .or_insert_with(|| PendingDeath {
                first_reported: now,
                suspects: BTreeSet::new(),
            });
        pending.suspects.extend(suspects);
    }

    /// Removes a prompt that succeeded from the suspects.
    pub fn record_success(&mut self, prompt: &PromptFingerprint) {
        for pending in self.deaths.values_mut() {
            pending.suspects.remove(prompt);
        }
    }

    /// Time until every death that `prompt` is a suspect of has settled; `None`
    /// if there is no such death.
    #[must_use]
    pub fn time_left(&self, now: Instant, prompt: &PromptFingerprint) -> Option<Duration> {
        let deaths = self.deaths.values();
        deaths
            .filter(|pending| pending.suspects.contains(prompt))
            .map(|pending| (pending.first_reported + self.settle_time).duration_since(now))
            .max()
    }

    /// Removes and returns the deaths that have settled, with all reported
    /// suspects.
    pub fn take_settled(&mut self, now: Instant) -> Vec<(DeathId, Vec<PromptFingerprint>)> {
        let settle_time = self.settle_time;
        self.deaths
            .extract_if(.., |_, pending| pending.first_reported + settle_time <= now)
            .map(|(death, pending)| (death, pending.suspects.into_iter().collect()))
            .collect()
    }
}
