//! Assembles a gateway and runs it until SIGTERM.

use std::{
    io,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_signal::{Signal, Signals};
use dispatch::RowSchedule;
use futures_lite::StreamExt;
use smol::{Async, LocalExecutor, channel};

use crate::{
    GatewaySettings, WatchedTable, WireDialect,
    callers::watch_connections,
    client::PlainCaller,
    crashes::keep_quarantine,
    datagrams::{receive_datagrams, send_queued_datagrams},
    evacuation::expire_evacuations,
    listen::{ListenRole, limit_receive_buffer, listen},
    reports::{is_relay, send_reports},
    state::Gateway,
    stop::{StopNotices, stop_gracefully},
    sync::{ROW_WAIT, wait_for_fleet, watch_table},
};

/// Capacity of the queue of outgoing datagrams.
const OUTBOX_CAPACITY: usize = 256;
/// Timeout of a call that writes or removes this node's row in the store.
const ROW_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause between attempts to write the row.
const ROW_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a node checks whether it has become a relay.
const RELAY_CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which expired entries are removed.
const EXPIRY_PAUSE: Duration = Duration::from_secs(1);

/// Runs a gateway until SIGTERM, and then until it has stopped gracefully.
///
/// # Errors
///
/// Returns an error if an address can't be bound or signals can't be handled.
pub fn run_gateway(settings: GatewaySettings, dialect: Rc<dyn WireDialect>) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let running = Rc::clone(&executor);
    smol::block_on(running.run(run_until_stopped(settings, dialect, executor)))
}

async fn run_until_stopped(
    settings: GatewaySettings,
    dialect: Rc<dyn WireDialect>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let (outbox, queued) = channel::bounded(OUTBOX_CAPACITY);
    let (stop_triggers, stop_notices) = StopNotices::new();
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        });
    log::info!(
        "event=started node={} zone={} callers={} store={}",
        settings.node,
        settings.zone,
        settings.callers,
        settings.store,
    );
    let socket = Rc::new(Async::<UdpSocket>::bind(settings.peers)?);
    let gateway = Rc::new(Gateway::new(
        settings,
        dialect,
        Rc::clone(&executor),
        incarnation,
        Rc::clone(&socket),
        outbox,
        stop_notices,
    ));
    let mut signals = Signals::new([Signal::Term, Signal::Hup])?;
    spawn_listeners(&gateway)?;
    for table in [
        WatchedTable::Desired,
        WatchedTable::Upstreams,
        WatchedTable::Nodes,
        WatchedTable::Quarantine,
    ] {
        executor
            .spawn(watch_table(Rc::clone(&gateway), table))
            .detach();
    }
    executor
        .spawn(receive_datagrams(Rc::clone(&gateway), Rc::clone(&socket)))
        .detach();
    executor
        .spawn(send_queued_datagrams(
            Rc::clone(&gateway),
            Rc::clone(&socket),
            queued,
        ))
        .detach();
    executor
        .spawn(send_reports(Rc::clone(&gateway), Rc::clone(&socket)))
        .detach();
    executor.spawn(keep_own_row(Rc::clone(&gateway))).detach();
    executor
        .spawn(keep_quarantine(Rc::clone(&gateway)))
        .detach();
    executor
        .spawn(expire_periodically(Rc::clone(&gateway)))
        .detach();
    executor
        .spawn(watch_connections(Rc::clone(&gateway)))
        .detach();
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Term => break,
            other => log::info!("event=reload signal={other:?} outcome=nothing_to_change"),
        }
    }
    stop_gracefully(&gateway, stop_triggers).await;
    Ok(())
}

/// Binds all addresses before serving any, so that the start fails as a whole if
/// one can't be bound.
fn spawn_listeners(gateway: &Rc<Gateway>) -> io::Result<()> {
    let settings = &gateway.settings;
    let listeners = [
        (Some(settings.callers), ListenRole::Callers),
        (settings.readiness, ListenRole::Readiness),
        (settings.directory, ListenRole::Directory),
        (Some(settings.peers), ListenRole::Peers),
        (settings.metrics, ListenRole::Metrics),
    ];
    let mut bound = Vec::new();
    for (address, role) in listeners {
        let Some(address) = address else {
            continue;
        };
        let listener = Async::<TcpListener>::bind(address).map_err(|error| {
            io::Error::new(
                error.kind(),
                format!("listen as {role:?} on {address}: {error}"),
            )
        })?;
        limit_receive_buffer(&listener);
        bound.push((listener, role));
    }
    for (listener, role) in bound {
        let listening = listen(Rc::clone(gateway), listener, role);
        gateway.executor.spawn(listening).detach();
    }
    Ok(())
}

/// Writes this node's row to the store while it is a relay, so that nodes that know no
/// other find it. Writes it again if the store lost it.
async fn keep_own_row(gateway: Rc<Gateway>) {
    wait_for_fleet(&gateway, ROW_WAIT).await;
    let entry = gateway.own_entry();
    let Ok(value) = postcard::to_stdvec(&entry) else {
        log::error!("event=row_unencodable node={}", entry.node);
        return;
    };
    let mut caller = PlainCaller::new(&gateway, gateway.settings.store);
    loop {
        if gateway.row_schedule.get().is_written() || !is_relay(&gateway) {
            gateway.clock.sleep(RELAY_CHECK_PAUSE).await;
            continue;
        }
        let call = gateway
            .dialect
            .put_row_call(WatchedTable::Nodes, &entry.node, &value);
        match gateway
            .clock
            .timeout(ROW_CALL_TIMEOUT, caller.call(call))
            .await
        {
            Some(Ok(answer)) if answer.status().is_success() => {
                gateway.update_row_schedule(RowSchedule::record_written);
            }
            other => {
                log::warn!("event=row_not_written node={} answer={other:?}", entry.node);
                gateway.clock.sleep(ROW_RETRY_PAUSE).await;
            }
        }
    }
}

/// Removes expired connections, upstreams and nodes at intervals.
async fn expire_periodically(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(EXPIRY_PAUSE).await;
        let now = gateway.now();
        gateway.pool.borrow_mut().expire(now);
        expire_evacuations(&gateway, now);
        for id in gateway.upstreams.borrow_mut().remove_expired(now) {
            log::info!("event=upstream_gone upstream={id} lapsed=true");
            gateway.loads.borrow_mut().remove_prefill_queue(&id);
        }
        for entry in gateway.fleet.borrow_mut().roster_mut().remove_expired(now) {
            gateway.loads.borrow_mut().remove_peer(&entry.node);
        }
    }
}

/// Removes this node's row from the store, so that no other meets it there.
pub(crate) async fn remove_own_row(gateway: Rc<Gateway>) {
    let mut caller = PlainCaller::new(&gateway, gateway.settings.store);
    let node = &gateway.settings.node;
    let call = gateway.dialect.remove_row_call(WatchedTable::Nodes, node);
    let answer = gateway
        .clock
        .timeout(ROW_CALL_TIMEOUT, caller.call(call))
        .await;
    if !matches!(&answer, Some(Ok(answer)) if answer.status().is_success()) {
        log::warn!("event=row_not_removed answer={answer:?}");
    }
}
