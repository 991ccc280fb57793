//! Polls the store's tables, and applies what it or other nodes report.
//!
//! A few relays, the store pollers, poll the desired state and the upstreams all the
//! time; the other nodes get both from the relays. While the store refuses the store
//! pollers, all nodes try it in turn, and one that it answers takes their place. The
//! rows of the nodes are polled by relays only.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{
    DESIRED_WAIT, DesiredState, LISTING_PAUSE, RosterEntry, RouteTable, UPSTREAM_PAUSE,
    UPSTREAM_WAIT, VersionSource, store_poller_timeout,
};
use rand::RngExt;
use types::UpstreamId;

use crate::{
    FeedAnswer, PlainCall, TableChange, WatchedTable,
    client::PlainCaller,
    cold::record_row,
    crashes::apply_quarantine_rows,
    evacuation::{apply_evacuation_rows, has_store_poller},
    news::push_desired_version,
    peers::FETCH_TIMEOUT,
    rates::share_rates,
    reports::{is_relay, question_pause},
    start::StartPhase,
    state::Gateway,
};

/// Longest long poll for changes of the quarantines. They are rare, and nodes mostly learn
/// of them by news; the store tells nodes that have lost each other.
const QUARANTINE_WAIT: Duration = Duration::from_secs(20);
/// Time that a node which starts gives nodes that serve to answer, before it reads from the
/// store what it needs to serve: a round trip between regions, and the time in which a
/// small host answers. In a fleet that starts as a whole nobody serves yet.
const CONTACT_WAIT: Duration = Duration::from_millis(60);
/// Time that a node which starts gives others before it reads and writes the rows of nodes,
/// which it doesn't need to serve. By then most nodes have found a seed, so that only relays
/// go on.
pub(crate) const ROW_WAIT: Duration = Duration::from_millis(400);
/// Time that it gives nodes that serve to tell it all they know: several questions, and a
/// large desired state over a small link.
const FLEET_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a node that starts checks whether others have told it.
const FLEET_CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a node checks that the store pollers still poll the store.
const POLLER_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of a call to the store, in addition to the wait of a long poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest pause after a failed call; it doubles with each failure in a row.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Waits until another node has told this one about the upstreams, and only for
/// `contact_wait` while it hears of no node that serves. A seed does not wait, as the others
/// ask it.
pub(crate) async fn wait_for_fleet(gateway: &Gateway, contact_wait: Duration) {
    let settings = &gateway.settings;
    if settings.seeds.is_empty() || settings.seeds.contains(&settings.peers) {
        return;
    }
    let started = gateway.now();
    while !polled_by_others(gateway, WatchedTable::Upstreams) {
        let now = gateway.now();
        let hears_ready = gateway.fleet.borrow().roster().has_ready(now);
        let limit = if hears_ready {
            FLEET_WAIT
        } else {
            contact_wait
        };
        if now.saturating_duration_since(started) >= limit {
            return;
        }
        gateway.clock.sleep(FLEET_CHECK_PAUSE).await;
    }
}

/// Waits until this node reads `table` for the first time; returns whether nobody has told
/// it yet what it needs to serve, so that it reads the table whoever polls it. Every node
/// of a fleet that starts as a whole makes these two calls, and others only while nobody
/// else does.
async fn wait_for_start(gateway: &Gateway, table: WatchedTable) -> bool {
    match table {
        WatchedTable::Desired | WatchedTable::Upstreams => {
            wait_for_fleet(gateway, CONTACT_WAIT).await;
            if table == WatchedTable::Desired {
                while gateway.is_fetching(FETCH_TIMEOUT) {
                    gateway.clock.sleep(FLEET_CHECK_PAUSE).await;
                }
            }
            match table {
                WatchedTable::Desired => gateway.desired_row.borrow().is_none(),
                _ => gateway.upstreams.borrow().is_empty(),
            }
        }
        WatchedTable::Nodes | WatchedTable::Quarantine => {
            wait_for_fleet(gateway, ROW_WAIT).await;
            false
        }
    }
}

