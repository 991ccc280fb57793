//! Messages between nodes: heartbeats, load on engines, changes of upstreams, and
//! the desired state for nodes that can't get it from the store.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use dispatch::{CrashFingerprint, PrefillNotice, RosterEntry, VersionSource};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol::{Async, channel::Receiver};
use types::{NodeId, UpstreamId};

use crate::{
    PlainCall,
    answer::AnswerBody,
    client::PlainCaller,
    shared_loads::{LoadReport, LoadSums, handle_report, handle_sums},
    state::Gateway,
    sync::apply_desired,
};

/// Pause between two summaries in a small fleet.
const SUMMARY_PAUSE_MIN: Duration = Duration::from_millis(300);
/// Target rate of the datagrams that carry a node's summaries. In a large fleet the
/// pause between summaries grows to keep to it, up to [`SUMMARY_PAUSE_MAX`].
const SUMMARY_DATAGRAMS_PER_SECOND: u32 = 60;
/// Longest pause between two summaries: shorter than the time without one after which
/// a node is left out of address answers.
const SUMMARY_PAUSE_MAX: Duration = Duration::from_millis(700);
/// Pauses before a datagram is sent for the second and the third time.
const REPEAT_PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(350)];
/// Largest datagram that fits into one packet of usual size. A longer one is sent as
/// well, with a warning; receivers accept up to four times this size.
const PACKET_PAYLOAD_BYTES: usize = 1400;
/// Timeout of a call that fetches the desired state from another node.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Path under which nodes serve their copy of the desired state to each other.
const DESIRED_PATH: &str = "/peers/desired";

/// Datagram between nodes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerDatagram {
    /// Heartbeat of the sender, with what it knows.
    Summary(PeerSummary),
    /// Load of the sender's requests on the engines, for a relay.
    Loads(LoadReport),
    /// Load of all other nodes' requests on the engines, from a relay.
    Sums(LoadSums),
    /// Engines start the prefill of a prompt that the sender placed.
    PrefillStarted(NodeId, PrefillNotice),
    /// The connection to an upstream broke while it may have been running the request.
    UpstreamCrashed(CrashFingerprint, UpstreamId),
    /// A new upstream: key, version and value of its row.
    UpstreamJoined(UpstreamId, u64, Vec<u8>),
    /// An upstream that drains or was removed, and the store version of that
    /// change.
    UpstreamLeaving(UpstreamId, u64),
    /// The sender is stopping; the number is its incarnation: its start time in Unix
    /// milliseconds.
    NodeLeft(NodeId, u64),
}

/// Heartbeat that a node sends at intervals.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct PeerSummary {
    /// Addresses, zone and readiness of the sender.
    pub(crate) entry: RosterEntry,
    /// Version of the desired state that the sender uses.
    pub(crate) desired: Option<u64>,
    /// Milliseconds since the store last confirmed the desired state to the sender;
    /// `None` while the store does not answer it.
    pub(crate) desired_age_ms: Option<u32>,
    /// Milliseconds since the store last confirmed the table of upstreams to the sender;
    /// `None` while the store does not answer it.
    pub(crate) upstreams_age_ms: Option<u32>,
    /// Digest of the upstreams that the sender knows, to compare with one's own.
    pub(crate) upstreams_digest: u64,
}

/// The store's row with the desired state, as one node serves it to another.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct DesiredRow {
    key: String,
    value: Vec<u8>,
}

