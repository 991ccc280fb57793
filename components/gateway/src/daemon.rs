//! Composes a gateway and runs it until it is told to stop.

use std::{
    io,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use kernel::ClockSource;
use smol::{Async, LocalExecutor, channel};

use crate::{
    GatewaySettings, WatchedTable, WireDialect,
    client::PlainCaller,
    listen::{ListenRole, closing, listen},
    peers::{PeerNews, receive_news, send_news, send_summaries},
    shared_loads::report_loads,
    state::Gateway,
    sync::follow,
};

/// News that wait to be sent.
const OUTBOX_SIZE: usize = 256;
/// Time for the store to take a row of this node's own.
const ROW_TIME: Duration = Duration::from_millis(900);
/// Pauses between attempts to write it.
const ROW_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks at what has grown old.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);
/// Part of the time to stop that is left for the last answers to get out.
const END_SHARE: f64 = 0.92;
/// Pause between two looks at whether everything has ended.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM has been carried out.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub fn run_gateway(settings: GatewaySettings, dialect: Rc<dyn WireDialect>) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let running = Rc::clone(&executor);
    smol::block_on(running.run(run(settings, dialect, executor)))
}

async fn run(
    settings: GatewaySettings,
    dialect: Rc<dyn WireDialect>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let (outbox, news) = channel::bounded(OUTBOX_SIZE);
    let (stop, stopping) = channel::bounded(1);
    let life = SystemTime::now()
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
    let gateway = Rc::new(Gateway::new(
        settings,
        dialect,
        Rc::clone(&executor),
        ClockSource::System,
        life,
        outbox,
        stopping,
    ));
    let mut signals = Signals::new([Signal::Term, Signal::Hup])?;
    let socket = Rc::new(Async::<UdpSocket>::bind(gateway.settings.peers)?);
    spawn_listeners(&gateway)?;
    for table in [
        WatchedTable::Desired,
        WatchedTable::Upstreams,
        WatchedTable::Nodes,
    ] {
        executor.spawn(follow(Rc::clone(&gateway), table)).detach();
    }
    executor
        .spawn(receive_news(Rc::clone(&gateway), Rc::clone(&socket)))
        .detach();
    executor
        .spawn(send_news(Rc::clone(&gateway), Rc::clone(&socket), news))
        .detach();
    executor
        .spawn(send_summaries(Rc::clone(&gateway), Rc::clone(&socket)))
        .detach();
    executor
        .spawn(report_loads(Rc::clone(&gateway), Rc::clone(&socket)))
        .detach();
    executor.spawn(write_own_row(Rc::clone(&gateway))).detach();
    executor.spawn(sweep(Rc::clone(&gateway))).detach();
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Term => break,
            other => log::info!("event=reload signal={other:?} outcome=nothing_to_change"),
        }
    }
    stop_gracefully(&gateway, stop).await;
    Ok(())
}

/// Binds all addresses before anything is served, so that a node that lacks
/// one fails as a whole.
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
        bound.push((listener, role));
    }
    for (listener, role) in bound {
        let listening = listen(Rc::clone(gateway), listener, role);
        gateway.executor.spawn(listening).detach();
    }
    Ok(())
}

/// Enters this node into the store, so that others find it.
async fn write_own_row(gateway: Rc<Gateway>) {
    let entry = gateway.own_entry();
    let Ok(value) = postcard::to_stdvec(&entry) else {
        log::error!("event=row_unencodable node={}", entry.node);
        return;
    };
    let mut caller = PlainCaller::new(Rc::clone(&gateway.executor), gateway.settings.store);
    loop {
        let call = gateway.dialect.put_node_call(&entry.node, &value);
        match gateway.clock.timeout(ROW_TIME, caller.call(call)).await {
            Some(Ok((status, _))) if status.is_success() => return,
            other => log::warn!("event=row_not_written node={} answer={other:?}", entry.node),
        }
        gateway.clock.sleep(ROW_PAUSE).await;
    }
}

/// Forgets what has grown old.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(SWEEP_PAUSE).await;
        let now = gateway.now();
        gateway.pool.borrow_mut().expire(now);
        for id in gateway.upstreams.borrow_mut().remove_expired(now) {
            log::info!("event=upstream_gone upstream={id} lapsed=true");
            gateway.loads.borrow_mut().remove_engine(&id);
        }
        for entry in gateway.roster.borrow_mut().remove_expired(now) {
            gateway.loads.borrow_mut().remove_peer(&entry.node);
        }
    }
}

/// Leaves the address answers at once, serves those who still have an old
/// one, and ends when nobody is connected or the time is over.
async fn stop_gracefully(gateway: &Rc<Gateway>, stop: channel::Sender<()>) {
    let since = gateway.now();
    gateway.leaving.set(Some(since));
    log::info!("event=stopping node={}", gateway.settings.node);
    let node = gateway.settings.node.clone();
    gateway.tell(PeerNews::Left(node, gateway.life));
    let removal = remove_own_row(Rc::clone(gateway));
    gateway.executor.spawn(removal).detach();
    while !closing(gateway) {
        gateway.clock.sleep(STOP_PAUSE).await;
    }
    drop(stop);
    let end = gateway.settings.grace.mul_f64(END_SHARE);
    while gateway.callers.get() > 0 && gateway.now().saturating_duration_since(since) < end {
        gateway.clock.sleep(STOP_PAUSE).await;
    }
    log::info!(
        "event=stopped node={} open_connections={}",
        gateway.settings.node,
        gateway.callers.get()
    );
}

async fn remove_own_row(gateway: Rc<Gateway>) {
    let mut caller = PlainCaller::new(Rc::clone(&gateway.executor), gateway.settings.store);
    let call = gateway.dialect.remove_node_call(&gateway.settings.node);
    let answer = gateway.clock.timeout(ROW_TIME, caller.call(call)).await;
    if !matches!(&answer, Some(Ok((status, _))) if status.is_success()) {
        log::warn!("event=row_not_removed answer={answer:?}");
    }
}
