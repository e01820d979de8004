//! The log of a node's process: its end is kept for reports, and what the lab reads of it is read here.

use crate::client::Live;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{BufReader, Lines};
use tokio::process::ChildStderr;

/// Lines kept for a report of a process's failure; past this the oldest is dropped.
const LOG_TAIL_LINES: usize = 20;
/// What stands before the address in the line by which a node says where it listens.
const LISTENS_ON: &str = " listens on ";

/// A process's log, line by line.
pub(super) type LogLines = Lines<BufReader<ChildStderr>>;

/// The end of a node's log, over all starts of its process.
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

    /// All kept lines as one text.
    pub(super) fn text(&self) -> String {
        let lines = self.0.lock();
        let text = lines.map(|mut lines| lines.make_contiguous().join("; "));
        text.ok()
            .filter(|text| !text.is_empty())
            .unwrap_or_else(|| "it said nothing".to_owned())
    }
}

/// Reads a process's log up to the address it listens on; `None` where the log ends before, or says no address.
pub(super) async fn listening_address(lines: &mut LogLines, tail: &LogTail) -> Option<SocketAddr> {
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some((_, address)) = line.split_once(LISTENS_ON) {
            return address.trim().parse().ok();
        }
        tail.push(line);
    }
    None
}

/// Reads a process's log to its end, and counts the circuit breakers that it says opened.
pub(super) async fn follow(mut lines: LogLines, tail: LogTail, live: Arc<Live>) {
    while let Ok(Some(line)) = lines.next_line().await {
        if line.starts_with("breaker of ") && line.contains(" tripped") {
            live.tripped();
        }
        tail.push(line);
    }
}