/// Lists `table` and then polls for its changes until the gateway ends.
pub(crate) async fn watch_table(gateway: Rc<Gateway>, table: WatchedTable) {
    let mut reads_first = wait_for_start(&gateway, table).await;
    let mut caller = PlainCaller::new(&gateway, gateway.settings.store);
    let mut version = None;
    // Newest version that was ever reached.
    let mut reached: Option<u64> = None;
    let mut retry_pause = RETRY_PAUSE_MIN;
    loop {
        if !reads_first {
            wait_while_polled(&gateway, table).await;
        }
        let began = gateway.now();
        let fetches = reads_first
            && table == WatchedTable::Desired
            && gateway.begin_fetch(began, ANSWER_TIMEOUT);
        reads_first = false;
        let step = match version {
            None => list_table(&gateway, &mut caller, table).await,
            Some(version) => poll_changes(&gateway, &mut caller, table, version).await,
        };
        if fetches {
            gateway.end_fetch();
        }
        let pause = match step {
            SyncStep::CaughtUp(newest) => {
                if table == WatchedTable::Desired && !is_store_poller(&gateway, table) {
                    push_desired_version(&gateway).await;
                }
                if retry_pause > RETRY_PAUSE_MIN {
                    log::info!("event=dependency_regained dependency=store table={table:?}");
                }
                if reached.is_some_and(|known| !gateway.dialect.is_same_history(known, newest)) {
                    log::warn!(
                        "event=store_era_changed table={table:?} from={reached:?} to={newest}"
                    );
                    gateway.update_row_schedule(|schedule, _| schedule.record_lost());
                }
                version = Some(newest);
                reached = reached.max(version);
                retry_pause = RETRY_PAUSE_MIN;
                match table {
                    WatchedTable::Desired | WatchedTable::Quarantine => Duration::ZERO,
                    WatchedTable::Upstreams => UPSTREAM_PAUSE,
                    WatchedTable::Nodes => {
                        wait_for_listing(&gateway, began).await;
                        Duration::ZERO
                    }
                }
            }
            SyncStep::HistoryGone => {
                version = None;
                Duration::ZERO
            }
            SyncStep::Failed(reason) => {
                if retry_pause == RETRY_PAUSE_MIN {
                    log::warn!(
                        "event=dependency_lost dependency=store table={table:?} reason=\"{reason}\""
                    );
                }
                record_failure(&gateway, table);
                let pause = retry_pause;
                retry_pause = (retry_pause * 2).min(RETRY_PAUSE_MAX);
                pause
            }
        };
        if !pause.is_zero() {
            gateway.clock.sleep(pause).await;
        }
    }
}

/// Records a listing of the nodes' rows, and waits until the next one is due.
async fn wait_for_listing(gateway: &Gateway, began: Instant) {
    let knows_others = || {
        let fleet = gateway.fleet.borrow();
        fleet.roster().live(gateway.now()).next().is_some()
    };
    let known = knows_others();
    gateway.update_row_schedule(|schedule, _| schedule.record_listing(began, known));
    while !gateway
        .row_schedule
        .get()
        .is_listing_due(gateway.now(), knows_others())
    {
        gateway.clock.sleep(POLLER_CHECK_PAUSE).await;
    }
}

/// Waits while store pollers poll the table and tell this node, so that the number of
/// calls to the store doesn't grow with the number of nodes. When they stop, each node
/// waits for its turn, in which time one of the others may take their place.
async fn wait_while_polled(gateway: &Gateway, table: WatchedTable) {
    let mut turn_in = probe_pause(gateway, table);
    let mut paused = false;
    while !is_store_poller(gateway, table) {
        if polled_by_others(gateway, table) {
            if !paused {
                log::info!("event=store_poll_paused table={table:?}");
                paused = true;
            }
            turn_in = probe_pause(gateway, table);
        } else if turn_in.is_zero() {
            break;
        }
        gateway.clock.sleep(POLLER_CHECK_PAUSE).await;
        turn_in = turn_in.saturating_sub(POLLER_CHECK_PAUSE);
    }
    if paused {
        log::info!("event=store_poll_resumed table={table:?}");
    }
}

