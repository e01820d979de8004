//! The node's own log: lines of text, or JSON objects, on standard error.
//!
//! They go through the bounded writer: a direct write would block the node if stderr is not read. What may come often goes by
//! topic, a few lines whole and the rest counted: under overload the log must not become the load.

mod sink;
mod topic;

use crate::writer::Writer;
use sink::Sink;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;
use topic::Topic;
use tracing::{dispatcher, info, Dispatch};

/// Lines that may wait for the writer; those past them are lost, and counted.
const MAX_QUEUED_LINES: usize = 128;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// The words alone.
    #[default]
    Text,
    /// A JSON object a line: `timestamp` (RFC 3339, UTC), `level`, `message`.
    Json,
}

/// The log; cheap to clone.
#[derive(Clone, Debug)]
pub struct Log {
    lines: Dispatch,
    /// By name; the names are the program's own, and so few.
    topics: Rc<RefCell<BTreeMap<&'static str, Topic>>>,
}

impl Log {
    /// A log that writes through `writer`.
    pub(crate) fn new(writer: &Writer, format: LogFormat) -> Self {
        let sink = Sink::new(writer.sender(MAX_QUEUED_LINES), format);
        let lines = tracing_subscriber::fmt()
            .with_writer(sink)
            .with_ansi(false)
            .with_target(false);
        let lines = match format {
            LogFormat::Text => Dispatch::new(lines.with_level(false).without_time().finish()),
            LogFormat::Json => Dispatch::new(lines.json().flatten_event(true).finish()),
        };
        Self {
            lines,
            topics: Rc::default(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        // Its own subscriber, and no global one: a process may hold several nodes.
        dispatcher::with_default(&self.lines, || info!("{text}"));
    }

    /// Writes a line of a topic that may have very many: past a few they are suppressed and counted for
    /// [`Log::report_suppressed`].
    pub fn rate_limited(&self, topic: &'static str, text: &str) {
        let now = Instant::now();
        let admitted = self
            .topics
            .borrow_mut()
            .entry(topic)
            .or_insert_with(|| Topic::new(now))
            .admit(now, text);
        if admitted {
            self.line(text);
        }
    }

    /// Writes a line for each topic of which lines were suppressed, where that is due; to be called about each second.
    pub fn report_suppressed(&self) {
        let now = Instant::now();
        let mut reports = Vec::new();
        self.topics.borrow_mut().retain(|name, topic| {
            if let Some(summary) = topic.summary(now) {
                reports.push(format!("{name}: {summary}"));
            }
            !topic.is_over(now)
        });
        for report in &reports {
            self.line(report);
        }
    }
}

#[cfg(test)]
mod tests;
