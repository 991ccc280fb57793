//! Stand-in of a model engine: runs the simulation of the engine as the clock
//! advances.

mod attempts;
mod cache_log;
mod calls;
mod control;
mod drive;
mod lending;
mod loads;
mod report_log;
mod scale;
mod server;
mod settings;
mod standin;
mod state;

pub use server::EngineServer;
pub use settings::EngineSettings;
pub use standin::StandinEngine;
