//! Tells other nodes what this one knows, and takes over what a relay tells.

use std::{
    collections::HashSet,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{
    AcceptedNews, NewsCursor, NewsItem, NewsPage, NewsSubject, RosterEntry, UpstreamEntry,
    UpstreamState,
};
use serde::{Deserialize, Serialize};
use smol::Async;
use types::UpstreamId;

use crate::{
    WatchedTable,
    crashes::{receive_crash, receive_standing},
    datagrams::{
        PACKET_PAYLOAD_BYTES, PeerDatagram, encode_datagram, send_bytes, send_supplemented,
    },
    peers::begin_fetch_desired,
    rates::{receive_rate, share_rates},
    reports::millis,
    start::StartPhase,
    state::{Gateway, NodeKey},
    supplements::{DatagramTrailer, answer_supplements},
    sync::is_store_poller,
};

/// Key that names any of the store pollers, which go before all other nodes that poll.
const STORE_POLLER_KEY: NodeKey = 0;
/// Bytes of a datagram that are left for news items.
const PAGE_BYTES: usize = PACKET_PAYLOAD_BYTES - 150;
/// Shortest time between two listings that are asked for since digests differ.
const RELIST_PAUSE: Duration = Duration::from_secs(2);
/// Most pages in one answer. A node that needs more asks again.
const PAGES_MAX: usize = 10;

/// News from a relay, and how fresh the relay's own knowledge is.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RelayNews {
    entry: RosterEntry,
    /// Version of the desired state that the sender uses.
    desired: Option<u64>,
    /// Milliseconds since the store confirmed that version to the sender or to the
    /// node that the sender has it from.
    desired_age_ms: Option<u32>,
    /// The same for the table of upstreams.
    upstreams_age_ms: Option<u32>,
    /// Node to which the store confirmed the table of upstreams; [`STORE_POLLER_KEY`]
    /// if it is a store poller.
    upstreams_source: Option<NodeKey>,
    /// Digest of the upstreams that the sender knows, to compare with one's own.
    upstreams_digest: u64,
    page: NewsPage,
}

/// Answers a node that knows this node's news up to `cursor`.
pub(crate) async fn answer_news(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    to: SocketAddr,
    cursor: NewsCursor,
) {
    let now = gateway.now();
    gateway.fleet.borrow_mut().publish_state(
        now,
        &gateway.own_entry(),
        &gateway.upstreams.borrow(),
    );
    let mut cursor = cursor;
    let mut supplements = answer_supplements(gateway, now);
    for _ in 0..PAGES_MAX {
        let page = gateway.fleet.borrow().news_after(cursor, PAGE_BYTES);
        let complete = page.complete;
        cursor = page.next_cursor(cursor);
        let news = PeerDatagram::News(own_news(gateway, now, page));
        let Some(mut bytes) = encode_datagram(&news) else {
            return;
        };
        // What doesn't fit beside the last page follows with empty ones.
        let room = PACKET_PAYLOAD_BYTES.saturating_sub(bytes.len());
        DatagramTrailer::fill(&mut supplements, room).append_to(&mut bytes);
        send_bytes(socket, &[to], &bytes).await;
        if complete && supplements.is_empty() {
            return;
        }
    }
    log::debug!(
        "event=answer_cut peer={to} supplements_left={}",
        supplements.len()
    );
}

fn own_news(gateway: &Gateway, now: Instant, page: NewsPage) -> RelayNews {
    let desired = gateway.desired_freshness.borrow();
    let upstreams = gateway.upstream_freshness.borrow();
    let upstreams_source = if upstreams.polls_store(now) {
        Some(own_source_key(gateway))
    } else {
        gateway.upstreams_source.get()
    };
    RelayNews {
        entry: gateway.own_entry(),
        desired: desired.version(),
        desired_age_ms: desired.confirmed_age(now).map(millis),
        upstreams_age_ms: upstreams.confirmed_age(now).map(millis),
        upstreams_source,
        upstreams_digest: gateway.upstreams.borrow().digest(),
        page,
    }
}

/// Returns the key under which this node is named as the source of the upstreams.
fn own_source_key(gateway: &Gateway) -> NodeKey {
    if is_store_poller(gateway, WatchedTable::Upstreams) {
        STORE_POLLER_KEY
    } else {
        gateway.own_key()
    }
}

/// Takes over a page of news.
pub(crate) fn handle_news(gateway: &Rc<Gateway>, news: RelayNews) {
    let now = gateway.now();
    let peer = news.entry.peer_address;
    apply_desired_age(gateway, now, &news);
    gateway.record_member(&news.entry);
    let accepted =
        gateway
            .fleet
            .borrow_mut()
            .accept_news(now, &gateway.own_entry(), news.entry, news.page);
    let Some(AcceptedNews {
        items,
        caught_up,
        listing,
    }) = accepted
    else {
        return;
    };
    let names_upstreams = items
        .iter()
        .any(|item| matches!(item, NewsItem::Upstream(_)));
    for item in items {
        apply_item(gateway, now, item);
    }
    if names_upstreams {
        // A process that has just started is cold before anything is sent to it.
        share_rates(gateway);
    }
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    if let Some(listing) = listing
        && news.upstreams_age_ms.is_some()
    {
        apply_listed_upstreams(gateway, now, &listing, news.upstreams_digest);
    }
    if caught_up
        && news.upstreams_source != Some(gateway.own_key())
        && let Some(at) = news.upstreams_age_ms.and_then(at)
    {
        gateway
            .upstream_freshness
            .borrow_mut()
            .record_store_poller(at);
        gateway.upstreams_source.set(news.upstreams_source);
        compare_digest(gateway, now, peer, news.upstreams_digest);
    }
}

