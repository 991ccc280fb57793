//! Request rates that upstreams name: learned from answers, told to all nodes, and
//! divided among them.

use dispatch::{FleetShare, NewsItem, RateNotice};
use types::{NodeId, UpstreamId};

use crate::{
    AnswerHead, RateStatement, cold::update_cold, datagrams::PeerDatagram, leg::UpstreamAttempt,
    state::Gateway,
};

/// Records what an answer says of the requests that its upstream takes, and tells all
/// nodes if it is new.
pub(crate) fn record_rate(gateway: &Gateway, attempt: &UpstreamAttempt, head: &AnswerHead) {
    let limit = match head.rate {
        RateStatement::Limited(limit) => Some(limit),
        // An answer that isn't surely the upstream's own, or turns a request away, ends no
        // limit.
        RateStatement::Unlimited if head.signed => None,
        RateStatement::Unlimited | RateStatement::Unclear => return,
    };
    let id = &attempt.upstream;
    let notice = gateway.upstreams.borrow_mut().observe_rate(
        gateway.now(),
        id,
        attempt.started_ms,
        attempt.registered_at,
        limit,
    );
    if let Some(notice) = notice {
        log_rate(id, notice, "answer");
        publish_rate(gateway, id, notice);
        gateway.queue_datagram(PeerDatagram::Rate(id.clone(), notice));
    }
}

/// Takes over what another node has learned of an upstream's rate.
pub(crate) fn receive_rate(gateway: &Gateway, id: &UpstreamId, notice: RateNotice) {
    let is_new = gateway
        .upstreams
        .borrow_mut()
        .apply_rate(gateway.now(), id, notice);
    if is_new {
        log_rate(id, notice, "peer");
        publish_rate(gateway, id, notice);
    }
}

fn publish_rate(gateway: &Gateway, id: &UpstreamId, notice: RateNotice) {
    let item = NewsItem::Rate(id.clone(), notice);
    gateway.fleet.borrow_mut().publish(gateway.now(), item);
    share_rates(gateway);
}

fn log_rate(id: &UpstreamId, notice: RateNotice, source: &str) {
    match notice.limit {
        Some(limit) => log::info!(
            "event=upstream_limited upstream={id} limit={} source={source}",
            f64::from(limit) / 1e3
        ),
        None => log::info!("event=upstream_unlimited upstream={id} source={source}"),
    }
}

/// Divides the rates among the nodes that this one knows of, several times a second and
/// whenever more is known of a rate or of an upstream that warms up.
pub(crate) fn share_rates(gateway: &Gateway) {
    let now = gateway.now();
    update_cold(gateway, now);
    let own = &gateway.settings.node;
    let fleet = gateway.fleet.borrow();
    let others = fleet.roster().recent(now).map(|entry| &entry.node);
    let known = others.filter(|node| *node != own).chain([own]).cloned();
    let (nodes, standing) = gateway.contact.borrow_mut().tick(now, known.collect());
    if !gateway.upstreams.borrow().has_limits() {
        return;
    }
    let nodes: Vec<&NodeId> = nodes.iter().collect();
    let share = FleetShare {
        own,
        nodes: &nodes,
        standing,
    };
    gateway.upstreams.borrow_mut().share_rates(now, &share);
}