/// Returns whether this node always polls the table: the rows of the nodes if it is a
/// relay, the other tables if it is a store poller.
pub(crate) fn is_store_poller(gateway: &Gateway, table: WatchedTable) -> bool {
    if table == WatchedTable::Nodes {
        return is_relay(gateway);
    }
    let own = gateway.own_entry();
    gateway.fleet.borrow().is_store_poller(gateway.now(), &own)
}

/// Returns whether another node polls the table and tells this one. Of two nodes that
/// both poll the upstreams, the one with the smaller key goes on.
fn polled_by_others(gateway: &Gateway, table: WatchedTable) -> bool {
    let now = gateway.now();
    let upstreams = gateway.upstream_freshness.borrow();
    let source = gateway.upstreams_source.get();
    let goes_on = upstreams.polls_store(now) && source > Some(gateway.own_key());
    match table {
        WatchedTable::Desired => {
            let timeout = poller_timeout(gateway, table);
            !goes_on
                && gateway
                    .desired_freshness
                    .borrow()
                    .has_store_poller(now, timeout)
                && has_store_poller(gateway, now)
        }
        WatchedTable::Upstreams => {
            !goes_on && upstreams.has_store_poller(now, poller_timeout(gateway, table))
        }
        // Other nodes don't need these rows.
        WatchedTable::Nodes | WatchedTable::Quarantine => true,
    }
}

/// Returns the age of the store pollers' copy up to which this node relies on it.
pub(crate) fn poller_timeout(gateway: &Gateway, table: WatchedTable) -> Duration {
    let poll_interval = match table {
        WatchedTable::Desired => DESIRED_WAIT,
        WatchedTable::Upstreams => UPSTREAM_WAIT + UPSTREAM_PAUSE,
        WatchedTable::Nodes => LISTING_PAUSE,
        WatchedTable::Quarantine => QUARANTINE_WAIT,
    };
    store_poller_timeout(poll_interval, question_pause(gateway))
}

/// Returns how long this node waits for its turn to call the store: a random time, so
/// that the nodes that know each other make [`dispatch::PROBES_PER_SECOND`] together. A
/// node that polls already, and a store poller, don't wait.
fn probe_pause(gateway: &Gateway, table: WatchedTable) -> Duration {
    let now = gateway.now();
    let polls_already = match table {
        WatchedTable::Desired => gateway.desired_freshness.borrow().polls_store(now),
        WatchedTable::Upstreams => gateway.upstream_freshness.borrow().polls_store(now),
        WatchedTable::Nodes | WatchedTable::Quarantine => true,
    };
    if polls_already || is_store_poller(gateway, table) {
        return Duration::ZERO;
    }
    let nodes = gateway.fleet.borrow().roster().live(now).count();
    dispatch::probe_pause(nodes, gateway.rng.borrow_mut().random_range(0.0..2.0))
}

/// Outcome of one call that lists or polls a table.
enum SyncStep {
    /// All changes up to this store version are applied.
    CaughtUp(u64),
    /// The table has to be listed again.
    HistoryGone,
    /// The call failed, for this reason.
    Failed(String),
}

async fn list_table(
    gateway: &Rc<Gateway>,
    caller: &mut PlainCaller,
    table: WatchedTable,
) -> SyncStep {
    let mut all = Vec::new();
    let mut after: Option<String> = None;
    // Later pages may contain newer rows than the first. Changes are polled from
    // the version of the first page, so that none is missed.
    let mut first_version = None;
    loop {
        let call = gateway.dialect.list_call(table, after.as_deref());
        match call_store(gateway, caller, call, Duration::ZERO).await {
            Ok(FeedAnswer::Rows {
                changes,
                version,
                more,
            }) => {
                let version = *first_version.get_or_insert(version);
                after = changes.last().map(|change| change.key.clone());
                all.extend(changes);
                if !more || after.is_none() {
                    apply_changes(gateway, table, all, true, version);
                    return SyncStep::CaughtUp(version);
                }
            }
            Ok(other) => return SyncStep::Failed(format!("list table: answer {other:?}")),
            Err(error) => return SyncStep::Failed(error),
        }
    }
}

