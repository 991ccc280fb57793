//! Prompts that crash engines: what this node saw and what others told.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use engines::{
    CrashSettings, CrashTracker, CrashVerdict, DeathCause, DeathId, DeathRecord, PromptFingerprint,
    QuarantineEntry, fingerprint_of,
};
use kernel::ClockSource;
use smol::channel::{Receiver, Sender, bounded};
use types::PromptJob;

/// Deaths that fit one membership message.
const MAX_GOSSIP_DEATHS: usize = 3;
/// Suspects of one death that fit beside the others.
const MAX_GOSSIP_SUSPECTS: usize = 12;

/// A prompt that ran on an engine that died.
#[derive(Clone, Debug)]
pub struct LostPrompt {
    /// The prompt.
    pub job: PromptJob,
    /// Its text.
    pub text: Arc<str>,
}

/// Keeps the crash ledger of a node.
pub struct QuarantineService {
    clock: ClockSource,
    tracker: Mutex<CrashTracker>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl QuarantineService {
    /// A service that knows of no death.
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

    /// What is held of a prompt.
    ///
    /// The text is hashed only while something is held of some prompt.
    #[must_use]
    pub fn verdict(&self, job: &PromptJob, text: &str) -> CrashVerdict {
        if self.lock_tracker().is_empty() {
            return CrashVerdict::Clear;
        }
        let prompt = fingerprint(job, text);
        self.lock_tracker().verdict(self.clock.now(), &prompt)
    }

    /// Takes that an engine's life ended and which prompts ran there; returns
    /// what to tell other nodes at once.
    #[must_use]
    pub fn record_death(&self, death: &DeathId, lost: &[LostPrompt]) -> Vec<DeathRecord> {
        let prompts: Vec<PromptFingerprint> = lost
            .iter()
            .map(|lost| fingerprint(&lost.job, &lost.text))
            .collect();
        self.lock_tracker()
            .record_death(self.clock.now(), death, &prompts);
        for (lost, prompt) in lost.iter().zip(&prompts) {
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

    /// The deaths that a prompt was lost by, for the node that runs it next.
    #[must_use]
    pub fn deaths_of(&self, job: &PromptJob, text: &str) -> Vec<DeathRecord> {
        if self.lock_tracker().is_empty() {
            return Vec::new();
        }
        let prompt = fingerprint(job, text);
        self.lock_tracker().deaths_of(self.clock.now(), &prompt)
    }

    /// Takes that a prompt was answered whole.
    pub fn record_success(&self, job: &PromptJob, text: &str) {
        if !self.lock_tracker().is_empty() {
            let prompt = fingerprint(job, text);
            self.lock_tracker().record_success(prompt);
        }
    }

    /// Takes what another node told.
    pub fn merge_records(&self, records: &[DeathRecord]) {
        let now = self.clock.now();
        let mut tracker = self.lock_tracker();
        for record in records {
            tracker.merge_record(now, record);
        }
    }

    /// The quarantined prompts.
    #[must_use]
    pub fn list(&self) -> Vec<QuarantineEntry> {
        self.lock_tracker().quarantined(self.clock.now())
    }

    /// Clears a prompt by an operator's hand; false when nothing was held.
    pub fn clear(&self, prompt: &PromptFingerprint) -> bool {
        let cleared = self.lock_tracker().clear(prompt);
        if cleared {
            log::info!("event=prompt_cleared prompt={}", prompt.to_hex());
            self.change_sender.try_send(()).ok();
        }
        cleared
    }

    /// Wakes its reader when there is something to tell other nodes.
    #[must_use]
    pub fn change_signal(&self) -> Receiver<()> {
        self.change_receiver.clone()
    }

    /// What to tell other nodes now.
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
