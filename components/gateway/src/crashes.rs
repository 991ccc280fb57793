//! Collects what tells which prompts crash upstreams, shares it with other nodes, and
//! keeps quarantines in the store, so that they outlast the nodes.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use dispatch::{CrashReport, NewsItem, PartStanding, ProbeOutcome, QuarantineRow, SuspectPart};
use types::{PromptPartId, UpstreamId};

use crate::{
    TableChange, WatchedTable, client::PlainCaller, datagrams::PeerDatagram, forward::ForwardJob,
    reach::find_outcome, reports::is_relay, state::Gateway, sync::is_store_poller,
};

/// Pause between two judgements of the known crashes.
const JUDGE_PAUSE: Duration = Duration::from_millis(250);
/// Timeout of a call that changes a row.
const ROW_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Whether the process of an upstream still listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    /// Its host refuses connections of a node that reaches others.
    Ended,
    /// It accepts a connection, of this node or of another, so only an earlier one broke.
    Alive,
    /// No answer, as when its host or the network is lost.
    OutOfReach,
}

/// A request whose connection broke while an upstream may have been running it.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) upstream: UpstreamId,
    /// Start of the upstream's process, in Unix milliseconds, if it publishes it.
    pub(crate) started_ms: Option<u64>,
    /// Another upstream that this node lost at the same moment, if any.
    pub(crate) together_with: Option<UpstreamId>,
    /// Time from the first event of the answer to the break; `None` before that event.
    pub(crate) answered_for: Option<Duration>,
    /// Whether the upstream had answered for too long to have crashed on a part of the
    /// prompt.
    pub(crate) is_proven_sound: bool,
    /// Whether an answer without length or chunks ended with its connection, as it does both
    /// when it is whole and when the process has ended.
    pub(crate) ended_properly: bool,
}

/// Checks whether the upstream of `broken` has crashed, and if so reports the request as a
/// suspect. An upstream that is alive or out of reach has not crashed on a prompt, and one
/// that was to leave has ended as planned.
pub(crate) async fn check_upstream(
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    broken: BrokenAttempt,
) -> bool {
    let was_staying = gateway
        .upstreams
        .borrow()
        .is_staying(&broken.upstream, broken.started_ms);
    let state = match find_outcome(&gateway, &broken.upstream).await {
        ProbeOutcome::Reached => ProcessState::Alive,
        ProbeOutcome::Refused => ProcessState::Ended,
        ProbeOutcome::Unknown => ProcessState::OutOfReach,
    };
    let has_crashed = state == ProcessState::Ended && was_staying;
    if broken.ended_properly && !has_crashed {
        return false;
    }
    log::warn!(
        "event=connection_broken request={} upstream={} process={state:?} staying={was_staying} \
         answered_ms={} {}",
        job.request.caller_attempt_id,
        broken.upstream,
        broken
            .answered_for
            .map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string()),
        job.prompt_label(),
    );
    if has_crashed {
        let report = build_report(&gateway, &job, broken);
        if record_crash(&gateway, &report) {
            let mut quarantine = gateway.quarantine.borrow_mut();
            let log = quarantine.crash_log_mut();
            log.keep_own_report(gateway.now(), report.clone());
            gateway.queue_datagram(PeerDatagram::UpstreamCrashed(report));
        }
    }
    has_crashed
}

fn build_report(gateway: &Gateway, job: &ForwardJob, broken: BrokenAttempt) -> CrashReport {
    let now = gateway.now();
    let quarantine = gateway.quarantine.borrow();
    let suspects = job.request.shared_parts.iter().map(|part| SuspectPart {
        part: *part,
        was_sound: quarantine.is_known_sound(now, *part),
    });
    let parts = if broken.is_proven_sound {
        Vec::new()
    } else {
        suspects.collect()
    };
    CrashReport {
        upstream: broken.upstream,
        started_ms: broken.started_ms,
        together_with: broken.together_with,
        fingerprint: job.fingerprint,
        parts,
    }
}

/// Tells the relay that this node asks from now on what it has reported lately. Relays
/// don't ask the other nodes, so one that was out of reach can't know it.
pub(crate) fn repeat_own_reports(gateway: &Gateway) {
    let quarantine = gateway.quarantine.borrow();
    for report in quarantine.crash_log().own_reports(gateway.now()) {
        gateway.queue_datagram(PeerDatagram::UpstreamCrashed(report.clone()));
    }
}

/// Takes over another node's report of a crash.
pub(crate) fn receive_crash(gateway: &Gateway, report: &CrashReport) {
    if !record_crash(gateway, report) {
        return;
    }
    let now = gateway.now();
    for suspect in report.parts.iter().filter(|suspect| !suspect.was_sound) {
        if gateway
            .quarantine
            .borrow()
            .is_known_sound(now, suspect.part)
        {
            announce(gateway, suspect.part, PartStanding::SoundBefore);
        }
    }
}

/// Records a suspect and publishes it if it is new.
fn record_crash(gateway: &Gateway, report: &CrashReport) -> bool {
    let now = gateway.now();
    let is_new = gateway.quarantine.borrow_mut().record_crash(now, report);
    if is_new {
        let item = NewsItem::Crash(report.clone());
        gateway.fleet.borrow_mut().publish(now, item);
    }
    is_new
}

