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
const TOLD_DEATHS: usize = 3;
/// Suspects of one death that fit beside the others.
const TOLD_SUSPECTS: usize = 12;

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
    ledger: Mutex<CrashTracker>,
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
            ledger: Mutex::new(CrashTracker::new(CrashSettings::default())),
            change_sender,
            change_receiver,
        })
    }

    /// What is held of a prompt.
    ///
    /// The text is hashed only while something is held of some prompt.
    #[must_use]
    pub fn verdict(&self, job: &PromptJob, text: &str) -> CrashVerdict {
        if self.locked().is_empty() {
            return CrashVerdict::Clear;
        }
        let prompt = fingerprint(job, text);
        self.locked().verdict(self.clock.now(), &prompt)
    }

    /// Takes that an engine's life ended and which prompts ran there; returns
    /// what to tell other nodes at once.
    #[must_use]
    pub fn record_death(&self, death: &DeathId, lost: &[LostPrompt]) -> Vec<DeathRecord> {
        let prompts: Vec<PromptFingerprint> = lost
            .iter()
            .map(|lost| fingerprint(&lost.job, &lost.text))
            .collect();
        self.locked()
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
        let mut newest = self.locked().newest_deaths(self.clock.now(), usize::MAX);
        newest.retain(|record| {
            let explained =
                matches!(&record.cause, DeathCause::Prompt(guilty) if prompts.contains(guilty));
            record.death == *death || explained
        });
        newest
    }

    /// The deaths that a prompt was lost by, for the node that runs it next.
    #[must_use]
    pub fn deaths_of(&self, job: &PromptJob, text: &str) -> Vec<DeathRecord> {
        if self.locked().is_empty() {
            return Vec::new();
        }
        let prompt = fingerprint(job, text);
        self.locked().deaths_of(self.clock.now(), &prompt)
    }

    /// Takes that a prompt was answered whole.
    pub fn record_success(&self, job: &PromptJob, text: &str) {
        if !self.locked().is_empty() {
            let prompt = fingerprint(job, text);
            self.locked().record_success(prompt);
        }
    }

    /// Takes what another node told.
    pub fn merge_records(&self, records: &[DeathRecord]) {
        let now = self.clock.now();
        let mut ledger = self.locked();
        for record in records {
            ledger.merge_record(now, record);
        }
    }

    /// The quarantined prompts.
    #[must_use]
    pub fn list(&self) -> Vec<QuarantineEntry> {
        self.locked().quarantined(self.clock.now())
    }

    /// Clears a prompt by an operator's hand; false when nothing was held.
    pub fn clear(&self, prompt: &PromptFingerprint) -> bool {
        let cleared = self.locked().clear(prompt);
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
        let mut records = self.locked().newest_deaths(self.clock.now(), TOLD_DEATHS);
        for record in &mut records {
            let told = std::mem::take(&mut record.suspects);
            record.suspects = told.into_iter().take(TOLD_SUSPECTS).collect();
        }
        records
    }

    fn locked(&self) -> MutexGuard<'_, CrashTracker> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fingerprint(job: &PromptJob, text: &str) -> PromptFingerprint {
    fingerprint_of(&job.organisation, &job.model, text)
}