/// Sends the datagrams that other tasks queue, and repeats all but the notices of
/// prefills. Summaries are sent by [`send_summaries`] and never queued.
pub(crate) async fn send_queued_datagrams(
    gateway: Rc<Gateway>,
    socket: Rc<Async<UdpSocket>>,
    queued: Receiver<PeerDatagram>,
) {
    while let Ok(datagram) = queued.recv().await {
        broadcast(&gateway, &socket, &datagram).await;
        if !matches!(
            datagram,
            PeerDatagram::PrefillStarted(..) | PeerDatagram::Summary(_)
        ) {
            let repeating = repeat_datagram(Rc::clone(&gateway), Rc::clone(&socket), datagram);
            gateway.executor.spawn(repeating).detach();
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
        broadcast(&gateway, &socket, &datagram).await;
    }
}

/// Sends this node's summary to all nodes at intervals.
pub(crate) async fn send_summaries(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let target_count = broadcast(&gateway, &socket, &own_summary(&gateway)).await;
        let rate_pause = Duration::from_secs(1) * target_count / SUMMARY_DATAGRAMS_PER_SECOND;
        let pause = rate_pause.clamp(SUMMARY_PAUSE_MIN, SUMMARY_PAUSE_MAX);
        gateway.clock.sleep(pause).await;
    }
}

fn own_summary(gateway: &Gateway) -> PeerDatagram {
    let now = gateway.now();
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let desired = gateway.desired_freshness.borrow();
    PeerDatagram::Summary(PeerSummary {
        entry: gateway.own_entry(),
        desired: desired.version(),
        desired_age_ms: desired.store_age(now).map(millis),
        upstreams_age_ms: gateway
            .upstream_freshness
            .borrow()
            .store_age(now)
            .map(millis),
        upstreams_digest: gateway.upstreams.borrow().digest(),
    })
}

/// Sends a datagram to every known node and seed, and returns their number.
async fn broadcast(gateway: &Gateway, socket: &Async<UdpSocket>, datagram: &PeerDatagram) -> u32 {
    let mut targets: Vec<SocketAddr> = gateway
        .roster
        .borrow()
        .members()
        .map(|entry| entry.peer_address)
        .collect();
    let own = gateway.settings.peers;
    for seed in &gateway.settings.seeds {
        if *seed != own && !targets.contains(seed) {
            targets.push(*seed);
        }
    }
    let target_count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
    send_datagram(socket, &targets, datagram).await;
    target_count
}

/// Sends to all of `targets`. Errors are only logged: summaries and loads are sent
/// anew at intervals, and [`send_queued_datagrams`] repeats the other datagrams that
/// matter.
pub(crate) async fn send_datagram(
    socket: &Async<UdpSocket>,
    targets: &[SocketAddr],
    datagram: &PeerDatagram,
) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        log::error!("event=news_unencodable");
        return;
    };
    if bytes.len() > PACKET_PAYLOAD_BYTES {
        log::warn!("event=news_too_long bytes={}", bytes.len());
    }
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, *target).await {
            log::debug!("event=datagram_failed peer={target} error=\"{error}\"");
        }
    }
}

/// Receives and handles the datagrams of other nodes.
pub(crate) async fn receive_datagrams(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; 4 * PACKET_PAYLOAD_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=datagram_receive_failed error=\"{error}\"");
                continue;
            }
        };
        match postcard::from_bytes::<PeerDatagram>(&buffer[..size]) {
            Ok(PeerDatagram::Loads(report)) => handle_report(&gateway, &socket, from, report).await,
            Ok(datagram) => handle_datagram(&gateway, datagram),
            Err(error) => log::warn!("event=datagram_unreadable peer={from} error=\"{error}\""),
        }
    }
}

fn handle_datagram(gateway: &Rc<Gateway>, datagram: PeerDatagram) {
    let now = gateway.now();
    match datagram {
        PeerDatagram::Summary(summary) => handle_summary(gateway, summary),
        // Handled by `receive_datagrams`, which needs the socket to answer.
        PeerDatagram::Loads(_) => {}
        PeerDatagram::Sums(sums) => handle_sums(gateway, sums),
        PeerDatagram::PrefillStarted(node, notice) => {
            let mut loads = gateway.loads.borrow_mut();
            loads.record_peer_prefill(now, &node, &notice);
        }
        PeerDatagram::UpstreamCrashed(fingerprint, upstream) => {
            let mut quarantine = gateway.quarantine.borrow_mut();
            quarantine.record_crash(now, fingerprint, &upstream);
        }
        PeerDatagram::UpstreamJoined(id, version, row) => add_upstream(gateway, &id, version, &row),
        PeerDatagram::UpstreamLeaving(upstream, version) => {
            if gateway
                .upstreams
                .borrow_mut()
                .record_draining(&upstream, version)
            {
                log::info!("event=upstream_leaving upstream={upstream} source=peer");
            }
        }
        PeerDatagram::NodeLeft(node, incarnation) => {
            if gateway.roster.borrow_mut().remove_left(&node, incarnation) {
                log::info!("event=node_left node={node}");
                gateway.loads.borrow_mut().remove_peer(&node);
            }
        }
    }
}

