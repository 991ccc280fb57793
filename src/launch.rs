//! How every program reads its arguments and ends.

use std::{
    env,
    fmt::Display,
    io::{self, Write},
    process::ExitCode,
};

use argh::{EarlyExit, TopLevelCommand};
use async_signal::{Signal, Signals};
use errors::SettingsError;
use futures_lite::StreamExt;
use kernel::CancellationToken;

/// Exit code of a program that failed.
pub const FAILURE: u8 = 1;
/// Exit code for bad usage or bad settings.
pub const BAD_USAGE: u8 = 2;

/// Why a program ends early. The text says what was tried, on which peer,
/// what came back, and what to do next.
#[derive(Debug)]
pub enum LaunchError {
    /// The arguments or settings are wrong.
    Usage(String),
    /// What was asked for did not succeed.
    Failed(String),
}

impl LaunchError {
    /// A failure of `step` on `peer`.
    #[must_use]
    pub fn failed(step: &str, peer: &str, cause: impl Display, advice: &str) -> Self {
        Self::Failed(format!("{step} on {peer}: {cause}; {advice}"))
    }
}

impl From<SettingsError> for LaunchError {
    fn from(error: SettingsError) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<io::Error> for LaunchError {
    fn from(error: io::Error) -> Self {
        Self::Failed(format!("write to standard output: {error}"))
    }
}

/// Reads the arguments, runs `work` with them and turns its end into an exit
/// code.
pub fn launch<T: TopLevelCommand>(
    program: &str,
    work: impl FnOnce(T) -> Result<(), LaunchError>,
) -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match T::from_args(&[program], &arguments) {
        Ok(parsed) => finish(work(parsed)),
        Err(EarlyExit { output, status }) => leave_early(&output, status.is_ok()),
    }
}

fn leave_early(output: &str, asked_for: bool) -> ExitCode {
    if asked_for {
        writeln!(io::stdout(), "{output}").ok();
        return ExitCode::SUCCESS;
    }
    writeln!(io::stderr(), "{output}").ok();
    ExitCode::from(BAD_USAGE)
}

fn finish(outcome: Result<(), LaunchError>) -> ExitCode {
    let (text, code) = match outcome {
        Ok(()) => return ExitCode::SUCCESS,
        Err(LaunchError::Usage(text)) => (text, BAD_USAGE),
        Err(LaunchError::Failed(text)) => (text, FAILURE),
    };
    writeln!(io::stderr(), "{text}").ok();
    ExitCode::from(code)
}

/// Cancels `token` at the first SIGTERM or Ctrl-C.
///
/// # Errors
/// `LaunchError::Failed` when the system refuses.
pub fn cancel_on_signal(token: CancellationToken) -> Result<(), LaunchError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| LaunchError::Failed(format!("wait for signals: {error}")))?;
    smol::spawn(async move {
        signals.next().await;
        token.cancel();
    })
    .detach();
    Ok(())
}
