//! Reports of nodes to relays, and the relays' answers. Every node reports its load
//! on the engines to all relays and asks one of them, usually that of its own zone,
//! for the sums over all other nodes and for the news. So a node that isn't a relay
//! sends and receives a few datagrams at a time, whatever the size of the fleet.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{AggregateChunk, NewsCursor, ReportPlan, ReportedLoad, RosterEntry};
use serde::{Deserialize, Serialize};
use smol::Async;
use types::NodeId;

use crate::{
    WatchedTable,
    crashes::repeat_own_reports,
    datagrams::{PeerDatagram, send_datagram, send_supplemented},
    news::answer_news,
    rates::share_rates,
    start::StartPhase,
    state::Gateway,
    supplements::report_supplements,
    sync::poller_timeout,
};

/// Bytes a second that a node receives in sums. In a fleet of many engines it asks for
/// them less often.
const SUMS_BYTES_PER_SECOND: u32 = 40_000;
/// Interval at which a node that knows no other checks whether it has heard of one.
const CONTACT_CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Delay of a timer from which on it is logged: a good part of the time that callers of
/// short prompts give.
const LOGGED_TIMER_DELAY: Duration = Duration::from_millis(200);
/// Usual encoded size of one engine's sum.
const SUM_BYTES: u32 = 18;
/// Engines per datagram of sums, so that it fits into one packet of usual size.
const SUMS_PER_DATAGRAM_MAX: usize = 60;

/// Heartbeat of a node and load of its own requests on each engine, sent to relays.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct NodeReport {
    entry: RosterEntry,
    /// Milliseconds since the store last confirmed the table of upstreams to the node;
    /// `None` while the store does not answer it.
    store_age_ms: Option<u32>,
    /// What the node asks for.
    question: Option<RelayQuestion>,
    loads: Vec<ReportedLoad>,
}

/// What a node asks a relay for.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct RelayQuestion {
    /// Whether the node wants the sums over all other nodes.
    wants_sums: bool,
    /// Up to where the node knows the relay's news.
    cursor: NewsCursor,
}

/// Returns whether this node is the relay of its zone, as far as it knows.
pub(crate) fn is_relay(gateway: &Gateway) -> bool {
    let own = gateway.own_entry();
    gateway.fleet.borrow().is_relay(gateway.now(), &own)
}

/// Sends this node's reports at intervals.
pub(crate) async fn send_reports(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut next_question = gateway.now();
    loop {
        let now = gateway.now();
        let pause = gateway.fleet.borrow().report_pause(now);
        let question_pause = question_pause(&gateway);
        let plan = plan_report(&gateway, now, question_pause);
        share_rates(&gateway);
        // Half a report early, so that a late timer doesn't skip a question.
        let asks = plan.asks_now || now + pause / 2 >= next_question;
        if asks {
            next_question = now + question_pause;
            gateway.fleet.borrow_mut().record_sent(now);
        }
        let report = own_report(&gateway, now);
        for target in plan.targets {
            let question = target
                .question
                .filter(|_| asks)
                .map(|cursor| RelayQuestion {
                    wants_sums: target.wants_sums,
                    cursor,
                });
            let report = NodeReport {
                question,
                ..report.clone()
            };
            let datagram = PeerDatagram::Report(report);
            let supplements = report_supplements(&gateway, now);
            send_supplemented(&socket, &[target.address], &datagram, supplements).await;
        }
        wait_for_report(&gateway, pause).await;
    }
}

/// Waits until the next report, which a node makes at once when it hears of others for the
/// first time.
async fn wait_for_report(gateway: &Gateway, pause: Duration) {
    let began = gateway.now();
    let before = gateway.fleet.borrow().contact_level(began);
    loop {
        let now = gateway.now();
        let left = pause.saturating_sub(now.saturating_duration_since(began));
        if left.is_zero() || gateway.fleet.borrow().report_is_urgent(now, before) {
            return;
        }
        let pause = left.min(CONTACT_CHECK_PAUSE);
        gateway.clock.sleep(pause).await;
        record_timer_delay(gateway, now + pause);
    }
}

/// Records by how much a timer fired late, as all others do meanwhile: requests wait then
/// for the host, not for a decision.
fn record_timer_delay(gateway: &Gateway, due: Instant) {
    let delay = gateway.now().saturating_duration_since(due);
    let metric = &gateway.metrics.timer_delay_seconds;
    metric.observe(delay.as_secs_f64());
    if delay >= LOGGED_TIMER_DELAY {
        log::warn!("event=timer_late late_ms={}", delay.as_millis());
    }
}

