//! Settings, inputs and outputs of the note adopter.

use std::time::Duration;

use types::{NodeId, NoteVersion};

use crate::{ChainHead, NotesReply};

/// Periods, timeouts and limits of the adoption of notes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdopterSettings {
    /// Interval between reads of the head in the store.
    pub poll_period: Duration,
    /// Interval between reads of the head until one has succeeded. A quarter of
    /// it is the minimum interval between fetches after a failure.
    pub retry_period: Duration,
    /// Time limit of a fetch and of a read of the head.
    pub fetch_timeout: Duration,
    /// Number of serving nodes that must reply before this node serves without
    /// the store. If there are fewer such nodes, all must reply.
    pub min_peer_replies: usize,
    /// How long to wait for a node to announce that it has an announced version
    /// in force. After that the version is fetched from the store.
    pub holder_timeout: Duration,
    /// Maximum size of the notes cached for other nodes, in bytes of JSON.
    pub max_cache_bytes: usize,
    /// Time without a tick after which the process counts as paused. It then
    /// stops serving until it has the newest note.
    pub pause_threshold: Duration,
    /// How long a node waits for the store or a peer after a pause. After that
    /// it serves the version it has, like a node that is partitioned, unless it
    /// knows of a newer version.
    pub resync_timeout: Duration,
}

impl Default for AdopterSettings {
    fn default() -> Self {
        Self {
            poll_period: Duration::from_secs(15),
            retry_period: Duration::from_millis(500),
            fetch_timeout: Duration::from_secs(2),
            min_peer_replies: 3,
            holder_timeout: Duration::from_secs(1),
            max_cache_bytes: 1024 * 1024,
            pause_threshold: Duration::from_secs(2),
            resync_timeout: Duration::from_secs(5),
        }
    }
}

/// Source from which notes are fetched.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoteSource {
    /// The table service and the object store.
    Store,
    /// Another node, which replies with the notes that it keeps.
    Peer(NodeId),
}

/// A live node and the note version that it announced as in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteHolder {
    /// Node from which the note can be fetched.
    pub node: NodeId,
    /// Version in force on that node, according to the last announcement.
    pub version: NoteVersion,
}

/// Input of the note adopter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdopterEvent {
    /// Periodic tick, with the other nodes that have a note in force.
    Tick(Vec<NoteHolder>),
    /// Another node announced that a version exists.
    VersionAnnounced {
        /// Announced version.
        version: NoteVersion,
        /// Node that has the version in force; `None` if none is known.
        holder: Option<NodeId>,
    },
    /// The store's head was read; newer notes may have been accepted since the
    /// read.
    HeadRead(ChainHead),
    /// The store's head could not be read.
    HeadReadFailed,
    /// A fetch succeeded.
    Fetched {
        /// Source that replied.
        source: NoteSource,
        /// Notes or snapshot from the source.
        reply: NotesReply,
    },
    /// A fetch from this source failed.
    FetchFailed(NoteSource),
}

/// Output of the note adopter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdopterAction {
    /// Read the store's head with a consistent read, so that it includes every
    /// accepted note.
    ReadHead,
    /// Fetch the notes after a version.
    Fetch {
        /// Source to fetch from.
        source: NoteSource,
        /// Version that this node has.
        after: NoteVersion,
    },
    /// Report that this higher version is in force on this node.
    InForce(NoteVersion),
    /// Report that this node may serve.
    Ready,
    /// Report that a reply does not continue the chain of this node.
    Rejected {
        /// Source of the reply.
        source: NoteSource,
        /// Description of the error.
        cause: String,
    },
}

/// Whether this node may serve a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionGate {
    /// The request may be served now.
    Serve,
    /// The caller was served under this higher version; wait for it.
    Await(NoteVersion),
    /// This node was started or paused, and is not yet confirmed to have the
    /// newest version.
    NotReady,
}
