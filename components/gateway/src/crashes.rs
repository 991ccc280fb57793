//! Finds out whether an upstream whose connection broke has ended, and names the prompt
//! that it was running.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use smol::Async;
use types::UpstreamId;

use crate::{forward::ForwardJob, state::Gateway};

/// Time after which an upstream that neither accepts nor refuses a connection counts as
/// out of reach.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether the process of an upstream still listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    /// Its host refuses connections.
    Ended,
    /// It accepts a connection, so only an earlier one broke.
    Alive,
    /// No answer, as when its host or the network is lost.
    OutOfReach,
}

/// A request whose connection broke while an upstream may have been running it.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Time from the first event of the answer to the break; `None` before that event.
    pub(crate) answered_for: Option<Duration>,
}

/// Checks whether the upstream of `broken` has ended and logs it together with the
/// prompt.
pub(crate) async fn check_upstream(
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    broken: BrokenAttempt,
) {
    let state = check_process(&gateway, broken.address).await;
    log::warn!(
        "event=connection_broken request={} upstream={} process={state:?} answered_ms={} {}",
        job.request.caller_attempt_id,
        broken.upstream,
        broken
            .answered_for
            .map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string()),
        job.prompt_label(),
    );
}

async fn check_process(gateway: &Gateway, address: SocketAddr) -> ProcessState {
    let connecting = Async::<TcpStream>::connect(address);
    match gateway.clock.timeout(CHECK_TIMEOUT, connecting).await {
        Some(Ok(_)) => ProcessState::Alive,
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ProcessState::Ended,
        Some(Err(_)) | None => ProcessState::OutOfReach,
    }
}
