//! Prometheus metrics of a node, encoded in the `OpenMetrics` format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Labels of an answered HTTP call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct RouteLabels {
    /// Route pattern, with placeholders for variable path segments.
    pub route: String,
    /// HTTP status code of the answer.
    pub status: u16,
}

/// Labels of the outcome of a prompt or an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct OutcomeLabels {
    /// `paying` or `trial` for prompts; the service's name for orders.
    pub plan: String,
    /// `finished`, `failed`, `cancelled`, or the reason of the refusal.
    pub outcome: String,
}

/// Labels of a latency measurement, by plan and prompt length.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct LengthLabels {
    /// `paying` or `trial`.
    pub plan: String,
    /// Length bucket, named after its upper bound in tokens (`16k` is 16,000);
    /// `1m` holds everything above 256,000.
    pub length: String,
}

/// Labels of a failed call to a peer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct PeerLabels {
    /// Operation that failed, such as `attempt`, `cancel` or `forward`.
    pub step: String,
    /// Name or id of the peer that was called.
    pub peer: String,
}

/// All metrics of a node, and the registry that exports them.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// HTTP calls answered, by route and status.
    pub calls: Family<RouteLabels, Counter>,
    /// Prompts ended, by plan and outcome.
    pub prompts: Family<OutcomeLabels, Counter>,
    /// Time to first token in seconds, by plan and prompt length.
    pub first_token: Family<LengthLabels, Histogram>,
    /// Output tokens sent to callers.
    pub tokens: Counter,
    /// Prompts that are queued or running on this node.
    pub open_prompts: Gauge,
    /// Open connections from callers.
    pub connections: Gauge,
    /// Bytes of request bodies held in memory.
    pub held_body_bytes: Gauge,
    /// Version of the release note in force.
    pub note_version: Gauge,
    /// Cluster members that this node considers alive.
    pub live_members: Gauge,
    /// Calls to peers that failed, by step and peer.
    pub peer_failures: Family<PeerLabels, Counter>,
    /// Orders ended, by outcome; the `plan` label holds the service's name.
    pub orders: Family<OutcomeLabels, Counter>,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gentiantally"),
            calls: Family::default(),
            prompts: Family::default(),
            first_token: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.005, 2.0, 16))
            }),
            tokens: Counter::default(),
            open_prompts: Gauge::default(),
            connections: Gauge::default(),
            held_body_bytes: Gauge::default(),
            note_version: Gauge::default(),
            live_members: Gauge::default(),
            peer_failures: Family::default(),
            orders: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl NodeMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls answered", self.calls.clone());
        registry.register("prompts", "Prompts ended", self.prompts.clone());
        registry.register(
            "first_token_seconds",
            "Seconds to the first token",
            self.first_token.clone(),
        );
        registry.register("tokens", "Tokens sent to callers", self.tokens.clone());
        registry.register(
            "open_prompts",
            "Prompts queued or running",
            self.open_prompts.clone(),
        );
        registry.register(
            "connections",
            "Connections from callers",
            self.connections.clone(),
        );
        registry.register(
            "held_body_bytes",
            "Bytes of request bodies held",
            self.held_body_bytes.clone(),
        );
        registry.register(
            "note_version",
            "Version of the release note in force",
            self.note_version.clone(),
        );
        registry.register(
            "live_members",
            "Members seen alive",
            self.live_members.clone(),
        );
        registry.register(
            "peer_failures",
            "Calls to peers that failed",
            self.peer_failures.clone(),
        );
        registry.register("orders", "Orders ended", self.orders.clone());
    }

    /// Increments `peer_failures` for a call of `step` to `peer` that failed.
    pub fn count_peer_failure(&self, step: &str, peer: &str) {
        let labels = PeerLabels {
            step: step.to_owned(),
            peer: peer.to_owned(),
        };
        self.peer_failures.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as `OpenMetrics` text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        encode(&mut text, &self.registry).ok();
        text
    }
}

/// Returns the label of the prompt length bucket that holds `tokens`.
#[must_use]
pub fn length_bucket(tokens: u64) -> &'static str {
    match tokens {
        0..=1_000 => "1k",
        1_001..=4_000 => "4k",
        4_001..=16_000 => "16k",
        16_001..=64_000 => "64k",
        64_001..=256_000 => "256k",
        _ => "1m",
    }
}
