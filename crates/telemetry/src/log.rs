//! The node's own log: text lines or JSON objects on standard error.
//!
//! Lines are written by the bounded writer: a direct write would block the node if standard error
//! is not read. Messages that may be frequent are grouped by topic: a few lines of a topic are
//! written and the others are counted, so that logging does not add to an overload.

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

/// Maximum number of lines queued for the writer; lines beyond it are lost and counted.
const MAX_QUEUED_LINES: usize = 128;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// The message alone.
    #[default]
    Text,
    /// One JSON object per line: `timestamp` (RFC 3339, UTC), `level`, `message`.
    Json,
}

/// Handle of the log; cheap to clone.
#[derive(Clone, Debug)]
pub struct Log {
    subscriber: Dispatch,
    /// Topics by name; the names are constants of the program, so there are few.
    topics: Rc<RefCell<BTreeMap<&'static str, Topic>>>,
}

impl Log {
    /// Creates a log that writes through `writer`.
    pub(crate) fn new(writer: &Writer, format: LogFormat) -> Self {
        let sink = Sink::new(writer.sender(MAX_QUEUED_LINES), format);
        let subscriber = tracing_subscriber::fmt()
            .with_writer(sink)
            .with_ansi(false)
            .with_target(false);
        let subscriber = match format {
            LogFormat::Text => Dispatch::new(subscriber.with_level(false).without_time().finish()),
            LogFormat::Json => Dispatch::new(subscriber.json().flatten_event(true).finish()),
        };
        Self {
            subscriber,
            topics: Rc::default(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        // The log uses its own subscriber instead of a global one because one process may run
        // several nodes.
        dispatcher::with_default(&self.subscriber, || info!("{text}"));
    }

    /// Writes a line of a topic that may have many lines. Lines beyond the topic's rate limit are
    /// suppressed and counted for [`Log::report_suppressed`].
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

    /// Writes a summary line for each topic whose summary of suppressed lines is due. Must be
    /// called about once per second.
    pub fn report_suppressed(&self) {
        let now = Instant::now();
        let mut reports = Vec::new();
        self.topics.borrow_mut().retain(|name, topic| {
            if let Some(summary) = topic.summary(now) {
                reports.push(format!("{name}: {summary}"));
            }
            !topic.is_expired(now)
        });
        for report in &reports {
            self.line(report);
        }
    }
}

#[cfg(test)]
mod tests;
