//! Starts stand-ins on free loopback ports for the duration of a test.

use std::{sync::Arc, time::Duration};

use errors::{PlatformError, UpstreamError};
use kernel::{CancellationToken, ClockSource};
use smol::{Task, Timer, net::TcpListener};
use standins::{
    EngineServer, EngineSettings, PlatformServer, PlatformSettings, ServiceServer, ServiceSettings,
};
use stores::fakes::{InjectedFaults, OutageKind};
use types::ModelSpec;

/// Call timeout, longer than any call of a test takes; also the lifetime of KV
/// memory that must not expire during a test.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for calls that are expected to time out.
pub const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running stand-in; its task is cancelled on drop.
pub struct RunningStandin<T> {
    pub server: Arc<T>,
    token: CancellationToken,
    _task: Task<()>,
}

impl<T> Drop for RunningStandin<T> {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

fn start<T, W: Future<Output = ()> + Send + 'static>(
    server: Arc<T>,
    run: impl FnOnce(Arc<T>, CancellationToken) -> W,
) -> RunningStandin<T> {
    let token = CancellationToken::new();
    let task = smol::spawn(run(server.clone(), token.clone()));
    RunningStandin {
        server,
        token,
        _task: task,
    }
}

pub async fn platform(
    settings: PlatformSettings,
    clock: ClockSource,
) -> RunningStandin<PlatformServer> {
    let bound = PlatformServer::bind("127.0.0.1:0", settings, clock).await;
    start(bound.expect("bind"), PlatformServer::run)
}

pub async fn engine(settings: EngineSettings) -> RunningStandin<EngineServer> {
    let bound = EngineServer::bind("127.0.0.1:0", settings, ClockSource::System).await;
    start(bound.expect("bind"), EngineServer::run)
}

pub async fn service(settings: ServiceSettings) -> RunningStandin<ServiceServer> {
    let bound = ServiceServer::bind("127.0.0.1:0", settings, ClockSource::System).await;
    start(bound.expect("bind"), ServiceServer::run)
}

/// Returns an address on which no process listens.
pub async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("address").to_string()
}

/// Polls until `condition` holds. It has no limit of its own: the timeout of the
/// test runner ends a test that hangs here.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    while !condition().await {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// The model loaded on the stand-in engines of the tests.
pub fn base_model() -> ModelSpec {
    ModelSpec {
        model: "ash".to_owned(),
        version: "v1".to_owned(),
        adapters: vec!["desk".to_owned()],
    }
}

/// Kind of outcome of a call, without the details of its error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    Done,
    Unreachable,
    Unanswered,
    Refused,
    Conflict,
    Malformed,
}

pub fn platform_outcome<T>(outcome: &Result<T, PlatformError>) -> CallOutcome {
    match outcome {
        Ok(_) => CallOutcome::Done,
        Err(PlatformError::Unreachable { .. }) => CallOutcome::Unreachable,
        Err(PlatformError::Unanswered { .. }) => CallOutcome::Unanswered,
        Err(PlatformError::Refused { .. }) => CallOutcome::Refused,
        Err(PlatformError::Conflict { .. }) => CallOutcome::Conflict,
        Err(PlatformError::Malformed { .. }) => CallOutcome::Malformed,
    }
}

pub fn upstream_outcome<T>(outcome: &Result<T, UpstreamError>) -> CallOutcome {
    match outcome {
        Ok(_) => CallOutcome::Done,
        Err(UpstreamError::Refused { .. }) => CallOutcome::Refused,
        Err(UpstreamError::Fenced { .. }) => CallOutcome::Conflict,
        Err(UpstreamError::Malformed { .. }) => CallOutcome::Malformed,
        Err(fault) if fault.effect_unknown() => CallOutcome::Unanswered,
        Err(_) => CallOutcome::Unreachable,
    }
}

/// An injected fault, the expected outcome of a write under it, and whether the
/// write takes effect.
pub struct FaultCase {
    pub name: &'static str,
    pub faults: InjectedFaults,
    pub outcome: CallOutcome,
    pub takes_effect: bool,
}

/// Faults of one write that can be injected into every stand-in with writes. A
/// refused write has no effect; an unanswered one may have had it.
pub fn write_fault_cases() -> Vec<FaultCase> {
    let faults = InjectedFaults::default;
    vec![
        FaultCase {
            name: "no fault",
            faults: faults(),
            outcome: CallOutcome::Done,
            takes_effect: true,
        },
        FaultCase {
            name: "slow before and after the effect",
            faults: InjectedFaults {
                delay_ms: 5,
                answer_delay_ms: 5,
                ..faults()
            },
            outcome: CallOutcome::Done,
            takes_effect: true,
        },
        FaultCase {
            name: "refused while down",
            faults: InjectedFaults {
                outage: OutageKind::Refuse,
                ..faults()
            },
            outcome: CallOutcome::Refused,
            takes_effect: false,
        },
        FaultCase {
            name: "cut while down",
            faults: InjectedFaults {
                outage: OutageKind::Cut,
                ..faults()
            },
            outcome: CallOutcome::Unanswered,
            takes_effect: false,
        },
        FaultCase {
            name: "request lost",
            faults: InjectedFaults {
                lose_requests: 1,
                ..faults()
            },
            outcome: CallOutcome::Unanswered,
            takes_effect: false,
        },
        FaultCase {
            name: "answer lost after the effect",
            faults: InjectedFaults {
                lose_answers: 1,
                ..faults()
            },
            outcome: CallOutcome::Unanswered,
            takes_effect: true,
        },
    ]
}
