//! Quarantine of requests, and of parts of prompts, that crash the upstreams which
//! answer them.
//!
//! When the process of an upstream ends, the requests that it was answering are its
//! suspects. A whole request is recognised by its fingerprint, a part of a prompt by its
//! id in requests that are otherwise unlike. A part is quarantined once it occurs in
//! enough crashes under different requests, in more than any other part, and no upstream
//! has answered a prompt with it since the first of them. A crash that a quarantined part
//! explains counts against nothing else.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::PromptPartId;

use crate::{
    CrashFingerprint, CrashLog, CrashReport,
    crash_log::{CRASH_MEMORY, CrashRecord, REPORT_TIME},
};

/// A whole request is refused once it has crashed this many upstreams.
const CRASHES_TO_QUARANTINE: usize = 3;
/// A part of prompts is refused once it occurs in this many crashes.
const PART_CRASHES: usize = 3;
/// The same for a part that was answered soundly shortly before. Crashes that a part
/// without such an answer may explain don't count against it.
const SOUND_PART_CRASHES: usize = 6;
/// Different requests under which a part has to occur in these crashes: what a single request brings
/// about is that request's doing.
const PART_REQUESTS: usize = 2;
/// Divisor of the number of unexplained crashes: a part that occurs in fewer than that is
/// not their cause, even if several parts are at work at once.
const UNRELATED_DIVISOR: usize = 5;
/// Number of crashes from which parts that always occur together are refused together.
const INSEPARABLE_CRASHES: usize = 7;
/// Number of crashes from which the fleet is told that a part is sound after all.
const SUSPICIOUS_CRASHES: usize = 2;
/// Time for which a part is refused. Afterwards it has to crash upstreams anew.
pub(crate) const PART_QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Time for which a sound answer speaks for the parts of its prompt.
const SOUND_MEMORY: Duration = Duration::from_mins(1);
/// Parts of which sound answers are remembered at most.
const SOUND_PARTS_MAX: usize = 4096;
/// Parts that are quarantined at most; the one that ends first makes room.
const QUARANTINED_MAX: usize = 1024;

/// What is known of a part of prompts, as nodes tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PartStanding {
    /// It was answered soundly shortly before the crashes under it.
    SoundBefore,
    /// It is not to blame: it was answered soundly after the crashes under it. The number
    /// tells such proofs apart.
    Sound(u64),
    /// Its quarantine is lifted, and the crashes so far no longer count against it. The
    /// number tells such decisions apart.
    Lifted(u64),
    /// Requests with it are refused, since this time in Unix milliseconds.
    Quarantined(u64),
}

/// Change of a row of the store that keeps a quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRow {
    /// The row is to be written, with the start of the quarantine in Unix milliseconds.
    Missing(PromptPartId, u64),
    /// The row is to be removed.
    Obsolete(PromptPartId),
}

/// Crashes with their suspects, and the parts that are quarantined for them.
#[derive(Debug, Default)]
pub struct QuarantineList {
    /// Numbers crashes and sound answers in the order in which this node learned of them.
    sequence: u64,
    log: CrashLog,
    sound: HashMap<PromptPartId, SoundRecord>,
    quarantined: HashMap<PromptPartId, PartQuarantine>,
    /// Quarantines that the store holds.
    rows: HashSet<PromptPartId>,
}

/// The last sound answer on a part.
#[derive(Clone, Copy, Debug)]
struct SoundRecord {
    /// Crashes with a lower sequence number don't count against the part.
    sequence: u64,
    /// `None` if the crashes don't count for another reason.
    at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PartQuarantine {
    until: Instant,
    since_ms: u64,
}

/// Crashes that count against one part.
#[derive(Debug, Default)]
struct PartEvidence {
    /// Groups of crashes that came together, by the index of their first.
    crashes: HashSet<usize>,
    requests: HashSet<CrashFingerprint>,
}

impl QuarantineList {
    /// The crashes that this node knows of.
    #[must_use]
    pub fn crash_log(&self) -> &CrashLog {
        &self.log
    }

    /// The crashes, to record what this node itself sees of them.
    pub fn crash_log_mut(&mut self) -> &mut CrashLog {
        &mut self.log
    }

    /// Records a suspect of a crash; returns whether it was not known yet.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        for suspect in report.parts.iter().filter(|suspect| suspect.was_sound) {
            self.record_sound_before(now, suspect.part);
        }
        let sequence = self.next_sequence();
        self.log.record(now, sequence, report)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Whether this node knows of a recent sound answer on the part.
    #[must_use]
    pub fn is_known_sound(&self, now: Instant, part: PromptPartId) -> bool {
        let sound_at = self.sound.get(&part).and_then(|sound| sound.at);
        sound_at.is_some_and(|at| now.saturating_duration_since(at) < SOUND_MEMORY)
    }

