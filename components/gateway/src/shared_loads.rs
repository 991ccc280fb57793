//! Shares each node's load on the engines. A node reports its own requests to a
//! few relay nodes, and one of them answers with the sums over all other nodes. So
//! a node that isn't a relay sends and receives a few datagrams at a time, whatever
//! the size of the fleet.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use dispatch::{ReportedLoad, select_relays};
use serde::{Deserialize, Serialize};
use smol::Async;
use types::NodeId;

use crate::{
    peers::{PeerDatagram, send_datagram},
    state::Gateway,
};

/// Shortest pause between two reports. A fully loaded engine starts to decode another
/// answer about this often, so its load changes no faster.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Largest rate of reports to a relay, whatever the size of the fleet. Handling them
/// takes a hundredth of a core.
const RELAY_REPORTS_PER_SECOND_MAX: u32 = 1000;
/// Engines per datagram of sums, so that it fits into one packet of usual size.
const SUMS_PER_DATAGRAM_MAX: usize = 60;

/// Load of a node's own requests on each engine, sent to a relay.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoadReport {
    node: NodeId,
    /// Whether the relay should answer with the sums over all other nodes.
    wants_sums: bool,
    loads: Vec<ReportedLoad>,
}

/// Load of all other nodes' requests on each engine, or one datagram's share of it.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LoadSums {
    /// Whether these loads continue those of the previous datagram; otherwise they
    /// start a new set.
    continues: bool,
    /// Whether another datagram follows; the sums take effect once all have arrived.
    more: bool,
    loads: Vec<ReportedLoad>,
}

/// Reports the load of this node's requests to the relays at intervals.
pub(crate) async fn report_loads(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let (targets, other_nodes) = relay_targets(&gateway);
        gateway
            .loads
            .borrow_mut()
            .sample_strict_requests(gateway.now());
        let loads = gateway.loads.borrow().own_report();
        for (target, wants_sums) in targets {
            let report = LoadReport {
                node: gateway.settings.node.clone(),
                wants_sums,
                loads: loads.clone(),
            };
            send_datagram(&socket, &[target], &PeerDatagram::Loads(report)).await;
        }
        let pause = Duration::from_secs(1) * other_nodes / RELAY_REPORTS_PER_SECOND_MAX;
        gateway.clock.sleep(pause.max(REPORT_PAUSE)).await;
    }
}

/// Returns the relays' addresses, each with whether it is asked for the sums, and
/// the number of other live nodes.
fn relay_targets(gateway: &Gateway) -> (Vec<(SocketAddr, bool)>, u32) {
    let now = gateway.now();
    let roster = gateway.roster.borrow();
    let own = gateway.own_entry();
    let relays = select_relays(&own, roster.live(now));
    let asked = gateway
        .relay_selector
        .borrow_mut()
        .relay_to_ask(now, relays.len());
    let targets = relays
        .iter()
        .enumerate()
        .map(|(index, relay)| (relay.peer_address, asked == Some(index)));
    let other_nodes = u32::try_from(roster.live(now).count()).unwrap_or(u32::MAX);
    (targets.collect(), other_nodes)
}

/// Records another node's report and, if asked, answers with the sums over all
/// nodes except that one.
pub(crate) async fn handle_report(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    report: LoadReport,
) {
    let Some(sums) = record_report(gateway, report) else {
        return;
    };
    let datagrams = sums.len().div_ceil(SUMS_PER_DATAGRAM_MAX).max(1);
    for index in 0..datagrams {
        let loads = sums
            .iter()
            .skip(index * SUMS_PER_DATAGRAM_MAX)
            .take(SUMS_PER_DATAGRAM_MAX);
        let sums = LoadSums {
            continues: index > 0,
            more: index + 1 < datagrams,
            loads: loads.cloned().collect(),
        };
        send_datagram(socket, &[from], &PeerDatagram::Sums(sums)).await;
    }
}

/// Records a report. Returns the sums over all nodes except its sender if it asks
/// for them.
fn record_report(gateway: &Gateway, report: LoadReport) -> Option<Vec<ReportedLoad>> {
    let now = gateway.now();
    let mut loads = gateway.loads.borrow_mut();
    loads.record_peer_report(now, &report.node, report.loads);
    report
        .wants_sums
        .then(|| loads.aggregate_excluding(now, &report.node))
}

/// Records the sums that a relay sent.
pub(crate) fn handle_sums(gateway: &Gateway, sums: LoadSums) {
    let mut loads = gateway.loads.borrow_mut();
    loads.record_aggregate(gateway.now(), sums.continues, sums.more, sums.loads);
    gateway.relay_selector.borrow_mut().record_answer();
}
