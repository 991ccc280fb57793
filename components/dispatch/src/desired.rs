//! Desired state set by the operator: routes, services, limits and
//! organisations.

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{OrganisationId, ServiceName, TokenCount};

use crate::{ColdSpec, HomeRegions};

/// One version of the operator's settings.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Sequence number; a higher one is newer.
    pub version: u64,
    /// Routes by which requests are matched to services.
    pub routes: Vec<Arc<ForwardRoute>>,
    /// Services that routes refer to, by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Limits on the requests and connections of every caller.
    pub limits: RequestLimits,
    /// Organisations with their API keys; `None` when callers need no key.
    pub organisations: Option<Vec<OrganisationEntry>>,
}

/// Services and rules for the requests of one host and path prefix.
#[derive(Clone, Debug)]
pub struct ForwardRoute {
    /// Name of the route, unique among all routes.
    pub name: String,
    /// Host name in the caller's request, without a port.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether requests may be retried, and whether they are answered by a
    /// stream.
    pub call_kind: CallKind,
    /// Longest time from a request's arrival to the end of its answer.
    pub time_limit: Duration,
    /// Time in which callers expect the answer, or the first event of a stream.
    pub latency_goal: Duration,
    /// Longest gap between two events of a stream that callers accept; `None` when
    /// the route sets no limit.
    pub event_gap: Option<Duration>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the route's requests are divided.
    pub weighted_services: Vec<ServiceWeight>,
    /// Most upstreams to which one attempt of a caller may be sent.
    pub max_upstreams: u32,
    /// Whether callers may send requests without an API key.
    pub anonymous: bool,
    /// Regions that the route's requests may not leave.
    pub homes: HomeRegions,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct ServiceWeight {
    /// Service that gets this share.
    pub service: ServiceName,
    /// Weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Whether a request may be retried, and whether it is answered by a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once for each attempt of a caller.
    AtMostOnce,
    /// The answer is a stream of events that can't be resumed.
    Stream,
    /// The answer is a stream that another upstream can resume after the last
    /// event that was delivered.
    ResumableStream,
}

impl CallKind {
    /// Whether a request that an upstream may already have run can be sent to
    /// another one.
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

/// Operator's settings of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSpec {
    /// Speed and size of its model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
    /// How its upstreams warm up; `None` if they take any load from their start.
    pub cold: Option<ColdSpec>,
}

/// Speed and size of a service's model engines, from which their prefill and
/// pass times are estimated.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of prompts and answers that fit into the KV cache.
    pub kv_cache_tokens: TokenCount,
    /// Decode steps in one forward pass of an engine that has answers to decode.
    pub steps_per_pass: u32,
    /// Base time of a decode step.
    pub step_time: Duration,
    /// Milliseconds added to a step for each sequence that is decoded.
    pub sequence_step_ms: f64,
    /// Milliseconds added to a step for each 1,000 tokens of context.
    pub context_step_ms: f64,
    /// Prompt tokens prefilled in a millisecond, without the cost of attention.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds of attention in prefill for each million pairs of a token
    /// and an earlier one.
    pub attention_pairs_ms: f64,
}

/// Limits on the size of a caller's request, on the time it takes to arrive and
/// on idle connections.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    /// Limits for a node that has no desired state yet, in the usual range of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// An organisation and the API keys that identify it.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// Name of the organisation, which is sent to upstreams.
    pub id: OrganisationId,
    /// API keys that are valid now.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides the route's; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
    /// Regions that its requests may not leave.
    pub homes: HomeRegions,
}
