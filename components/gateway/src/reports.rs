//! Reports of nodes to relays, and the relays' answers. Every node reports its load
//! on the engines to all relays and asks one of them, usually that of its own zone,
//! for the sums over all other nodes and for the news. So a node that isn't a relay
//! sends and receives a few datagrams at a time, whatever the size of the fleet.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{
    AggregateChunk, NewsCursor, ReportedLoad, RosterEntry, find_lost_relays, is_better_relay,
    select_relays,
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use smol::Async;
use types::NodeId;

use crate::{
    datagrams::{PeerDatagram, send_datagram},
    news::answer_news,
    state::Gateway,
};

/// Shortest pause between two reports. A fully loaded engine starts to decode another
/// answer about this often, so its load changes no faster.
const REPORT_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two reports: a quarter of the time without one after which a
/// node counts as dead.
const REPORT_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Rate of reports to a relay at which the pause begins to grow with the fleet.
/// Handling them takes a hundredth of a core.
const RELAY_REPORTS_PER_SECOND: u32 = 1000;
/// Bytes a second that a node receives in sums. In a fleet of many engines it asks for
/// them less often.
const SUMS_BYTES_PER_SECOND: u32 = 40_000;
/// Usual encoded size of one engine's sum.
const SUM_BYTES: u32 = 18;
/// Engines per datagram of sums, so that it fits into one packet of usual size.
const SUMS_PER_DATAGRAM_MAX: usize = 60;
/// Time after which a relay relies on the reports that it receives, and no longer on
/// what another relay told. By then all nodes know of the relay and report to it.
const RELAY_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Pause between the reports of a node that knows no other. All nodes of a fleet may
/// start at once and report to the same few seeds.
const ISOLATED_PAUSE: Duration = Duration::from_millis(300);
/// Number of known nodes that an isolated node reports to at a time.
const ISOLATED_TARGETS: usize = 8;

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

/// Where reports go.
struct ReportTargets {
    addresses: Vec<SocketAddr>,
    /// Those that are asked as well.
    asked: Vec<SocketAddr>,
    wants_sums: bool,
}

/// Returns whether this node is the relay of its zone, as far as it knows.
pub(crate) fn is_relay(gateway: &Gateway) -> bool {
    let own = gateway.own_entry();
    let roster = gateway.roster.borrow();
    let mut others = roster
        .live(gateway.now())
        .filter(|entry| entry.zone == own.zone);
    others.all(|entry| is_better_relay(&own, entry))
}

/// Sends this node's reports at intervals.
pub(crate) async fn send_reports(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut next_question = gateway.now();
    loop {
        let now = gateway.now();
        let pause = report_pause(&gateway, now);
        let question_pause = question_pause(&gateway).max(pause);
        update_relay_role(&gateway, now, question_pause);
        let targets = choose_targets(&gateway, now);
        // Half a report early, so that a late timer doesn't skip a question.
        let asks = now + pause / 2 >= next_question;
        if asks {
            next_question = now + question_pause;
        }
        let report = own_report(&gateway, now);
        for address in &targets.addresses {
            let question = RelayQuestion {
                wants_sums: targets.wants_sums,
                cursor: gateway.news_cursor(*address),
            };
            let report = NodeReport {
                question: (asks && targets.asked.contains(address)).then_some(question),
                ..report.clone()
            };
            send_datagram(&socket, &[*address], &PeerDatagram::Report(report)).await;
        }
        gateway.clock.sleep(pause).await;
    }
}

fn report_pause(gateway: &Gateway, now: Instant) -> Duration {
    let nodes = gateway.roster.borrow().live(now).count();
    if nodes == 0 {
        return ISOLATED_PAUSE;
    }
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let pause = Duration::from_secs(1) * nodes / RELAY_REPORTS_PER_SECOND;
    pause.clamp(REPORT_PAUSE_MIN, REPORT_PAUSE_MAX)
}

fn question_pause(gateway: &Gateway) -> Duration {
    let engines = gateway.upstreams.borrow().ids().count();
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    Duration::from_secs(1) * engines.saturating_mul(SUM_BYTES) / SUMS_BYTES_PER_SECOND
}

