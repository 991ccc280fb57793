//! Log lines about connections and requests that are turned away, of which a crowd causes any
//! number.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Span in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines that are written in a window; what follows is only counted.
const LINES_MAX: u32 = 20;

/// Bounds the lines about what is turned away.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    window_began: Cell<Option<Instant>>,
    lines: Cell<u32>,
    omitted: Cell<u64>,
}

impl RefusalLog {
    /// Writes `line` unless the window has its lines already.
    pub(crate) fn write(&self, now: Instant, line: impl FnOnce() -> String) {
        let is_over = |began: Instant| now.saturating_duration_since(began) >= WINDOW;
        if self.window_began.get().is_none_or(is_over) {
            self.window_began.set(Some(now));
            self.lines.set(0);
            let omitted = self.omitted.take();
            if omitted > 0 {
                log::warn!("event=refusals_not_logged count={omitted}");
            }
        }
        if self.lines.get() < LINES_MAX {
            self.lines.set(self.lines.get() + 1);
            log::info!("{}", line());
        } else {
            self.omitted.set(self.omitted.get() + 1);
        }
    }
}
