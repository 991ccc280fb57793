//! Tracks prompts that crash engines, from deaths that this node observed and
//! death records that other nodes sent.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use engines::{
    CrashSettings, CrashTracker, CrashVerdict, DeathCause, DeathId, DeathRecord, PendingDeaths,
    PromptFingerprint, QuarantineEntry, fingerprint_of,
};
use kernel::ClockSource;
use smol::channel::{Receiver, Sender, bounded};
use types::PromptJob;

/// Time after the first report of a death until it counts against prompts. Nodes
/// notice a broken connection and tell each other in a fraction of it.
pub const DEATH_SETTLE_TIME: Duration = Duration::from_millis(250);
/// Maximum number of death records in one membership message.
const MAX_GOSSIP_DEATHS: usize = 3;
/// Maximum number of suspects in each of those death records, so that the message
/// stays within its size limit.
const MAX_GOSSIP_SUSPECTS: usize = 12;

/// A prompt that was running on an engine when the engine died.
#[derive(Clone, Debug)]
pub struct LostPrompt {
    /// Request, organisation and model of the prompt.
    pub job: PromptJob,
    /// Text of the prompt, which goes into its fingerprint.
    pub text: Arc<str>,
}

/// Deaths whose reports are still being gathered, and those that have settled.
struct CrashState {
    pending: PendingDeaths,
    tracker: CrashTracker,
}

impl CrashState {
    fn settle(&mut self, now: Instant) {
        for (death, suspects) in self.pending.take_settled(now) {
            self.tracker.record_death(now, &death, &suspects);
        }
    }

    fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.tracker.is_empty()
    }
}

