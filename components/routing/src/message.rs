//! Events that the node's scheduler receives and actions that it returns.

use std::time::Duration;

use admission::LimitSettings;
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, AttemptId, CacheEvent, EngineId, EngineReport, EngineRole, ModelId, ModelVersion,
    NodeId, OrganisationId, PromptJob, RequestId, TokenCount, ZoneId,
};

/// State of one engine in its owner's summary. Other nodes use it to form gangs
/// of engines that no single node owns in full.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineDigest {
    /// Engine that the digest describes.
    pub engine: EngineId,
    /// Availability zone of the engine.
    pub zone: ZoneId,
    /// Role that the owner wants the engine to have.
    pub role: EngineRole,
    /// Capacity of the engine's KV cache, in tokens.
    pub kv_capacity: TokenCount,
    /// KV cache memory that a gang could reserve now, in tokens.
    pub kv_free: TokenCount,
}

/// A claim on another node's engine for a gang. The owner starts no medium or
/// long work on the engine, so that its memory becomes free; a claim reserves
/// no memory.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineClaim {
    /// Engine that the claiming node wants.
    pub engine: EngineId,
    /// Time for which the prompt has waited; the claim with the longest wait
    /// takes precedence.
    pub waited: Duration,
}

/// Load and readiness of the engines that one node owns for one version of a
/// model, whatever their adapters.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PoolSummary {
    /// Model that the engines serve.
    pub model: ModelId,
    /// Version of the model that they serve.
    pub version: ModelVersion,
    /// Adapters that at least one of the engines has loaded.
    pub adapters: Vec<AdapterId>,
    /// Number of engines that have the model ready.
    pub engines: u32,
    /// Number of engines that prefill no prompt of any class but short and are
    /// not counted in `shared_engines`.
    pub without_non_short_prefill: u32,
    /// Number of engines on which another node holds memory, or that prefill in
    /// a gang or as a helper.
    pub shared_engines: u32,
    /// Engine time that short prompts take, in thousandths of the time of all
    /// engines of the pool.
    pub short_load_thousandths: u16,
    /// Digests of the pool's engines with the most free memory.
    pub digests: Vec<EngineDigest>,
    /// Expected time until the first token of a short paying prompt, beyond its
    /// prefill time on an idle engine.
    pub short_wait: Duration,
    /// The same for a long paying prompt.
    pub long_wait: Duration,
    /// The same for a trial prompt. It is estimated for a short one and used
    /// for all lengths.
    pub trial_wait: Duration,
    /// Free KV cache memory over all engines of the pool, in tokens.
    pub kv_free: TokenCount,
}

/// Tokens that one node has served to one organisation since the node started.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrganisationUsage {
    /// Organisation that was served.
    pub organisation: OrganisationId,
    /// Tokens served, weighted by their cost.
    pub tokens: TokenCount,
    /// Number of its requests in progress on the node.
    pub running: u32,
}

/// Demand of one organisation with limits on one node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrganisationDemand {
    /// Organisation that the limits apply to.
    pub organisation: OrganisationId,
    /// Rate of requests, admitted or not, in thousandths of a request per
    /// second.
    pub millirequests_per_second: u32,
    /// Number of its requests in progress on the node.
    pub running: u32,
}

/// State that a node gossips to other nodes. A summary may arrive late or be
/// lost.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeSummary {
    /// Node that sent the summary.
    pub node: NodeId,
    /// Availability zone of the sending node.
    pub zone: ZoneId,
    /// Sequence number: rises with each summary and restarts at 1 with the
    /// node.
    pub sequence: u64,
    /// Pools of the sending node, one per model and version.
    pub pools: Vec<PoolSummary>,
    /// Usage of the organisations that the node serves most.
    pub usage: Vec<OrganisationUsage>,
    /// Demand of the organisations that are nearest to their limits.
    pub demand: Vec<OrganisationDemand>,
    /// Engines of other nodes that the sender wants for gangs.
    pub claims: Vec<EngineClaim>,
}

