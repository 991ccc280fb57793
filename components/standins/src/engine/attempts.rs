//! Running attempts and the streams that carry their events to the caller.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::Weak,
    task::{Context, Poll},
};

use errors::{SendPhase, UpstreamError};
use futures_lite::{Stream, stream::StreamExt};
use model::{EventKind, SequenceId};
use smol::channel::{Receiver, Sender};
use types::{AttemptId, IncarnationNumber, RequestId};
use upstream::{EngineCall, EngineEvent, GangMember};

use crate::{answer::AnswerSeed, engine::StandinEngine};

/// An attempt that the simulation is queueing, prefilling or decoding.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) members: Vec<GangMember>,
    crashes_engine: bool,
    started: bool,
    seed: AnswerSeed,
    events: Sender<Result<EngineEvent, UpstreamError>>,
}

/// What the engine must do after an event of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptAction {
    /// The event needs no further action.
    Nothing,
    /// Prefill has started: connect the members that lend compute.
    ConnectMembers,
    /// The prompt contains the crash marker: the engine must crash.
    CrashEngine,
    /// The attempt has finished: remove it.
    Remove,
}

impl RunningAttempt {
    pub(crate) fn new(
        call: &EngineCall,
        crashes_engine: bool,
        events: Sender<Result<EngineEvent, UpstreamError>>,
    ) -> Self {
        Self {
            request: call.request.clone(),
            attempt: call.attempt,
            members: call.members.clone(),
            crashes_engine,
            started: false,
            seed: AnswerSeed::new(
                &call.model,
                &call.version,
                call.adapter.as_ref(),
                &call.prompt,
            ),
            events,
        }
    }

    /// Forwards an event of the simulation to the stream and returns what the engine
    /// must do next.
    pub(crate) fn forward(&mut self, kind: EventKind) -> AttemptAction {
        let attempt = self.attempt;
        match kind {
            // A preempted attempt starts again in the simulation; its
            // stream gets only the first start.
            EventKind::Started { .. } if self.started => AttemptAction::Nothing,
            EventKind::Started { .. } if self.crashes_engine => AttemptAction::CrashEngine,
            EventKind::Started {
                prompt_tokens,
                cached_tokens,
            } => {
                self.started = true;
                self.send(EngineEvent::Started {
                    attempt,
                    prompt_tokens,
                    cached_tokens,
                });
                AttemptAction::ConnectMembers
            }
            EventKind::Token { index } => {
                let text = self.seed.token(index);
                self.send(EngineEvent::Token {
                    attempt,
                    index,
                    text,
                });
                AttemptAction::Nothing
            }
            EventKind::Finished { tokens } => {
                self.send(EngineEvent::Finished { attempt, tokens });
                AttemptAction::Remove
            }
        }
    }

    /// Ends the stream with a broken connection, as an engine crash does.
    pub(crate) fn break_stream(&self, peer: &str) {
        let fault = UpstreamError::Broken {
            step: "engine stream".to_owned(),
            peer: peer.to_owned(),
            phase: SendPhase::AfterFirstByte,
            cause: "the engine crashed".to_owned(),
        };
        self.events.try_send(Err(fault)).ok();
    }

    /// Sends `EngineEvent::Failed` to the stream.
    pub(crate) fn send_failure(&self, cause: &str) {
        self.send(EngineEvent::Failed {
            attempt: self.attempt,
            cause: cause.to_owned(),
        });
    }

    fn send(&self, event: EngineEvent) {
        self.events.try_send(Ok(event)).ok();
    }
}

/// Identifies an attempt within one incarnation of the engine; the incarnation is
/// part of the key because each one numbers its sequences from the start.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AttemptKey {
    pub(crate) incarnation: IncarnationNumber,
    pub(crate) sequence: SequenceId,
}

/// The running attempts by key.
pub(crate) type AttemptMap = HashMap<AttemptKey, RunningAttempt>;

/// Event stream of an attempt; dropping it cancels the attempt.
pub(crate) struct AttemptStream {
    pub(crate) engine: Weak<StandinEngine>,
    pub(crate) key: AttemptKey,
    pub(crate) events: Pin<Box<Receiver<Result<EngineEvent, UpstreamError>>>>,
}

impl Stream for AttemptStream {
    type Item = Result<EngineEvent, UpstreamError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.events.poll_next(context)
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        if let Some(engine) = self.engine.upgrade() {
            engine.cancel_dropped_attempt(self.key);
        }
    }
}
