//! Non-blocking logger that writes to standard output.
//!
//! Callers append lines to a bounded buffer, which a background thread writes
//! out. When standard output is read too slowly and the buffer is full, new
//! lines are dropped and counted.

use std::{
    fmt::Write as _,
    io::Write as _,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Log, Metadata, Record};

/// Once the buffer holds this many bytes, new lines are dropped.
const BUFFER_MAX_BYTES: usize = 128 << 10;
/// Delay between two writes, so that many lines are written in one batch.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a flush: several write intervals. A stalled reader of
/// standard output must not keep the process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct LineBuffer {
    text: String,
    dropped: u64,
    /// Whether lines taken from the buffer are still being written.
    write_in_progress: bool,
}

#[derive(Debug, Default)]
struct BoundedLog {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
    written: Condvar,
}

/// Installs a non-blocking logger that writes records of `level` and above to
/// standard output; lines are dropped if the reader is too slow.
///
/// `parse_log_line` reads this logger's format.
/// Has no effect if the process already has a logger.
pub fn init_bounded_logs(level: LevelFilter) {
    let shared = Arc::new(BoundedLog::default());
    if log::set_boxed_logger(Box::new(Arc::clone(&shared))).is_ok() {
        log::set_max_level(level);
        thread::spawn(move || shared.run_writer());
    }
}

impl Log for BoundedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = time.unwrap_or_default().as_millis();
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.text.len() >= BUFFER_MAX_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.text.is_empty();
        // Writing to a string can't fail.
        writeln!(
            buffer.text,
            "time_ms={time} level={} module={} {}",
            record.level(),
            record.target(),
            record.args()
        )
        .ok();
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn flush(&self) {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let wait_result = self
            .written
            .wait_timeout_while(buffer, FLUSH_TIMEOUT, |buffer| {
                buffer.write_in_progress || !buffer.text.is_empty()
            });
        drop(wait_result);
    }
}

impl BoundedLog {
    fn run_writer(&self) {
        loop {
            let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let wait_result = self
                .filled
                .wait_while(buffer, |buffer| buffer.text.is_empty());
            drop(wait_result);
            self.write_buffered();
            thread::sleep(WRITE_INTERVAL);
        }
    }

    fn write_buffered(&self) {
        let pending = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let pending = std::mem::take(&mut *buffer);
            buffer.write_in_progress = true;
            pending
        };
        let mut output = std::io::stdout().lock();
        // Once standard output is closed, a failed write can't be reported.
        output.write_all(pending.text.as_bytes()).ok();
        if pending.dropped > 0 {
            writeln!(
                output,
                "level=WARN event=log_lines_dropped count={}",
                pending.dropped
            )
            .ok();
        }
        output.flush().ok();
        drop(output);
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.write_in_progress = false;
        self.written.notify_all();
    }
}
