//! Logging to standard error, one line for each event.

use log::LevelFilter;
use log4rs::{
    Config,
    append::console::{ConsoleAppender, Target},
    config::{Appender, Root},
    encode::pattern::PatternEncoder,
};

const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} module={M} {m}{n}";

/// Installs a logger that writes records of `level` and above to standard error.
///
/// Has no effect if the process already has a logger.
pub fn init_logs(level: LevelFilter) {
    let encoder = PatternEncoder::new(LINE_PATTERN);
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(encoder))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level));
    if let Ok(config) = config {
        log4rs::init_config(config).ok();
    }
}