/// Interval at which this node asks a relay.
pub(crate) fn question_pause(gateway: &Gateway) -> Duration {
    let engines = gateway.upstreams.borrow().ids().count();
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let sums = Duration::from_secs(1) * engines.saturating_mul(SUM_BYTES) / SUMS_BYTES_PER_SECOND;
    sums.max(gateway.fleet.borrow().report_pause(gateway.now()))
}

fn plan_report(gateway: &Gateway, now: Instant, question_pause: Duration) -> ReportPlan {
    let own = gateway.own_entry();
    let freshness = gateway.upstream_freshness.borrow();
    let stale_copy = !freshness.polls_store(now)
        && !freshness.has_store_poller(now, poller_timeout(gateway, WatchedTable::Upstreams));
    let plan = gateway.fleet.borrow_mut().plan_report(
        now,
        &own,
        question_pause,
        stale_copy,
        &mut *gateway.rng.borrow_mut(),
    );
    if let Some(node) = &plan.silent {
        log::info!("event=relay_silent node={node}");
    }
    if let Some(relay) = &plan.chosen {
        log::info!(
            "event=relay_chosen node={} zone={} capacity={}",
            relay.node,
            relay.zone,
            relay.capacity
        );
        repeat_own_reports(gateway);
    }
    let mut loads = gateway.loads.borrow_mut();
    loads.sample_strict_requests(now);
    loads.remove_expired_reports(now);
    plan
}

fn own_report(gateway: &Gateway, now: Instant) -> NodeReport {
    let store_age = gateway.upstream_freshness.borrow().store_age(now);
    NodeReport {
        entry: gateway.own_entry(),
        store_age_ms: store_age.map(millis),
        question: None,
        loads: gateway.loads.borrow().own_report(),
    }
}

pub(crate) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Records another node's report and, if asked, answers with the sums over all nodes
/// except that one and with the news.
pub(crate) async fn handle_report(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    report: NodeReport,
) {
    let node = report.entry.node.clone();
    if node == gateway.settings.node {
        return;
    }
    gateway.record_member(&report.entry);
    record_report(gateway, report.entry, report.store_age_ms, report.loads);
    let Some(question) = report.question else {
        return;
    };
    if question.wants_sums {
        send_sums(gateway, socket, from, &node).await;
    }
    answer_news(gateway, socket, from, question.cursor).await;
}

fn record_report(
    gateway: &Gateway,
    entry: RosterEntry,
    store_age_ms: Option<u32>,
    loads: Vec<ReportedLoad>,
) {
    let now = gateway.now();
    let node = entry.node.clone();
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.roster_mut().record_heartbeat(now, entry);
    let age = store_age_ms.map(|age| Duration::from_millis(age.into()));
    if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
        fleet.roster_mut().record_store_confirmation(&node, at);
    }
    gateway
        .loads
        .borrow_mut()
        .record_peer_report(now, &node, loads);
}

async fn send_sums(gateway: &Gateway, socket: &Async<UdpSocket>, to: SocketAddr, node: &NodeId) {
    let sums = gateway
        .loads
        .borrow_mut()
        .aggregate_excluding(gateway.now(), node);
    let aggregate = gateway.next_aggregate();
    let count = sums.len().div_ceil(SUMS_PER_DATAGRAM_MAX).max(1);
    for index in 0..count {
        let loads = sums
            .iter()
            .skip(index * SUMS_PER_DATAGRAM_MAX)
            .take(SUMS_PER_DATAGRAM_MAX);
        let chunk = AggregateChunk {
            aggregate,
            index: u16::try_from(index).unwrap_or(u16::MAX),
            count: u16::try_from(count).unwrap_or(u16::MAX),
            loads: loads.cloned().collect(),
        };
        send_datagram(socket, &[to], &PeerDatagram::Sums(chunk)).await;
    }
}

/// Records the sums that a relay sent.
pub(crate) fn handle_sums(gateway: &Gateway, from: SocketAddr, chunk: AggregateChunk) {
    let mut loads = gateway.loads.borrow_mut();
    loads.record_aggregate(gateway.now(), chunk);
    gateway.fleet.borrow_mut().record_answer(from);
    gateway.record_start_phase(StartPhase::Loads);
}
