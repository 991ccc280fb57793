//! The running attempts and the streams their events go to.

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

/// One running attempt.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) members: Vec<GangMember>,
    crashes: bool,
    started: bool,
    seed: AnswerSeed,
    events: Sender<Result<EngineEvent, UpstreamError>>,
}

/// What an attempt's next event asks of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptStep {
    /// Nothing.
    GoOn,
    /// Prefill has begun.
    Begin,
    /// The prompt crashes the engine.
    Crash,
    /// The attempt has ended.
    End,
}

impl RunningAttempt {
    pub(crate) fn new(
        call: &EngineCall,
        crashes: bool,
        events: Sender<Result<EngineEvent, UpstreamError>>,
    ) -> Self {
        Self {
            request: call.request.clone(),
            attempt: call.attempt,
            members: call.members.clone(),
            crashes,
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

    /// Sends on what the model says.
    pub(crate) fn take(&mut self, kind: EventKind) -> AttemptStep {
        let attempt = self.attempt;
        match kind {
            // A preempted attempt begins again; its stream just goes on.
            EventKind::Started { .. } if self.started => AttemptStep::GoOn,
            EventKind::Started { .. } if self.crashes => AttemptStep::Crash,
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
                AttemptStep::Begin
            }
            EventKind::Token { index } => {
                let text = self.seed.token(index);
                self.send(EngineEvent::Token {
                    attempt,
                    index,
                    text,
                });
                AttemptStep::GoOn
            }
            EventKind::Finished { tokens } => {
                self.send(EngineEvent::Finished { attempt, tokens });
                AttemptStep::End
            }
        }
    }

    /// Cuts the stream, as a crash does.
    pub(crate) fn cut(&self, peer: &str) {
        let fault = UpstreamError::Broken {
            step: "engine stream".to_owned(),
            peer: peer.to_owned(),
            phase: SendPhase::AfterFirstByte,
            cause: "the engine died".to_owned(),
        };
        self.events.try_send(Err(fault)).ok();
    }

    /// Tells the stream that the engine gave up.
    pub(crate) fn fail(&self, cause: &str) {
        self.send(EngineEvent::Failed {
            attempt: self.attempt,
            cause: cause.to_owned(),
        });
    }

    fn send(&self, event: EngineEvent) {
        self.events.try_send(Ok(event)).ok();
    }
}

/// Names an attempt of one life of the engine; each life's model counts its
/// sequences from the start.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AttemptPlace {
    pub(crate) life: IncarnationNumber,
    pub(crate) sequence: SequenceId,
}

/// All running attempts.
pub(crate) type AttemptMap = HashMap<AttemptPlace, RunningAttempt>;

/// An attempt's events; dropping it cancels the attempt.
pub(crate) struct AttemptStream {
    pub(crate) engine: Weak<StandinEngine>,
    pub(crate) place: AttemptPlace,
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
            engine.abandon(self.place);
        }
    }
}
