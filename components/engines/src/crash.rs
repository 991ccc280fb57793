//! Which prompts crash the engines that run them.
//!
//! A prompt that was lost by one death is suspected; two suspects never share
//! an engine, so a second death points at one prompt alone. That prompt is
//! quarantined for a time, and its deaths are held against nobody else. Where
//! another organisation had prompts at both deaths, a third is asked for, so
//! that it can't have somebody else's prompt quarantined.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{DeathCause, DeathId, DeathRecord, PromptFingerprint};

/// Knobs of crash attribution.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashSettings {
    /// Deaths of engines that make a prompt guilty.
    pub guilty_deaths: usize,
    /// Time for which a death is held against prompts, and a quarantine lasts.
    pub memory: Duration,
    /// Most deaths remembered; the oldest go first.
    pub death_limit: usize,
    /// Most suspects of one death; more are not held against anybody.
    pub suspect_limit: usize,
    /// This many deaths within `mass_window` are a failure of something else.
    pub mass_deaths: usize,
    /// See `mass_deaths`.
    pub mass_window: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            guilty_deaths: 2,
            memory: Duration::from_mins(15),
            death_limit: 1_024,
            suspect_limit: 256,
            mass_deaths: 4,
            mass_window: Duration::from_secs(2),
        }
    }
}

/// What is held of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing.
    Clear,
    /// It was lost by a death; it runs beside no other suspect.
    Suspect,
    /// It is not run until the time given has passed.
    Quarantined {
        /// Time left.
        left: Duration,
    },
}

/// A quarantined prompt as an operator sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// The prompt.
    pub fingerprint: PromptFingerprint,
    /// The deaths it caused.
    pub deaths: Vec<DeathId>,
    /// Time left.
    pub left: Duration,
}

#[derive(Clone, Debug)]
struct KnownDeath {
    first_told: Instant,
    suspects: BTreeSet<PromptFingerprint>,
    // Prompts that ran on since, and are not held by a late word again.
    passed: BTreeSet<PromptFingerprint>,
    cause: DeathCause,
    in_mass: bool,
}

/// Deaths, and what they say of prompts.
#[derive(Debug)]
pub struct CrashTracker {
    settings: CrashSettings,
    deaths: BTreeMap<DeathId, KnownDeath>,
    // Deaths by prompt, for lookups at each arrival.
    by_prompt: BTreeMap<PromptFingerprint, BTreeSet<DeathId>>,
}

