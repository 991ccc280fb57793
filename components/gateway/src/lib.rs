//! The daemon of an entry host on a platform with a store of its own: it
//! learns routes and upstreams from the store, and forwards callers' requests.
//!
//! One thread does everything; decisions are those of `dispatch`, and what
//! the platform's wire looks like is behind [`WireDialect`].

mod answer;
mod attempt;
mod client;
mod daemon;
mod edge;
mod events;
mod forward;
mod leg;
mod listen;
mod metrics;
mod peers;
mod place;
mod relay;
mod settings;
mod shared_loads;
mod state;
mod sync;
mod tickets;

pub use daemon::run_gateway;
pub use edge::{
    AnswerHead, EngineCall, FeedAnswer, ForwardHead, PlainCall, RequestHead, TableChange,
    WatchedTable, WireDialect,
};
pub use events::{EventCursor, EventError};
pub use settings::{GatewaySettings, RevokePolicy};
