//! Log of a node's process: reads the listening address and breaker openings, and keeps the last
//! lines for reports.

use crate::client::LiveCounters;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{BufReader, Lines};
use tokio::process::ChildStderr;

/// Number of log lines kept for the report of a process failure; older ones are dropped.
const LOG_TAIL_LINES: usize = 20;
/// Text before the address in the log line that reports a node's listening address.
const LISTENS_ON: &str = " listens on ";

/// Lines of a process's log.
pub(super) type LogLines = Lines<BufReader<ChildStderr>>;

/// Last lines of a node's log, across all starts of its process.
#[derive(Clone, Default)]
pub(super) struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    fn push(&self, line: String) {
        if let Ok(mut lines) = self.0.lock() {
            if lines.len() >= LOG_TAIL_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    }

    /// Returns all kept lines, joined by "; ".
    pub(super) fn text(&self) -> String {
        let lines = self.0.lock();
        let text = lines.map(|mut lines| lines.make_contiguous().join("; "));
        text.ok()
            .filter(|text| !text.is_empty())
            .unwrap_or_else(|| "it said nothing".to_owned())
    }
}

/// Reads a process's log up to the line with its listening address; returns `None` if the log ends
/// first or the address is invalid.
pub(super) async fn listening_address(lines: &mut LogLines, tail: &LogTail) -> Option<SocketAddr> {
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some((_, address)) = line.split_once(LISTENS_ON) {
            return address.trim().parse().ok();
        }
        tail.push(line);
    }
    None
}

/// Reads a process's log to its end and counts the breaker openings that it reports.
pub(super) async fn follow(mut lines: LogLines, tail: LogTail, live: Arc<LiveCounters>) {
    while let Ok(Some(line)) = lines.next_line().await {
        if line.starts_with("breaker of ") && line.contains(" tripped") {
            live.record_breaker_opening();
        }
        tail.push(line);
    }
}
