//! Datagrams between nodes. A node sends its reports and what it sees to the relays
//! only; they tell the other nodes.

use std::{
    collections::HashSet,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use dispatch::{AggregateChunk, CrashReport, PartStanding, PrefillNotice, RateNotice};
use serde::{Deserialize, Serialize};
use smol::{Async, channel::Receiver};
use types::{NodeId, PromptPartId, UpstreamId};

use crate::{
    crashes::{receive_crash, receive_standing},
    news::{RelayNews, handle_news, record_leaving},
    question::{ReachAnswer, ReachQuestion, receive_answer, receive_question},
    rates::receive_rate,
    reports::{NodeReport, handle_report, handle_sums, is_relay},
    state::Gateway,
    supplements::{DatagramTrailer, Supplement, receive_supplements},
};

/// Number of other nodes up to which a notice of a prefill goes straight to all of them.
const DIRECT_NODES_MAX: usize = 16;
/// Pauses before a datagram is sent for the second and the third time.
const REPEAT_PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(350)];
/// Most senders whose unreadable datagrams are logged; there are no larger fleets.
const LOGGED_PEERS_MAX: usize = 1000;
/// Largest datagram that fits into one packet of usual size. A longer one is sent as
/// well, with a warning; receivers accept up to four times this size.
pub(crate) const PACKET_PAYLOAD_BYTES: usize = 1400;

/// Datagram between nodes, which may be of an older or a newer version: fields and the
/// order of variants stay as they are, and what is new goes into [`Supplement`]s.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerDatagram {
    /// Heartbeat of the sender, with the load of its requests on the engines.
    Report(NodeReport),
    /// Load of all other nodes' requests on the engines, from a relay.
    Sums(AggregateChunk),
    /// What is new since the last answer, from a relay.
    News(RelayNews),
    /// Engines start the prefill of a prompt that this node placed.
    PrefillStarted {
        node: NodeId,
        notice: PrefillNotice,
        /// Whether the notice needs no relay to pass it on.
        passed_on: bool,
    },
    /// The process of an upstream ended while it was answering a request.
    UpstreamCrashed(CrashReport),
    /// What is known of a part of prompts.
    Part(PromptPartId, PartStanding),
    /// What is known of the rate of requests that an upstream takes.
    Rate(UpstreamId, RateNotice),
    /// The process of an upstream, by its start time, said that it leaves.
    UpstreamLeaving(UpstreamId, Option<u64>),
    /// The sender is stopping; the number is its incarnation: its start time in Unix
    /// milliseconds.
    NodeLeft(NodeId, u64),
    /// Asks which upstreams the receiver reaches.
    ReachQuestion(ReachQuestion),
    /// Answer to such a question.
    ReachAnswer(ReachAnswer),
}

/// Sends the datagrams that other tasks queue to the relays, and repeats all but the
/// notices of prefills.
pub(crate) async fn send_queued_datagrams(
    gateway: Rc<Gateway>,
    socket: Rc<Async<UdpSocket>>,
    queued: Receiver<PeerDatagram>,
) {
    while let Ok(datagram) = queued.recv().await {
        let is_prefill = matches!(datagram, PeerDatagram::PrefillStarted { .. });
        let (targets, datagram) = if is_prefill {
            address_notice(&gateway, datagram)
        } else {
            (other_relays(&gateway), datagram)
        };
        send_datagram(&socket, &targets, &datagram).await;
        if !is_prefill {
            let repeating = repeat_datagram(Rc::clone(&gateway), Rc::clone(&socket), datagram);
            gateway.executor.spawn(repeating).detach();
        }
    }
}

/// Returns where a notice of a prefill goes: to the relays, which pass it on, or in a
/// small fleet straight to all nodes.
fn address_notice(gateway: &Gateway, datagram: PeerDatagram) -> (Vec<SocketAddr>, PeerDatagram) {
    let all: Vec<SocketAddr> = {
        let fleet = gateway.fleet.borrow();
        let live = fleet.roster().live(gateway.now());
        live.map(|entry| entry.peer_address).collect()
    };
    match datagram {
        PeerDatagram::PrefillStarted { node, notice, .. } if all.len() <= DIRECT_NODES_MAX => {
            let datagram = PeerDatagram::PrefillStarted {
                node,
                notice,
                passed_on: true,
            };
            (all, datagram)
        }
        datagram => {
            let mut targets = other_relays(gateway);
            if is_relay(gateway) {
                targets.extend(zone_members(gateway, &gateway.settings.node));
            }
            (targets, datagram)
        }
    }
}

/// Repeats a datagram, since some get lost and nothing else would soon carry the
/// same information.
async fn repeat_datagram(
    gateway: Rc<Gateway>,
    socket: Rc<Async<UdpSocket>>,
    datagram: PeerDatagram,
) {
    for pause in REPEAT_PAUSES {
        gateway.clock.sleep(pause).await;
        send_datagram(&socket, &other_relays(&gateway), &datagram).await;
    }
}

/// Returns the addresses of the relays, without this node's own.
fn other_relays(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = gateway.own_entry();
    gateway.fleet.borrow().other_relays(gateway.now(), &own)
}

/// Returns the addresses of the live nodes of this node's zone that need a notice of
/// `origin`.
fn zone_members(gateway: &Gateway, origin: &str) -> Vec<SocketAddr> {
    let own = gateway.own_entry();
    gateway
        .fleet
        .borrow()
        .zone_members(gateway.now(), &own, origin)
}

