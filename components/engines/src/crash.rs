//! Attribution of engine crashes to the prompts that cause them.
//!
//! A prompt that ran on an engine when the engine died is a suspect. The caller
//! runs two suspects on different engines, so a second death identifies one
//! prompt. That prompt is quarantined for a time, and its deaths no longer count
//! against any other prompt. If another organisation also had prompts on the
//! engines at both deaths, a third death is required, so that two deaths that
//! the other organisation causes are not enough to quarantine the prompt.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{DeathCause, DeathId, DeathRecord, PromptFingerprint};

/// Thresholds and limits of crash attribution.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashSettings {
    /// Minimum number of unattributed deaths, outside mass failures, at which a
    /// prompt is quarantined; one more if another organisation has suspects at
    /// every one of them. The prompt must also have more of them than every other
    /// suspect of one of these deaths.
    pub quarantine_deaths: usize,
    /// Time, from when this node first learned of it, for which a death counts
    /// against prompts. A quarantine ends at the latest when the last death
    /// attributed to the prompt expires, and earlier if the prompt succeeds, an
    /// operator clears it, or its deaths are removed because of `death_limit`.
    pub retention: Duration,
    /// Maximum number of deaths kept, checked before a death is added; the oldest
    /// are removed first.
    pub death_limit: usize,
    /// Maximum number of suspects of one death; further ones are ignored.
    pub suspect_limit: usize,
    /// Number of deaths, including the death itself, reported within
    /// `mass_failure_window` on either side of it that make it part of a mass
    /// failure, whose cause is not a prompt.
    pub mass_failure_deaths: usize,
    /// Time both before and after the report of a death in which reports of other
    /// deaths count towards a mass failure.
    pub mass_failure_window: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            quarantine_deaths: 2,
            retention: Duration::from_mins(15),
            death_limit: 1_024,
            suspect_limit: 256,
            mass_failure_deaths: 4,
            mass_failure_window: Duration::from_secs(2),
        }
    }
}

/// How a prompt may run, given the deaths that count against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The prompt is a suspect of no death of unknown cause, and not quarantined.
    Clear,
    /// An engine died with the prompt on it; the prompt must not share an engine
    /// with another suspect.
    Suspect,
    /// An engine died with the prompt on it, and other nodes may not have reported
    /// their prompts yet; the prompt must wait before it runs again.
    Settling {
        /// Time until the verdict is known.
        left: Duration,
    },
    /// The prompt is refused until the quarantine ends.
    Quarantined {
        /// Time until the quarantine ends.
        left: Duration,
    },
}

/// A quarantined prompt as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// Fingerprint of the quarantined prompt.
    pub fingerprint: PromptFingerprint,
    /// Engine deaths that the prompt was a suspect of.
    pub deaths: Vec<DeathId>,
    /// Time until the quarantine ends.
    pub left: Duration,
}

#[derive(Clone, Debug)]
struct KnownDeath {
    first_reported: Instant,
    suspects: BTreeSet<PromptFingerprint>,
    // Prompts that succeeded since; late reports don't make them suspects again.
    succeeded: BTreeSet<PromptFingerprint>,
    cause: DeathCause,
    in_mass_failure: bool,
}

/// Recent engine deaths, their suspects and causes.
#[derive(Debug)]
pub struct CrashTracker {
    settings: CrashSettings,
    deaths: BTreeMap<DeathId, KnownDeath>,
    // Index of `deaths` by suspect, for the check of each arriving prompt.
    by_prompt: BTreeMap<PromptFingerprint, BTreeSet<DeathId>>,
}