/// Quarantines parts that the known crashes prove to be their cause. All nodes judge the
/// same evidence; the relays also tell the others.
fn judge_parts(gateway: &Gateway) {
    let since_ms = unix_ms();
    let judged = gateway
        .quarantine
        .borrow_mut()
        .judge(gateway.now(), since_ms);
    for part in judged {
        log::warn!("event=part_quarantined part={part:x} source=crashes");
        let standing = PartStanding::Quarantined(since_ms);
        if is_relay(gateway) {
            announce(gateway, part, standing);
        } else {
            publish_standing(gateway, part, standing);
        }
    }
}

/// Records that an upstream answered this prompt and did not crash.
pub(crate) fn record_sound_answer(gateway: &Gateway, job: &ForwardJob) {
    let now = gateway.now();
    let suspected = gateway
        .quarantine
        .borrow_mut()
        .record_sound_answer(now, &job.request.shared_parts);
    for part in suspected {
        log::info!(
            "event=part_cleared part={part:x} request={}",
            job.request.caller_attempt_id
        );
        announce(gateway, part, PartStanding::Sound(rand::random()));
    }
}

/// Takes over what another node says of a part.
pub(crate) fn receive_standing(gateway: &Gateway, part: PromptPartId, standing: PartStanding) {
    if apply_standing(gateway, part, standing) {
        log::info!("event=part_standing part={part:x} standing={standing:?} source=peer");
        publish_standing(gateway, part, standing);
    }
}

fn apply_standing(gateway: &Gateway, part: PromptPartId, standing: PartStanding) -> bool {
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.apply_standing(gateway.now(), unix_ms(), part, standing)
}

fn announce(gateway: &Gateway, part: PromptPartId, standing: PartStanding) {
    publish_standing(gateway, part, standing);
    gateway.queue_datagram(PeerDatagram::Part(part, standing));
}

fn publish_standing(gateway: &Gateway, part: PromptPartId, standing: PartStanding) {
    let item = NewsItem::Part(part, standing);
    gateway.fleet.borrow_mut().publish(gateway.now(), item);
}

/// Applies rows of quarantined parts. A removed row ends its quarantine: an operator or
/// another node has lifted it.
pub(crate) fn apply_quarantine_rows(gateway: &Gateway, changes: Vec<TableChange>, complete: bool) {
    if complete {
        gateway.quarantine.borrow_mut().forget_rows();
    }
    for change in changes {
        let Ok(part) = PromptPartId::from_str_radix(&change.key, 16) else {
            log::warn!(
                "event=quarantine_row_unreadable key={} error=\"the key is no part id\"",
                change.key
            );
            continue;
        };
        let mut quarantine = gateway.quarantine.borrow_mut();
        quarantine.record_row(part, change.value.is_some());
        drop(quarantine);
        let standing = match change.value {
            Some(value) => match postcard::from_bytes(&value) {
                Ok(since_ms) => PartStanding::Quarantined(since_ms),
                Err(error) => {
                    log::warn!("event=quarantine_row_unreadable part={part:x} error=\"{error}\"");
                    continue;
                }
            },
            None => PartStanding::Lifted(rand::random()),
        };
        if apply_standing(gateway, part, standing) {
            log::info!("event=part_standing part={part:x} standing={standing:?} source=store");
            announce(gateway, part, standing);
        }
    }
}

/// Judges crashes at intervals and, while this node is a store poller, keeps the rows of
/// quarantined parts in the store as they should be.
pub(crate) async fn keep_quarantine(gateway: Rc<Gateway>) {
    let mut caller = PlainCaller::new(&gateway, gateway.settings.store);
    loop {
        gateway.clock.sleep(JUDGE_PAUSE).await;
        judge_parts(&gateway);
        if !is_store_poller(&gateway, WatchedTable::Quarantine) {
            continue;
        }
        let changes = gateway.quarantine.borrow().row_changes(gateway.now());
        for change in changes {
            change_row(&gateway, &mut caller, change).await;
        }
    }
}

async fn change_row(gateway: &Gateway, caller: &mut PlainCaller, change: QuarantineRow) {
    let table = WatchedTable::Quarantine;
    let (part, call) = match change {
        QuarantineRow::Missing(part, since_ms) => {
            let Ok(value) = postcard::to_stdvec(&since_ms) else {
                log::error!("event=row_unencodable part={part:x}");
                return;
            };
            let call = gateway.dialect.put_row_call(table, &row_key(part), &value);
            (part, call)
        }
        QuarantineRow::Obsolete(part) => {
            let call = gateway.dialect.remove_row_call(table, &row_key(part));
            (part, call)
        }
    };
    let answer = gateway
        .clock
        .timeout(ROW_CALL_TIMEOUT, caller.call(call))
        .await;
    if matches!(&answer, Some(Ok(answer)) if answer.status().is_success()) {
        let is_stored = matches!(change, QuarantineRow::Missing(..));
        gateway.quarantine.borrow_mut().record_row(part, is_stored);
    } else {
        let answer: Option<Result<Bytes, _>> =
            answer.map(|answer| answer.map(http::Response::into_body));
        log::warn!("event=quarantine_row_not_changed change={change:?} answer={answer:?}");
    }
}

fn row_key(part: PromptPartId) -> String {
    format!("{part:016x}")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
