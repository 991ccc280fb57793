//! What goes into the note adopter and what comes out.

use std::time::Duration;

use types::{NodeId, NoteVersion};

use crate::{ChainHead, NotesReply};

/// Knobs of adoption.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdopterSettings {
    /// Time between two reads of the head in the store.
    pub poll_period: Duration,
    /// Time between two tries to learn the newest note before serving.
    pub retry_period: Duration,
    /// Time for one fetch.
    pub fetch_timeout: Duration,
    /// Serving nodes that must answer, if there are as many, before this node
    /// serves without the store.
    pub peer_answers: usize,
    /// Time in which a node is expected to tell that it has a version that is
    /// only known of; then the store is asked.
    pub rumour_patience: Duration,
    /// Bytes of notes, as JSON, that are kept for other nodes.
    pub kept_bytes: usize,
    /// Time without a tick after which this process was paused: it learns the
    /// newest note again before it serves on.
    pub pause_limit: Duration,
    /// Time after a pause in which the store or a peer must answer; then it
    /// serves on under what it has, as one that is cut off does.
    pub relearn_limit: Duration,
}

impl Default for AdopterSettings {
    fn default() -> Self {
        Self {
            poll_period: Duration::from_secs(15),
            retry_period: Duration::from_millis(500),
            fetch_timeout: Duration::from_secs(2),
            peer_answers: 3,
            rumour_patience: Duration::from_secs(1),
            kept_bytes: 1024 * 1024,
            pause_limit: Duration::from_secs(2),
            relearn_limit: Duration::from_secs(5),
        }
    }
}

/// Where notes are fetched from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoteSource {
    /// The table service and the object store.
    Store,
    /// Another node.
    Peer(NodeId),
}

/// A node that is present and says it has a note in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteHolder {
    /// The node.
    pub node: NodeId,
    /// Version in force there, as far as heard.
    pub version: NoteVersion,
}

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdopterEvent {
    /// Time has passed; with the other nodes that hold a note.
    Tick(Vec<NoteHolder>),
    /// Another node told that a version exists.
    VersionAnnounced {
        /// The version.
        version: NoteVersion,
        /// Node that has it in force; `None` when it is only known of.
        holder: Option<NodeId>,
    },
    /// The store's head was read; it may lag.
    HeadRead(ChainHead),
    /// The store's head could not be read.
    HeadReadFailed,
    /// Notes came.
    Fetched {
        /// From where.
        source: NoteSource,
        /// What came.
        reply: NotesReply,
    },
    /// Notes did not come.
    FetchFailed(NoteSource),
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdopterAction {
    /// Read the store's head, seeing every accepted note.
    ReadHead,
    /// Fetch the notes after a version.
    Fetch {
        /// From where.
        source: NoteSource,
        /// Version this node has.
        after: NoteVersion,
    },
    /// A higher version is in force.
    InForce(NoteVersion),
    /// This node may serve.
    Ready,
    /// What a source sent does not follow what is in force here.
    Rejected {
        /// The source.
        source: NoteSource,
        /// Why.
        cause: String,
    },
}

/// What a request that shows a note version may be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionGate {
    /// It may be served.
    Serve,
    /// It was served under a higher version; wait for that one.
    Await(NoteVersion),
    /// This node does not know yet what is in force.
    NotReady,
}