/// An event that the scheduler must react to.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A prompt arrived from a caller, or from another node when `via` is set.
    /// A prompt from another node is never forwarded again.
    Arrived {
        /// Prompt that arrived.
        job: PromptJob,
        /// Node that forwarded the prompt, if any.
        via: Option<NodeId>,
    },
    /// A prompt that was refused as `ModelNotReady` is submitted again after a
    /// wait. It keeps its attempts and failures and is not charged to its
    /// organisation's limits again.
    Resubmitted {
        /// Prompt that is submitted again.
        job: PromptJob,
        /// Number of attempts started so far.
        attempts: AttemptId,
        /// Number of attempts and forwards that failed so far.
        failures: u32,
        /// Answer tokens that the caller has already received.
        delivered: TokenCount,
    },
    /// An engine that this node owns sent a report.
    EngineReported(EngineReport),
    /// This node no longer owns the engine, or the engine is leaving or died.
    /// Each of its attempts is reported by its own `Failed` event.
    EngineGone {
        /// Engine that is gone.
        engine: EngineId,
    },
    /// The prefix cache of an engine changed.
    CacheChanged {
        /// Engine whose cache changed.
        engine: EngineId,
        /// Whether events before these were lost. The scheduler keeps its
        /// entries all the same; the starts of later prefills correct them.
        events_lost: bool,
        /// Cache events in order.
        events: Vec<CacheEvent>,
    },
    /// The prefill of an attempt began.
    Started {
        /// Request that the attempt serves.
        request: RequestId,
        /// Attempt that began its prefill.
        attempt: AttemptId,
        /// Prompt length as counted by the engine, in tokens.
        prompt_tokens: TokenCount,
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: TokenCount,
    },
    /// An attempt produced its first token.
    FirstToken {
        /// Request that the attempt serves.
        request: RequestId,
        /// Attempt that produced the token.
        attempt: AttemptId,
    },
    /// An attempt delivered its complete answer.
    Finished {
        /// Request that the attempt served.
        request: RequestId,
        /// Attempt that finished.
        attempt: AttemptId,
        /// Length of the answer in tokens.
        output_tokens: TokenCount,
    },
    /// An attempt failed on its engine; the scheduler may dispatch the request
    /// again.
    Failed {
        /// Request that the attempt served.
        request: RequestId,
        /// Attempt that failed.
        attempt: AttemptId,
        /// Answer tokens that the caller has already received.
        delivered: TokenCount,
        /// Whether an attempt on another engine may succeed.
        retryable: bool,
    },
    /// The node that a prompt was forwarded to refused it. The scheduler may
    /// forward it to another node, queue it here or refuse it.
    ForwardRefused {
        /// Request that was refused.
        request: RequestId,
        /// Node that refused it.
        node: NodeId,
        /// Reason given by that node.
        reason: RefusalReason,
        /// Time after which that node would accept the request.
        retry_after: Duration,
    },
    /// The connection to the node that a prompt was forwarded to broke, or that
    /// node died. The prompt may have run there.
    ForwardFailed {
        /// Request that was forwarded.
        request: RequestId,
        /// Node that it was forwarded to.
        node: NodeId,
        /// Answer tokens that the caller has already received.
        delivered: TokenCount,
    },
    /// A forwarded prompt ended with a complete answer.
    ForwardFinished {
        /// Request that was forwarded.
        request: RequestId,
        /// Node that answered it.
        node: NodeId,
        /// Length of the answer in tokens.
        output_tokens: TokenCount,
    },
    /// A request may be crashing engines. Sent before `Arrived`, or before the
    /// `Failed` event of the lost attempt. The scheduler drops the suspicion
    /// when the request ends or is forwarded.
    CrashSuspected {
        /// Request under suspicion.
        request: RequestId,
    },
    /// An engine refused the memory reservation of an attempt over several
    /// engines.
    GangReservationRefused {
        /// Request that the attempt serves.
        request: RequestId,
        /// Attempt that was refused.
        attempt: AttemptId,
        /// Engine that had too little free memory.
        engine: EngineId,
    },
    /// The caller disconnected, or the node that forwarded the request
    /// cancelled it.
    Cancelled {
        /// Request to cancel.
        request: RequestId,
    },
    /// The fleet-wide limits of an organisation changed; `None` removes them.
    LimitsChanged {
        /// Organisation that the limits apply to.
        organisation: OrganisationId,
        /// New limits, if any.
        limits: Option<LimitSettings>,
    },
    /// A summary of another node arrived.
    SummaryReceived(NodeSummary),
    /// A node left the fleet or died.
    NodeGone {
        /// Node that is gone.
        node: NodeId,
    },
    /// Time has passed. Sent at least once every `SchedulerSettings::tick`.
    Tick,
}

/// Reason why a prompt was refused. The caller is told at once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The organisation exceeds its limits.
    OrganisationLimit,
    /// The answer cannot be complete by the deadline.
    DeadlineUnreachable,
    /// The queue of the node is full.
    QueueFull,
    /// A trial prompt was refused because of load: it was removed from a full
    /// queue, or would have to wait and miss its deadline.
    TrialShed,
    /// No engine or gang of engines has enough memory for the prompt.
    TooLong,
    /// No engine has the model ready.
    ModelNotReady,
    /// An attempt failed and no other is allowed: the failure is final, or the
    /// attempt limit or the retry budget is exhausted.
    RetriesExhausted,
    /// The prompt is in quarantine because engines that ran it crashed.
    Quarantined,
}

/// An action that the node must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Start an attempt. An attempt over several engines first reserves memory
    /// on all of them or on none.
    Dispatch {
        /// Request to run.
        request: RequestId,
        /// Number of the attempt; each dispatch of a request gets a new one.
        attempt: AttemptId,
        /// Engines to use. The request is sent to the first one; the others
        /// hold part of its KV cache and compute with it.
        engines: Vec<EngineId>,
        /// Priority on the engine; lower values run first.
        priority: u32,
        /// Answer tokens that the caller has already received.
        resume_at: TokenCount,
    },
    /// Forward the prompt to another node and wait for its answer.
    Forward {
        /// Request to forward.
        request: RequestId,
        /// Node to forward it to.
        node: NodeId,
    },
    /// Cancel an attempt on its engines and free its memory. The request stays
    /// queued or ends, as a separate action says.
    CancelAttempt {
        /// Request that the attempt serves.
        request: RequestId,
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Engines that run the attempt.
        engines: Vec<EngineId>,
    },
    /// End the request with a refusal, or with a failure if tokens were already
    /// sent.
    Refuse {
        /// Request to end.
        request: RequestId,
        /// Reason that the caller is given.
        reason: RefusalReason,
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
    /// Change the role of an engine that this node owns. The node sends the
    /// role with its next order to the engine.
    ChangeRole {
        /// Engine to change.
        engine: EngineId,
        /// New role of the engine.
        role: EngineRole,
    },
}
