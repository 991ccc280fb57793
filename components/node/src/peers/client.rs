//! Client side of calls between nodes.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use engines::DeathRecord;
use kernel::ClockSource;
use membership::MemberRecord;
use notes::{NotesReply, NotesRequest};
use serde::{Serialize, de::DeserializeOwned};
use smol::{Task, net::TcpStream};
use types::{NodeId, RequestId};
use wire::{FrameError, KeyRing, receive_frame, send_frame};

use super::{
    DeathsAcknowledged, ForwardedPrompt, PeerReply, PeerRequest, handshake::authenticate_to_callee,
};
use crate::notes::{NoteFetchError, NoteFetcher};

/// Time limit of connecting and of the handshake.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time limit of fetching release notes from one node.
const NOTES_LIMIT: Duration = Duration::from_secs(2);

/// Client for calls to other nodes; membership supplies their addresses.
pub struct PeerClient {
    own: NodeId,
    ring: Arc<KeyRing>,
    clock: ClockSource,
    addresses: Mutex<HashMap<NodeId, String>>,
}

impl PeerClient {
    /// Creates a client that knows no addresses yet.
    #[must_use]
    pub fn new(own: NodeId, ring: Arc<KeyRing>, clock: ClockSource) -> Arc<Self> {
        Arc::new(Self {
            own,
            ring,
            clock,
            addresses: Mutex::default(),
        })
    }

    /// Replaces the known addresses, by node id.
    pub fn set_addresses(&self, addresses: HashMap<NodeId, String>) {
        let mut known = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = addresses;
    }

    /// Forwards a prompt to `node` and returns the stream of its replies.
    ///
    /// # Errors
    /// `FrameError` when the node can't be reached in time.
    pub async fn send_prompt(
        &self,
        node: &NodeId,
        prompt: &ForwardedPrompt,
    ) -> Result<PromptExchange, FrameError> {
        let mut stream = self.connect(node, &self.address(node)?).await?;
        let request = PeerRequest::Prompt(Box::new(prompt.clone()));
        send_frame(&mut stream, node, &request).await?;
        Ok(PromptExchange {
            stream,
            node: node.clone(),
            request: prompt.request.clone(),
        })
    }

    /// Sends one request to `node` at `address` and receives its single reply
    /// within `limit`.
    ///
    /// # Errors
    /// `FrameError` when no complete reply arrived in time.
    pub async fn call<T: DeserializeOwned>(
        &self,
        node: &NodeId,
        address: &str,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<T, FrameError> {
        let exchange = async {
            let mut stream = self.connect(node, address).await?;
            send_frame(&mut stream, node, request).await?;
            receive_frame(&mut stream, node).await
        };
        self.clock
            .timeout(limit, exchange)
            .await
            .unwrap_or_else(|| Err(timed_out("ask", node)))
    }

    /// Sends death records to all known nodes concurrently and waits at most
    /// `limit` for their acknowledgements. Gossip reaches the remaining nodes
    /// later.
    pub async fn broadcast_deaths(self: &Arc<Self>, records: Vec<DeathRecord>, limit: Duration) {
        let others = self.other_nodes();
        let request = Arc::new(PeerRequest::Deaths(records));
        let sends: Vec<Task<()>> = others
            .into_iter()
            .map(|(node, address)| {
                let client = Arc::clone(self);
                let request = Arc::clone(&request);
                smol::spawn(async move {
                    let acknowledged: Result<DeathsAcknowledged, FrameError> =
                        client.call(&node, &address, &request, limit).await;
                    if let Err(error) = acknowledged {
                        log::warn!("event=deaths_not_told node={node} cause=\"{error}\"");
                    }
                })
            })
            .collect();
        for task in sends {
            task.await;
        }
    }

    fn other_nodes(&self) -> Vec<(NodeId, String)> {
        let known = self.addresses.lock();
        let known = known.unwrap_or_else(PoisonError::into_inner);
        known
            .iter()
            .filter(|(node, _)| **node != self.own)
            .map(|(node, address)| (node.clone(), address.clone()))
            .collect()
    }

    async fn connect(&self, node: &NodeId, address: &str) -> Result<TcpStream, FrameError> {
        let connection = async {
            let mut stream = TcpStream::connect(address)
                .await
                .map_err(|error| connection_failed("connect", node, &error.to_string()))?;
            stream.set_nodelay(true).ok();
            authenticate_to_callee(&mut stream, node, &self.ring, &self.own).await?;
            Ok(stream)
        };
        self.clock
            .timeout(CONNECT_LIMIT, connection)
            .await
            .unwrap_or_else(|| Err(timed_out("connect", node)))
    }

    fn address(&self, node: &NodeId) -> Result<String, FrameError> {
        let known = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        known
            .get(node)
            .cloned()
            .ok_or_else(|| connection_failed("connect", node, "the node's address is not known"))
    }
}

#[async_trait]
impl NoteFetcher for PeerClient {
    async fn fetch(
        &self,
        peer: &MemberRecord,
        request: NotesRequest,
    ) -> Result<NotesReply, NoteFetchError> {
        let address = peer.addresses.peer.to_string();
        let request = PeerRequest::Notes(request);
        self.call(&peer.node, &address, &request, NOTES_LIMIT)
            .await
            .map_err(|error| NoteFetchError {
                step: "fetch notes".to_owned(),
                peer: peer.node.clone(),
                cause: error.to_string(),
            })
    }
}

/// A prompt in flight on another node; dropping it cancels the prompt there.
pub struct PromptExchange {
    stream: TcpStream,
    node: NodeId,
    request: RequestId,
}

impl PromptExchange {
    /// Receives the next reply.
    ///
    /// # Errors
    /// `FrameError` when the connection closed or the reply belongs to another
    /// request.
    pub async fn receive(&mut self) -> Result<PeerReply, FrameError> {
        let reply: PeerReply = receive_frame(&mut self.stream, &self.node).await?;
        if *reply.request() == self.request {
            return Ok(reply);
        }
        Err(FrameError::Malformed {
            step: "receive".to_owned(),
            peer: self.node.clone(),
            cause: format!("received a reply for request {}", reply.request()),
        })
    }
}

/// Sends one reply on a connection opened by a peer.
pub(super) async fn reply<T: Serialize>(
    stream: &mut TcpStream,
    peer: &str,
    message: &T,
) -> Result<(), FrameError> {
    send_frame(stream, peer, message).await
}

fn connection_failed(step: &str, node: &NodeId, cause: &str) -> FrameError {
    FrameError::ConnectionFailed {
        step: step.to_owned(),
        peer: node.clone(),
        cause: cause.to_owned(),
    }
}

fn timed_out(step: &str, node: &NodeId) -> FrameError {
    connection_failed(step, node, "no answer in time")
}
