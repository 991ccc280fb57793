//! Log lines on standard output that never hold up their writer.
//!
//! Lines go into a bounded buffer that a thread of its own writes out. While
//! the reader of standard output is slow, lines are dropped and counted.

use std::{
    fmt::Write as _,
    io::Write as _,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Log, Metadata, Record};

/// Bytes of lines that wait to be written.
const BUFFER_MAX: usize = 128 << 10;
/// Pause between two writes, so that many lines go out in one.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that a flush waits: some write pauses. A reader that has
/// stopped must not keep the process from ending.
const FLUSH_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct LineBuffer {
    text: String,
    dropped: u64,
    /// Whether lines that were taken out are still being written.
    writing: bool,
}

#[derive(Debug, Default)]
struct BoundedLog {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
    written: Condvar,
}

/// Sends log lines of `level` and above to standard output.
///
/// A second call in the same process changes nothing.
pub fn init_bounded_logs(level: LevelFilter) {
    let shared = Arc::new(BoundedLog::default());
    if log::set_boxed_logger(Box::new(Arc::clone(&shared))).is_ok() {
        log::set_max_level(level);
        thread::spawn(move || shared.write_out());
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
        if buffer.text.len() >= BUFFER_MAX {
            buffer.dropped += 1;
            return;
        }
        let wakes = buffer.text.is_empty();
        // Writing to a string can't fail.
        writeln!(
            buffer.text,
            "time_ms={time} level={} module={} {}",
            record.level(),
            record.target(),
            record.args()
        )
        .ok();
        if wakes {
            self.filled.notify_one();
        }
    }

    fn flush(&self) {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .written
            .wait_timeout_while(buffer, FLUSH_TIME, |buffer| {
                buffer.writing || !buffer.text.is_empty()
            });
        drop(waited);
    }
}

impl BoundedLog {
    fn write_out(&self) {
        loop {
            let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let waited = self
                .filled
                .wait_while(buffer, |buffer| buffer.text.is_empty());
            drop(waited);
            self.write_pending();
            thread::sleep(WRITE_PAUSE);
        }
    }

    fn write_pending(&self) {
        let taken = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let taken = std::mem::take(&mut *buffer);
            buffer.writing = true;
            taken
        };
        let mut output = std::io::stdout().lock();
        // Nobody is left to be told when standard output is gone.
        output.write_all(taken.text.as_bytes()).ok();
        if taken.dropped > 0 {
            writeln!(
                output,
                "level=WARN event=log_lines_dropped count={}",
                taken.dropped
            )
            .ok();
        }
        output.flush().ok();
        drop(output);
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.writing = false;
        self.written.notify_all();
    }
}
