//! The daemon of the stand-ins: one platform, engine or plain service.

use std::{
    env,
    fmt::Display,
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
};

use argh::{EarlyExit, FromArgs};
use async_signal::{Signal, Signals};
use errors::SettingsError;
use futures_lite::StreamExt;
use kernel::{CancellationToken, ClockSource};
use log::LevelFilter;
use standins::{
    EngineServer, PlatformServer, ServiceServer, load_engine_settings, load_platform_settings,
    load_service_settings,
};

const FAILURE: u8 = 1;
const BAD_USAGE: u8 = 2;

/// Runs a small stand-in for local runs and tests.
#[derive(FromArgs)]
struct StandinArguments {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
}

/// Run the table service, object store, weight store and host list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// settings file in JSON with comments
    #[argh(option)]
    settings: Option<String>,
    /// IP number and port to listen on; port 0 lets the system choose
    #[argh(option, default = "any_port()")]
    address: String,
}

/// Run a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// settings file in JSON with comments
    #[argh(option)]
    settings: Option<String>,
    /// IP number and port to listen on; port 0 lets the system choose
    #[argh(option, default = "any_port()")]
    address: String,
}

/// Run a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// settings file in JSON with comments
    #[argh(option)]
    settings: Option<String>,
    /// IP number and port to listen on; port 0 lets the system choose
    #[argh(option, default = "any_port()")]
    address: String,
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

/// Why the daemon ended early.
enum StandinFailure {
    Settings(SettingsError),
    System { step: &'static str, cause: String },
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match StandinArguments::from_args(&["gentiantally-standin"], &arguments) {
        Ok(arguments) => finish(smol::block_on(run(arguments.command))),
        Err(EarlyExit { output, status }) => leave_early(&output, status.is_ok()),
    }
}

fn leave_early(output: &str, asked_for: bool) -> ExitCode {
    if asked_for {
        println!("{output}");
        return ExitCode::SUCCESS;
    }
    eprintln!("{output}");
    ExitCode::from(BAD_USAGE)
}

fn finish(outcome: Result<(), StandinFailure>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(StandinFailure::Settings(fault)) => {
            eprintln!("{fault}");
            ExitCode::from(BAD_USAGE)
        }
        Err(StandinFailure::System { step, cause }) => {
            eprintln!("{step}: {cause}; try another --address");
            ExitCode::from(FAILURE)
        }
    }
}

async fn run(command: StandinCommand) -> Result<(), StandinFailure> {
    telemetry::init_logs(LevelFilter::Info);
    let token = CancellationToken::new();
    cancel_on_signal(token.clone())?;
    match command {
        StandinCommand::Platform(arguments) => run_platform(arguments, token).await,
        StandinCommand::Engine(arguments) => run_engine(arguments, token).await,
        StandinCommand::Service(arguments) => run_service(arguments, token).await,
    }
}

async fn run_platform(
    arguments: PlatformArguments,
    token: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_platform_settings(arguments.settings.as_deref())?;
    let bound = PlatformServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<PlatformServer> = bound.map_err(|fault| failure("bind", &fault))?;
    announce(server.address())?;
    server.run(token).await;
    Ok(())
}

async fn run_engine(
    arguments: EngineArguments,
    token: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_engine_settings(arguments.settings.as_deref())?;
    let bound = EngineServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<EngineServer> = bound.map_err(|fault| failure("bind", &fault))?;
    announce(server.address())?;
    server.run(token).await;
    Ok(())
}

async fn run_service(
    arguments: ServiceArguments,
    token: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_service_settings(arguments.settings.as_deref())?;
    let bound = ServiceServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<ServiceServer> = bound.map_err(|fault| failure("bind", &fault))?;
    announce(server.address())?;
    server.run(token).await;
    Ok(())
}

fn announce(address: &str) -> Result<(), StandinFailure> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening={address}")
        .and_then(|()| output.flush())
        .map_err(|fault| failure("announce the address", &fault))
}

fn cancel_on_signal(token: CancellationToken) -> Result<(), StandinFailure> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|fault| failure("wait for signals", &fault))?;
    smol::spawn(async move {
        signals.next().await;
        token.cancel();
    })
    .detach();
    Ok(())
}

fn failure(step: &'static str, cause: &impl Display) -> StandinFailure {
    StandinFailure::System {
        step,
        cause: cause.to_string(),
    }
}

impl From<SettingsError> for StandinFailure {
    fn from(fault: SettingsError) -> Self {
        Self::Settings(fault)
    }
}
