//! Follows the store's tables, and what other nodes know while the store does
//! not answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dispatch::{
    DesiredState, FeedSource, RosterEntry, RouteTable, UpstreamEntry, UpstreamState, UpstreamTable,
};

use crate::{
    FeedAnswer, PlainCall, TableChange, WatchedTable, client::PlainCaller, peers::PeerNews,
    state::Gateway,
};

/// Longest wait of a feed for a change of the desired state. Short, because a
/// connection that went silent shows only when the wait is over.
const DESIRED_WAIT: Duration = Duration::from_millis(1200);
/// Longest wait of a feed for a change of the upstreams.
const UPSTREAM_WAIT: Duration = Duration::from_millis(800);
/// Pause after an answer about upstreams: each of them writes every second or
/// so, and every change would wake the feed.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks at the rows of other nodes, which mostly make
/// themselves known by their summaries.
const NODES_PAUSE: Duration = Duration::from_secs(20);
/// Nodes that always follow the store and tell the others.
const FOLLOWERS: usize = 3;
/// Longest time for which another node looks at the store no more. Summaries of
/// followers show sooner when it has missed something.
const REST_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks at whether others still follow.
const REST_STEP: Duration = Duration::from_millis(250);
/// Time for the store's answer beside the wait of the call.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Pauses after calls that failed in a row.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Follows `table` until the gateway ends.
pub(crate) async fn follow(gateway: Rc<Gateway>, table: WatchedTable) {
    let executor = Rc::clone(&gateway.executor);
    let mut caller = PlainCaller::new(executor, gateway.settings.store);
    let mut version = None;
    let mut retry = RETRY_MIN;
    loop {
        let step = match version {
            None => list(&gateway, &mut caller, table).await,
            Some(version) => feed(&gateway, &mut caller, table, version).await,
        };
        let pause = match step {
            SyncStep::UpTo(newest) => {
                if retry > RETRY_MIN {
                    log::info!("event=dependency_regained dependency=store table={table:?}");
                }
                version = Some(newest);
                retry = RETRY_MIN;
                match table {
                    WatchedTable::Desired => Duration::ZERO,
                    WatchedTable::Upstreams => UPSTREAM_PAUSE,
                    WatchedTable::Nodes => NODES_PAUSE,
                }
            }
            SyncStep::HistoryGone => {
                version = None;
                Duration::ZERO
            }
            SyncStep::Failed(reason) => {
                if retry == RETRY_MIN {
                    log::warn!(
                        "event=dependency_lost dependency=store table={table:?} reason=\"{reason}\""
                    );
                }
                note_failure(&gateway, table);
                let pause = retry;
                retry = (retry * 2).min(RETRY_MAX);
                pause
            }
        };
        if !pause.is_zero() {
            gateway.clock.sleep(pause).await;
        }
        if version.is_some() {
            rest_while_followed(&gateway, table).await;
        }
    }
}

/// Waits while enough other nodes follow the table and tell this one, so that
/// the calls to the store don't grow with the number of nodes.
async fn rest_while_followed(gateway: &Gateway, table: WatchedTable) {
    let mut rested = Duration::ZERO;
    while rested < REST_TIME && !follows(gateway) && followed(gateway, table) {
        gateway.clock.sleep(REST_STEP).await;
        rested += REST_STEP;
    }
}

/// Whether this node is one of those that always follow the store.
fn follows(gateway: &Gateway) -> bool {
    let own = &gateway.settings.node;
    let roster = gateway.roster.borrow();
    let live = roster.live(gateway.now());
    let before = live
        .filter(|entry| entry.ready && entry.node < *own)
        .count();
    before < FOLLOWERS
}

fn followed(gateway: &Gateway, table: WatchedTable) -> bool {
    let now = gateway.now();
    match table {
        WatchedTable::Desired => gateway.desired.borrow().has_follower(now),
        WatchedTable::Upstreams => gateway.listing.borrow().has_follower(now),
        WatchedTable::Nodes => false,
    }
}

