//! Small stand-ins of the platform, model engines and plain services.
//!
//! Tests run each stand-in as a task on a loopback port; the program
//! `gentiantally-standin` runs each as a process. Faults are injected in the
//! settings, through methods or over HTTP.

mod answer;
mod documents;
mod engine;
mod faults;
mod platform;
mod registration;
mod reply;
mod serve;
mod service;
mod stream_body;

pub use answer::{expected_answer, expected_token};
pub use documents::{load_engine_settings, load_platform_settings, load_service_settings};
pub use engine::{EngineServer, EngineSettings, StandinEngine};
pub use platform::{PlatformServer, PlatformSettings};
pub use registration::HostListing;
pub use service::{ServiceEffect, ServiceServer, ServiceSettings, StandinService};
