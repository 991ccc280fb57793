//! Metrics of what callers make the process hold, and of what is turned away for it.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Why a connection or a request was turned away in favour of others.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum TurnedAway {
    /// There was no place for the connection or the request.
    NoPlace,
    /// There was no memory for the body.
    NoMemory,
    /// It was silent, or its body made no progress, when others needed its place or memory.
    GaveWay,
    /// Its body is over the limit.
    TooLarge,
    /// Its head did not arrive in time.
    LateHead,
    /// Its body did not arrive in time.
    LateBody,
    /// Its peer does not read its answer.
    UnreadAnswer,
    /// Its peer sends on while its request is answered.
    UnreadRequests,
}

impl TurnedAway {
    fn label(self) -> &'static str {
        match self {
            Self::NoPlace => "no_place",
            Self::NoMemory => "no_memory",
            Self::GaveWay => "gave_way",
            Self::TooLarge => "too_large",
            Self::LateHead => "late_head",
            Self::LateBody => "late_body",
            Self::UnreadAnswer => "unread_answer",
            Self::UnreadRequests => "unread_requests",
        }
    }
}

/// Labels of the counter of what was turned away.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct TurnedAwayLabels {
    /// Reason, as [`TurnedAway`] names it.
    pub(crate) reason: &'static str,
}

/// Labels of the gauge of open connections.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct ListenerLabels {
    /// Name of the listener.
    pub(crate) listener: String,
}

/// What callers make the process hold at one moment.
#[derive(Debug)]
pub(crate) struct CallerLoad {
    /// Bytes charged to the callers' budget.
    pub(crate) held_bytes: u64,
    /// Requests in progress.
    pub(crate) requests: usize,
    /// Open connections of each listener.
    pub(crate) connections: Vec<(String, usize)>,
}

/// Metrics of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerMetrics {
    held_bytes: Gauge,
    open_requests: Gauge,
    open_connections: Family<ListenerLabels, Gauge>,
    turned_away: Family<TurnedAwayLabels, Counter>,
}

impl CallerMetrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "caller_bytes",
            "Bytes that callers make the process hold",
            metrics.held_bytes.clone(),
        );
        registry.register(
            "open_requests",
            "Requests in progress",
            metrics.open_requests.clone(),
        );
        registry.register(
            "open_connections",
            "Connections that were accepted and are open",
            metrics.open_connections.clone(),
        );
        registry.register(
            "turned_away",
            "Connections and requests turned away in favour of others",
            metrics.turned_away.clone(),
        );
        metrics
    }

    /// Counts a connection or a request that is turned away.
    pub(crate) fn record_turned_away(&self, reason: TurnedAway) {
        let labels = TurnedAwayLabels {
            reason: reason.label(),
        };
        self.turned_away.get_or_create(&labels).inc();
    }

    /// Sets the gauges to what is held now.
    pub(crate) fn set_load(&self, load: &CallerLoad) {
        let value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.held_bytes.set(value(load.held_bytes));
        self.open_requests.set(value(load.requests as u64));
        for (listener, open) in &load.connections {
            let labels = ListenerLabels {
                listener: listener.clone(),
            };
            let connections = self.open_connections.get_or_create(&labels);
            connections.set(value(*open as u64));
        }
    }
}