enum SyncStep {
    UpTo(u64),
    HistoryGone,
    Failed(String),
}

async fn list(gateway: &Rc<Gateway>, caller: &mut PlainCaller, table: WatchedTable) -> SyncStep {
    let mut all = Vec::new();
    let mut after: Option<String> = None;
    // Rows of later pages may be newer than those of the first; changes are
    // followed from the first page on, so that none is missed.
    let mut first_version = None;
    loop {
        let call = gateway.dialect.list_call(table, after.as_deref());
        match ask(gateway, caller, call, Duration::ZERO).await {
            Ok(FeedAnswer::Rows {
                changes,
                version,
                more,
            }) => {
                let version = *first_version.get_or_insert(version);
                after = changes.last().map(|change| change.key.clone());
                all.extend(changes);
                if !more || after.is_none() {
                    apply(gateway, table, all, true, version);
                    return SyncStep::UpTo(version);
                }
            }
            Ok(other) => return SyncStep::Failed(format!("list: {other:?}")),
            Err(error) => return SyncStep::Failed(error),
        }
    }
}

async fn feed(
    gateway: &Rc<Gateway>,
    caller: &mut PlainCaller,
    table: WatchedTable,
    version: u64,
) -> SyncStep {
    let wait = match table {
        WatchedTable::Desired => DESIRED_WAIT,
        WatchedTable::Upstreams => UPSTREAM_WAIT,
        WatchedTable::Nodes => Duration::ZERO,
    };
    let call = gateway.dialect.feed_call(table, version, wait);
    match ask(gateway, caller, call, wait).await {
        Ok(FeedAnswer::Rows {
            changes, version, ..
        }) => {
            apply(gateway, table, changes, false, version);
            SyncStep::UpTo(version)
        }
        Ok(FeedAnswer::HistoryGone) => SyncStep::HistoryGone,
        Ok(other) => SyncStep::Failed(format!("feed: {other:?}")),
        Err(error) => SyncStep::Failed(error),
    }
}

async fn ask(
    gateway: &Rc<Gateway>,
    caller: &mut PlainCaller,
    call: PlainCall,
    wait: Duration,
) -> Result<FeedAnswer, String> {
    let answer = gateway
        .clock
        .timeout(wait + ANSWER_TIME, caller.call(call))
        .await;
    match answer {
        Some(Ok((status, body))) => Ok(gateway.dialect.read_feed(status, &body)),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("no answer in time".to_owned()),
    }
}

fn note_failure(gateway: &Gateway, table: WatchedTable) {
    let now = gateway.now();
    match table {
        WatchedTable::Desired => gateway.desired.borrow_mut().record_failure(now),
        WatchedTable::Upstreams => gateway.listing.borrow_mut().record_failure(now),
        WatchedTable::Nodes => {}
    }
}

fn apply(
    gateway: &Rc<Gateway>,
    table: WatchedTable,
    changes: Vec<TableChange>,
    whole: bool,
    version: u64,
) {
    match table {
        WatchedTable::Desired => {
            for change in changes {
                if let Some(value) = change.value {
                    take_desired(gateway, &change.key, &value, FeedSource::Store);
                }
            }
            let now = gateway.now();
            let known = gateway.routes.borrow().state().version;
            if known > 0 {
                let mut belief = gateway.desired.borrow_mut();
                belief.confirm(now, known, FeedSource::Store);
            }
        }
        WatchedTable::Upstreams => apply_upstreams(gateway, changes, whole, version),
        WatchedTable::Nodes => apply_nodes(gateway, changes),
    }
}

