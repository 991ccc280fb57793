//! How much callers may make a process hold, derived from what the host grants it.

use std::sync::Arc;

use crate::MemoryBudget;

/// Memory of an open connection: its buffers, its task and the state of its protocol.
pub const CONNECTION_BYTES: u64 = 32 << 10;
/// Memory that a request needs beyond its connection and its body: the buffers and tasks of a
/// connection to an upstream, its head, and an answer of usual size.
pub const REQUEST_BYTES: u64 = 40 << 10;
/// Part of a body that counts as that of an ordinary request.
pub const ORDINARY_BODY_BYTES: u64 = 64 << 10;

/// Part of the process's memory that callers may make it hold. The rest is for what the process
/// knows of its fleet, its own calls, and memory that is free but not given back.
const CALLER_SHARE: f64 = 0.5;
/// Part of the callers' memory for bodies and answers that are larger than ordinary ones.
const BULK_SHARE: f64 = 0.5;
/// Part of the callers' memory for connections.
const CONNECTION_SHARE: f64 = 0.25;
/// Part of the callers' memory for requests in progress.
const REQUEST_SHARE: f64 = 0.125;
/// Part of the process's memory for bytes that have arrived and are not read yet.
const UNREAD_SHARE: f64 = 0.125;
/// Descriptors that the process needs for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Parts of the descriptors for callers' connections, for requests in progress, which may have
/// several connections to upstreams, and for connections to each other listener. What is left
/// is for the store, other nodes and connections that are held for them.
const CONNECTION_PARTS: u64 = 3;
const REQUEST_PARTS: u64 = 6;
const LISTENER_PARTS: u64 = 24;

/// How much callers may make a process hold.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Memory for all callers together.
    pub budget: Arc<MemoryBudget>,
    /// Most connections of callers.
    pub connections: usize,
    /// Most requests in progress.
    pub requests: usize,
    /// Most connections to each listener that callers send no requests to.
    pub listener_connections: usize,
    /// Most bytes that have arrived and stay unread while their connections answer requests.
    pub unread_bytes: u64,
}

impl CallerLimits {
    /// Derives the limits from the memory and the descriptors of the process.
    #[must_use]
    pub fn new(memory_bytes: u64, descriptors: u64) -> Self {
        let limit = part(memory_bytes, CALLER_SHARE);
        // Few descriptors are divided, so that some are left for connections.
        let sockets = descriptors
            .saturating_sub(FILE_DESCRIPTORS)
            .max(descriptors / 2);
        let count = |descriptors: u64, memory: u64| {
            usize::try_from(descriptors.min(memory).max(1)).unwrap_or(usize::MAX)
        };
        Self {
            budget: MemoryBudget::new(limit, part(limit, BULK_SHARE)),
            connections: count(
                sockets / CONNECTION_PARTS,
                part(limit, CONNECTION_SHARE) / CONNECTION_BYTES,
            ),
            requests: count(
                sockets / REQUEST_PARTS,
                part(limit, REQUEST_SHARE) / REQUEST_BYTES,
            ),
            listener_connections: count(sockets / LISTENER_PARTS, u64::MAX),
            unread_bytes: part(memory_bytes, UNREAD_SHARE),
        }
    }
}

fn part(bytes: u64, share: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let bytes = (bytes as f64 * share) as u64;
    bytes
}