impl CrashTracker {
    /// Creates a tracker without any deaths.
    #[must_use]
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            deaths: BTreeMap::new(),
            by_prompt: BTreeMap::new(),
        }
    }

    /// Whether no prompt is a suspect of a recorded death. Attributed and cleared
    /// deaths also count as recorded until they expire.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_prompt.is_empty()
    }

    /// Records the prompts that ran on an engine that died; without prompts the
    /// death is not recorded and does not count towards a mass failure.
    pub fn record_death(&mut self, now: Instant, death: &DeathId, prompts: &[PromptFingerprint]) {
        self.expire(now);
        for prompt in prompts {
            self.add_suspect(now, death, *prompt);
        }
        self.attribute();
    }

    /// Records that a prompt succeeded, so it did not cause the deaths it is a
    /// suspect of: it was answered in full, or got further than at the death that
    /// interrupted it.
    pub fn record_success(&mut self, prompt: PromptFingerprint) {
        let Some(deaths) = self.by_prompt.remove(&prompt) else {
            return;
        };
        for death in deaths {
            if let Some(known) = self.deaths.get_mut(&death) {
                known.suspects.remove(&prompt);
                known.succeeded.insert(prompt);
            }
        }
        self.attribute();
    }

    /// Merges the record of a death from another node; ignores expired records.
    pub fn merge_record(&mut self, now: Instant, record: &DeathRecord) {
        self.expire(now);
        if record.age >= self.settings.retention {
            return;
        }
        for prompt in &record.suspects {
            self.add_suspect(now, &record.death, *prompt);
        }
        if record.cause != DeathCause::Unknown
            && let Some(known) = self.deaths.get_mut(&record.death)
            && known.cause != DeathCause::Cleared
        {
            // Takes over the other node's cause: that node may know that some of
            // the suspects here succeeded.
            known.cause = record.cause;
        }
        self.attribute();
    }

    /// Whether a prompt may run freely, must run apart from other suspects, or is
    /// refused at `now`.
    #[must_use]
    pub fn verdict(&self, now: Instant, prompt: &PromptFingerprint) -> CrashVerdict {
        let Some(deaths) = self.by_prompt.get(prompt) else {
            return CrashVerdict::Clear;
        };
        let attributed = DeathCause::Prompt(*prompt);
        let mut suspected = false;
        let mut left = Duration::ZERO;
        for known in deaths.iter().filter_map(|death| self.deaths.get(death)) {
            let time_left = self.time_left(now, known);
            if known.cause == attributed {
                left = left.max(time_left);
            }
            suspected |= known.cause == DeathCause::Unknown && !time_left.is_zero();
        }
        if !left.is_zero() {
            return CrashVerdict::Quarantined { left };
        }
        if suspected {
            return CrashVerdict::Suspect;
        }
        CrashVerdict::Clear
    }

    /// Records of the deaths that a prompt is a suspect of, without the other
    /// suspects, for the node that runs the prompt next.
    #[must_use]
    pub fn deaths_of(&self, now: Instant, prompt: &PromptFingerprint) -> Vec<DeathRecord> {
        let deaths = self.by_prompt.get(prompt).into_iter().flatten();
        deaths
            .filter_map(|death| {
                let known = self.deaths.get(death)?;
                Some(DeathRecord {
                    death: death.clone(),
                    age: now.saturating_duration_since(known.first_reported),
                    suspects: BTreeSet::from([*prompt]),
                    cause: known.cause,
                })
            })
            .collect()
    }

    /// All prompts in quarantine at `now`.
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
                CrashVerdict::Clear | CrashVerdict::Suspect | CrashVerdict::Settling { .. } => None,
            })
            .collect()
    }

    /// Clears a prompt on behalf of an operator; its deaths no longer count
    /// against any prompt. Returns false if it is a suspect of no recorded death.
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

    /// Records of the newest `limit` deaths, to send to other nodes.
    #[must_use]
    pub fn newest_deaths(&self, now: Instant, limit: usize) -> Vec<DeathRecord> {
        let mut records: Vec<DeathRecord> = self
            .deaths
            .iter()
            .map(|(death, known)| DeathRecord {
                death: death.clone(),
                age: now.saturating_duration_since(known.first_reported),
                suspects: known.suspects.clone(),
                cause: known.cause,
            })
            .collect();
        records.sort_by_key(|record| record.age);
        records.truncate(limit);
        records
    }

    fn add_suspect(&mut self, now: Instant, death: &DeathId, prompt: PromptFingerprint) {
        let known = self
            .deaths
            .entry(death.clone())
            .or_insert_with(|| KnownDeath {
                first_reported: now,
                suspects: BTreeSet::new(),
                succeeded: BTreeSet::new(),
                cause: DeathCause::Unknown,
                in_mass_failure: false,
            });
        let at_limit = known.suspects.len() >= self.settings.suspect_limit;
        if at_limit || known.succeeded.contains(&prompt) {
            return;
        }
        known.suspects.insert(prompt);
        self.by_prompt
            .entry(prompt)
            .or_default()
            .insert(death.clone());
    }

    /// Attributes deaths of unknown cause to the prompts with enough of them.
    /// Attributed deaths are left as they are: a later death of another suspect
    /// can't revoke a quarantine.
    fn attribute(&mut self) {
        self.mark_mass_failures();
        while let Some(prompt) = self.next_to_quarantine() {
            for death in self.unattributed_deaths(&prompt) {
                if let Some(known) = self.deaths.get_mut(&death) {
                    known.cause = DeathCause::Prompt(prompt);
                }
            }
        }
    }

    /// Next prompt to quarantine. Candidates have enough unattributed deaths and,
    /// at one of these deaths, more of them than every other suspect. The
    /// candidate with the most unattributed deaths is returned.
    fn next_to_quarantine(&self) -> Option<PromptFingerprint> {
        let threshold = self.settings.quarantine_deaths;
        let candidates = self.by_prompt.keys().filter_map(|prompt| {
            let deaths = self.unattributed_deaths(prompt);
            let needed = threshold + usize::from(self.has_other_organisation_at(prompt, &deaths));
            let has_most = || {
                deaths
                    .iter()
                    .any(|death| self.has_most_deaths(prompt, death))
            };
            (deaths.len() >= threshold && deaths.len() >= needed && has_most())
                .then_some((deaths.len(), *prompt))
        });
        candidates.max().map(|(_, prompt)| prompt)
    }

    /// Whether `prompt` has more unattributed deaths than any other suspect of
    /// `death`.
    fn has_most_deaths(&self, prompt: &PromptFingerprint, death: &DeathId) -> bool {
        let Some(known) = self.deaths.get(death) else {
            return false;
        };
        let count = self.unattributed_deaths(prompt).len();
        let mut others = known.suspects.iter().filter(|other| *other != prompt);
        others.all(|other| self.unattributed_deaths(other).len() < count)
    }

    /// Whether another organisation has suspects in every one of `deaths`; it may
    /// have caused each death with a different prompt.
    fn has_other_organisation_at(&self, prompt: &PromptFingerprint, deaths: &[DeathId]) -> bool {
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

    fn unattributed_deaths(&self, prompt: &PromptFingerprint) -> Vec<DeathId> {
        let deaths = self.by_prompt.get(prompt).into_iter().flatten();
        deaths
            .filter(|death| {
                let known = self.deaths.get(death);
                known.is_some_and(|known| {
                    known.cause == DeathCause::Unknown && !known.in_mass_failure
                })
            })
            .cloned()
            .collect()
    }

    /// Marks deaths that were reported at a time when many engines died: a rack,
    /// switch or zone failed, and no prompt caused them.
    fn mark_mass_failures(&mut self) {
        let mut times: Vec<Instant> = self
            .deaths
            .values()
            .map(|known| known.first_reported)
            .collect();
        times.sort_unstable();
        let window = self.settings.mass_failure_window;
        for known in self.deaths.values_mut() {
            let at = known.first_reported;
            let first = times.partition_point(|time| *time + window < at);
            let end = times.partition_point(|time| *time <= at + window);
            known.in_mass_failure = end - first >= self.settings.mass_failure_deaths;
        }
    }

    fn time_left(&self, now: Instant, known: &KnownDeath) -> Duration {
        let age = now.saturating_duration_since(known.first_reported);
        self.settings.retention.saturating_sub(age)
    }

    fn expire(&mut self, now: Instant) {
        let retention = self.settings.retention;
        let mut removed: Vec<DeathId> = self
            .deaths
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.first_reported) >= retention)
            .map(|(death, _)| death.clone())
            .collect();
        let excess = (self.deaths.len() - removed.len()).saturating_sub(self.settings.death_limit);
        if excess > 0 {
            let mut oldest: Vec<(Instant, DeathId)> = self
                .deaths
                .iter()
                .map(|(death, known)| (known.first_reported, death.clone()))
                .collect();
            oldest.sort_unstable();
            removed.extend(oldest.into_iter().take(excess).map(|(_, death)| death));
        }
        for death in removed {
            self.remove(&death);
        }
    }

    fn remove(&mut self, death: &DeathId) {
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
