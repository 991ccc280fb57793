//! Runs prompts suspected of crashing engines, one at a time.
//!
//! While one suspect runs, the others wait, so that the next death points at one
//! prompt. A suspect passes when it generates some tokens beyond those it had
//! when its engine died.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use engines::CrashVerdict;
use routing::{RefusalReason, SchedulerEvent};
use types::{RequestId, TokenCount};

use super::PromptService;

/// Tokens that a suspect has to generate beyond those delivered before the
/// death to be cleared.
const REQUIRED_PROGRESS_TOKENS: TokenCount = 8;

#[derive(Debug)]
struct WaitingSuspect {
    /// Event to pass to the scheduler when the suspect may run.
    event: SchedulerEvent,
    /// Answer tokens delivered before. Suspects with fewer run first, because they
    /// are more likely to be the cause.
    delivered: TokenCount,
}

#[derive(Debug, Default)]
struct SuspectState {
    /// The suspect that may run now.
    active: Option<RequestId>,
    /// Delivered answer tokens at which the active suspect has passed.
    required_tokens: TokenCount,
    waiting: HashMap<RequestId, WaitingSuspect>,
}

/// Admits suspected prompts to the scheduler one at a time.
#[derive(Debug, Default)]
pub(super) struct SuspectGate {
    state: Mutex<SuspectState>,
}

impl SuspectGate {
    fn lock_state(&self) -> MutexGuard<'_, SuspectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes `request` the active suspect, or queues it when another one is
    /// active. Returns `true` when `event` may go to the scheduler now.
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

    /// Returns whether `request` is the active suspect and has passed with
    /// `delivered` tokens.
    fn has_passed(&self, request: &RequestId, delivered: TokenCount) -> bool {
        let state = self.lock_state();
        state.active.as_ref() == Some(request) && delivered >= state.required_tokens
    }

    /// Removes a suspect. If it was the active one, makes the next one active and
    /// returns it.
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
    /// Passes a prompt's event to the scheduler: at once if the prompt is clear or no
    /// longer open, in turn if it is a suspect. Refuses the prompt if it is
    /// quarantined.
    pub(super) fn admit(self: &Arc<Self>, request: &RequestId, event: SchedulerEvent) {
        let known = self.with_open_prompts(|prompts| {
            let prompt = prompts.get(request)?;
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
            CrashVerdict::Settling { left } => self.admit_later(request, event, left),
            CrashVerdict::Quarantined { left } => {
                self.refuse(request, RefusalReason::Quarantined, left);
                self.handle(SchedulerEvent::Cancelled {
                    request: request.clone(),
                });
            }
        }
    }

    /// Admits a prompt after `delay`, unless it has ended by then.
    fn admit_later(self: &Arc<Self>, request: &RequestId, event: SchedulerEvent, delay: Duration) {
        let service = Arc::clone(self);
        let request = request.clone();
        smol::spawn(async move {
            service.clock.sleep(delay).await;
            if service.with_open_prompts(|prompts| prompts.contains_key(&request)) {
                service.admit(&request, event);
            }
        })
        .detach();
    }

    /// Clears the active suspect once it has generated enough tokens.
    pub(super) fn clear_passed_suspect(
        self: &Arc<Self>,
        request: &RequestId,
        delivered: TokenCount,
    ) {
        if !self.suspects.has_passed(request, delivered) {
            return;
        }
        let prompt = self.with_open_prompts(|prompts| {
            prompts
                .get(request)
                .map(super::open::OpenPrompt::to_lost_prompt)
        });
        if let Some(prompt) = prompt {
            self.quarantine.record_success(&prompt.job, &prompt.text);
        }
        self.admit_next_suspect(request);
    }

    /// Admits the next suspect if `request` was the active one.
    pub(super) fn admit_next_suspect(self: &Arc<Self>, request: &RequestId) {
        if let Some((next, event)) = self.suspects.leave(request) {
            let service = Arc::clone(self);
            // In a task of its own, because the caller may hold the scheduler's
            // lock.
            smol::spawn(async move { service.admit(&next, event) }).detach();
        }
    }
}