    /// Records that an upstream answered a prompt with these parts and did not crash.
    /// Returns those of them that other nodes may hold to be crash-causing.
    pub fn record_sound_answer(
        &mut self,
        now: Instant,
        parts: &[PromptPartId],
    ) -> Vec<PromptPartId> {
        let mut suspected = Vec::new();
        for part in parts {
            let was_quarantined = self.quarantined.remove(part).is_some();
            if was_quarantined || self.crashes_of(*part).count() >= SUSPICIOUS_CRASHES {
                suspected.push(*part);
            }
            let sequence = self.next_sequence();
            let at = Some(now);
            self.record_sound(*part, SoundRecord { sequence, at });
        }
        suspected
    }

    fn record_sound_before(&mut self, now: Instant, part: PromptPartId) {
        if !self.is_known_sound(now, part) {
            let sequence = self.sound.get(&part).map_or(0, |sound| sound.sequence);
            let at = Some(now);
            self.record_sound(part, SoundRecord { sequence, at });
        }
    }

    fn record_sound(&mut self, part: PromptPartId, record: SoundRecord) {
        if self.sound.len() >= SOUND_PARTS_MAX && !self.sound.contains_key(&part) {
            let oldest = self.sound.iter().min_by_key(|(_, sound)| sound.at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.sound.remove(&oldest);
            }
        }
        self.sound.insert(part, record);
    }

    /// Applies what another node or the store says of a part; returns whether it is new.
    pub fn apply_standing(
        &mut self,
        now: Instant,
        now_ms: u64,
        part: PromptPartId,
        standing: PartStanding,
    ) -> bool {
        match standing {
            PartStanding::SoundBefore => {
                let is_new =
                    !self.quarantined.contains_key(&part) && !self.is_known_sound(now, part);
                if is_new {
                    self.record_sound_before(now, part);
                }
                is_new
            }
            PartStanding::Sound(_) => {
                let is_suspected =
                    self.quarantined.contains_key(&part) || self.crashes_of(part).next().is_some();
                self.record_sound_answer(now, &[part]);
                is_suspected
            }
            PartStanding::Lifted(_) => {
                let was_quarantined = self.quarantined.remove(&part).is_some();
                if was_quarantined {
                    let sequence = self.next_sequence();
                    self.record_sound(part, SoundRecord { sequence, at: None });
                }
                was_quarantined
            }
            PartStanding::Quarantined(since_ms) => self.quarantine(now, now_ms, part, since_ms),
        }
    }

    fn quarantine(&mut self, now: Instant, now_ms: u64, part: PromptPartId, since_ms: u64) -> bool {
        let elapsed = Duration::from_millis(now_ms.saturating_sub(since_ms));
        let left = PART_QUARANTINE_TIME.saturating_sub(elapsed);
        self.quarantined.retain(|_, entry| entry.until > now);
        if left.is_zero() || self.quarantined.contains_key(&part) {
            return false;
        }
        if self.quarantined.len() >= QUARANTINED_MAX {
            let first = self.quarantined.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(first) = first.map(|(part, _)| *part) {
                self.quarantined.remove(&first);
            }
        }
        let until = now + left;
        let entry = PartQuarantine { until, since_ms };
        self.quarantined.insert(part, entry);
        true
    }

    /// Quarantines the parts that the recorded crashes prove to be their cause, and
    /// returns them. `now_ms` is the present in Unix milliseconds.
    pub fn judge(&mut self, now: Instant, now_ms: u64) -> Vec<PromptPartId> {
        self.log.forget_old(now);
        let mut judged = Vec::new();
        loop {
            let guilty = self.guilty_parts(now);
            if guilty.is_empty() {
                return judged;
            }
            for part in guilty {
                self.quarantine(now, now_ms, part, now_ms);
                judged.push(part);
            }
        }
    }

    /// The part with the most unexplained crashes, if these are enough; several parts if
    /// they always occur together.
    fn guilty_parts(&self, now: Instant) -> Vec<PromptPartId> {
        let (total, evidence) = self.evidence(now);
        // Parts without a sound answer go first.
        let rank = |part: PromptPartId, evidence: &PartEvidence| {
            (!self.is_known_sound(now, part), evidence.crashes.len())
        };
        let ranks = evidence
            .iter()
            .map(|(part, evidence)| rank(*part, evidence));
        let Some((is_unproven, most)) = ranks.max() else {
            return Vec::new();
        };
        let needed = if is_unproven {
            PART_CRASHES
        } else {
            SOUND_PART_CRASHES
        };
        if most < needed.max(total.div_ceil(UNRELATED_DIVISOR)) {
            return Vec::new();
        }
        let mut leaders = evidence;
        leaders.retain(|part, evidence| rank(*part, evidence) == (is_unproven, most));
        if leaders.len() > 1 && most < INSEPARABLE_CRASHES {
            return Vec::new();
        }
        leaders.retain(|_, evidence| evidence.requests.len() >= PART_REQUESTS);
        leaders.into_keys().collect()
    }