/// Puts a desired state in force, unless a newer one is.
pub(crate) fn take_desired(gateway: &Rc<Gateway>, key: &str, value: &Bytes, source: FeedSource) {
    let state = match gateway.dialect.read_desired(key, value) {
        Ok(Some(state)) => state,
        Ok(None) => return,
        Err(error) => {
            log::error!("event=desired_state_unreadable key={key} error=\"{error}\"");
            return;
        }
    };
    let version = state.version;
    let newer = gateway
        .desired
        .borrow_mut()
        .confirm(gateway.now(), version, source);
    if newer {
        log_desired(&state, source);
        *gateway.routes.borrow_mut() = Rc::new(RouteTable::new(state));
        *gateway.desired_row.borrow_mut() = Some((key.to_owned(), value.clone()));
    }
}

fn log_desired(state: &DesiredState, source: FeedSource) {
    log::info!(
        "event=desired_state_in_force version={} source={source:?} routes={} services={}",
        state.version,
        state.routes.len(),
        state.services.len(),
    );
}

fn apply_upstreams(gateway: &Gateway, changes: Vec<TableChange>, whole: bool, version: u64) {
    let now = gateway.now();
    let mut belief = gateway.listing.borrow_mut();
    belief.confirm(now, version, FeedSource::Store);
    let lapse = belief.grace_until(now);
    let mut upstreams = gateway.upstreams.borrow_mut();
    let mut listed = Vec::new();
    for change in changes {
        let entry = change.value.as_ref().map(|value| {
            gateway
                .dialect
                .read_upstream(&change.key, change.version, value)
        });
        match entry {
            Some(Ok(entry)) if whole => listed.push(entry),
            Some(Ok(entry)) => {
                if entry.state == UpstreamState::Draining && lapse.is_none() {
                    tell_leaving(gateway, &upstreams, &entry.id, entry.version);
                } else if upstreams.get(&entry.id).is_none() {
                    let row = change.value.map(|value| value.to_vec());
                    let row = row.unwrap_or_default();
                    gateway.tell(PeerNews::Joined(change.key, change.version, row));
                }
                upstreams.upsert(entry);
            }
            Some(Err(error)) => {
                log::warn!(
                    "event=entry_unreadable upstream={} error=\"{error}\"",
                    change.key
                );
                upstreams.remove(&change.key, None);
            }
            None => {
                let lapsed = lapse.is_some();
                log::info!(
                    "event=upstream_gone upstream={} lapsed={lapsed}",
                    change.key
                );
                if !lapsed {
                    tell_leaving(gateway, &upstreams, &change.key, change.version);
                }
                upstreams.remove(&change.key, lapse);
            }
        }
    }
    if whole {
        if lapse.is_none() {
            tell_absent(gateway, &upstreams, &listed, version);
        }
        upstreams.replace(listed, lapse);
    }
    for id in upstreams.remove_expired(now) {
        gateway.loads.borrow_mut().remove_engine(&id);
    }
}

/// Tells all nodes of upstreams that left while this node missed changes.
fn tell_absent(
    gateway: &Gateway,
    upstreams: &UpstreamTable,
    listed: &[UpstreamEntry],
    version: u64,
) {
    for id in upstreams.ids() {
        if listed.iter().all(|entry| entry.id != *id) {
            tell_leaving(gateway, upstreams, id, version);
        }
    }
}

/// Tells all nodes that an upstream leaves; some may not reach the store.
fn tell_leaving(gateway: &Gateway, upstreams: &UpstreamTable, id: &str, version: u64) {
    let known = upstreams.get(id).map(|view| view.entry.state);
    if known == Some(UpstreamState::Ready) {
        gateway.tell(PeerNews::Leaving(id.to_owned(), version));
    }
}

fn apply_nodes(gateway: &Gateway, changes: Vec<TableChange>) {
    let now = gateway.now();
    let mut roster = gateway.roster.borrow_mut();
    for change in changes {
        let Some(value) = change.value else {
            continue;
        };
        match postcard::from_bytes::<RosterEntry>(&value) {
            Ok(entry) if entry.node == gateway.settings.node => {}
            Ok(entry) => roster.record_listing(now, entry),
            Err(error) => {
                log::warn!(
                    "event=node_row_unreadable node={} error=\"{error}\"",
                    change.key
                );
            }
        }
    }
}
