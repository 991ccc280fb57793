//! What nodes tell each other: that they live, what they have at engines, and
//! the desired state while the store turns one of them away.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use dispatch::{CrashFingerprint, FeedSource, PrefillNotice, RosterEntry};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol::{Async, channel::Receiver};
use types::{NodeId, UpstreamId};

use crate::{
    PlainCall,
    answer::AnswerBody,
    client::PlainCaller,
    shared_loads::{LoadReport, LoadSums, take_report, take_sums},
    state::Gateway,
    sync::take_desired,
};

/// Pause between two summaries to all nodes of a small fleet.
const SUMMARY_PAUSE: Duration = Duration::from_millis(300);
/// Datagrams that a node sends a second at most for its summaries, whatever
/// the size of the fleet.
const SUMMARIES_PER_SECOND: u32 = 60;
/// Longest pause between two summaries, below the silence that takes a node
/// out of address answers.
const SUMMARY_PAUSE_MAX: Duration = Duration::from_millis(700);
/// Pauses before news is sent again.
const NEWS_REPEATS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(350)];
/// Largest datagram: one that fits a usual packet.
const DATAGRAM_MAX: usize = 1400;
/// Time for another node to hand out the desired state.
const FETCH_TIME: Duration = Duration::from_millis(800);
/// Path of a node's copy of the desired state, among nodes.
const DESIRED_PATH: &str = "/peers/desired";

/// One datagram between nodes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum PeerNews {
    /// The sender lives.
    Summary(PeerSummary),
    /// The sender's requests at engines, for a relay.
    Loads(LoadReport),
    /// The sums of all other nodes' requests, from a relay.
    Sums(LoadSums),
    /// Engines start to read a prompt of the sender.
    Reading(NodeId, PrefillNotice),
    /// A request broke an upstream off.
    Crash(CrashFingerprint, UpstreamId),
    /// The row of a new upstream, with its key and version.
    Joined(UpstreamId, u64, Vec<u8>),
    /// An upstream leaves, as of a version of the directory.
    Leaving(UpstreamId, u64),
    /// The sender leaves.
    Left(NodeId, u64),
}

/// What a node says of itself at regular times.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct PeerSummary {
    pub(crate) entry: RosterEntry,
    /// Version of the desired state in force there.
    pub(crate) desired: Option<u64>,
    /// Milliseconds since the store confirmed the desired state to the sender.
    pub(crate) desired_age_ms: Option<u32>,
    /// The same for the listing of upstreams.
    pub(crate) listing_age_ms: Option<u32>,
    /// Digest of the upstreams that the sender knows.
    pub(crate) listing_digest: u64,
}

/// The row of a node whose desired state is passed on.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct DesiredRow {
    key: String,
    value: Vec<u8>,
}

/// Sends what other tasks have to tell.
pub(crate) async fn send_news(
    gateway: Rc<Gateway>,
    socket: Rc<Async<UdpSocket>>,
    news: Receiver<PeerNews>,
) {
    while let Ok(news) = news.recv().await {
        broadcast(&gateway, &socket, &news).await;
        if !matches!(news, PeerNews::Reading(..) | PeerNews::Summary(_)) {
            let repeating = repeat_news(Rc::clone(&gateway), Rc::clone(&socket), news);
            gateway.executor.spawn(repeating).detach();
        }
    }
}

/// Datagrams are lost now and then, and nothing else brings this news soon.
async fn repeat_news(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>, news: PeerNews) {
    for pause in NEWS_REPEATS {
        gateway.clock.sleep(pause).await;
        broadcast(&gateway, &socket, &news).await;
    }
}

/// Sends this node's summary at regular times.
pub(crate) async fn send_summaries(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let size = broadcast(&gateway, &socket, &own_summary(&gateway)).await;
        let spread = Duration::from_secs(1) * size / SUMMARIES_PER_SECOND;
        let pause = spread.clamp(SUMMARY_PAUSE, SUMMARY_PAUSE_MAX);
        gateway.clock.sleep(pause).await;
    }
}

fn own_summary(gateway: &Gateway) -> PeerNews {
    let now = gateway.now();
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let desired = gateway.desired.borrow();
    PeerNews::Summary(PeerSummary {
        entry: gateway.own_entry(),
        desired: desired.version(),
        desired_age_ms: desired.store_age(now).map(millis),
        listing_age_ms: gateway.listing.borrow().store_age(now).map(millis),
        listing_digest: gateway.upstreams.borrow().digest(),
    })
}

/// Sends to every known node; returns how many there are.
async fn broadcast(gateway: &Gateway, socket: &Async<UdpSocket>, news: &PeerNews) -> u32 {
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
    let size = u32::try_from(targets.len()).unwrap_or(u32::MAX);
    send_datagram(socket, &targets, news).await;
    size
}

