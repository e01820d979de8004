//! The node's own log: lines of text, or JSON objects, on standard error. They go through the bounded writer: by itself, a
//! line would stall the node where nobody reads. What may come often goes by topic, a few lines whole and the rest counted:
//! under overload the log must not become the load.

use crate::writer::{BoundedSender, Writer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{dispatcher, info, Dispatch};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait for the writer.
const MAX_QUEUED_LINES: usize = 128;
/// Of a topic, so many lines are written whole in such a span.
const LINES_PER_WINDOW: u64 = 8;
const WINDOW: Duration = Duration::from_secs(10);
/// A topic with no line for so long is over.
const TOPIC_EXPIRY: Duration = Duration::from_secs(2);

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
    /// By topic; the names are the program's own, and so few.
    topics: Rc<RefCell<BTreeMap<&'static str, Topic>>>,
}

/// Lines alike, from the first until there was none for a while.
#[derive(Debug)]
struct Topic {
    started_at: Instant,
    count: u64,
    window_start: Instant,
    written_in_window: u64,
    omitted: u64,
    last: Instant,
    text: String,
}

impl Topic {
    fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            count: 0,
            window_start: now,
            written_in_window: 0,
            omitted: 0,
            last: now,
            text: String::new(),
        }
    }

    /// Counts a line; whether it is to be written whole.
    fn admit(&mut self, now: Instant, text: &str) -> bool {
        (self.count, self.last) = (self.count + 1, now);
        if now - self.window_start >= WINDOW {
            (self.window_start, self.written_in_window) = (now, 0);
        }
        let admitted = self.written_in_window < LINES_PER_WINDOW;
        if admitted {
            self.written_in_window += 1;
        } else {
            self.omitted += 1;
            text.clone_into(&mut self.text);
        }
        admitted
    }

    /// What there is to say of lines that were left out: once a window, and at the end.
    fn summary(&mut self, now: Instant) -> Option<String> {
        let due = now - self.window_start >= WINDOW || now - self.last >= TOPIC_EXPIRY;
        if !due || self.omitted == 0 {
            return None;
        }
        let omitted = std::mem::take(&mut self.omitted);
        let (count, took) = (self.count, (self.last - self.started_at).as_secs_f64());
        Some(format!(
            "{omitted} more lines left out, {count} in {took:.1} s; the last: {}",
            self.text
        ))
    }
}

impl Log {
    /// A log that writes through `writer`.
    pub(crate) fn new(writer: &Writer, format: LogFormat) -> Self {
        let sink = Sink {
            sender: Arc::new(writer.sender(MAX_QUEUED_LINES)),
            lost: Arc::default(),
            format,
        };
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

    /// Writes a line of a topic that may have very many: past a few they are counted, and [`Log::report_suppressed`] tells of them.
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

    /// Tells what was left out, where that is due; to be called about each second.
    pub fn report_suppressed(&self) {
        let now = Instant::now();
        let mut due = Vec::new();
        self.topics.borrow_mut().retain(|name, topic| {
            due.extend(topic.summary(now).map(|text| format!("{name}: {text}")));
            now - topic.last < TOPIC_EXPIRY
        });
        due.iter().for_each(|text| self.line(text));
    }
}

/// Where lines go.
#[derive(Clone, Debug)]
struct Sink {
    sender: Arc<BoundedSender>,
    lost: Arc<AtomicU64>,
    format: LogFormat,
}

impl<'a> MakeWriter<'a> for Sink {
    type Writer = Line;
    fn make_writer(&'a self) -> Line {
        Line {
            sink: self.clone(),
            bytes: Vec::new(),
        }
    }
}

/// One line: it goes out whole, when it is dropped.
struct Line {
    sink: Sink,
    bytes: Vec<u8>,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        let Sink {
            sender,
            lost,
            format,
        } = &self.sink;
        let lost_lines = lost.load(Ordering::Relaxed);
        let mut lines = match (lost_lines, format) {
            (0, _) => Vec::new(),
            (_, LogFormat::Text) => {
                format!("{lost_lines} lines of the log are lost: standard error is not read\n")
                    .into_bytes()
            }
            (_, LogFormat::Json) => {
                format!("{{\"level\":\"WARN\",\"lost\":{lost_lines}}}\n").into_bytes()
            }
        };
        lines.extend_from_slice(&line);
        // Where it cannot be written there is nowhere to report that to.
        let queued = sender.try_send(move |stderr| drop(stderr.write_all(&lines)));
        lost.store(if queued { 0 } else { lost_lines + 1 }, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
