//! Server side of calls between nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::AsyncReadExt;
use kernel::{CancellationToken, ClockSource};
use smol::net::{TcpListener, TcpStream};
use types::{NodeId, PromptJob, RequestId};
use wire::{FrameError, KeyRing, receive_frame};

use super::{
    DeathsAcknowledged, ForwardedPrompt, PeerReply, PeerRequest, client::reply,
    handshake::authenticate_caller,
};
use crate::{
    notes::NoteService,
    prompts::{PromptHandle, PromptService, PromptSubmission, PromptUpdate},
    quarantine::QuarantineService,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time limit of the handshake and of receiving the request.
const REQUEST_LIMIT: Duration = Duration::from_secs(20);

/// Services that answer the requests of other nodes.
pub struct PeerHandler {
    /// Id of this node, sent in the handshake.
    pub own: NodeId,
    /// Cluster keys that authenticate connections.
    pub ring: Arc<KeyRing>,
    /// Clock that times out slow connections.
    pub clock: ClockSource,
    /// Runs forwarded prompts.
    pub prompts: Arc<PromptService>,
    /// Records engine deaths that other nodes report.
    pub quarantine: Arc<QuarantineService>,
    /// Answers requests for release notes.
    pub notes: Arc<NoteService>,
}

/// Listener for connections of other nodes.
pub struct PeerServer {
    listener: TcpListener,
    handler: Arc<PeerHandler>,
}

impl PeerServer {
    /// Creates a server on a bound listener.
    #[must_use]
    pub fn new(listener: TcpListener, handler: PeerHandler) -> Self {
        Self {
            listener,
            handler: Arc::new(handler),
        }
    }

    /// Accepts connections until `token` is cancelled; open connections
    /// continue.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let accepted = smol::future::or(async { Some(self.listener.accept().await) }, async {
                token.cancelled().await;
                None
            })
            .await;
            match accepted {
                Some(Ok((stream, address))) => {
                    let handler = Arc::clone(&self.handler);
                    smol::spawn(handler.serve(stream, address)).detach();
                }
                Some(Err(_)) => self.handler.clock.sleep(ACCEPT_PAUSE).await,
                None => return,
            }
        }
    }
}

impl PeerHandler {
    async fn serve(self: Arc<Self>, mut stream: TcpStream, address: SocketAddr) {
        stream.set_nodelay(true).ok();
        let handshake = self.accept_request(&mut stream, address);
        let accepted = self.clock.timeout(REQUEST_LIMIT, handshake).await;
        let (caller, request) = match accepted {
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                log::warn!("event=peer_rejected address={address} cause=\"{error}\"");
                return;
            }
            None => {
                log::warn!("event=peer_rejected address={address} cause=\"no request in time\"");
                return;
            }
        };
        let outcome = match request {
            PeerRequest::Prompt(prompt) => self.run_prompt(stream, &caller, *prompt).await,
            PeerRequest::Deaths(records) => {
                self.quarantine.merge_records(&records);
                reply(&mut stream, &caller, &DeathsAcknowledged).await
            }
            PeerRequest::Notes(request) => {
                let notes = self.notes.reply(&request);
                reply(&mut stream, &caller, &notes).await
            }
        };
        if let Err(error) = outcome {
            log::info!("event=peer_call_ended node={caller} cause=\"{error}\"");
        }
    }

    async fn accept_request(
        &self,
        stream: &mut TcpStream,
        address: SocketAddr,
    ) -> Result<(NodeId, PeerRequest), FrameError> {
        let peer = address.to_string();
        let caller = authenticate_caller(stream, &peer, &self.ring, &self.own).await?;
        let request = receive_frame(stream, &caller).await?;
        Ok((caller, request))
    }

    async fn run_prompt(
        &self,
        mut stream: TcpStream,
        caller: &NodeId,
        prompt: ForwardedPrompt,
    ) -> Result<(), FrameError> {
        let request = prompt.request.clone();
        self.quarantine.merge_records(&prompt.deaths);
        let submission = self.submission(caller, prompt);
        let prompt_relay = PromptRelay {
            request,
            job: submission.job.clone(),
            text: Arc::clone(&submission.text),
            quarantine: Arc::clone(&self.quarantine),
        };
        let handle = self.prompts.submit(submission);
        let mut watched = stream.clone();
        let relay = prompt_relay.relay(&mut stream, caller, &handle);
        // The caller sends nothing after its request, so the end of the stream
        // or any byte means that it disconnected.
        let disconnected = async {
            let mut byte = [0_u8; 1];
            watched.read(&mut byte).await.ok();
            Ok(())
        };
        smol::future::or(relay, disconnected).await
    }

    fn submission(&self, caller: &NodeId, prompt: ForwardedPrompt) -> PromptSubmission {
        let now = self.clock.now();
        let prefixes = types::prefix_hashes(
            &prompt.model,
            &prompt.version,
            prompt.adapter.as_ref(),
            &prompt.text,
        );
        let job = PromptJob {
            request: prompt.request,
            organisation: prompt.organisation,
            plan: prompt.plan,
            weight: prompt.weight,
            model: prompt.model,
            version: prompt.version,
            adapter: prompt.adapter,
            note_version: prompt.note_version,
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            prefixes,
            zone: prompt.zone,
            arrived: now.checked_sub(prompt.waited).unwrap_or(now),
            deadline: now + prompt.deadline_in,
        };
        PromptSubmission {
            job,
            text: prompt.text.into(),
            resume_at: prompt.resume_at,
            via: Some(caller.clone()),
            traceparent: prompt.traceparent,
        }
    }
}

/// Relays the updates of a forwarded prompt to the node that sent it.
struct PromptRelay {
    request: RequestId,
    job: PromptJob,
    text: Arc<str>,
    quarantine: Arc<QuarantineService>,
}

impl PromptRelay {
    /// Sends each update to `caller`, up to the last one.
    async fn relay(
        &self,
        stream: &mut TcpStream,
        caller: &NodeId,
        handle: &PromptHandle,
    ) -> Result<(), FrameError> {
        while let Some(update) = handle.next().await {
            let last = matches!(
                update,
                PromptUpdate::Finished { .. } | PromptUpdate::Refused { .. }
            );
            reply(stream, caller, &self.peer_reply(update)).await?;
            if last {
                return Ok(());
            }
        }
        Ok(())
    }

    fn peer_reply(&self, update: PromptUpdate) -> PeerReply {
        let request = self.request.clone();
        match update {
            PromptUpdate::Started {
                prompt_tokens,
                cached_tokens,
            } => PeerReply::Started {
                request,
                prompt_tokens,
                cached_tokens,
            },
            PromptUpdate::Token { index, text } => PeerReply::Token {
                request,
                index,
                text,
            },
            PromptUpdate::Finished { tokens } => PeerReply::Finished { request, tokens },
            PromptUpdate::Refused {
                reason,
                retry_after,
            } => PeerReply::Refused {
                request,
                reason,
                retry_after,
                deaths: self.quarantine.deaths_of(&self.job, &self.text),
            },
        }
    }
}
