//! What was sent, answered and run, in the order in which it was seen.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, file: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(file, text) {
            eprintln!("{}: {error}", file.display());
        }
    }
}
