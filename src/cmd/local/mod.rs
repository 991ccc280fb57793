//! `gentiantally local`: a fleet on this machine, and the tour through it.

mod fleet;
mod guide;
mod note;
mod tour;

use kernel::CancellationToken;

use crate::{
    cli::LocalCommand,
    launch::{LaunchError, cancel_on_signal},
};

pub use fleet::{FleetPlan, LocalFleet, TOUR_TIME_SCALE};
pub use note::{LOCAL_MODEL, LOCAL_SERVICE, OPERATOR_KEY, PAYING_KEY, TRIAL_KEY, first_note};
pub use tour::publish_first_note;

/// Runs the fleet until Ctrl-C, or the tour.
///
/// # Errors
/// `LaunchError::Failed` when the fleet does not start or a step of the tour
/// does not end as it should.
pub fn run(command: &LocalCommand) -> Result<(), LaunchError> {
    telemetry::init_logs(command.log);
    let plan = FleetPlan {
        nodes: command.nodes,
        engines: command.engines,
        time_scale: TOUR_TIME_SCALE,
    };
    smol::block_on(async {
        let stop = CancellationToken::new();
        cancel_on_signal(stop.clone())?;
        let mut fleet = LocalFleet::start(&plan).await?;
        let outcome = if command.once {
            tour::run(&mut fleet).await
        } else {
            guide::print(&fleet)?;
            stop.cancelled().await;
            Ok(())
        };
        fleet.stop().await;
        outcome
    })
}
