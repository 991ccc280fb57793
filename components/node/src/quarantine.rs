//! Tracks prompts that crash engines, from deaths that this node observed and
//! death records that other nodes sent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use engines::{
    CrashSettings, CrashTracker, CrashVerdict, DeathCause, DeathId, DeathRecord, PromptFingerprint,
    QuarantineEntry, fingerprint_of,
};
use kernel::ClockSource;
use smol::channel::{Receiver, Sender, bounded};
use types::PromptJob;

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

/// The node's crash tracker, shared by its prompt, peer and operator services.
pub struct QuarantineService {
    clock: ClockSource,
    tracker: Mutex<CrashTracker>,
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
            tracker: Mutex::new(CrashTracker::new(CrashSettings::default())),
            change_sender,
            change_receiver,
        })
    }

    /// Returns whether a prompt is clear, suspected of crashing engines, or
    /// quarantined.
    ///
    /// The text is hashed only while the tracker has a record of some prompt.
    #[must_use]
    pub fn verdict(&self, job: &PromptJob, text: &str) -> CrashVerdict {
        if self.lock_tracker().is_empty() {
            return CrashVerdict::Clear;
        }
        let prompt = fingerprint(job, text);
        self.lock_tracker().verdict(self.clock.now(), &prompt)
    }

    /// Records that an engine incarnation died and which prompts ran on it.
    /// Returns this death's record and those of deaths attributed to these prompts, to
    /// be sent to other nodes at once.
    #[must_use]
    pub fn record_death(&self, death: &DeathId, lost_prompts: &[LostPrompt]) -> Vec<DeathRecord> {
        let prompts: Vec<PromptFingerprint> = lost_prompts
            .iter()
            .map(|lost| fingerprint(&lost.job, &lost.text))
            .collect();
        self.lock_tracker()
            .record_death(self.clock.now(), death, &prompts);
        for (lost, prompt) in lost_prompts.iter().zip(&prompts) {
            log::warn!(
                "event=prompt_lost request={} organisation={} engine={} incarnation={} prompt={}",
                lost.job.request,
                lost.job.organisation,
                death.engine,
                death.incarnation,
                prompt.to_hex()
            );
        }
        self.change_sender.try_send(()).ok();
        let mut records = self
            .lock_tracker()
            .newest_deaths(self.clock.now(), usize::MAX);
        records.retain(|record| {
            let is_attributed =
                matches!(&record.cause, DeathCause::Prompt(culprit) if prompts.contains(culprit));
            record.death == *death || is_attributed
        });
        records
    }

    /// Returns the deaths of engines that ran a prompt, for the node that runs it
    /// next.
    #[must_use]
    pub fn deaths_of(&self, job: &PromptJob, text: &str) -> Vec<DeathRecord> {
        if self.lock_tracker().is_empty() {
            return Vec::new();
        }
        let prompt = fingerprint(job, text);
        self.lock_tracker().deaths_of(self.clock.now(), &prompt)
    }

    /// Records that a prompt ran without crashing its engine.
    pub fn record_success(&self, job: &PromptJob, text: &str) {
        if !self.lock_tracker().is_empty() {
            let prompt = fingerprint(job, text);
            self.lock_tracker().record_success(prompt);
        }
    }

    /// Merges death records received from another node.
    pub fn merge_records(&self, records: &[DeathRecord]) {
        let now = self.clock.now();
        let mut tracker = self.lock_tracker();
        for record in records {
            tracker.merge_record(now, record);
        }
    }

    /// Lists the quarantined prompts.
    #[must_use]
    pub fn list(&self) -> Vec<QuarantineEntry> {
        self.lock_tracker().quarantined(self.clock.now())
    }

    /// Clears a prompt on an operator's request; returns `false` when the tracker
    /// has no record of it.
    pub fn clear(&self, prompt: &PromptFingerprint) -> bool {
        let cleared = self.lock_tracker().clear(prompt);
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
        let mut records = self
            .lock_tracker()
            .newest_deaths(self.clock.now(), MAX_GOSSIP_DEATHS);
        for record in &mut records {
            let suspects = std::mem::take(&mut record.suspects);
            record.suspects = suspects.into_iter().take(MAX_GOSSIP_SUSPECTS).collect();
        }
        records
    }

    fn lock_tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fingerprint(job: &PromptJob, text: &str) -> PromptFingerprint {
    fingerprint_of(&job.organisation, &job.model, text)
}
