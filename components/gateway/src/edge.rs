//! Interface between the gateway and a deployment's wire format.

use std::time::Duration;

use bytes::Bytes;
use dispatch::{DesiredState, PromptSize, UpstreamEntry};
use http::{HeaderMap, Method, Response, StatusCode, Uri, request::Parts};
use types::{OrganisationId, PromptPartId, RegionId, UpstreamId, ZoneId};

/// Translates between a deployment's wire format and the gateway's types. It
/// makes no decisions and does no I/O.
pub trait WireDialect {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, head: &Parts) -> RequestHead;

    /// Sets the gateway's own headers in a request to an upstream, and removes those
    /// that the caller must not set.
    fn write_forward_headers(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Decodes the head of an upstream's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Returns whether a request is the platform's readiness check.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Decodes a request that looks up the addresses of nodes; `None` for any other.
    fn decode_address_request(&self, uri: &Uri) -> Option<AddressQuery>;

    /// Encodes the answer to an address lookup as JSON; `lifetime` is its time to
    /// live.
    fn address_answer(&self, addresses: &[std::net::SocketAddr], lifetime: Duration) -> Bytes;

    /// Builds the call that lists a table, starting after the key `after`.
    fn list_call(&self, table: WatchedTable, after: Option<&str>) -> PlainCall;

    /// Builds the long poll for changes of a table since `version`; the store
    /// waits up to `wait` for one.
    fn changes_call(&self, table: WatchedTable, version: u64, wait: Duration) -> PlainCall;

    /// Decodes the answer to [`list_call`](Self::list_call) or
    /// [`changes_call`](Self::changes_call). Versions of a later history of the store
    /// are higher than all of an earlier one.
    fn decode_rows(&self, answer: &Response<Bytes>) -> FeedAnswer;

    /// Returns whether two versions belong to the same history of the store. After the
    /// store came back from a copy, its versions are those of a new history.
    fn is_same_history(&self, one: u64, other: u64) -> bool;

    /// Builds the call that writes a row of a table that belongs to the gateway.
    fn put_row_call(&self, table: WatchedTable, key: &str, value: &[u8]) -> PlainCall;

    /// Builds the call that removes a row from a table that belongs to the gateway.
    fn remove_row_call(&self, table: WatchedTable, key: &str) -> PlainCall;

    /// Decodes the desired state from a row of [`WatchedTable::Desired`]; `None` for
    /// a row that holds something else.
    ///
    /// # Errors
    ///
    /// Describes the part of the row that can't be decoded.
    fn decode_desired(&self, key: &str, value: &[u8]) -> Result<Option<DesiredState>, String>;

    /// Returns the availability zone that the operator evacuates by the presence of the
    /// row `key` of [`WatchedTable::Desired`]; `None` for a row that holds something else.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Decodes an upstream from a row of [`WatchedTable::Upstreams`].
    ///
    /// # Errors
    ///
    /// Describes the part of the row that can't be decoded.
    fn decode_upstream(&self, key: &str, version: u64, value: &[u8])
    -> Result<UpstreamRow, String>;

    /// Builds the call that carries an order to an engine.
    fn engine_call(&self, call: &EngineCall<'_>) -> PlainCall;
}

/// What a caller that looks up addresses says of itself.
#[derive(Clone, Debug, Default)]
pub struct AddressQuery {
    /// Host that it will send requests to; `None` if it names none.
    pub host: Option<String>,
    /// Region in which it is; `None` if it names none.
    pub region: Option<RegionId>,
}

/// Tables of the store that the gateway watches.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WatchedTable {
    /// The desired state that the operator writes, and the zones that it evacuates.
    Desired,
    /// Upstreams, each registered by itself.
    Upstreams,
    /// Nodes of the gateway, each registered by itself.
    Nodes,
    /// Parts of prompts that are refused because they crash upstreams.
    Quarantine,
}

/// An HTTP call whose answer is read whole, as made to the store, to engines and
/// to other nodes.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method: `GET` for reads, `POST` for writes and orders.
    pub method: Method,
    /// Path and query, without the address of the peer.
    pub target: String,
    /// JSON body; empty if the call has none.
    pub body: Bytes,
}

