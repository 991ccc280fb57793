//! Metrics of a gateway, exported in the `OpenMetrics` format.

use std::{io, time::Duration};

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
use types::ZoneId;

use crate::caller_metrics::{CallerLoad, CallerMetrics};

/// Labels of the counter of answered requests.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Service that the route selected; empty if the request was rejected before
    /// forwarding.
    pub(crate) service: String,
    /// HTTP status sent to the caller.
    pub(crate) status: u16,
    /// `upstream` or `gateway`, depending on which produced the answer.
    pub(crate) source: String,
}

/// Labels of the counter of connection attempts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct ConnectLabels {
    /// `connected`, `refused`, `timed_out` or `failed`.
    pub(crate) outcome: &'static str,
}

/// Labels of the counters of retries.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct RetryLabels {
    /// Service whose budget the retry draws on.
    pub(crate) service: String,
}

/// Labels of the gauge of requests in evacuated zones.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub(crate) struct ZoneLabels {
    /// Name of the zone.
    pub(crate) zone: String,
}

/// All metrics of a gateway and their registry.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Answered requests by service, status and source.
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    /// Seconds from the head of a request to the head of its answer; zero for a
    /// request that was rejected before forwarding.
    pub(crate) answer_seconds: Histogram,
    /// Retries taken from the budget, whether or not another upstream was then found.
    retries: Family<RetryLabels, Counter>,
    /// Retries that the budget did not allow.
    retries_denied: Family<RetryLabels, Counter>,
    /// Attempts to connect to an upstream, by outcome.
    pub(crate) connects: Family<ConnectLabels, Counter>,
    /// Datagrams of other nodes that this version can't read.
    pub(crate) datagrams_unreadable: Counter,
    /// Supplements to datagrams of a kind that this version doesn't know.
    pub(crate) supplements_unknown: Counter,
    /// Seconds by which timers of the runtime fired late, on a host that is too busy.
    pub(crate) timer_delay_seconds: Histogram,
    /// Connections to upstreams that this node has opened for others.
    pub(crate) tunnels: Counter,
    /// Connections to upstreams that other nodes have opened for this one.
    pub(crate) helped: Counter,
    /// Upstreams that are cold now.
    pub(crate) cold_upstreams: Gauge,
    /// Placements that had to leave out a cold upstream, as its rate was used up.
    pub(crate) cold_holds: Counter,
    /// This node's requests in flight at upstreams of each evacuated zone.
    evacuated_requests: Family<ZoneLabels, Gauge>,
    /// What callers make the process hold.
    pub(crate) callers: CallerMetrics,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("gentiantally_gateway");
        let requests = Family::<OutcomeLabels, Counter>::default();
        let answer_seconds = Histogram::new(exponential_buckets(0.004, 2.0, 13));
        let retries = Family::<RetryLabels, Counter>::default();
        let retries_denied = Family::<RetryLabels, Counter>::default();
        let connects = Family::<ConnectLabels, Counter>::default();
        let timer_delay_seconds = Histogram::new(exponential_buckets(0.004, 2.0, 13));
        registry.register(
            "timer_delay_seconds",
            "Time by which timers fired late",
            timer_delay_seconds.clone(),
        );
        registry.register("requests", "Requests answered", requests.clone());
        registry.register(
            "answer_seconds",
            "Time from a request's head to its answer's",
            answer_seconds.clone(),
        );
        registry.register("retries", "Sends to a further upstream", retries.clone());
        registry.register(
            "retries_denied",
            "Sends to a further upstream that the retry budget did not allow",
            retries_denied.clone(),
        );
        registry.register(
            "connects",
            "Attempts to connect to an upstream",
            connects.clone(),
        );
        let datagrams_unreadable = Counter::default();
        registry.register(
            "datagrams_unreadable",
            "Datagrams of other nodes, or what follows them, that this version can't read",
            datagrams_unreadable.clone(),
        );
        let supplements_unknown = Counter::default();
        registry.register(
            "supplements_unknown",
            "Supplements to datagrams of kinds that this version doesn't know",
            supplements_unknown.clone(),
        );
        let tunnels = Counter::default();
        let helped = Counter::default();
        registry.register(
            "tunnels",
            "Connections to upstreams opened for other nodes",
            tunnels.clone(),
        );
        let cold_upstreams = Gauge::default();
        let cold_holds = Counter::default();
        registry.register(
            "cold_upstreams",
            "Upstreams that are cold",
            cold_upstreams.clone(),
        );
        registry.register(
            "cold_holds",
            "Placements without a cold upstream whose rate was used up",
            cold_holds.clone(),
        );
        registry.register(
            "helped",
            "Connections to upstreams opened through other nodes",
            helped.clone(),
        );
        let evacuated_requests = Family::<ZoneLabels, Gauge>::default();
        registry.register(
            "evacuated_zone_requests",
            "Requests in flight at upstreams of an evacuated zone",
            evacuated_requests.clone(),
        );
        let callers = CallerMetrics::new(&mut registry);
        Self {
            registry,
            requests,
            answer_seconds,
            retries,
            retries_denied,
            connects,
            datagrams_unreadable,
            supplements_unknown,
            timer_delay_seconds,
            tunnels,
            helped,
            cold_upstreams,
            cold_holds,
            evacuated_requests,
            callers,
        }
    }

    /// Counts a retry that the budget allowed or denied.
    pub(crate) fn record_retry(&self, service: &str, is_allowed: bool) {
        let counters = if is_allowed {
            &self.retries
        } else {
            &self.retries_denied
        };
        let labels = RetryLabels {
            service: service.to_owned(),
        };
        counters.get_or_create(&labels).inc();
    }

    /// Counts an attempt to connect to an upstream.
    pub(crate) fn record_connect<T>(&self, result: &io::Result<T>) {
        let outcome = match result {
            Ok(_) => "connected",
            Err(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused => "refused",
                io::ErrorKind::TimedOut => "timed_out",
                _ => "failed",
            },
        };
        self.connects
            .get_or_create(&ConnectLabels { outcome })
            .inc();
    }

    pub(crate) fn record_answer(
        &self,
        service: &str,
        status: u16,
        from_gateway: bool,
        time: Duration,
    ) {
        let labels = OutcomeLabels {
            service: service.to_owned(),
            status,
            source: if from_gateway { "gateway" } else { "upstream" }.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        self.answer_seconds.observe(time.as_secs_f64());
    }

    /// Encodes all metrics. `evacuated` are the requests in flight in each evacuated zone;
    /// zones that are not among them are not evacuated, and are left out.
    pub(crate) fn encode(&self, evacuated: &[(ZoneId, i64)], load: &CallerLoad) -> String {
        self.callers.set_load(load);
        self.evacuated_requests.clear();
        for (zone, running) in evacuated {
            let labels = ZoneLabels { zone: zone.clone() };
            self.evacuated_requests.get_or_create(&labels).set(*running);
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("event=metrics_unencodable error=\"{error}\"");
        }
        text
    }
}
