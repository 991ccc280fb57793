//! Parses arguments, runs a program and maps its outcome to an exit code.

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

/// Exit code of every failure that is not [`BAD_USAGE`].
pub const FAILURE: u8 = 1;
/// Exit code for most invalid arguments, and for settings or note files that are
/// invalid or can't be read.
pub const BAD_USAGE: u8 = 2;

/// Error that ends a program. The text says, where known, what was tried, on
/// which peer, what came back and what to do next.
#[derive(Debug)]
pub enum ProgramError {
    /// Most invalid arguments, and invalid or unreadable settings and note files;
    /// exit code 2.
    Usage(String),
    /// Every other failure; exit code 1.
    Failed(String),
}

impl ProgramError {
    /// Builds the error for a `step` that failed on `peer`.
    #[must_use]
    pub fn failed(step: &str, peer: &str, cause: impl Display, advice: &str) -> Self {
        Self::Failed(format!("{step} on {peer}: {cause}; {advice}"))
    }
}

impl From<SettingsError> for ProgramError {
    fn from(error: SettingsError) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<io::Error> for ProgramError {
    fn from(error: io::Error) -> Self {
        Self::Failed(format!("write to standard output: {error}"))
    }
}

/// Parses the arguments, passes them to `run_program` and returns the exit
/// code for its outcome. Help goes to standard output, errors to standard
/// error.
pub fn launch<T: TopLevelCommand>(
    program: &str,
    run_program: impl FnOnce(T) -> Result<(), ProgramError>,
) -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match T::from_args(&[program], &arguments) {
        Ok(parsed) => exit_code(run_program(parsed)),
        Err(EarlyExit { output, status }) => exit_early(&output, status.is_ok()),
    }
}

fn exit_early(output: &str, requested: bool) -> ExitCode {
    if requested {
        writeln!(io::stdout(), "{output}").ok();
        return ExitCode::SUCCESS;
    }
    writeln!(io::stderr(), "{output}").ok();
    ExitCode::from(BAD_USAGE)
}

fn exit_code(outcome: Result<(), ProgramError>) -> ExitCode {
    let (text, code) = match outcome {
        Ok(()) => return ExitCode::SUCCESS,
        Err(ProgramError::Usage(text)) => (text, BAD_USAGE),
        Err(ProgramError::Failed(text)) => (text, FAILURE),
    };
    writeln!(io::stderr(), "{text}").ok();
    ExitCode::from(code)
}

/// Cancels `token` at the first SIGTERM or Ctrl-C.
///
/// # Errors
/// `ProgramError::Failed` when the signal handlers can't be installed.
pub fn cancel_on_signal(token: CancellationToken) -> Result<(), ProgramError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| ProgramError::Failed(format!("wait for signals: {error}")))?;
    smol::spawn(async move {
        signals.next().await;
        token.cancel();
    })
    .detach();
    Ok(())
}
