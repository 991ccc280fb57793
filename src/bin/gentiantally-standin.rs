//! Runs one stand-in as a process: a platform, a model engine or a plain
//! service.

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

/// Runs a stand-in for a platform, engine or service, for local runs and tests.
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
    /// IP address and port to listen on; port 0 lets the system choose
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
    /// IP address and port to listen on; port 0 lets the system choose
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
    /// IP address and port to listen on; port 0 lets the system choose
    #[argh(option, default = "any_port()")]
    address: String,
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

/// Why the stand-in could not start or run.
enum StandinFailure {
    Settings(SettingsError),
    System { step: &'static str, cause: String },
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match StandinArguments::from_args(&["gentiantally-standin"], &arguments) {
        Ok(arguments) => exit_code(smol::block_on(run(arguments.command))),
        Err(EarlyExit { output, status }) => exit_early(&output, status.is_ok()),
    }
}

fn exit_early(output: &str, requested: bool) -> ExitCode {
    if requested {
        println!("{output}");
        return ExitCode::SUCCESS;
    }
    eprintln!("{output}");
    ExitCode::from(BAD_USAGE)
}

fn exit_code(outcome: Result<(), StandinFailure>) -> ExitCode {
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
    let shutdown = CancellationToken::new();
    cancel_on_signal(shutdown.clone())?;
    match command {
        StandinCommand::Platform(arguments) => run_platform(arguments, shutdown).await,
        StandinCommand::Engine(arguments) => run_engine(arguments, shutdown).await,
        StandinCommand::Service(arguments) => run_service(arguments, shutdown).await,
    }
}

async fn run_platform(
    arguments: PlatformArguments,
    shutdown: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_platform_settings(arguments.settings.as_deref())?;
    let bound = PlatformServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<PlatformServer> = bound.map_err(|fault| system_failure("bind", &fault))?;
    print_address(server.address())?;
    server.run(shutdown).await;
    Ok(())
}

async fn run_engine(
    arguments: EngineArguments,
    shutdown: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_engine_settings(arguments.settings.as_deref())?;
    let bound = EngineServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<EngineServer> = bound.map_err(|fault| system_failure("bind", &fault))?;
    print_address(server.address())?;
    server.run(shutdown).await;
    Ok(())
}

async fn run_service(
    arguments: ServiceArguments,
    shutdown: CancellationToken,
) -> Result<(), StandinFailure> {
    let settings = load_service_settings(arguments.settings.as_deref())?;
    let bound = ServiceServer::bind(&arguments.address, settings, ClockSource::System).await;
    let server: Arc<ServiceServer> = bound.map_err(|fault| system_failure("bind", &fault))?;
    print_address(server.address())?;
    server.run(shutdown).await;
    Ok(())
}

fn print_address(address: &str) -> Result<(), StandinFailure> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening={address}")
        .and_then(|()| output.flush())
        .map_err(|fault| system_failure("print the listening address", &fault))
}

fn cancel_on_signal(shutdown: CancellationToken) -> Result<(), StandinFailure> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|fault| system_failure("wait for signals", &fault))?;
    smol::spawn(async move {
        signals.next().await;
        shutdown.cancel();
    })
    .detach();
    Ok(())
}

fn system_failure(step: &'static str, cause: &impl Display) -> StandinFailure {
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
