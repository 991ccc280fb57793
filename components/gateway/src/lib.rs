//! The gateway daemon that runs on an entry host. It reads routes and upstreams
//! from the platform's store and forwards callers' requests to the upstreams.
//!
//! All tasks run on one thread. The crate `dispatch` makes the scheduling
//! decisions, and [`WireDialect`] hides the platform's wire format.

mod answer;
mod assist;
mod attempt;
mod caller_metrics;
mod caller_socket;
mod callers;
mod client;
mod cold;
mod connect;
mod crashes;
mod daemon;
mod datagrams;
mod edge;
mod evacuation;
mod events;
mod formats;
mod forward;
mod held;
mod leg;
mod listen;
mod metrics;
mod news;
mod peers;
mod place;
mod probe;
mod question;
mod race;
mod rates;
mod reach;
mod refusals;
mod relay;
mod reports;
mod resume;
mod retries;
mod settings;
mod start;
mod state;
mod stop;
mod supplements;
mod sync;
mod tickets;
mod tunnel;

pub use daemon::run_gateway;
pub use edge::{
    AddressQuery, AnswerHead, ColdStatement, EngineCall, FeedAnswer, ForwardHead, PlainCall,
    RateStatement, RequestHead, TableChange, UpstreamRow, UpstreamWish, WatchedTable, WireDialect,
};
pub use events::{EventBatch, EventCursor, EventError};
pub use formats::{FORMAT, MessageKind, rewrite_message};
pub use settings::{GatewaySettings, RevokePolicy};
