//! Connects to upstreams only to learn whether they are reached.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::ProbeOutcome;
use rand::seq::IndexedRandom;
use smol::channel::{Sender, bounded};
use types::UpstreamId;

use crate::{client::connect_from, state::Gateway};

/// Time after which an upstream that has not accepted a probe counts as not reached;
/// several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Other upstreams that a node tries to prove that it reaches any.
const PROOF_SAMPLE: usize = 4;

/// Connects to an upstream and reports the outcome, unless nobody waits for it any more.
pub(crate) async fn report_probe(
    gateway: Rc<Gateway>,
    id: UpstreamId,
    sender: Sender<(UpstreamId, ProbeOutcome)>,
) {
    let outcome = probe_upstream(&gateway, &id).await;
    sender.send((id, outcome)).await.ok();
}

/// Connects to an upstream and closes the connection again.
pub(crate) async fn probe_upstream(gateway: &Gateway, id: &UpstreamId) -> ProbeOutcome {
    let address = {
        let upstreams = gateway.upstreams.borrow();
        upstreams.get(id).map(|health| health.entry.address)
    };
    let Some(address) = address else {
        return ProbeOutcome::Unknown;
    };
    let outcome = probe_address(gateway, address).await;
    if outcome == ProbeOutcome::Reached {
        let now = gateway.now();
        gateway.upstreams.borrow_mut().record_contact(now, id);
    }
    outcome
}

/// Connects to an address, which need not be that of a known upstream, and closes the
/// connection again.
pub(crate) async fn probe_address(gateway: &Gateway, address: SocketAddr) -> ProbeOutcome {
    let connecting = connect_from(gateway.source(), address);
    match gateway.clock.timeout(PROBE_TIMEOUT, connecting).await {
        Some(Ok(_)) => ProbeOutcome::Reached,
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ProbeOutcome::Refused
        }
        Some(Err(_)) | None => ProbeOutcome::Unknown,
    }
}

/// Connects to an upstream. A refusal counts only if this node reaches another upstream
/// right then: behind a cut, connections are refused as well.
pub(crate) async fn probe_with_proof(gateway: &Rc<Gateway>, id: &UpstreamId) -> ProbeOutcome {
    let started = gateway.now();
    let outcome = probe_upstream(gateway, id).await;
    if outcome != ProbeOutcome::Refused || reaches_another(gateway, id, started).await {
        outcome
    } else {
        ProbeOutcome::Unknown
    }
}

/// Returns whether this node has reached an upstream other than `id` since `since`, or
/// reaches one now.
async fn reaches_another(gateway: &Rc<Gateway>, id: &UpstreamId, since: Instant) -> bool {
    let others: Vec<UpstreamId> = {
        let upstreams = gateway.upstreams.borrow();
        if upstreams.is_reached_since(since, None, Some(id)) {
            return true;
        }
        let others: Vec<&UpstreamId> = upstreams.ids().filter(|other| *other != id).collect();
        let mut rng = gateway.rng.borrow_mut();
        let sample = others.sample(&mut *rng, PROOF_SAMPLE);
        sample.map(|other| (*other).clone()).collect()
    };
    let (sender, probed) = bounded(others.len().max(1));
    for other in others {
        let probing = report_probe(Rc::clone(gateway), other, sender.clone());
        gateway.executor.spawn(probing).detach();
    }
    drop(sender);
    while let Ok((_, outcome)) = probed.recv().await {
        if outcome == ProbeOutcome::Reached {
            return true;
        }
    }
    false
}