    /// The number of unexplained crashes that all nodes can have reported, and those that
    /// count against each part.
    fn evidence(&self, now: Instant) -> (usize, HashMap<PromptPartId, PartEvidence>) {
        let groups = self.log.groups();
        let mut total: HashSet<usize> = HashSet::new();
        let mut all: HashMap<PromptPartId, PartEvidence> = HashMap::new();
        let is_reported =
            |crash: &CrashRecord| now.saturating_duration_since(crash.at) >= REPORT_TIME;
        for (crash, group) in self.log.records().zip(groups) {
            if self.is_explained(crash) || !is_reported(crash) {
                continue;
            }
            total.insert(group);
            let mut parts = crash.parts();
            let has_unproven = parts.any(|part| !self.is_known_sound(now, part));
            for (fingerprint, parts) in &crash.suspects {
                for part in parts {
                    let counts = crash.sequence > self.sound_sequence(*part)
                        && !(has_unproven && self.is_known_sound(now, *part));
                    if counts {
                        let evidence = all.entry(*part).or_default();
                        evidence.crashes.insert(group);
                        evidence.requests.insert(*fingerprint);
                    }
                }
            }
        }
        (total.len(), all)
    }

    /// The unexplained crashes that count against one part.
    fn crashes_of(&self, part: PromptPartId) -> impl Iterator<Item = &CrashRecord> {
        let sound_sequence = self.sound_sequence(part);
        self.unexplained_crashes().filter(move |crash| {
            crash.sequence > sound_sequence && crash.parts().any(|suspect| suspect == part)
        })
    }

    fn sound_sequence(&self, part: PromptPartId) -> u64 {
        self.sound.get(&part).map_or(0, |sound| sound.sequence)
    }

    fn unexplained_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.log.records().filter(|crash| !self.is_explained(crash))
    }

    fn is_explained(&self, crash: &CrashRecord) -> bool {
        let mut parts = crash.parts();
        parts.any(|part| self.quarantined.contains_key(&part))
    }

    /// Time for which a request is still refused, for itself or for a part of its prompt;
    /// `None` if it may be sent.
    #[must_use]
    pub fn time_left(
        &self,
        now: Instant,
        fingerprint: CrashFingerprint,
        parts: &[PromptPartId],
    ) -> Option<Duration> {
        let ends = parts.iter().filter_map(|part| self.quarantined.get(part));
        let part_end = ends.map(|entry| entry.until).max();
        let pauses = parts.iter().filter_map(|part| self.pause_end(now, *part));
        let request_end = self.request_quarantine_end(fingerprint);
        let until = part_end.max(pauses.max()).max(request_end)?;
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// When a part that may soon be quarantined is sent again: once all nodes can have
    /// reported its last crash, so that it crashes no further upstreams meanwhile.
    fn pause_end(&self, now: Instant, part: PromptPartId) -> Option<Instant> {
        if self.is_known_sound(now, part) {
            return None;
        }
        let crashes: Vec<&CrashRecord> = self.crashes_of(part).collect();
        let requests: HashSet<CrashFingerprint> = crashes
            .iter()
            .flat_map(|crash| crash.requests_with(part))
            .collect();
        if crashes.len() < PART_CRASHES || requests.len() < PART_REQUESTS {
            return None;
        }
        let last = crashes.iter().map(|crash| crash.at).max()?;
        Some(last + REPORT_TIME)
    }

    fn request_quarantine_end(&self, fingerprint: CrashFingerprint) -> Option<Instant> {
        let crashes = self.unexplained_crashes().filter(|crash| {
            let mut suspects = crash.suspects.iter();
            suspects.any(|(suspect, _)| *suspect == fingerprint)
        });
        let times: Vec<Instant> = crashes.map(|crash| crash.at).collect();
        let last = times
            .iter()
            .max()
            .filter(|_| times.len() >= CRASHES_TO_QUARANTINE)?;
        Some(*last + CRASH_MEMORY)
    }

    /// Parts that are quarantined, with the start of each quarantine in Unix
    /// milliseconds.
    pub fn quarantined_parts(&self, now: Instant) -> impl Iterator<Item = (PromptPartId, u64)> {
        self.quarantined
            .iter()
            .filter(move |(_, entry)| entry.until > now)
            .map(|(part, entry)| (*part, entry.since_ms))
    }

    /// Records whether the store holds the row of a part's quarantine.
    pub fn record_row(&mut self, part: PromptPartId, is_stored: bool) {
        if is_stored {
            self.rows.insert(part);
        } else {
            self.rows.remove(&part);
        }
    }

    /// Forgets which rows the store holds, before it is listed anew.
    pub fn forget_rows(&mut self) {
        self.rows.clear();
    }

    /// What is to be changed in the store so that it holds the present quarantines.
    #[must_use]
    pub fn row_changes(&self, now: Instant) -> Vec<QuarantineRow> {
        let missing = self
            .quarantined_parts(now)
            .filter(|(part, _)| !self.rows.contains(part))
            .map(|(part, since_ms)| QuarantineRow::Missing(part, since_ms));
        let is_current = |part: &PromptPartId| {
            let entry = self.quarantined.get(part);
            entry.is_some_and(|entry| entry.until > now)
        };
        let obsolete = self.rows.iter().filter(|part| !is_current(part));
        missing
            .chain(obsolete.map(|part| QuarantineRow::Obsolete(*part)))
            .collect()
    }
}
