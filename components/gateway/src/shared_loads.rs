//! What all nodes together have at engines: each node reports its own requests
//! to a few relays, and one of them answers with the sums of the others. So a
//! node sends and gets a few datagrams at a time, whatever the fleet's size.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use dispatch::{PeerLoad, select_relays};
use serde::{Deserialize, Serialize};
use smol::Async;
use types::NodeId;

use crate::{
    peers::{PeerNews, send_datagram},
    state::Gateway,
};

/// Pause between two reports: about the time in which an engine starts to
/// write another answer at full load.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Reports that a relay takes a second at most, whatever the fleet's size: a
/// hundredth of a core.
const REPORTS_PER_SECOND: u32 = 1000;
/// Engines in one datagram of sums, so that it fits a usual packet.
const SUMS_MAX: usize = 60;

/// A node's requests at engines, for a relay.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoadReport {
    node: NodeId,
    /// Whether the sums of the others are wanted.
    asks: bool,
    loads: Vec<PeerLoad>,
}

/// The sums of all other nodes' requests, or a part of them.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoadSums {
    /// Whether this adds to the datagrams before.
    continues: bool,
    /// Whether more follows; the sums count once they are whole.
    more: bool,
    loads: Vec<PeerLoad>,
}

/// Reports this node's requests at regular times.
pub(crate) async fn report_loads(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let (targets, size) = relays_to_ask(&gateway);
        gateway
            .loads
            .borrow_mut()
            .sample_strict_requests(gateway.now());
        let loads = gateway.loads.borrow().own_loads();
        for (target, asks) in targets {
            let report = LoadReport {
                node: gateway.settings.node.clone(),
                asks,
                loads: loads.clone(),
            };
            send_datagram(&socket, &[target], &PeerNews::Loads(report)).await;
        }
        let pause = Duration::from_secs(1) * size / REPORTS_PER_SECOND;
        gateway.clock.sleep(pause.max(REPORT_PAUSE)).await;
    }
}

/// Relays, each with whether it is asked for the sums, and the fleet's size.
fn relays_to_ask(gateway: &Gateway) -> (Vec<(SocketAddr, bool)>, u32) {
    let now = gateway.now();
    let roster = gateway.roster.borrow();
    let own = gateway.own_entry();
    let relays = select_relays(&own, roster.live(now));
    let asked = gateway.relay.borrow_mut().next_relay(now, relays.len());
    let targets = relays
        .iter()
        .enumerate()
        .map(|(index, relay)| (relay.peer_address, asked == Some(index)));
    let size = u32::try_from(roster.live(now).count()).unwrap_or(u32::MAX);
    (targets.collect(), size)
}

/// Takes over another node's report, and answers with the sums of the others.
pub(crate) async fn take_report(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    report: LoadReport,
) {
    let Some(sums) = note_report(gateway, report) else {
        return;
    };
    let parts = sums.len().div_ceil(SUMS_MAX).max(1);
    for part in 0..parts {
        let loads = sums.iter().skip(part * SUMS_MAX).take(SUMS_MAX);
        let sums = LoadSums {
            continues: part > 0,
            more: part + 1 < parts,
            loads: loads.cloned().collect(),
        };
        send_datagram(socket, &[from], &PeerNews::Sums(sums)).await;
    }
}

/// Takes over a report; the sums of the others when they are wanted.
fn note_report(gateway: &Gateway, report: LoadReport) -> Option<Vec<PeerLoad>> {
    let now = gateway.now();
    let mut loads = gateway.loads.borrow_mut();
    loads.record_peer_report(now, &report.node, report.loads);
    report
        .asks
        .then(|| loads.aggregate_excluding(now, &report.node))
}

/// Takes over the sums of a relay.
pub(crate) fn take_sums(gateway: &Gateway, sums: LoadSums) {
    let mut loads = gateway.loads.borrow_mut();
    loads.record_aggregate(gateway.now(), sums.continues, sums.more, sums.loads);
    gateway.relay.borrow_mut().record_answer();
}
