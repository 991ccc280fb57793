//! What the operator wants: routes, services, limits, organisations.

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{OrganisationId, ServiceName, TokenCount};

/// One version of everything the operator has set.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Orders states; a higher number is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<ForwardRoute>>,
    /// All services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Bounds of what a caller may send.
    pub limits: RequestLimits,
    /// Organisations with their keys; `None` when callers need no key.
    pub organisations: Option<Vec<OrganisationEntry>>,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug)]
pub struct ForwardRoute {
    /// Unique among routes.
    pub name: String,
    /// Host that the caller names.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub call_kind: CallKind,
    /// Longest time until the answer's end.
    pub time_limit: Duration,
    /// Time until the answer, or a stream's first event, that callers expect.
    pub latency_goal: Duration,
    /// Longest pause between a stream's events that callers accept.
    pub event_gap: Option<Duration>,
    /// Rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests.
    pub weighted_services: Vec<ServiceWeight>,
    /// Upstreams that one attempt of a caller may be sent to.
    pub max_upstreams: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, against the sum of the route's weights.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of a caller.
    AtMostOnce,
    /// A stream of events that may not be resumed.
    Stream,
    /// A stream that another upstream may go on with after the last event.
    ResumableStream,
}

impl CallKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// What the operator says of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSpec {
    /// Figures of its model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Speed and size of a service's model engines.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of prompts and answers that memory holds.
    pub kv_cache_tokens: TokenCount,
    /// Token steps of a pass that has writers.
    pub steps_per_pass: u32,
    /// Base time of a token step.
    pub step_time: Duration,
    /// Time a step takes longer for each writer, in milliseconds.
    pub sequence_step_ms: f64,
    /// Time a step takes longer for 1,000 tokens of context, in milliseconds.
    pub context_step_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub attention_pairs_ms: f64,
}

/// Bounds of what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    /// Bounds of the HTTP library's size, for a node that knows no state yet.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// An organisation and the keys that stand for it.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// Name that upstreams are told.
    pub id: OrganisationId,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Rank of its work, before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}
