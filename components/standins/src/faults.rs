//! Applies injected faults to the calls of upstream stand-ins.

use errors::{PlatformError, SendPhase, UpstreamError};
use stores::fakes::{CallKind, FaultInjector};

pub(crate) const STATUS_UNAVAILABLE: u16 = 503;

/// Runs `work` under the faults of `injector`. A call held back by `hold_writes`
/// cannot be released here: it never runs, and fails as
/// [`Broken`](UpstreamError::Broken) after the first byte.
pub(crate) async fn run_with_faults<T>(
    injector: &FaultInjector,
    step: &str,
    kind: CallKind,
    work: impl FnOnce() -> Result<T, UpstreamError>,
) -> Result<T, UpstreamError> {
    let effect = |held: bool| Ok((!held).then(work));
    match injector.run(step, kind, effect).await {
        Ok(Some(outcome)) => outcome,
        Ok(None) => Err(broken_error(
            step,
            injector.name(),
            "the call was held back by an injected fault",
        )),
        Err(fault) => Err(upstream_error(step, injector.name(), fault)),
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
        other => broken_error(step, peer, &other.to_string()),
    }
}

fn broken_error(step: &str, peer: &str, cause: &str) -> UpstreamError {
    UpstreamError::Broken {
        step: step.to_owned(),
        peer: peer.to_owned(),
        phase: SendPhase::AfterFirstByte,
        cause: cause.to_owned(),
    }
}
