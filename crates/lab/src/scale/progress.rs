//! Progress line of a scale run, shared between the run and the terminal.

use std::sync::Mutex;

/// Progress of a run, as one line of text.
#[derive(Debug, Default)]
pub struct Progress(Mutex<String>);

impl Progress {
    /// Returns the present line.
    pub fn line(&self) -> String {
        self.0.lock().map(|line| line.clone()).unwrap_or_default()
    }

    /// Replaces the line.
    pub fn set_line(&self, line: String) {
        if let Ok(mut current) = self.0.lock() {
            *current = line;
        }
    }
}