/// Takes over how fresh the sender's desired state is, and fetches a newer one.
fn apply_desired_age(gateway: &Rc<Gateway>, now: Instant, news: &RelayNews) {
    let known = gateway.desired_freshness.borrow().version();
    let age = news
        .desired_age_ms
        .map(|age| Duration::from_millis(age.into()));
    if let Some(at) = age.and_then(|age| now.checked_sub(age))
        && news.desired == known
    {
        gateway
            .desired_freshness
            .borrow_mut()
            .record_store_poller(at);
    }
    if news.desired > known {
        begin_fetch_desired(gateway, news.entry.peer_address);
    }
}

/// Tells the relays which version of the desired state and which evacuations this node
/// knows, since the store has confirmed them to this node while it turns away the store
/// pollers. They don't ask other nodes, so they would learn a change late. Not repeated:
/// each poll tells them again.
pub(crate) async fn push_desired_version(gateway: &Gateway) {
    let now = gateway.now();
    // Belongs to no log, so that no reader goes on from it.
    let page = NewsPage {
        log: 0,
        restarts: false,
        after: 0,
        until: 0,
        complete: false,
        items: Vec::new(),
    };
    let own = gateway.own_entry();
    let relays = gateway.fleet.borrow().other_relays(now, &own);
    let news = PeerDatagram::News(own_news(gateway, now, page));
    let supplements = answer_supplements(gateway, now);
    send_supplemented(&gateway.socket, &relays, &news, supplements).await;
}

fn apply_item(gateway: &Gateway, now: Instant, item: NewsItem) {
    match item {
        // `FleetView` has taken it over.
        NewsItem::Node(..) => {}
        NewsItem::Upstream(entry) => apply_upstream(gateway, entry),
        NewsItem::UpstreamGone(id, version) => {
            if gateway.upstreams.borrow_mut().remove_at(now, &id, version) {
                log::info!("event=upstream_gone upstream={id} source=peer");
                gateway.loads.borrow_mut().remove_prefill_queue(&id);
            }
        }
        NewsItem::UpstreamLeaving(id, started_ms) => {
            record_leaving(gateway, &id, started_ms, "peer");
        }
        NewsItem::Crash(report) => receive_crash(gateway, &report),
        NewsItem::Part(part, standing) => receive_standing(gateway, part, standing),
        NewsItem::Rate(upstream, notice) => receive_rate(gateway, &upstream, notice),
    }
}

/// Records that the process of an upstream says that it leaves, and publishes it;
/// returns whether this is new.
pub(crate) fn record_leaving(
    gateway: &Gateway,
    id: &UpstreamId,
    started_ms: Option<u64>,
    source: &str,
) -> bool {
    let now = gateway.now();
    let mut upstreams = gateway.upstreams.borrow_mut();
    let is_new = upstreams.record_leaving(now, id, started_ms);
    if is_new {
        log::info!("event=upstream_leaving upstream={id} source={source}");
        let item = NewsItem::UpstreamLeaving(id.clone(), started_ms);
        gateway.fleet.borrow_mut().publish(now, item);
    }
    is_new
}

fn apply_upstream(gateway: &Gateway, entry: UpstreamEntry) {
    let mut upstreams = gateway.upstreams.borrow_mut();
    let known = upstreams.get(&entry.id).map(|health| &health.entry);
    match known {
        None => log::info!("event=upstream_joined upstream={} source=peer", entry.id),
        Some(known)
            if known.state == UpstreamState::Ready && entry.state == UpstreamState::Draining =>
        {
            log::info!("event=upstream_leaving upstream={} source=peer", entry.id);
        }
        Some(_) => {}
    }
    upstreams.upsert(entry);
    gateway.record_start_phase(StartPhase::Upstreams);
}

/// Removes upstreams that are missing from a complete listing, unless this node polls
/// the store, and so knows better. `digest` is that of the upstreams that the sender
/// knows; a listing that doesn't match it was made while they changed.
fn apply_listed_upstreams(
    gateway: &Gateway,
    now: Instant,
    listing: &HashSet<NewsSubject>,
    digest: u64,
) {
    if gateway.upstream_freshness.borrow().polls_store(now) {
        return;
    }
    let mut upstreams = gateway.upstreams.borrow_mut();
    let is_listed = |id: &UpstreamId| listing.contains(&NewsSubject::Upstream(id.clone()));
    if upstreams.digest_where(is_listed) != digest {
        log::info!("event=listing_ignored reason=\"its digest differs\"");
        return;
    }
    let absent: Vec<UpstreamId> = upstreams
        .ids()
        .filter(|id| !is_listed(id))
        .cloned()
        .collect();
    for id in absent {
        log::info!("event=upstream_gone upstream={id} source=listing");
        upstreams.remove(&id, None);
        gateway.loads.borrow_mut().remove_prefill_queue(&id);
    }
}

/// Asks for a listing if the relay knows other upstreams than this node although this
/// node has all its news.
fn compare_digest(gateway: &Gateway, now: Instant, peer: SocketAddr, digest: u64) {
    let polls_store = gateway.upstream_freshness.borrow().polls_store(now);
    if polls_store || gateway.upstreams.borrow().digest() == digest {
        return;
    }
    let last = gateway.relisted_at.get();
    if last.is_none_or(|last| now.saturating_duration_since(last) >= RELIST_PAUSE) {
        gateway.relisted_at.set(Some(now));
        log::info!("event=upstreams_differ action=relist");
        gateway.fleet.borrow_mut().read_again(peer);
    }
}