impl CrashTracker {
    /// A ledger that knows of no death.
    #[must_use]
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            deaths: BTreeMap::new(),
            by_prompt: BTreeMap::new(),
        }
    }

    /// Whether nothing is held of any prompt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_prompt.is_empty()
    }

    /// Takes that one life of an engine ended and which prompts ran there.
    pub fn record_death(&mut self, now: Instant, death: &DeathId, prompts: &[PromptFingerprint]) {
        self.expire(now);
        for prompt in prompts {
            self.hold(now, death, *prompt);
        }
        self.attribute();
    }

    /// Takes that a prompt was answered whole, or ran on past the place of the
    /// death: what it was lost by, it did not cause.
    pub fn record_success(&mut self, prompt: PromptFingerprint) {
        let Some(deaths) = self.by_prompt.remove(&prompt) else {
            return;
        };
        for death in deaths {
            if let Some(known) = self.deaths.get_mut(&death) {
                known.suspects.remove(&prompt);
                known.passed.insert(prompt);
            }
        }
        self.attribute();
    }

    /// Takes what another node knows of a death.
    pub fn merge_record(&mut self, now: Instant, record: &DeathRecord) {
        self.expire(now);
        if record.age >= self.settings.memory {
            return;
        }
        for prompt in &record.suspects {
            self.hold(now, &record.death, *prompt);
        }
        if record.cause != DeathCause::Unknown
            && let Some(known) = self.deaths.get_mut(&record.death)
            && known.cause != DeathCause::Cleared
        {
            // The other node may know which of the others ran on since.
            known.cause = record.cause;
        }
        self.attribute();
    }

    /// What is held of a prompt now.
    #[must_use]
    pub fn verdict(&self, now: Instant, prompt: &PromptFingerprint) -> CrashVerdict {
        let Some(deaths) = self.by_prompt.get(prompt) else {
            return CrashVerdict::Clear;
        };
        let guilty = DeathCause::Prompt(*prompt);
        let mut suspected = false;
        let mut left = Duration::ZERO;
        for known in deaths.iter().filter_map(|death| self.deaths.get(death)) {
            let rest = self.left(now, known);
            if known.cause == guilty {
                left = left.max(rest);
            }
            suspected |= known.cause == DeathCause::Unknown && !rest.is_zero();
        }
        if !left.is_zero() {
            return CrashVerdict::Quarantined { left };
        }
        if suspected {
            return CrashVerdict::Suspect;
        }
        CrashVerdict::Clear
    }

    /// The deaths that a prompt was lost by, without the other prompts, for
    /// the node that runs it next.
    #[must_use]
    pub fn deaths_of(&self, now: Instant, prompt: &PromptFingerprint) -> Vec<DeathRecord> {
        let deaths = self.by_prompt.get(prompt).into_iter().flatten();
        deaths
            .filter_map(|death| {
                let known = self.deaths.get(death)?;
                Some(DeathRecord {
                    death: death.clone(),
                    age: now.saturating_duration_since(known.first_told),
                    suspects: BTreeSet::from([*prompt]),
                    cause: known.cause,
                })
            })
            .collect()
    }

    /// The quarantined prompts.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantineEntry> {
        let prompts = self.by_prompt.iter();
        prompts
            .filter_map(|(prompt, deaths)| match self.verdict(now, prompt) {
                CrashVerdict::Quarantined { left } => Some(QuarantineEntry {
                    fingerprint: *prompt,
                    deaths: deaths.iter().cloned().collect(),
                    left,
                }),
                CrashVerdict::Clear | CrashVerdict::Suspect => None,
            })
            .collect()
    }

    /// Clears a prompt by an operator's hand; its deaths are held against
    /// nobody from now on. False when nothing was held.
    pub fn clear(&mut self, prompt: &PromptFingerprint) -> bool {
        let Some(deaths) = self.by_prompt.get(prompt) else {
            return false;
        };
        for death in deaths {
            if let Some(known) = self.deaths.get_mut(death) {
                known.cause = DeathCause::Cleared;
            }
        }
        self.attribute();
        true
    }

    /// The newest `limit` deaths, for other nodes.
    #[must_use]
    pub fn newest_deaths(&self, now: Instant, limit: usize) -> Vec<DeathRecord> {
        let mut records: Vec<DeathRecord> = self
            .deaths
            .iter()
            .map(|(death, known)| DeathRecord {
                death: death.clone(),
                age: now.saturating_duration_since(known.first_told),
                suspects: known.suspects.clone(),
                cause: known.cause,
            })
            .collect();
        records.sort_by_key(|record| record.age);
        records.truncate(limit);
        records
    }

    fn hold(&mut self, now: Instant, death: &DeathId, prompt: PromptFingerprint) {
        let known = self
            .deaths
            .entry(death.clone())
            .or_insert_with(|| KnownDeath {
                first_told: now,
                suspects: BTreeSet::new(),
                passed: BTreeSet::new(),
                cause: DeathCause::Unknown,
                in_mass: false,
            });
        let full = known.suspects.len() >= self.settings.suspect_limit;
        if full || known.passed.contains(&prompt) {
            return;
        }
        known.suspects.insert(prompt);
        self.by_prompt
            .entry(prompt)
            .or_default()
            .insert(death.clone());
    }

    /// Holds deaths that nothing explains yet against the prompts that have
    /// enough of them. A death once explained stays so: a bystander that is
    /// lost again can't take a quarantine back.
    fn attribute(&mut self) {
        self.mark_mass_failures();
        while let Some(prompt) = self.next_guilty() {
            for death in self.unexplained(&prompt) {
                if let Some(known) = self.deaths.get_mut(&death) {
                    known.cause = DeathCause::Prompt(prompt);
                }
            }
        }
    }

    /// The prompt with most deaths among those that have enough and were,
    /// at one of them, the one with most.
    fn next_guilty(&self) -> Option<PromptFingerprint> {
        let enough = self.settings.guilty_deaths;
        let counted = self.by_prompt.keys().filter_map(|prompt| {
            let deaths = self.unexplained(prompt);
            let needed = enough + usize::from(self.has_companion(prompt, &deaths));
            let leads = || deaths.iter().any(|death| self.leads(prompt, death));
            (deaths.len() >= enough && deaths.len() >= needed && leads())
                .then_some((deaths.len(), *prompt))
        });
        counted.max().map(|(_, prompt)| prompt)
    }

    /// Whether no other suspect of `death` has as many deaths as `prompt`.
    fn leads(&self, prompt: &PromptFingerprint, death: &DeathId) -> bool {
        let Some(known) = self.deaths.get(death) else {
            return false;
        };
        let count = self.unexplained(prompt).len();
        let mut others = known.suspects.iter().filter(|other| *other != prompt);
        others.all(|other| self.unexplained(other).len() < count)
    }

    /// Whether another organisation had prompts, whichever, at every one of
    /// `deaths`: it may have caused them with a prompt for each.
    fn has_companion(&self, prompt: &PromptFingerprint, deaths: &[DeathId]) -> bool {
        let Some((first, rest)) = deaths.split_first() else {
            return false;
        };
        let others_at = |death: &DeathId| {
            let known = self.deaths.get(death);
            let suspects = known.into_iter().flat_map(|known| &known.suspects);
            suspects.filter(|other| !other.same_organisation(prompt))
        };
        others_at(first).any(|other| {
            rest.iter()
                .all(|death| others_at(death).any(|later| later.same_organisation(other)))
        })
    }

    fn unexplained(&self, prompt: &PromptFingerprint) -> Vec<DeathId> {
        let deaths = self.by_prompt.get(prompt).into_iter().flatten();
        deaths
            .filter(|death| {
                let known = self.deaths.get(death);
                known.is_some_and(|known| known.cause == DeathCause::Unknown && !known.in_mass)
            })
            .cloned()
            .collect()
    }

    /// Marks deaths of a time when many engines died: a rack, a switch or a
    /// zone failed, not a prompt.
    fn mark_mass_failures(&mut self) {
        let mut times: Vec<Instant> = self.deaths.values().map(|known| known.first_told).collect();
        times.sort_unstable();
        let window = self.settings.mass_window;
        for known in self.deaths.values_mut() {
            let at = known.first_told;
            let first = times.partition_point(|time| *time + window < at);
            let end = times.partition_point(|time| *time <= at + window);
            known.in_mass = end - first >= self.settings.mass_deaths;
        }
    }

    fn left(&self, now: Instant, known: &KnownDeath) -> Duration {
        let age = now.saturating_duration_since(known.first_told);
        self.settings.memory.saturating_sub(age)
    }

    fn expire(&mut self, now: Instant) {
        let memory = self.settings.memory;
        let mut gone: Vec<DeathId> = self
            .deaths
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.first_told) >= memory)
            .map(|(death, _)| death.clone())
            .collect();
        let excess = (self.deaths.len() - gone.len()).saturating_sub(self.settings.death_limit);
        if excess > 0 {
            let mut oldest: Vec<(Instant, DeathId)> = self
                .deaths
                .iter()
                .map(|(death, known)| (known.first_told, death.clone()))
                .collect();
            oldest.sort_unstable();
            gone.extend(oldest.into_iter().take(excess).map(|(_, death)| death));
        }
        for death in gone {
            self.forget(&death);
        }
    }

    fn forget(&mut self, death: &DeathId) {
        let Some(known) = self.deaths.remove(death) else {
            return;
        };
        for prompt in known.suspects {
            if let Some(deaths) = self.by_prompt.get_mut(&prompt) {
                deaths.remove(death);
                if deaths.is_empty() {
                    self.by_prompt.remove(&prompt);
                }
            }
        }
    }
}
