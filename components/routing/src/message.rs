//! Events into and actions out of the scheduler of a node.

use std::time::Duration;

use admission::LimitSettings;
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, AttemptId, CacheEvent, EngineId, EngineReport, EngineRole, ModelId, ModelVersion,
    NodeId, OrganisationId, PromptJob, RequestId, TokenCount, ZoneId,
};

/// What a node tells of one engine it owns, for groups of engines that no
/// node owns whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineDigest {
    /// The engine.
    pub engine: EngineId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Role wanted of it.
    pub role: EngineRole,
    /// KV memory in tokens.
    pub kv_capacity: TokenCount,
    /// KV memory that a group could reserve now, in tokens.
    pub kv_free: TokenCount,
}

/// An engine that a node wants for a group; its owner lets it run empty.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineClaim {
    /// The engine.
    pub engine: EngineId,
    /// How long the prompt has waited; the longest wait goes first.
    pub waited: Duration,
}

/// Load and readiness of the engines one node owns, for one model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PoolSummary {
    /// The model.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters that at least one of the engines holds.
    pub adapters: Vec<AdapterId>,
    /// Engines that hold it ready.
    pub engines: u32,
    /// Engines that prefill no longer prompt.
    pub without_long_prefill: u32,
    /// Engines that compute for another's prompt.
    pub lending_compute: u32,
    /// Engines that short prompts keep busy, in thousandths.
    pub short_load_thousandths: u16,
    /// Some of the engines, those with most free memory first.
    pub digests: Vec<EngineDigest>,
    /// Expected wait of a short prompt.
    pub short_wait: Duration,
    /// Expected wait of a long prompt.
    pub long_wait: Duration,
    /// Expected wait of a short prompt on trial.
    pub trial_wait: Duration,
    /// Free KV memory over all its engines, in tokens.
    pub kv_free: TokenCount,
}

/// Tokens one organisation was served by one node since it started.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrganisationUsage {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens served, weighted by cost.
    pub tokens: TokenCount,
    /// Requests under way now.
    pub running: u32,
}

/// Demand of one limited organisation on one node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrganisationDemand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Thousandths of a request a second, let in or not.
    pub milli_rate: u32,
    /// Requests under way.
    pub running: u32,
}

/// What a node tells other nodes about itself; reaches them late or never.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeSummary {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Grows with each summary of this life of the node.
    pub sequence: u64,
    /// Its pools.
    pub pools: Vec<PoolSummary>,
    /// The organisations it serves most.
    pub usage: Vec<OrganisationUsage>,
    /// The organisations nearest to their limits.
    pub demand: Vec<OrganisationDemand>,
    /// Engines of other nodes that it wants for groups.
    pub claims: Vec<EngineClaim>,
}

/// What happened, as the scheduler needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A prompt came from a caller, or from another node when `via` is set;
    /// one from another node is never forwarded again.
    Arrived {
        /// The prompt.
        job: PromptJob,
        /// The node that forwarded it.
        via: Option<NodeId>,
    },
    /// A prompt that was refused as `ModelNotReady` and waited comes back. It
    /// keeps its attempts and failures, and is not counted against limits again.
    Resubmitted {
        /// The prompt.
        job: PromptJob,
        /// Attempts that were started.
        attempts: AttemptId,
        /// Attempts and hops that failed.
        failures: u32,
        /// Answer tokens the caller has already.
        delivered: TokenCount,
    },
    /// An engine this node owns reported.
    EngineReported(EngineReport),
    /// An engine is not this node's any more, is leaving, or died; its
    /// attempts are reported as `Failed` one by one.
    EngineGone {
        /// The engine.
        engine: EngineId,
    },
    /// Cache events of an engine; `events_lost` when some were lost before them.
    CacheChanged {
        /// The engine.
        engine: EngineId,
        /// Whether events were lost.
        events_lost: bool,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// Prefill of an attempt began, with what the engine found in its cache.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Prompt length as the engine counts it.
        prompt_tokens: TokenCount,
        /// Tokens found in the cache.
        cached_tokens: TokenCount,
    },
    /// The attempt's first token came.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The answer is whole.
    Finished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Tokens generated.
        output_tokens: TokenCount,
    },
    /// The attempt failed on its engine; the scheduler may dispatch again.
    Failed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Answer tokens the caller has already.
        delivered: TokenCount,
        /// Whether another engine may succeed.
        retryable: bool,
    },
    /// A node that the prompt was forwarded to refused it; the scheduler may
    /// forward it elsewhere, queue it here, or refuse it.
    ForwardRefused {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Why.
        reason: RefusalReason,
        /// When that node would take it.
        retry_after: Duration,
    },
    /// The hop to a node broke or the node died; the prompt may have run.
    ForwardFailed {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Answer tokens the caller has already.
        delivered: TokenCount,
    },
    /// A forwarded prompt ended, with its answer whole.
    ForwardFinished {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Tokens generated.
        output_tokens: TokenCount,
    },
    /// A request may be crashing engines; sent before `Arrived`, or before the
    /// `Failed` of the attempt that was lost. It is forgotten when it ends.
    CrashSuspected {
        /// The request.
        request: RequestId,
    },
    /// Memory for an attempt over several engines could not be had.
    GangReservationRefused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The engine that had too little.
        engine: EngineId,
    },
    /// The caller left or the node that forwarded it cancelled.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// An organisation's fleet-wide limits changed; `None` lifts them.
    LimitsChanged {
        /// The organisation.
        organisation: OrganisationId,
        /// Its limits.
        limits: Option<LimitSettings>,
    },
    /// Another node's summary.
    SummaryReceived(NodeSummary),
    /// A node left or died.
    NodeGone {
        /// The node.
        node: NodeId,
    },
    /// Time has passed; sent at least every `SchedulerSettings::tick`.
    Tick,
}

/// Why a prompt was refused. The caller is told at once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The organisation is over its limit.
    OrganisationLimit,
    /// The answer can't be ready by the deadline.
    DeadlineUnreachable,
    /// The queues are full.
    QueueFull,
    /// Trial work gives way to paying work.
    TrialShed,
    /// No engine or group of engines can hold the prompt.
    TooLong,
    /// No engine holds the model ready.
    ModelNotReady,
    /// Attempts failed and the retry budget is used up.
    RetriesExhausted,
    /// The prompt crashed engines that ran it.
    Quarantined,
}

/// What the node must do.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Start an attempt. With several engines, memory is reserved on all of
    /// them, or on none, before the first is called.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt; a new one for each dispatch.
        attempt: AttemptId,
        /// The engines; the first one is called, the rest share the sequence.
        engines: Vec<EngineId>,
        /// Priority on the engine; lower runs first.
        priority: u32,
        /// Answer tokens the caller has already.
        resume_at: TokenCount,
    },
    /// Hand the prompt to another node and await its answer.
    Forward {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
    },
    /// Cancel an attempt on its engines and free its memory; the request
    /// goes on in the queue or ends, as another action says.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The engines that run it.
        engines: Vec<EngineId>,
    },
    /// End the request with a refusal, or with a failure if tokens were sent.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Ask the engine's owner service to change an engine's role.
    ChangeRole {
        /// The engine.
        engine: EngineId,
        /// The role.
        role: EngineRole,
    },
}
