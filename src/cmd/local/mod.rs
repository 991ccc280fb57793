//! `gentiantally local`: runs a fleet on this machine, or a tour that checks
//! its functions.

mod fleet;
mod guide;
mod note;
mod tour;

use kernel::CancellationToken;

use crate::{
    cli::LocalCommand,
    launch::{ProgramError, cancel_on_signal},
};

pub use fleet::{FleetConfig, LOCAL_TIME_SCALE, LocalFleet};
pub use note::{LOCAL_MODEL, LOCAL_SERVICE, OPERATOR_KEY, PAYING_KEY, TRIAL_KEY, first_note};
pub use tour::publish_first_note;

/// Runs the fleet until SIGTERM or Ctrl-C, or with `--once` until the tour ends.
///
/// # Errors
/// `ProgramError::Usage` for a fleet without nodes or engines,
/// `ProgramError::Failed` when the fleet does not start or a step of the tour
/// fails.
pub fn run(command: &LocalCommand) -> Result<(), ProgramError> {
    telemetry::init_logs(command.log);
    let config = FleetConfig {
        nodes: command.nodes,
        engines: command.engines,
        time_scale: LOCAL_TIME_SCALE,
    };
    smol::block_on(async {
        let shutdown = CancellationToken::new();
        cancel_on_signal(shutdown.clone())?;
        let mut fleet = LocalFleet::start(&config).await?;
        let outcome = if command.once {
            tour::run(&mut fleet).await
        } else {
            guide::publish_note_and_print(&fleet)?;
            shutdown.cancelled().await;
            Ok(())
        };
        fleet.stop().await;
        outcome
    })
}
