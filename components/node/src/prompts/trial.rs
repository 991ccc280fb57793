//! Prompts that may be crashing engines are tried one at a time.
//!
//! While one is on trial the others wait, so that the next death points at
//! one of them. A prompt that gets some tokens further than it had when its
//! engine died has passed.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use engines::CrashVerdict;
use routing::{RefusalReason, SchedulerEvent};
use types::{RequestId, TokenCount};

use super::PromptService;

/// Tokens past the place of the death that clear a prompt.
const REQUIRED_PROGRESS_TOKENS: TokenCount = 8;

#[derive(Debug)]
struct WaitingSuspect {
    event: SchedulerEvent,
    /// Answer tokens it had; the fewer, the more likely it is the cause.
    delivered: TokenCount,
}

#[derive(Debug, Default)]
struct SuspectState {
    active: Option<RequestId>,
    /// Answer tokens at which the prompt on trial has passed.
    required_tokens: TokenCount,
    waiting: HashMap<RequestId, WaitingSuspect>,
}

/// Lets one suspected prompt after the other into the scheduler.
#[derive(Debug, Default)]
pub(super) struct SuspectGate {
    state: Mutex<SuspectState>,
}

impl SuspectGate {
    fn lock_state(&self) -> MutexGuard<'_, SuspectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the place on trial, or a place in the queue; true when `event`
    /// may go on now.
    fn enter(&self, request: &RequestId, event: &SchedulerEvent, delivered: TokenCount) -> bool {
        let mut state = self.lock_state();
        if state.active.as_ref().is_none_or(|other| other == request) {
            state.active = Some(request.clone());
            state.required_tokens = delivered + REQUIRED_PROGRESS_TOKENS;
            return true;
        }
        let waiting = WaitingSuspect {
            event: event.clone(),
            delivered,
        };
        state.waiting.insert(request.clone(), waiting);
        false
    }

    /// Whether `request` is on trial and has passed by `delivered` tokens.
    fn has_passed(&self, request: &RequestId, delivered: TokenCount) -> bool {
        let state = self.lock_state();
        state.active.as_ref() == Some(request) && delivered >= state.required_tokens
    }

    /// Ends a prompt's trial or wait; returns whom to try next.
    fn leave(&self, request: &RequestId) -> Option<(RequestId, SchedulerEvent)> {
        let mut state = self.lock_state();
        state.waiting.remove(request);
        if state.active.as_ref() != Some(request) {
            return None;
        }
        state.active = None;
        let next = state
            .waiting
            .iter()
            .min_by_key(|(request, waiting)| (waiting.delivered, (*request).clone()))
            .map(|(request, _)| request.clone())?;
        let waiting = state.waiting.remove(&next)?;
        state.active = Some(next.clone());
        state.required_tokens = waiting.delivered + REQUIRED_PROGRESS_TOKENS;
        Some((next, waiting.event))
    }
}

impl PromptService {
    /// Hands the scheduler the event by which a prompt comes back or arrives:
    /// at once, after other suspects, or not at all when it is quarantined.
    pub(super) fn admit(self: &Arc<Self>, request: &RequestId, event: SchedulerEvent) {
        let known = self.with_open_prompts(|open| {
            let prompt = open.get(request)?;
            Some((prompt.to_lost_prompt(), prompt.delivered))
        });
        let Some((prompt, delivered)) = known else {
            self.handle(event);
            return;
        };
        match self.quarantine.verdict(&prompt.job, &prompt.text) {
            CrashVerdict::Clear => self.handle(event),
            CrashVerdict::Suspect => {
                if self.suspects.enter(request, &event, delivered) {
                    self.handle(SchedulerEvent::CrashSuspected {
                        request: request.clone(),
                    });
                    self.handle(event);
                }
            }
            CrashVerdict::Quarantined { left } => {
                self.refuse(request, RefusalReason::Quarantined, left);
                self.handle(SchedulerEvent::Cancelled {
                    request: request.clone(),
                });
            }
        }
    }

    /// Clears a prompt on trial that got far enough.
    pub(super) fn clear_passed_suspect(
        self: &Arc<Self>,
        request: &RequestId,
        delivered: TokenCount,
    ) {
        if !self.suspects.has_passed(request, delivered) {
            return;
        }
        let prompt = self.with_open_prompts(|open| {
            open.get(request)
                .map(super::open::OpenPrompt::to_lost_prompt)
        });
        if let Some(prompt) = prompt {
            self.quarantine.record_success(&prompt.job, &prompt.text);
        }
        self.admit_next_suspect(request);
    }

    /// Lets the next suspect in when `request` was on trial.
    pub(super) fn admit_next_suspect(self: &Arc<Self>, request: &RequestId) {
        if let Some((next, event)) = self.suspects.leave(request) {
            let service = Arc::clone(self);
            // Not from within the scheduler's lock.
            smol::spawn(async move { service.admit(&next, event) }).detach();
        }
    }
}