/// Sends to all of `targets`. Errors are only logged: reports and answers are sent
/// anew at intervals, and [`send_queued_datagrams`] repeats the other datagrams that
/// matter.
pub(crate) async fn send_datagram(
    socket: &Async<UdpSocket>,
    targets: &[SocketAddr],
    datagram: &PeerDatagram,
) {
    if let Some(bytes) = encode_datagram(datagram) {
        send_bytes(socket, targets, &bytes).await;
    }
}

/// Sends a datagram with those of `supplements` that fit beside it, as [`send_datagram`]
/// does. The others have their turn with a later one.
pub(crate) async fn send_supplemented(
    socket: &Async<UdpSocket>,
    targets: &[SocketAddr],
    datagram: &PeerDatagram,
    mut supplements: Vec<Supplement>,
) {
    let Some(mut bytes) = encode_datagram(datagram) else {
        return;
    };
    let room = PACKET_PAYLOAD_BYTES.saturating_sub(bytes.len());
    DatagramTrailer::fill(&mut supplements, room).append_to(&mut bytes);
    send_bytes(socket, targets, &bytes).await;
}

pub(crate) fn encode_datagram(datagram: &PeerDatagram) -> Option<Vec<u8>> {
    match postcard::to_stdvec(datagram) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!("event=news_unencodable error=\"{error}\"");
            None
        }
    }
}

pub(crate) async fn send_bytes(socket: &Async<UdpSocket>, targets: &[SocketAddr], bytes: &[u8]) {
    if bytes.len() > PACKET_PAYLOAD_BYTES {
        log::warn!("event=news_too_long bytes={}", bytes.len());
    }
    for target in targets {
        if let Err(error) = socket.send_to(bytes, *target).await {
            log::debug!("event=datagram_failed peer={target} error=\"{error}\"");
        }
    }
}

/// Receives and handles the datagrams of other nodes.
pub(crate) async fn receive_datagrams(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; 4 * PACKET_PAYLOAD_BYTES];
    let mut logged = HashSet::new();
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=datagram_receive_failed error=\"{error}\"");
                continue;
            }
        };
        match postcard::take_from_bytes::<PeerDatagram>(&buffer[..size]) {
            Ok((datagram, rest)) => {
                // A trailer that can't be read counts as none, as that of an older node.
                let trailer = DatagramTrailer::decode(rest).unwrap_or_else(|error| {
                    record_unreadable(&gateway, &mut logged, from, "trailer", &error);
                    None
                });
                handle_datagram(&gateway, &socket, from, datagram, trailer).await;
            }
            Err(error) => {
                record_unreadable(&gateway, &mut logged, from, "datagram", &error);
                // Its sender lives, whatever it says.
                let now = gateway.now();
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.roster_mut().record_contact(now, from);
            }
        }
    }
}

/// Counts what another node sent and this version can't read, and logs it once a node.
fn record_unreadable(
    gateway: &Gateway,
    logged: &mut HashSet<SocketAddr>,
    from: SocketAddr,
    part: &str,
    error: &postcard::Error,
) {
    gateway.metrics.datagrams_unreadable.inc();
    if logged.len() < LOGGED_PEERS_MAX && logged.insert(from) {
        log::warn!("event=datagram_unreadable peer={from} part={part} error=\"{error}\"");
    }
}

async fn handle_datagram(
    gateway: &Rc<Gateway>,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    datagram: PeerDatagram,
    trailer: Option<DatagramTrailer>,
) {
    let now = gateway.now();
    if let PeerDatagram::Report(_) | PeerDatagram::Sums(_) | PeerDatagram::News(_) = &datagram {
        gateway.contact.borrow_mut().record_heard(now);
    }
    if let Some(trailer) = trailer {
        receive_supplements(gateway, from, trailer);
    }
    match datagram {
        PeerDatagram::Report(report) => handle_report(gateway, socket, from, report).await,
        PeerDatagram::Sums(sums) => handle_sums(gateway, from, sums),
        PeerDatagram::News(news) => handle_news(gateway, news),
        PeerDatagram::PrefillStarted {
            node,
            notice,
            passed_on,
        } => {
            gateway
                .loads
                .borrow_mut()
                .record_peer_prefill(now, &node, &notice);
            if !passed_on && is_relay(gateway) {
                let targets = zone_members(gateway, &node);
                let datagram = PeerDatagram::PrefillStarted {
                    node,
                    notice,
                    passed_on: true,
                };
                send_datagram(socket, &targets, &datagram).await;
            }
        }
        PeerDatagram::UpstreamCrashed(report) => receive_crash(gateway, &report),
        PeerDatagram::Part(part, standing) => receive_standing(gateway, part, standing),
        PeerDatagram::Rate(upstream, notice) => receive_rate(gateway, &upstream, notice),
        PeerDatagram::UpstreamLeaving(upstream, started_ms) => {
            record_leaving(gateway, &upstream, started_ms, "peer");
        }
        PeerDatagram::ReachQuestion(question) => receive_question(gateway, from, question),
        PeerDatagram::ReachAnswer(answer) => receive_answer(gateway, answer),
        PeerDatagram::NodeLeft(node, incarnation) => {
            let mut fleet = gateway.fleet.borrow_mut();
            if fleet.roster_mut().remove_left(&node, incarnation) {
                log::info!("event=node_left node={node}");
                gateway.loads.borrow_mut().remove_peer(&node);
            }
        }
    }
}
