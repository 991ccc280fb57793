//! What a deployment's wire must be translated into.

use std::time::Duration;

use bytes::Bytes;
use dispatch::{DesiredState, PromptSize, UpstreamEntry};
use http::{HeaderMap, Method, StatusCode, Uri, request::Parts};
use types::{OrganisationId, UpstreamId};

/// Translates between a deployment's wire and the gateway's types; decides
/// nothing and does no I/O.
pub trait WireDialect {
    /// What the head of a caller's request says.
    fn read_request(&self, head: &Parts) -> RequestHead;

    /// Replaces the headers that the gateway sets itself in a request to an
    /// upstream.
    fn write_forward_headers(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// What the head of an upstream's answer says.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Whether the platform asks if the node takes callers.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Whether a caller asks for addresses.
    fn is_address_request(&self, uri: &Uri) -> bool;

    /// The answer to a caller that asks for addresses, as JSON.
    fn address_answer(&self, addresses: &[std::net::SocketAddr], lifetime: Duration) -> Bytes;

    /// Lists a table from the first key after `after`.
    fn list_call(&self, table: WatchedTable, after: Option<&str>) -> PlainCall;

    /// Asks for changes of a table since `version`, waiting up to `wait`.
    fn changes_call(&self, table: WatchedTable, version: u64, wait: Duration) -> PlainCall;

    /// Decodes the answer to either of these calls.
    fn read_rows(&self, status: StatusCode, body: &[u8]) -> FeedAnswer;

    /// Writes this node's row of [`WatchedTable::Nodes`].
    fn put_node_call(&self, key: &str, value: &[u8]) -> PlainCall;

    /// Removes a row of [`WatchedTable::Nodes`].
    fn remove_node_call(&self, key: &str) -> PlainCall;

    /// The desired state in a row of [`WatchedTable::Desired`]; `None` for a
    /// row that holds something else.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_desired(&self, key: &str, value: &[u8]) -> Result<Option<DesiredState>, String>;

    /// The entry in a row of [`WatchedTable::Upstreams`].
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_upstream(&self, key: &str, version: u64, value: &[u8])
    -> Result<UpstreamEntry, String>;

    /// An order to an engine.
    fn engine_call(&self, call: &EngineCall<'_>) -> PlainCall;
}

/// Tables that the gateway follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WatchedTable {
    /// What the operator wants.
    Desired,
    /// The upstreams that registered themselves.
    Upstreams,
    /// The gateway's own nodes.
    Nodes,
}

/// A call without streaming.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON body; empty for none.
    pub body: Bytes,
}

/// What came of a call that lists or follows a table.
#[derive(Clone, Debug)]
pub enum FeedAnswer {
    /// Rows as they are now, with the version that they are complete to.
    Rows {
        /// Changed or listed rows.
        changes: Vec<TableChange>,
        /// Version that the answer is complete to.
        version: u64,
        /// Whether a listing goes on after the last row.
        more: bool,
    },
    /// The store no longer has the history that was asked for.
    HistoryGone,
    /// The store did nothing, and says so.
    Refused,
    /// Anything else.
    Malformed,
}

/// A row that was listed or has changed.
#[derive(Clone, Debug)]
pub struct TableChange {
    /// Key of the row.
    pub key: String,
    /// Its value; `None` when the row is gone.
    pub value: Option<Bytes>,
    /// Version that it was written or removed in.
    pub version: u64,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Names the caller's attempt.
    pub attempt_id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Size of a prompt.
    pub size: Option<PromptSize>,
    /// Event after which the caller resumes a stream.
    pub resume_after: Option<String>,
}

/// What the gateway tells an upstream about a request.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// How long the answer may take.
    pub time_left: Duration,
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationId>,
    /// Rank of the request in the upstream's queue; `None` to leave it out.
    pub priority: Option<u8>,
    /// Event after which the stream goes on; `None` leaves the caller's.
    pub resume_after: Option<&'a str>,
    /// Engines that read parts of the prompt, with the name of the memory
    /// reserved there.
    pub helpers: &'a [(std::net::SocketAddr, Option<String>)],
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Attempt that the answer belongs to.
    pub attempt_id: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the upstream signed the answer.
    pub signed: bool,
    /// Address of an upstream at fault that is not the one asked.
    pub at_fault: Option<String>,
    /// Whether the body is encoded, so that it can't be the upstream's own.
    pub encoded: bool,
    /// How long the upstream keeps an idle connection, where it says so.
    pub keep_alive: Option<Duration>,
}

/// Orders about memory of engines.
#[derive(Clone, Copy, Debug)]
pub enum EngineCall<'a> {
    /// Sets memory aside, or renews that.
    Reserve {
        /// Names the reservation.
        reservation_id: &'a str,
        /// Size in tokens.
        tokens: u64,
        /// Time after which it lapses unless renewed.
        hold: Duration,
    },
    /// Gives reserved memory back.
    Release {
        /// Names the reservation.
        reservation_id: &'a str,
    },
}
