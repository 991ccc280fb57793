//! Prompts that crash engines: what this node saw and what others told.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use engines::{
    CrashLedger, CrashSettings, CrashVerdict, DeathId, DeathRecord, PromptFingerprint,
    QuarantineEntry, fingerprint_of,
};
use kernel::ClockSource;
use smol::channel::{Receiver, Sender, bounded};
use types::PromptJob;

/// Deaths that fit one membership message.
const TOLD_DEATHS: usize = 3;
/// Suspects of one death that fit beside the others.
const TOLD_SUSPECTS: usize = 12;

/// Keeps the crash ledger of a node.
pub struct QuarantineService {
    clock: ClockSource,
    ledger: Mutex<CrashLedger>,
    news: Sender<()>,
    news_reader: Receiver<()>,
}

impl QuarantineService {
    /// A service that knows of no death.
    #[must_use]
    pub fn new(clock: ClockSource) -> Arc<Self> {
        let (news, news_reader) = bounded(1);
        Arc::new(Self {
            clock,
            ledger: Mutex::new(CrashLedger::new(CrashSettings::default())),
            news,
            news_reader,
        })
    }

    /// Time for which a prompt is not run; `None` when it may be.
    ///
    /// The text is hashed only while something is held of some prompt.
    #[must_use]
    pub fn quarantine_of(&self, job: &PromptJob, text: &str) -> Option<Duration> {
        if self.locked().is_empty() {
            return None;
        }
        let prompt = fingerprint(job, text);
        match self.locked().verdict(self.clock.now(), &prompt) {
            CrashVerdict::Quarantined { left } => Some(left),
            CrashVerdict::Clear | CrashVerdict::Suspect => None,
        }
    }

    /// Takes that a prompt was lost when an engine's life ended.
    pub fn lost(&self, death: &DeathId, job: &PromptJob, text: &str) {
        let prompt = fingerprint(job, text);
        self.locked().lost(self.clock.now(), death, prompt);
        log::warn!(
            "event=prompt_lost request={} organisation={} engine={} incarnation={} prompt={}",
            job.request,
            job.organisation,
            death.engine,
            death.incarnation,
            prompt.to_hex()
        );
        self.news.try_send(()).ok();
    }

    /// Takes that a prompt was answered whole.
    pub fn answered(&self, job: &PromptJob, text: &str) {
        if !self.locked().is_empty() {
            let prompt = fingerprint(job, text);
            self.locked().answered(prompt);
        }
    }

    /// Takes what another node told.
    pub fn told(&self, records: &[DeathRecord]) {
        let now = self.clock.now();
        let mut ledger = self.locked();
        for record in records {
            ledger.told(now, record);
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
            self.news.try_send(()).ok();
        }
        cleared
    }

    /// Wakes its reader when there is something to tell other nodes.
    #[must_use]
    pub fn news(&self) -> Receiver<()> {
        self.news_reader.clone()
    }

    /// What to tell other nodes now.
    #[must_use]
    pub fn evidence(&self) -> Vec<DeathRecord> {
        let mut records = self.locked().newest(self.clock.now(), TOLD_DEATHS);
        for record in &mut records {
            let told = std::mem::take(&mut record.suspects);
            record.suspects = told.into_iter().take(TOLD_SUSPECTS).collect();
        }
        records
    }

    fn locked(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fingerprint(job: &PromptJob, text: &str) -> PromptFingerprint {
    fingerprint_of(&job.organisation, &job.model, text)
}
