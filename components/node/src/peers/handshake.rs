//! Mutual authentication at the start of a connection: both sides prove that
//! they hold a cluster key.

use serde::{Deserialize, Serialize};
use smol::net::TcpStream;
use types::NodeId;
use wire::{FrameError, KeyRing, receive_frame, send_frame};

const NONCE_BYTES: usize = 16;
const CALLER_ROLE: &[u8] = b"caller";
const CALLEE_ROLE: &[u8] = b"called";

type NonceBytes = [u8; NONCE_BYTES];

#[derive(Deserialize, Serialize)]
struct ChallengeFrame {
    nonce: NonceBytes,
}

#[derive(Deserialize, Serialize)]
struct ProofFrame {
    node: NodeId,
    nonce: NonceBytes,
    key: u32,
    tag: Vec<u8>,
}

/// Runs the caller's side of the handshake; `own` is this node's id.
pub(super) async fn authenticate_to_callee(
    stream: &mut TcpStream,
    peer: &str,
    ring: &KeyRing,
    own: &NodeId,
) -> Result<(), FrameError> {
    let challenge: ChallengeFrame = receive_frame(stream, peer).await?;
    let nonce: NonceBytes = rand::random();
    let proof = ProofFrame {
        node: own.clone(),
        nonce,
        key: ring.signing_id(),
        tag: ring
            .sign(&[CALLER_ROLE, &challenge.nonce, &nonce, own.as_bytes()])
            .to_vec(),
    };
    send_frame(stream, peer, &proof).await?;
    let answer: ProofFrame = receive_frame(stream, peer).await?;
    let parts: [&[u8]; 4] = [CALLEE_ROLE, &nonce, &answer.nonce, answer.node.as_bytes()];
    verify_proof(ring, &answer, &parts, peer)
}

/// Runs the callee's side of the handshake; returns the caller's id.
pub(super) async fn authenticate_caller(
    stream: &mut TcpStream,
    peer: &str,
    ring: &KeyRing,
    own: &NodeId,
) -> Result<NodeId, FrameError> {
    let nonce: NonceBytes = rand::random();
    send_frame(stream, peer, &ChallengeFrame { nonce }).await?;
    let proof: ProofFrame = receive_frame(stream, peer).await?;
    let parts: [&[u8]; 4] = [CALLER_ROLE, &nonce, &proof.nonce, proof.node.as_bytes()];
    verify_proof(ring, &proof, &parts, peer)?;
    let answer = ProofFrame {
        node: own.clone(),
        nonce,
        key: ring.signing_id(),
        tag: ring
            .sign(&[CALLEE_ROLE, &proof.nonce, &nonce, own.as_bytes()])
            .to_vec(),
    };
    send_frame(stream, peer, &answer).await?;
    Ok(proof.node)
}

fn verify_proof(
    ring: &KeyRing,
    proof: &ProofFrame,
    parts: &[&[u8]],
    peer: &str,
) -> Result<(), FrameError> {
    if ring.verify(proof.key, parts, &proof.tag) == Some(true) {
        return Ok(());
    }
    Err(FrameError::Malformed {
        step: "handshake".to_owned(),
        peer: peer.to_owned(),
        cause: "the proof doesn't verify with any cluster key of this node".to_owned(),
    })
}
