//! The record of a run: what was sent, answered and run, with times from the run's start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
