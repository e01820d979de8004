//! The present state of a scale run as one line, shared between the run and the terminal.

use std::sync::Mutex;

/// How far a run is, for whoever watches.
#[derive(Debug, Default)]
pub struct Progress(Mutex<String>);

impl Progress {
    /// One line.
    pub fn line(&self) -> String {
        self.0.lock().map(|line| line.clone()).unwrap_or_default()
    }

    /// Puts another one in its place.
    pub fn say(&self, line: String) {
        if let Ok(mut said) = self.0.lock() {
            *said = line;
        }
    }
}