fn add_upstream(gateway: &Gateway, key: &str, version: u64, row: &[u8]) {
    match gateway.dialect.decode_upstream(key, version, row) {
        Ok(entry) => {
            let mut upstreams = gateway.upstreams.borrow_mut();
            // Each store poller sends the same datagram three times, so only the first
            // one is logged.
            if upstreams.get(key).is_none() {
                log::info!("event=upstream_joined upstream={key} source=peer");
            }
            upstreams.upsert(entry);
        }
        Err(error) => log::warn!("event=entry_unreadable upstream={key} error=\"{error}\""),
    }
}

fn handle_summary(gateway: &Rc<Gateway>, summary: PeerSummary) {
    if summary.entry.node == gateway.settings.node {
        return;
    }
    let now = gateway.now();
    let known = gateway.desired_freshness.borrow().version();
    let peer = summary.entry.peer_address;
    gateway
        .roster
        .borrow_mut()
        .record_heartbeat(now, summary.entry);
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    // A store poller's summary counts as a store poll of this node only if both know
    // the same version; otherwise a datagram from that node may have been lost.
    if let Some(at) = summary.desired_age_ms.and_then(at)
        && summary.desired == known
    {
        gateway
            .desired_freshness
            .borrow_mut()
            .record_store_poller(at);
    }
    if let Some(at) = summary.upstreams_age_ms.and_then(at)
        && summary.upstreams_digest == gateway.upstreams.borrow().digest()
    {
        gateway
            .upstream_freshness
            .borrow_mut()
            .record_store_poller(at);
    }
    if summary.desired > known && gateway.begin_fetch(now, FETCH_TIMEOUT) {
        let fetch = fetch_desired(Rc::clone(gateway), peer);
        gateway.executor.spawn(fetch).detach();
    }
}

async fn fetch_desired(gateway: Rc<Gateway>, peer: SocketAddr) {
    let mut caller = PlainCaller::new(Rc::clone(&gateway.executor), peer);
    let call = PlainCall {
        method: Method::GET,
        target: DESIRED_PATH.to_owned(),
        body: Bytes::new(),
    };
    let answer = gateway
        .clock
        .timeout(FETCH_TIMEOUT, caller.call(call))
        .await;
    gateway.end_fetch();
    let body = match answer {
        Some(Ok((StatusCode::OK, body))) => body,
        other => {
            log::warn!("event=peer_fetch_failed peer={peer} answer={other:?}");
            return;
        }
    };
    match postcard::from_bytes::<DesiredRow>(&body) {
        Ok(row) => apply_desired(&gateway, &row.key, &row.value.into(), VersionSource::Peer),
        Err(error) => log::warn!("event=peer_row_unreadable peer={peer} error=\"{error}\""),
    }
}

/// Answers calls of other nodes with this node's copy of the desired state.
pub(crate) fn answer_peer(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let row = gateway.desired_row.borrow();
    let found = row
        .as_ref()
        .filter(|_| request.uri().path() == DESIRED_PATH);
    let encoded = found.and_then(|(key, value)| {
        let row = DesiredRow {
            key: key.clone(),
            value: value.to_vec(),
        };
        postcard::to_stdvec(&row).ok()
    });
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    match encoded {
        Some(bytes) => *response.body_mut() = AnswerBody::from(Bytes::from(bytes)),
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