/// Decoded answer to a call that lists or polls a table.
#[derive(Clone, Debug)]
pub enum FeedAnswer {
    /// Listed rows, or rows that have changed.
    Rows {
        /// Rows of one page of a listing, or rows that changed since the version asked
        /// for.
        changes: Vec<TableChange>,
        /// Store version up to which the answer contains all changes.
        version: u64,
        /// Whether a listing has further rows after the last one.
        more: bool,
    },
    /// The store has dropped changes since the version asked for; the table has to
    /// be listed again.
    HistoryGone,
    /// The store refused the call without running it.
    Refused,
    /// An answer with another status, or with a body that can't be decoded.
    Malformed,
}

/// A row that was listed or changed.
#[derive(Clone, Debug)]
pub struct TableChange {
    /// Key of the row, unique in its table; for an upstream or a node its id.
    pub key: String,
    /// Value of the row as the store holds it; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Store version in which the row was written or removed.
    pub version: u64,
}

/// Fields of a caller's request head that the gateway acts on.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id that the caller gave to its attempt, the same at every upstream; empty if it
    /// gave none.
    pub caller_attempt_id: String,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Prompt and answer size in tokens; `None` if the caller sent none.
    pub size: Option<PromptSize>,
    /// Parts of the prompt that other requests may share, in order; without the last
    /// part, which belongs to this request or its session.
    pub shared_parts: Vec<PromptPartId>,
    /// Id of the event after which the caller resumes a stream.
    pub resume_after: Option<String>,
}

/// Values of the headers that the gateway sets in a request to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// Time until the gateway gives the request up.
    pub time_left: Duration,
    /// The upstream that the request is meant for; any other must refuse it.
    pub upstream: &'a UpstreamId,
    /// Organisation of the caller; `None` for an anonymous one.
    pub organisation: Option<&'a OrganisationId>,
    /// Priority in the upstream's queue, 0 first; `None` omits the header.
    pub priority: Option<u8>,
    /// Id of the event after which the stream continues; `None` keeps the value that
    /// the caller sent.
    pub resume_after: Option<&'a str>,
    /// Engines that prefill chunks of the prompt or hold a share of its KV cache,
    /// with the id of the memory reservation where there is one.
    pub helpers: &'a [(std::net::SocketAddr, Option<String>)],
}

/// Fields of an upstream's answer head that the gateway acts on.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Id of the caller's attempt, as the upstream echoed it; `None` if it sent none.
    pub caller_attempt_id: Option<String>,
    /// Whether the upstream stated that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries the header that upstreams add to their own answers.
    pub signed: bool,
    /// Address of the upstream at fault, if it is not the one that answered.
    pub at_fault: Option<String>,
    /// Whether the body has a content encoding; upstreams never apply one, so such
    /// an answer is not the upstream's own.
    pub encoded: bool,
    /// Keep-alive time that the upstream announced for idle connections.
    pub keep_alive: Option<Duration>,
    /// What the upstream says of itself.
    pub wish: Option<UpstreamWish>,
    /// What the upstream says of the requests that it takes.
    pub rate: RateStatement,
    /// What the upstream says of its warm-up.
    pub cold: ColdStatement,
}

/// A row by which an upstream registers itself.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// What nodes tell each other of it.
    pub entry: UpstreamEntry,
    /// What it says of its warm-up.
    pub cold: ColdStatement,
}

/// What an upstream says of its warm-up.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum ColdStatement {
    /// Nothing.
    #[default]
    Silent,
    /// It is cold for this time; it is warm if that is zero.
    Remaining(Duration),
    /// Something that can't be decoded, or makes no sense.
    Unclear(String),
}

/// How many requests an upstream takes from all nodes together, as an answer says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RateStatement {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// Thousandths of a request a second.
    Limited(u32),
    /// The answer names a limit that can't be decoded.
    Unclear,
}

/// What an upstream wants of a node, besides the answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamWish {
    /// No new work, as it leaves.
    Leave,
    /// No requests from this node for a time, as it turned one away.
    Pause(Duration),
}

/// Orders to an engine about its KV cache memory.
#[derive(Clone, Copy, Debug)]
pub enum EngineCall<'a> {
    /// Makes or renews a reservation.
    Reserve {
        /// Id of the reservation, chosen by the gateway.
        reservation_id: &'a str,
        /// Reserved memory in tokens.
        tokens: u64,
        /// Time after which the reservation lapses unless renewed.
        lifetime: Duration,
    },
    /// Releases a reservation.
    Release {
        /// Id of the reservation to release.
        reservation_id: &'a str,
    },
}
