//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The lines so far, and the file that each is written to at once.
struct Lines {
    file: File,
    lines: Vec<(Instant, String)>,
}

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    started: Instant,
    lines: Arc<Mutex<Lines>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            started: Instant::now(),
            lines: Arc::new(Mutex::new(Lines {
                file: File::create(path)?,
                lines: Vec::new(),
            })),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: impl Into<String>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line for something that happened at this time.
    pub fn line_at(&self, at: Instant, text: impl Into<String>) {
        let text = text.into();
        let mut lines = self.lines.lock().unwrap();
        // Kept if the case is ended before its time; `finish` reports an error of the file.
        let _ = writeln!(lines.file, "{:9.3} {text}", self.seconds(at));
        lines.lines.push((at, text));
    }

    /// Seconds from the start of the case to this time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes the file anew: the lines in the order of their times, then the result.
    pub fn finish(&self, result: &[String]) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap();
        lines.lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in &lines.lines {
            text.push_str(&format!("{:9.3} {line}\n", self.seconds(*at)));
        }
        for line in result {
            text.push_str(&format!("result: {line}\n"));
            println!("{line}");
        }
        std::fs::write(&self.path, text)
    }
}
