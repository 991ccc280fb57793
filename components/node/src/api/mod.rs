//! The HTTP interface for callers and operators: routes, authentication and
//! handlers.

mod access;
mod addresses;
mod answer;
mod completions;
mod key_index;
mod note_answer;
mod operator;
mod operator_orders;
mod order_answer;
mod parts;
mod prompt_body;
mod prompt_run;
mod quarantine;
mod router;
mod services;
mod shape;
mod status;

pub use addresses::AddressAnswer;
pub use key_index::KeyIndex;
pub use note_answer::{HistoryEntry, PublishAnswer};
pub use parts::ApiContext;
pub use quarantine::QuarantinedPrompt;
pub use router::api_handler;
pub use status::{EngineStatus, FleetStatus, MemberStatus};
