//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            path: folder.join("record.txt"),
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: impl Into<String>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line for something that happened at this time.
    pub fn line_at(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Seconds from the start of the case to this time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes the file: the lines in the order of their times, then the result.
    pub fn write(&self, result: &[String]) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text.push_str(&format!("{:9.3} {line}\n", self.seconds(*at)));
        }
        for line in result {
            text.push_str(&format!("result: {line}\n"));
            println!("{line}");
        }
        if let Ok(mut file) = File::create(&self.path) {
            let _ = file.write_all(text.as_bytes());
        }
    }
}