/// Passes over a relay that does not answer, and records since when this node is
/// the relay of its zone.
fn update_relay_role(gateway: &Gateway, now: Instant, question_pause: Duration) {
    let silent = gateway
        .relay_watch
        .borrow_mut()
        .take_silent(now, question_pause);
    if let Some(relay) = silent {
        log::info!("event=relay_silent node={relay}");
        gateway.roster.borrow_mut().record_silence(now, &relay);
    }
    let since = is_relay(gateway).then(|| gateway.relay_since.get().unwrap_or(now));
    gateway.relay_since.set(since);
    let settled =
        since.is_some_and(|since| now.saturating_duration_since(since) >= RELAY_SETTLE_TIME);
    gateway.roster.borrow_mut().set_hears_all(settled);
    let mut loads = gateway.loads.borrow_mut();
    loads.sample_strict_requests(now);
    loads.remove_expired_reports(now);
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

/// Chooses the nodes that this node reports to, and the one that it asks.
fn choose_targets(gateway: &Gateway, now: Instant) -> ReportTargets {
    let own = gateway.own_entry();
    let roster = gateway.roster.borrow();
    let mut relays = select_relays(roster.live(now).chain([&own]));
    let is_relay = relays.iter().any(|relay| relay.node == own.node);
    let lost = find_lost_relays(roster.members().chain([&own]), &relays);
    relays.retain(|relay| relay.node != own.node);
    let mut addresses: Vec<SocketAddr> = relays
        .iter()
        .chain(&lost)
        .map(|entry| entry.peer_address)
        .collect();
    let seeds = gateway.settings.seeds.iter().copied();
    let mut others: Vec<SocketAddr> = seeds.filter(|seed| *seed != own.peer_address).collect();
    if relays.is_empty() {
        let members: Vec<&RosterEntry> = roster.members().collect();
        let mut rng = gateway.rng.borrow_mut();
        let sample = members.sample(&mut *rng, ISOLATED_TARGETS);
        others.extend(sample.map(|entry| entry.peer_address));
    }
    if is_relay {
        addresses.extend(others);
        addresses.sort_unstable();
        addresses.dedup();
    }
    let asked = if relays.is_empty() {
        // One at a time, since all nodes may start at once and ask the same few seeds.
        let mut rng = gateway.rng.borrow_mut();
        addresses.choose(&mut *rng).copied().into_iter().collect()
    } else if is_relay {
        // Relays tell each other of their nodes, so that all know all relays.
        let mut asked = addresses.clone();
        asked.extend(newest_store_reader(gateway, now));
        asked
    } else {
        let relay = relay_to_ask(gateway, now, &relays);
        vec![relay.peer_address]
    };
    for address in &asked {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    ReportTargets {
        addresses,
        asked,
        wants_sums: !is_relay,
    }
}

/// Returns the node to which the store has answered last, if this relay's own copy
/// needs it.
fn newest_store_reader(gateway: &Gateway, now: Instant) -> Option<SocketAddr> {
    let freshness = gateway.upstream_freshness.borrow();
    if freshness.polls_store(now) || freshness.has_store_poller(now) {
        return None;
    }
    let roster = gateway.roster.borrow();
    let (entry, _) = roster.newest_store_confirmation(now)?;
    Some(entry.peer_address)
}

/// Returns the relay to ask: the one of this node's zone.
fn relay_to_ask<'a>(
    gateway: &Gateway,
    now: Instant,
    relays: &[&'a RosterEntry],
) -> &'a RosterEntry {
    // The node that replaces a silent relay may not hear all others yet, so a relay of
    // another zone is asked for the time being.
    let own_zone = &gateway.settings.zone;
    let is_replaced = gateway.roster.borrow().has_silent_node(now, own_zone);
    let preferred = relays
        .iter()
        .find(|relay| (relay.zone == *own_zone) != is_replaced);
    let relay = preferred.unwrap_or(&relays[0]);
    let mut watch = gateway.relay_watch.borrow_mut();
    if watch.record_question(now, &relay.node) {
        log::info!(
            "event=relay_chosen node={} zone={} capacity={}",
            relay.node,
            relay.zone,
            relay.capacity
        );
    }
    relay
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
    let mut roster = gateway.roster.borrow_mut();
    roster.record_heartbeat(now, entry);
    let age = store_age_ms.map(|age| Duration::from_millis(age.into()));
    if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
        roster.record_store_confirmation(&node, at);
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
pub(crate) fn handle_sums(gateway: &Gateway, chunk: AggregateChunk) {
    let mut loads = gateway.loads.borrow_mut();
    loads.record_aggregate(gateway.now(), chunk);
    gateway.relay_watch.borrow_mut().record_answer();
}
