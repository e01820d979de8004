//! Rate limit of a topic's lines.

use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of lines of a topic that are written in each [`WINDOW`].
pub(super) const LINES_PER_WINDOW: u64 = 8;
/// Length of the rate limit's window, and the minimum time between two summaries of a topic that is
/// still active.
const WINDOW: Duration = Duration::from_secs(10);
/// A topic expires after this time without a line.
pub(super) const TOPIC_EXPIRY: Duration = Duration::from_secs(2);

/// A group of similar lines, from the first line until the topic expires.
#[derive(Debug)]
pub(super) struct Topic {
    started_at: Instant,
    last_line_at: Instant,
    /// Number of lines, written or suppressed.
    count: u64,
    window_start: Instant,
    /// Number of lines written in the current window.
    written_in_window: u64,
    /// Number of lines suppressed since the last summary.
    suppressed: u64,
    last_suppressed_text: String,
}

impl Topic {
    /// Creates a topic whose first line is logged at `now`.
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

    /// Counts a line and returns whether it may be written.
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

    /// Returns the summary of suppressed lines when it is due: once per window and when the topic
    /// expires.
    pub(super) fn summary(&mut self, now: Instant) -> Option<String> {
        let is_due = now - self.window_start >= WINDOW || self.is_expired(now);
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

    /// Checks whether the topic has had no line for [`TOPIC_EXPIRY`].
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now - self.last_line_at >= TOPIC_EXPIRY
    }
}