async fn poll_changes(
    gateway: &Rc<Gateway>,
    caller: &mut PlainCaller,
    table: WatchedTable,
    version: u64,
) -> SyncStep {
    let wait = match table {
        WatchedTable::Desired => DESIRED_WAIT,
        WatchedTable::Upstreams => UPSTREAM_WAIT,
        WatchedTable::Nodes => Duration::ZERO,
        WatchedTable::Quarantine => QUARANTINE_WAIT,
    };
    let call = gateway.dialect.changes_call(table, version, wait);
    match call_store(gateway, caller, call, wait).await {
        // The changes since a version of another history don't start at what this node
        // knows.
        Ok(FeedAnswer::Rows {
            version: newest, ..
        }) if !gateway.dialect.is_same_history(version, newest) => SyncStep::HistoryGone,
        Ok(FeedAnswer::Rows {
            changes, version, ..
        }) => {
            apply_changes(gateway, table, changes, false, version);
            SyncStep::CaughtUp(version)
        }
        Ok(FeedAnswer::HistoryGone) => SyncStep::HistoryGone,
        Ok(other) => SyncStep::Failed(format!("poll for changes: answer {other:?}")),
        Err(error) => SyncStep::Failed(error),
    }
}

async fn call_store(
    gateway: &Rc<Gateway>,
    caller: &mut PlainCaller,
    call: PlainCall,
    wait: Duration,
) -> Result<FeedAnswer, String> {
    let answer = gateway
        .clock
        .timeout(wait + ANSWER_TIMEOUT, caller.call(call))
        .await;
    match answer {
        Some(Ok(answer)) => Ok(gateway.dialect.decode_rows(&answer)),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("no answer in time".to_owned()),
    }
}

fn record_failure(gateway: &Gateway, table: WatchedTable) {
    let now = gateway.now();
    match table {
        WatchedTable::Desired => {
            gateway.desired_freshness.borrow_mut().record_failure(now);
            gateway
                .evacuation_freshness
                .borrow_mut()
                .record_failure(now);
        }
        WatchedTable::Upstreams => gateway.upstream_freshness.borrow_mut().record_failure(now),
        WatchedTable::Nodes | WatchedTable::Quarantine => {}
    }
}

fn apply_changes(
    gateway: &Rc<Gateway>,
    table: WatchedTable,
    changes: Vec<TableChange>,
    complete: bool,
    version: u64,
) {
    match table {
        WatchedTable::Desired => {
            apply_evacuation_rows(gateway, &changes, complete, version);
            for change in changes {
                if let Some(value) = change.value {
                    apply_desired(gateway, &change.key, &value, VersionSource::Store);
                }
            }
            let now = gateway.now();
            let known = gateway.routes.borrow().state().version;
            if known > 0 {
                let mut freshness = gateway.desired_freshness.borrow_mut();
                freshness.confirm(now, known, VersionSource::Store);
            }
        }
        WatchedTable::Upstreams => apply_upstreams(gateway, changes, complete, version),
        WatchedTable::Nodes => apply_nodes(gateway, changes, complete),
        WatchedTable::Quarantine => apply_quarantine_rows(gateway, changes, complete),
    }
}

/// Records that `source` confirmed this version of the desired state, and applies the
/// state if it is newer than the known one.
pub(crate) fn apply_desired(
    gateway: &Rc<Gateway>,
    key: &str,
    value: &Bytes,
    source: VersionSource,
) {
    let state = match gateway.dialect.decode_desired(key, value) {
        Ok(Some(state)) => state,
        Ok(None) => return,
        Err(error) => {
            log::error!("event=desired_state_unreadable key={key} error=\"{error}\"");
            return;
        }
    };
    let version = state.version;
    let newer = gateway
        .desired_freshness
        .borrow_mut()
        .confirm(gateway.now(), version, source);
    if newer {
        log_desired(&state, source);
        *gateway.routes.borrow_mut() = Rc::new(RouteTable::new(state));
        *gateway.desired_row.borrow_mut() = Some((key.to_owned(), value.clone()));
        gateway.record_start_phase(StartPhase::Desired);
    }
}

