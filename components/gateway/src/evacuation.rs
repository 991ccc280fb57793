//! Zones that the operator evacuates: read from the store, told to other nodes, and
//! shown to the operator.

use std::time::{Duration, Instant};

use dispatch::{EvacuationNotice, VersionSource};
use serde::{Deserialize, Serialize};
use types::ZoneId;

use crate::{
    TableChange, WatchedTable,
    reports::millis,
    state::Gateway,
    supplements::{Supplement, SupplementKind},
    sync::poller_timeout,
};

/// Zones in one supplement, so that it fits into one packet: names of zones have at most
/// 200 bytes, usually far fewer.
const ZONES_PER_SUPPLEMENT: usize = 4;

/// What a node knows of evacuated zones.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EvacuationKnowledge {
    /// Milliseconds since the store confirmed this to the sender, or to the node that it
    /// has it from; `None` if no store ever did.
    age_ms: Option<u32>,
    notices: Vec<EvacuationNotice>,
}

/// Returns whether a node that tells this one watches the evacuations in the store.
pub(crate) fn has_store_poller(gateway: &Gateway, now: Instant) -> bool {
    let timeout = poller_timeout(gateway, WatchedTable::Desired);
    let freshness = gateway.evacuation_freshness.borrow();
    freshness.has_store_poller(now, timeout)
}

/// Takes over rows of the operator's table: a zone is evacuated while its row exists.
pub(crate) fn apply_evacuation_rows(
    gateway: &Gateway,
    changes: &[TableChange],
    complete: bool,
    version: u64,
) {
    let now = gateway.now();
    let notices: Vec<EvacuationNotice> = changes
        .iter()
        .filter_map(|change| {
            let zone = gateway.dialect.evacuated_zone(&change.key)?;
            Some(EvacuationNotice {
                zone,
                version: change.version,
                evacuated: change.value.is_some(),
            })
        })
        .collect();
    let mut freshness = gateway.evacuation_freshness.borrow_mut();
    let known = freshness.version();
    let is_copy = known.is_some_and(|known| !gateway.dialect.is_same_history(known, version));
    freshness.confirm(now, version, VersionSource::Store);
    let mut upstreams = gateway.upstreams.borrow_mut();
    let table = upstreams.evacuations_mut();
    let applied = if complete {
        table.replace(now, &notices, version, is_copy)
    } else {
        notices
            .into_iter()
            .filter(|notice| table.apply(notice))
            .collect()
    };
    drop(upstreams);
    for notice in applied {
        log_change(gateway, &notice, "store");
    }
}

/// Ends evacuations that a store back from a copy has lost and that the operator has not
/// written again.
pub(crate) fn expire_evacuations(gateway: &Gateway, now: Instant) {
    let version = gateway.evacuation_freshness.borrow().version();
    let mut upstreams = gateway.upstreams.borrow_mut();
    let table = upstreams.evacuations_mut();
    for zone in table.expire(now, version.unwrap_or_default()) {
        log::warn!("event=evacuation_lapsed zone={zone} reason=\"not written again\"");
    }
}

/// Returns what this node tells others of evacuations.
pub(crate) fn evacuation_supplements(gateway: &Gateway, now: Instant) -> Vec<Supplement> {
    let age = gateway.evacuation_freshness.borrow().confirmed_age(now);
    let upstreams = gateway.upstreams.borrow();
    let notices: Vec<EvacuationNotice> = upstreams.evacuations().notices().collect();
    let encode = |notices: &[EvacuationNotice], age: Option<Duration>| {
        let knowledge = EvacuationKnowledge {
            age_ms: age.map(millis),
            notices: notices.to_vec(),
        };
        Supplement::encode(SupplementKind::Evacuations, &knowledge)
    };
    // The age counts for all zones, so it comes with the last supplement only.
    let mut chunks: Vec<&[EvacuationNotice]> = notices.chunks(ZONES_PER_SUPPLEMENT).collect();
    let last = chunks.pop().unwrap_or_default();
    let first = chunks.into_iter().filter_map(|chunk| encode(chunk, None));
    first.chain(encode(last, age)).collect()
}

/// Takes over what another node knows of evacuations.
pub(crate) fn receive_evacuations(gateway: &Gateway, knowledge: EvacuationKnowledge) {
    let now = gateway.now();
    for notice in knowledge.notices {
        let changed = gateway
            .upstreams
            .borrow_mut()
            .evacuations_mut()
            .apply(&notice);
        if changed {
            log_change(gateway, &notice, "peer");
        }
    }
    let age = knowledge
        .age_ms
        .map(|age| Duration::from_millis(age.into()));
    if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
        gateway
            .evacuation_freshness
            .borrow_mut()
            .record_store_poller(at);
    }
}

/// Returns the number of this node's requests that are in flight at upstreams of each
/// evacuated zone.
pub(crate) fn requests_in_evacuated_zones(gateway: &Gateway) -> Vec<(ZoneId, i64)> {
    let upstreams = gateway.upstreams.borrow();
    let loads = gateway.loads.borrow();
    let evacuated = upstreams.evacuations().evacuated();
    evacuated
        .map(|zone| {
            let entries = upstreams.entries().filter(|entry| entry.zone == *zone);
            let running = entries.map(|entry| i64::from(loads.own_requests(&entry.id)));
            (zone.clone(), running.sum())
        })
        .collect()
}

fn log_change(gateway: &Gateway, notice: &EvacuationNotice, source: &str) {
    let EvacuationNotice { zone, version, .. } = notice;
    if !notice.evacuated {
        log::info!("event=zone_taken_back zone={zone} version={version} source={source}");
        return;
    }
    let upstreams = gateway.upstreams.borrow();
    let affected = upstreams.entries().filter(|entry| entry.zone == *zone);
    let affected = affected.count();
    log::info!(
        "event=zone_evacuated zone={zone} version={version} source={source} upstreams={affected}"
    );
    if affected == 0 && !upstreams.is_empty() {
        log::warn!("event=evacuation_without_upstreams zone={zone}");
    }
}
