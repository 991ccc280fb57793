//! Ends of upstreams' processes, with the requests that each was answering.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{PromptPartId, UpstreamId};

/// Time for which a crash counts, and after the last one for which a whole request is
/// refused.
pub(crate) const CRASH_MEMORY: Duration = Duration::from_mins(1);
/// Time after a crash until all other nodes have told this one what they know of it: the
/// suspects, and then which of their parts are sound.
pub(crate) const REPORT_TIME: Duration = Duration::from_secs(1);
/// Time within which a node loses its connections to several upstreams if these end
/// together, as with their host or rack. Such crashes count as one.
const TOGETHER_TIME: Duration = Duration::from_millis(30);
/// Crashes that are remembered at most; the oldest are forgotten.
const CRASHES_MAX: usize = 256;
/// Own reports that are kept at most; the oldest are forgotten.
const OWN_REPORTS_MAX: usize = 32;
/// Upstreams lost together with one that are remembered at most.
const TOGETHER_MAX: usize = 16;
/// Suspects of one crash that are remembered at most.
const SUSPECTS_MAX: usize = 64;

/// Hash of a request's path, organisation and body, equal for all its attempts.
pub type CrashFingerprint = u64;

/// A request that an upstream was answering when its process ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start of its process, in Unix milliseconds, if it publishes it.
    pub started_ms: Option<u64>,
    /// Another upstream that the reporting node lost at the same moment, if any.
    pub together_with: Option<UpstreamId>,
    /// Fingerprint of the request.
    pub fingerprint: CrashFingerprint,
    /// Parts of its prompt that other requests may share and that may have caused the
    /// crash.
    pub parts: Vec<SuspectPart>,
}

/// A part of the prompt of a request that an upstream was answering when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectPart {
    /// Id of the part.
    pub part: PromptPartId,
    /// Whether the reporting node has seen a sound answer on it shortly before.
    pub was_sound: bool,
}

/// Crashes that this node knows of, oldest first, and its own reports of them.
#[derive(Debug, Default)]
pub struct CrashLog {
    records: VecDeque<CrashRecord>,
    /// First upstream of those that this node lost together last, and when.
    last_lost: Option<(UpstreamId, Instant)>,
    /// Reports of this node itself, oldest first.
    own_reports: VecDeque<(Instant, CrashReport)>,
}

#[derive(Debug)]
pub(crate) struct CrashRecord {
    /// Orders the crash among the sound answers.
    pub(crate) sequence: u64,
    pub(crate) at: Instant,
    upstream: UpstreamId,
    started_ms: Option<u64>,
    /// Upstreams that nodes lost together with this one.
    together_with: Vec<UpstreamId>,
    /// Requests that the upstream was answering, with the parts of their prompts.
    pub(crate) suspects: Vec<(CrashFingerprint, Vec<PromptPartId>)>,
}

impl CrashRecord {
    pub(crate) fn parts(&self) -> impl Iterator<Item = PromptPartId> {
        self.suspects
            .iter()
            .flat_map(|(_, parts)| parts.iter().copied())
    }

    pub(crate) fn requests_with(
        &self,
        part: PromptPartId,
    ) -> impl Iterator<Item = CrashFingerprint> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, parts)| parts.contains(&part))
            .map(|(fingerprint, _)| *fingerprint)
    }
}

impl CrashLog {
    /// Records that this node lost a connection to `upstream`; returns the first of the
    /// upstreams that it lost together with it, if any.
    pub fn record_loss(&mut self, now: Instant, upstream: &UpstreamId) -> Option<UpstreamId> {
        match &self.last_lost {
            Some((first, at)) if now.saturating_duration_since(*at) < TOGETHER_TIME => {
                (first != upstream).then(|| first.clone())
            }
            _ => {
                self.last_lost = Some((upstream.clone(), now));
                None
            }
        }
    }

    /// Keeps a report of this node itself, for relays that it has not told yet.
    pub fn keep_own_report(&mut self, now: Instant, report: CrashReport) {
        if self.own_reports.len() >= OWN_REPORTS_MAX {
            self.own_reports.pop_front();
        }
        self.own_reports.push_back((now, report));
    }

    /// Reports of this node itself that still count.
    pub fn own_reports(&self, now: Instant) -> impl Iterator<Item = &CrashReport> {
        self.own_reports
            .iter()
            .filter(move |(at, _)| now.saturating_duration_since(*at) < CRASH_MEMORY)
            .map(|(_, report)| report)
    }

    /// Records a suspect of a crash; returns whether it was not known yet. `sequence`
    /// orders the crash if it was not known either.
    pub(crate) fn record(&mut self, now: Instant, sequence: u64, report: &CrashReport) -> bool {
        self.forget_old(now);
        let is_same = |crash: &CrashRecord| {
            crash.upstream == report.upstream && crash.started_ms == report.started_ms
        };
        let known = self.records.iter().position(is_same);
        let index = known.unwrap_or_else(|| {
            self.records.push_back(CrashRecord {
                sequence,
                at: now,
                upstream: report.upstream.clone(),
                started_ms: report.started_ms,
                together_with: Vec::new(),
                suspects: Vec::new(),
            });
            self.records.len() - 1
        });
        let crash = &mut self.records[index];
        if let Some(other) = &report.together_with
            && !crash.together_with.contains(other)
            && crash.together_with.len() < TOGETHER_MAX
        {
            crash.together_with.push(other.clone());
        }
        let mut suspects = crash.suspects.iter();
        let is_known = suspects.any(|(fingerprint, _)| *fingerprint == report.fingerprint);
        if is_known || crash.suspects.len() >= SUSPECTS_MAX {
            return false;
        }
        let parts = report.parts.iter().map(|suspect| suspect.part).collect();
        crash.suspects.push((report.fingerprint, parts));
        true
    }

    /// Forgets crashes that no longer count.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let is_old = |crash: &CrashRecord| now.saturating_duration_since(crash.at) >= CRASH_MEMORY;
        while self.records.len() >= CRASHES_MAX || self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.iter()
    }

    /// For each crash the index of the first one of those that came together with it.
    pub(crate) fn groups(&self) -> Vec<usize> {
        let mut groups: Vec<usize> = (0..self.records.len()).collect();
        // Last crash that names an upstream. A later process under the same id is another
        // matter.
        let mut last_by_id: HashMap<&UpstreamId, usize> = HashMap::new();
        for (index, crash) in self.records.iter().enumerate() {
            for id in crash.together_with.iter().chain([&crash.upstream]) {
                let Some(last) = last_by_id.insert(id, index) else {
                    continue;
                };
                let last_at = self.records[last].at;
                if crash.at.saturating_duration_since(last_at) < REPORT_TIME {
                    let (one, other) = (groups[index], groups[last]);
                    let (kept, merged) = (one.min(other), one.max(other));
                    let merged = groups.iter_mut().filter(|group| **group == merged);
                    merged.for_each(|group| *group = kept);
                }
            }
        }
        groups
    }
}
