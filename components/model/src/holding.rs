//! Memory holds: reservations, exports, imports and lending.

use std::time::{Duration, Instant};

use types::{AttemptId, RequestId};

use crate::{
    EngineModel, HoldSpec, KvExportRef, KvImportSpec, ModelError, cost, memory::AttemptKey,
};

impl EngineModel {
    /// Reserves memory for an attempt, or renews its hold.
    ///
    /// # Errors
    /// `ModelError::TooLarge` when it never fits the engine, and
    /// `ModelError::NoMemory` when too little is free now.
    pub fn reserve(&mut self, now: Instant, spec: &HoldSpec) -> Result<(), ModelError> {
        self.run_until(now);
        self.check_size(spec.tokens)?;
        let key = AttemptKey::new(&spec.request, spec.attempt);
        let free = self.free_tokens() + self.holds.size_of(&key);
        if spec.tokens > free {
            return Err(ModelError::NoMemory {
                tokens: spec.tokens,
                free,
            });
        }
        self.holds.insert(now, spec);
        self.shrink_cache();
        Ok(())
    }

    /// Frees an attempt's hold; its sequence keeps running. An unknown attempt
    /// is ignored.
    pub fn release(&mut self, now: Instant, request: &RequestId, attempt: AttemptId) {
        self.run_until(now);
        self.holds.remove(&AttemptKey::new(request, attempt));
        self.plan_step(now);
    }

    /// Sets whether the engine lends compute to the attempt whose memory it holds.
    ///
    /// Prompts with a lower priority number than the attempt's then run at full
    /// speed after the lent chunk in progress; others share the engine evenly with
    /// it. Without prefill of its own, the engine's decode steps last at least the
    /// step limit.
    pub fn set_lending(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        lending: bool,
    ) {
        self.run_until(now);
        let key = AttemptKey::new(request, attempt);
        self.holds.set_lending(&key, lending);
    }

    /// Sets the priority of the attempt that owns a hold; 0 until set.
    pub fn set_hold_priority(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        priority: u32,
    ) {
        self.run_until(now);
        let key = AttemptKey::new(request, attempt);
        self.holds.set_priority(&key, priority);
    }

    /// Share of the engine's time now available for lending, 0 to 1; 1 when the
    /// engine is idle, or its step has no prefill or was planned without lending.
    #[must_use]
    pub fn lending_share(&self) -> f64 {
        self.step.as_ref().map_or(1.0, |step| step.lending_share)
    }

    /// Sets an attempt's prefill speed relative to one engine, from the next
    /// step on.
    pub fn set_prefill_speedup(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        speedup: f64,
    ) {
        self.run_until(now);
        let key = AttemptKey::new(request, attempt);
        let id = self.attempts.get(&key);
        if let Some(sequence) = id.and_then(|id| self.sequences.get_mut(id)) {
            sequence.speedup = speedup;
        }
    }

    /// Stops an attempt and keeps its KV cache as a hold for another engine
    /// to import.
    ///
    /// # Errors
    /// `ModelError::UnknownAttempt` when no such attempt is queued or running
    /// here, or it has computed nothing yet.
    pub fn export_kv(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExportRef, ModelError> {
        self.run_until(now);
        let key = AttemptKey::new(request, attempt);
        let id = self.attempts.get(&key).copied();
        let id = id.ok_or(ModelError::UnknownAttempt)?;
        let tokens = self.sequences[&id].computed;
        if tokens == 0 {
            return Err(ModelError::UnknownAttempt);
        }
        self.end_sequence(id);
        let spec = HoldSpec {
            request: request.clone(),
            attempt,
            holder: "export".to_owned(),
            tokens,
            lifetime,
        };
        self.holds.insert(now, &spec);
        self.holds.fill(&key, tokens, now);
        self.shrink_cache();
        self.plan_step(now);
        Ok(KvExportRef {
            export: format!("{request}/{attempt}"),
            tokens,
        })
    }

    /// Reserves memory for an attempt and imports KV cache from another engine
    /// into it. Returns when the transfer completes; the attempt starts no earlier.
    ///
    /// # Errors
    /// `ModelError::TooLarge` when it never fits the engine, and
    /// `ModelError::NoMemory` when too little is free now.
    pub fn import_kv(
        &mut self,
        now: Instant,
        import: &KvImportSpec,
    ) -> Result<Instant, ModelError> {
        self.reserve(now, &import.hold)?;
        let key = AttemptKey::new(&import.hold.request, import.hold.attempt);
        let ready = now + cost::transfer_time(import.filled);
        self.holds.fill(&key, import.filled, ready);
        Ok(ready)
    }
}
