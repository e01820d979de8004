//! The rate limit of a topic's lines.

use std::time::Duration;
use tokio::time::Instant;

/// Of a topic, so many lines are written whole in each [`WINDOW`].
pub(super) const LINES_PER_WINDOW: u64 = 8;
/// The span that they are counted in, and the least one between two summaries of a topic that goes on.
const WINDOW: Duration = Duration::from_secs(10);
/// A topic with no line for so long is over.
pub(super) const TOPIC_EXPIRY: Duration = Duration::from_secs(2);

/// Lines alike, from the first until there was none for a while.
#[derive(Debug)]
pub(super) struct Topic {
    started_at: Instant,
    last_line_at: Instant,
    /// All of its lines.
    count: u64,
    window_start: Instant,
    /// Lines written whole in the present window.
    written_in_window: u64,
    /// Suppressed since the last summary.
    suppressed: u64,
    last_suppressed_text: String,
}

impl Topic {
    /// A topic whose first line comes now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            last_line_at: now,
            count: 0,
            window_start: now,
            written_in_window: 0,
            suppressed: 0,
            last_suppressed_text: String::new(),
        }
    }

    /// Counts a line; whether it is to be written whole.
    pub(super) fn admit(&mut self, now: Instant, text: &str) -> bool {
        self.count += 1;
        self.last_line_at = now;
        if now - self.window_start >= WINDOW {
            self.window_start = now;
            self.written_in_window = 0;
        }
        let admitted = self.written_in_window < LINES_PER_WINDOW;
        if admitted {
            self.written_in_window += 1;
        } else {
            self.suppressed += 1;
            text.clone_into(&mut self.last_suppressed_text);
        }
        admitted
    }

    /// What there is to say of lines that were suppressed: once a window, and at the end.
    pub(super) fn summary(&mut self, now: Instant) -> Option<String> {
        let is_due = now - self.window_start >= WINDOW || self.is_over(now);
        if !is_due || self.suppressed == 0 {
            return None;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        let seconds = (self.last_line_at - self.started_at).as_secs_f64();
        Some(format!(
            "{suppressed} more lines left out, {} in {seconds:.1} s; the last: {}",
            self.count, self.last_suppressed_text
        ))
    }

    /// Whether there was no line for a while.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now - self.last_line_at >= TOPIC_EXPIRY
    }
}
