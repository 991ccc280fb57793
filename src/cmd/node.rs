//! The node daemon, `gentiantally-node`.

use kernel::{CancellationToken, ClockSource};
use node::NodeDaemon;
use settings::load_node_settings;

use super::client::write_line;
use crate::{
    cli::NodeArguments,
    launch::{ProgramError, cancel_on_signal},
};

/// Runs a node until SIGTERM or Ctrl-C, then drains it.
///
/// # Errors
/// `ProgramError` when the settings are invalid or the node can't start, for
/// example because an address can't be bound.
pub fn run(arguments: &NodeArguments) -> Result<(), ProgramError> {
    telemetry::init_logs(arguments.log);
    let settings = load_node_settings(&arguments.settings)?;
    smol::block_on(async {
        let shutdown = CancellationToken::new();
        cancel_on_signal(shutdown.clone())?;
        let daemon = NodeDaemon::start(settings, ClockSource::System, CancellationToken::new())
            .await
            .map_err(|error| ProgramError::Failed(error.to_string()))?;
        write_line(&format!("callers={}", daemon.callers_address()))?;
        write_line(&format!("peers={}", daemon.peers_address()))?;
        shutdown.cancelled().await;
        daemon.drain().await;
        Ok(())
    })
}
