//! Applies injected faults to the calls of upstream stand-ins.

use errors::{PlatformError, SendPhase, UpstreamError};
use stores::fakes::{CallKind, FaultInjector};

pub(crate) const STATUS_UNAVAILABLE: u16 = 503;

/// Runs `work` under the faults of `switch`; a held call is never run and fails as
/// unanswered.
pub(crate) async fn run_with_faults<T>(
    switch: &FaultInjector,
    step: &str,
    kind: CallKind,
    work: impl FnOnce() -> Result<T, UpstreamError>,
) -> Result<T, UpstreamError> {
    let effect = |held: bool| Ok((!held).then(work));
    match switch.run(step, kind, effect).await {
        Ok(Some(outcome)) => outcome,
        Ok(None) => Err(unanswered_error(step, switch.name(), "held")),
        Err(fault) => Err(upstream_error(step, switch.name(), fault)),
    }
}

fn upstream_error(step: &str, peer: &str, fault: PlatformError) -> UpstreamError {
    match fault {
        PlatformError::Refused { retry_after, .. } => UpstreamError::Refused {
            step: step.to_owned(),
            peer: peer.to_owned(),
            status: STATUS_UNAVAILABLE,
            cause: "down".to_owned(),
            retry_after,
        },
        other => unanswered_error(step, peer, &other.to_string()),
    }
}

fn unanswered_error(step: &str, peer: &str, cause: &str) -> UpstreamError {
    UpstreamError::Broken {
        step: step.to_owned(),
        peer: peer.to_owned(),
        phase: SendPhase::AfterFirstByte,
        cause: cause.to_owned(),
    }
}