/// The node's record of crashes, shared by its prompt, peer and operator services.
pub struct QuarantineService {
    clock: ClockSource,
    state: Mutex<CrashState>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl QuarantineService {
    /// Creates a service that has recorded no death.
    #[must_use]
    pub fn new(clock: ClockSource) -> Arc<Self> {
        let (change_sender, change_receiver) = bounded(1);
        Arc::new(Self {
            clock,
            state: Mutex::new(CrashState {
                pending: PendingDeaths::new(DEATH_SETTLE_TIME),
                tracker: CrashTracker::new(CrashSettings::default()),
            }),
            change_sender,
            change_receiver,
        })
    }

    /// Returns whether a prompt is clear, suspected of crashing engines, waiting for
    /// the reports of a death, or quarantined.
    ///
    /// The text is hashed only while some prompt is recorded.
    #[must_use]
    pub fn verdict(&self, job: &PromptJob, text: &str) -> CrashVerdict {
        let now = self.clock.now();
        let state = self.lock_settled(now);
        if state.is_empty() {
            return CrashVerdict::Clear;
        }
        let prompt = fingerprint(job, text);
        let verdict = state.tracker.verdict(now, &prompt);
        match (verdict, state.pending.time_left(now, &prompt)) {
            (CrashVerdict::Clear | CrashVerdict::Suspect, Some(left)) => {
                CrashVerdict::Settling { left }
            }
            (verdict, _) => verdict,
        }
    }

    /// Records that an engine incarnation died and which prompts of this node ran on
    /// it. Returns the record to be sent to other nodes at once. The death counts
    /// after [`DEATH_SETTLE_TIME`].
    #[must_use]
    pub fn record_death(&self, death: &DeathId, lost_prompts: &[LostPrompt]) -> DeathRecord {
        let mut suspects = BTreeSet::new();
        for lost in lost_prompts {
            let prompt = fingerprint(&lost.job, &lost.text);
            log::warn!(
                "event=prompt_lost request={} organisation={} engine={} incarnation={} prompt={}",
                lost.job.request,
                lost.job.organisation,
                death.engine,
                death.incarnation,
                prompt.to_hex()
            );
            suspects.insert(prompt);
        }
        let now = self.clock.now();
        self.lock_settled(now)
            .pending
            .add_report(now, death, suspects.iter().copied());
        DeathRecord {
            death: death.clone(),
            age: Duration::ZERO,
            suspects,
            cause: DeathCause::Unknown,
        }
    }

    /// Returns the records of settled deaths that are attributed to one of these
    /// prompts, to be sent to other nodes at once.
    #[must_use]
    pub fn attributed_deaths(&self, lost_prompts: &[LostPrompt]) -> Vec<DeathRecord> {
        let prompts: Vec<PromptFingerprint> = lost_prompts
            .iter()
            .map(|lost| fingerprint(&lost.job, &lost.text))
            .collect();
        let now = self.clock.now();
        let mut records = self
            .lock_settled(now)
            .tracker
            .newest_deaths(now, usize::MAX);
        records.retain(
            |record| matches!(&record.cause, DeathCause::Prompt(culprit) if prompts.contains(culprit)),
        );
        self.change_sender.try_send(()).ok();
        records
    }

    /// Returns the deaths of engines that ran a prompt, for the node that runs it
    /// next.
    #[must_use]
    pub fn deaths_of(&self, job: &PromptJob, text: &str) -> Vec<DeathRecord> {
        let now = self.clock.now();
        let state = self.lock_settled(now);
        if state.is_empty() {
            return Vec::new();
        }
        state.tracker.deaths_of(now, &fingerprint(job, text))
    }

    /// Records that a prompt ran without crashing its engine.
    pub fn record_success(&self, job: &PromptJob, text: &str) {
        let mut state = self.lock_settled(self.clock.now());
        if !state.is_empty() {
            let prompt = fingerprint(job, text);
            state.pending.record_success(&prompt);
            state.tracker.record_success(prompt);
        }
    }

    /// Merges death records received from another node. One that was just reported
    /// and has no cause settles here as well.
    pub fn merge_records(&self, records: &[DeathRecord]) {
        let now = self.clock.now();
        let mut state = self.lock_settled(now);
        for record in records {
            if record.cause == DeathCause::Unknown && record.age < DEATH_SETTLE_TIME {
                let suspects = record.suspects.iter().copied();
                state.pending.add_report(now, &record.death, suspects);
            } else {
                state.tracker.merge_record(now, record);
            }
        }
    }

    /// Lists the quarantined prompts.
    #[must_use]
    pub fn list(&self) -> Vec<QuarantineEntry> {
        let now = self.clock.now();
        self.lock_settled(now).tracker.quarantined(now)
    }

    /// Clears a prompt on an operator's request; returns `false` when no settled
    /// death has it as a suspect.
    pub fn clear(&self, prompt: &PromptFingerprint) -> bool {
        let cleared = self.lock_settled(self.clock.now()).tracker.clear(prompt);
        if cleared {
            log::info!("event=prompt_cleared prompt={}", prompt.to_hex());
            self.change_sender.try_send(()).ok();
        }
        cleared
    }

    /// Returns a channel that receives a message when there are records to send
    /// to other nodes.
    #[must_use]
    pub fn change_signal(&self) -> Receiver<()> {
        self.change_receiver.clone()
    }

    /// Returns the newest death records, limited to what fits into one membership
    /// message.
    #[must_use]
    pub fn gossip_records(&self) -> Vec<DeathRecord> {
        let now = self.clock.now();
        let mut records = self
            .lock_settled(now)
            .tracker
            .newest_deaths(now, MAX_GOSSIP_DEATHS);
        for record in &mut records {
            let suspects = std::mem::take(&mut record.suspects);
            record.suspects = suspects.into_iter().take(MAX_GOSSIP_SUSPECTS).collect();
        }
        records
    }

    /// Locks the state after recording the deaths that have settled at `now`.
    fn lock_settled(&self, now: Instant) -> MutexGuard<'_, CrashState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.settle(now);
        state
    }
}

fn fingerprint(job: &PromptJob, text: &str) -> PromptFingerprint {
    fingerprint_of(&job.organisation, &job.model, text)
}
