//! Upstreams that warm up: what rows, answers and other nodes say of it, and what other
//! nodes are told.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dispatch::{ColdChange, ColdClaim, ColdSource};
use http::StatusCode;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use types::UpstreamId;

use crate::{
    AnswerHead, ColdStatement,
    leg::UpstreamAttempt,
    rates::share_rates,
    reports::millis,
    state::Gateway,
    supplements::{Supplement, SupplementKind},
};

/// Claims in one supplement. One takes up to 26 bytes; ten fit into a report beside the
/// loads of a hundred engines.
const CLAIMS_PER_SUPPLEMENT: usize = 10;

/// What a node knows of the warm-up of an upstream's process, for other nodes.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct ColdNotice {
    /// Hash of the upstream's id and the start of its process.
    process: u64,
    /// Version of the row that says so; `None` if it was an answer.
    row_version: Option<u64>,
    /// Milliseconds since the claim was read.
    age_ms: u32,
    /// Milliseconds for which the upstream was cold then; 0 if it was warm.
    remaining_ms: u32,
}

/// What a node knows of some of the upstreams that warm up.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ColdKnowledge {
    notices: Vec<ColdNotice>,
}

/// Records what a row says of the warm-up of its upstream.
pub(crate) fn record_row(
    gateway: &Gateway,
    id: &UpstreamId,
    started_ms: Option<u64>,
    version: u64,
    statement: &ColdStatement,
) {
    record_statement(gateway, id, started_ms, ColdSource::Row(version), statement);
}

/// Records what an answer says of the warm-up of its upstream. One from another process
/// than the request was meant for takes nothing from the upstream's rate.
pub(crate) fn record_answer(
    gateway: &Gateway,
    attempt: &UpstreamAttempt,
    status: StatusCode,
    head: &AnswerHead,
) {
    let id = &attempt.upstream;
    if status == StatusCode::MISDIRECTED_REQUEST {
        gateway.upstreams.borrow_mut().return_send(id);
    } else if head.signed {
        let source = ColdSource::Answer;
        if record_statement(gateway, id, attempt.started_ms, source, &head.cold) {
            share_rates(gateway);
        }
    }
}

fn record_statement(
    gateway: &Gateway,
    id: &UpstreamId,
    started_ms: Option<u64>,
    source: ColdSource,
    statement: &ColdStatement,
) -> bool {
    let remaining = match statement {
        ColdStatement::Silent => return false,
        ColdStatement::Remaining(remaining) => *remaining,
        ColdStatement::Unclear(value) => {
            let mut reported = gateway.unclear_claims.borrow_mut();
            if reported.insert(id.clone()) {
                log::warn!(
                    "event=cold_claim_unreadable upstream={id} source={} value={value:?}",
                    source.label()
                );
            }
            return false;
        }
    };
    let claim = ColdClaim {
        source,
        made_at: gateway.now(),
        remaining,
    };
    let mut upstreams = gateway.upstreams.borrow_mut();
    upstreams.record_cold(id, started_ms, claim)
}

/// Determines which upstreams are cold, and logs those that have turned cold or warm.
pub(crate) fn update_cold(gateway: &Gateway, now: Instant) {
    let Some(tolerance) = &gateway.settings.cold_tolerance else {
        return;
    };
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        });
    let routes = gateway.routes.borrow();
    let services = &routes.state().services;
    let mut upstreams = gateway.upstreams.borrow_mut();
    let changes = upstreams.update_cold(now, unix_ms, tolerance, |service| {
        services.get(service)?.cold.as_ref()
    });
    let count = upstreams.cold_count(now);
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    gateway.metrics.cold_upstreams.set(count);
    for (id, change) in changes {
        match change {
            ColdChange::Cold(source, left) => log::info!(
                "event=upstream_cold upstream={id} source={} remaining_ms={}",
                source.label(),
                left.as_millis()
            ),
            ColdChange::Warm(source) => {
                log::info!(
                    "event=upstream_warm upstream={id} source={}",
                    source.label()
                );
            }
        }
    }
}

/// Returns what this node tells others of upstreams that warm up, in random order, so that
/// each gets its turn if they don't fit into one datagram.
pub(crate) fn cold_supplements(gateway: &Gateway, now: Instant) -> Vec<Supplement> {
    if gateway.settings.cold_tolerance.is_none() {
        return Vec::new();
    }
    let upstreams = gateway.upstreams.borrow();
    let mut notices: Vec<ColdNotice> = upstreams
        .cold_claims(now)
        .map(|(process, claim)| ColdNotice {
            process,
            row_version: match claim.source {
                ColdSource::Row(version) => Some(version),
                ColdSource::Answer | ColdSource::Start => None,
            },
            age_ms: millis(now.saturating_duration_since(claim.made_at)),
            remaining_ms: millis(claim.remaining),
        })
        .collect();
    notices.shuffle(&mut *gateway.rng.borrow_mut());
    let chunks = notices.chunks(CLAIMS_PER_SUPPLEMENT);
    let knowledge = chunks.map(|chunk| ColdKnowledge {
        notices: chunk.to_vec(),
    });
    knowledge
        .filter_map(|knowledge| Supplement::encode(SupplementKind::ColdUpstreams, &knowledge))
        .collect()
}

/// Takes over what another node knows of upstreams that warm up.
pub(crate) fn receive_cold(gateway: &Gateway, knowledge: ColdKnowledge) {
    let now = gateway.now();
    let mut is_new = false;
    for notice in knowledge.notices {
        let Some(made_at) = now.checked_sub(Duration::from_millis(notice.age_ms.into())) else {
            continue;
        };
        let claim = ColdClaim {
            source: notice
                .row_version
                .map_or(ColdSource::Answer, ColdSource::Row),
            made_at,
            remaining: Duration::from_millis(notice.remaining_ms.into()),
        };
        let mut upstreams = gateway.upstreams.borrow_mut();
        is_new |= upstreams.apply_cold(now, notice.process, claim);
    }
    if is_new {
        share_rates(gateway);
    }
}