/// Sends to all of `targets`. What gets lost is repeated or superseded.
pub(crate) async fn send_datagram(
    socket: &Async<UdpSocket>,
    targets: &[SocketAddr],
    news: &PeerNews,
) {
    let Ok(bytes) = postcard::to_stdvec(news) else {
        log::error!("event=news_unencodable");
        return;
    };
    if bytes.len() > DATAGRAM_MAX {
        log::warn!("event=news_too_long bytes={}", bytes.len());
    }
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, *target).await {
            log::debug!("event=datagram_failed peer={target} error=\"{error}\"");
        }
    }
}

/// Takes in other nodes' datagrams.
pub(crate) async fn receive_news(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; 4 * DATAGRAM_MAX];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=datagram_receive_failed error=\"{error}\"");
                continue;
            }
        };
        match postcard::from_bytes::<PeerNews>(&buffer[..size]) {
            Ok(PeerNews::Loads(report)) => take_report(&gateway, &socket, from, report).await,
            Ok(news) => take_news(&gateway, news),
            Err(error) => log::warn!("event=datagram_unreadable peer={from} error=\"{error}\""),
        }
    }
}

fn take_news(gateway: &Rc<Gateway>, news: PeerNews) {
    let now = gateway.now();
    match news {
        PeerNews::Summary(summary) => take_summary(gateway, summary),
        // Answered by the task that owns the socket.
        PeerNews::Loads(_) => {}
        PeerNews::Sums(sums) => take_sums(gateway, sums),
        PeerNews::Reading(node, notice) => {
            let mut loads = gateway.loads.borrow_mut();
            loads.record_peer_prefill(now, &node, &notice);
        }
        PeerNews::Crash(fingerprint, upstream) => {
            let mut quarantine = gateway.quarantine.borrow_mut();
            quarantine.record_crash(now, fingerprint, &upstream);
        }
        PeerNews::Joined(key, version, row) => take_joined(gateway, &key, version, &row),
        PeerNews::Leaving(upstream, version) => {
            if gateway
                .upstreams
                .borrow_mut()
                .record_draining(&upstream, version)
            {
                log::info!("event=upstream_leaving upstream={upstream} source=peer");
            }
        }
        PeerNews::Left(node, life) => {
            if gateway.roster.borrow_mut().remove_left(&node, life) {
                log::info!("event=node_left node={node}");
                gateway.loads.borrow_mut().remove_peer(&node);
            }
        }
    }
}

fn take_joined(gateway: &Gateway, key: &str, version: u64, row: &[u8]) {
    match gateway.dialect.read_upstream(key, version, row) {
        Ok(entry) => {
            let mut upstreams = gateway.upstreams.borrow_mut();
            // Followers tell the same, and each three times.
            if upstreams.get(key).is_none() {
                log::info!("event=upstream_joined upstream={key} source=peer");
            }
            upstreams.upsert(entry);
        }
        Err(error) => log::warn!("event=entry_unreadable upstream={key} error=\"{error}\""),
    }
}

fn take_summary(gateway: &Rc<Gateway>, summary: PeerSummary) {
    if summary.entry.node == gateway.settings.node {
        return;
    }
    let now = gateway.now();
    let known = gateway.desired.borrow().version();
    let peer = summary.entry.peer_address;
    gateway
        .roster
        .borrow_mut()
        .record_heartbeat(now, summary.entry);
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    // A follower stands in for the store only where both know the same: news
    // from it may have been lost.
    if let Some(at) = summary.desired_age_ms.and_then(at)
        && summary.desired == known
    {
        gateway.desired.borrow_mut().record_follower(at);
    }
    if let Some(at) = summary.listing_age_ms.and_then(at)
        && summary.listing_digest == gateway.upstreams.borrow().digest()
    {
        gateway.listing.borrow_mut().record_follower(at);
    }
    if summary.desired > known && gateway.begin_fetch(now, FETCH_TIME) {
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
    let answer = gateway.clock.timeout(FETCH_TIME, caller.call(call)).await;
    gateway.end_fetch();
    let body = match answer {
        Some(Ok((StatusCode::OK, body))) => body,
        other => {
            log::warn!("event=peer_fetch_failed peer={peer} answer={other:?}");
            return;
        }
    };
    match postcard::from_bytes::<DesiredRow>(&body) {
        Ok(row) => take_desired(&gateway, &row.key, &row.value.into(), FeedSource::Peer),
        Err(error) => log::warn!("event=peer_row_unreadable peer={peer} error=\"{error}\""),
    }
}

/// Answers other nodes' calls.
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