fn log_desired(state: &DesiredState, source: VersionSource) {
    log::info!(
        "event=desired_state_in_force version={} source={source:?} routes={} services={}",
        state.version,
        state.routes.len(),
        state.services.len(),
    );
}

fn apply_upstreams(gateway: &Gateway, changes: Vec<TableChange>, complete: bool, version: u64) {
    let now = gateway.now();
    let mut upstreams = gateway.upstreams.borrow_mut();
    let mut freshness = gateway.upstream_freshness.borrow_mut();
    let known = upstreams.newest_version();
    let is_copy = known.is_some_and(|known| !gateway.dialect.is_same_history(known, version));
    if is_copy {
        // The store came back from a copy, as after an outage: upstreams may be missing
        // until they have written their rows again.
        freshness.record_failure(now);
    }
    freshness.confirm(now, version, VersionSource::Store);
    // `Some` for a while after an outage of the store: upstreams that couldn't renew
    // their rows may be missing, so they are kept until then.
    let expires_at = freshness.grace_until(now);
    let mut listed = Vec::new();
    let mut claims = Vec::new();
    for change in changes {
        let entry = change.value.as_ref().map(|value| {
            gateway
                .dialect
                .decode_upstream(&change.key, change.version, value)
        });
        match entry {
            Some(Ok(row)) if is_copy && upstreams.is_outdated(&row.entry) => {
                log::info!("event=upstream_outdated upstream={}", row.entry.id);
            }
            Some(Ok(row)) => {
                let entry = &row.entry;
                claims.push((entry.id.clone(), entry.started_ms, entry.version, row.cold));
                if complete {
                    listed.push(row.entry);
                } else {
                    upstreams.upsert(row.entry);
                }
            }
            Some(Err(error)) => {
                log::warn!(
                    "event=entry_unreadable upstream={} error=\"{error}\"",
                    change.key
                );
                upstreams.remove_at(now, &change.key, change.version);
            }
            None => {
                let lapsed = expires_at.is_some();
                log::info!(
                    "event=upstream_gone upstream={} lapsed={lapsed}",
                    change.key
                );
                if lapsed {
                    upstreams.remove(&change.key, expires_at);
                } else {
                    upstreams.remove_at(now, &change.key, change.version);
                }
            }
        }
    }
    if complete {
        if expires_at.is_none() {
            let is_absent = |id: &UpstreamId| listed.iter().all(|entry| entry.id != *id);
            let absent: Vec<UpstreamId> = upstreams
                .ids()
                .filter(|id| is_absent(id))
                .cloned()
                .collect();
            for id in absent {
                log::info!("event=upstream_gone upstream={id} lapsed=false");
                upstreams.remove_at(now, &id, version);
            }
        }
        upstreams.replace(listed, expires_at);
    }
    for id in upstreams.remove_expired(now) {
        gateway.loads.borrow_mut().remove_prefill_queue(&id);
    }
    let is_known = !upstreams.is_empty();
    drop(upstreams);
    if is_known {
        gateway.record_start_phase(StartPhase::Upstreams);
    }
    for (id, started_ms, version, statement) in claims {
        record_row(gateway, &id, started_ms, version, &statement);
    }
    share_rates(gateway);
}

fn apply_nodes(gateway: &Gateway, changes: Vec<TableChange>, complete: bool) {
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for change in changes {
        let Some(value) = change.value else {
            continue;
        };
        match postcard::from_bytes::<RosterEntry>(&value) {
            Ok(entry) if entry.node == gateway.settings.node => {}
            Ok(entry) => fleet.roster_mut().record_listing(now, entry),
            Err(error) => {
                log::warn!(
                    "event=node_row_unreadable node={} error=\"{error}\"",
                    change.key
                );
            }
        }
    }
    if complete {
        fleet.roster_mut().record_whole_listing();
    }
}
