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
const LINES: usize = 128;
/// Of a topic, so many lines are written whole in such a span.
const WHOLE: u64 = 8;
const SPAN: Duration = Duration::from_secs(10);
/// A topic with no line for so long is over.
const QUIET: Duration = Duration::from_secs(2);

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
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
    often: Rc<RefCell<BTreeMap<&'static str, Topic>>>,
}

/// Lines alike, from the first until there was none for a while.
#[derive(Debug)]
struct Topic {
    began: Instant,
    count: u64,
    span: Instant,
    whole: u64,
    left_out: u64,
    last: Instant,
    text: String,
}

impl Topic {
    fn new(now: Instant) -> Self {
        Self { began: now, count: 0, span: now, whole: 0, left_out: 0, last: now, text: String::new() }
    }

    /// Counts a line; whether it is to be written whole.
    fn take(&mut self, now: Instant, text: &str) -> bool {
        (self.count, self.last) = (self.count + 1, now);
        if now - self.span >= SPAN {
            (self.span, self.whole) = (now, 0);
        }
        let whole = self.whole < WHOLE;
        if whole {
            self.whole += 1;
        } else {
            self.left_out += 1;
            text.clone_into(&mut self.text);
        }
        whole
    }

    /// What there is to say of lines that were left out: once a span, and at the end.
    fn turn(&mut self, now: Instant) -> Option<String> {
        let due = now - self.span >= SPAN || now - self.last >= QUIET;
        if !due || self.left_out == 0 {
            return None;
        }
        let left_out = std::mem::take(&mut self.left_out);
        let (count, took) = (self.count, (self.last - self.began).as_secs_f64());
        Some(format!("{left_out} more lines left out, {count} in {took:.1} s; the last: {}", self.text))
    }
}

impl Log {
    /// A log that writes through `writer`.
    pub(crate) fn new(writer: &Writer, format: Format) -> Self {
        let sink = Sink { sender: Arc::new(writer.sender(LINES)), lost: Arc::default(), format };
        let lines = tracing_subscriber::fmt().with_writer(sink).with_ansi(false).with_target(false);
        let lines = match format {
            Format::Text => Dispatch::new(lines.with_level(false).without_time().finish()),
            Format::Json => Dispatch::new(lines.json().flatten_event(true).finish()),
        };
        Self { lines, often: Rc::default() }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        // Its own subscriber, and no global one: a process may hold several nodes.
        dispatcher::with_default(&self.lines, || info!("{text}"));
    }

    /// Writes a line of a topic that may have very many: past a few they are counted, and [`Log::turn`] tells of them.
    pub fn often(&self, topic: &'static str, text: &str) {
        let now = Instant::now();
        let whole = self.often.borrow_mut().entry(topic).or_insert_with(|| Topic::new(now)).take(now, text);
        if whole {
            self.line(text);
        }
    }

    /// Tells what was left out, where that is due; to be called about each second.
    pub fn turn(&self) {
        let now = Instant::now();
        let mut due = Vec::new();
        self.often.borrow_mut().retain(|name, topic| {
            due.extend(topic.turn(now).map(|text| format!("{name}: {text}")));
            now - topic.last < QUIET
        });
        due.iter().for_each(|text| self.line(text));
    }
}

/// Where lines go.
#[derive(Clone, Debug)]
struct Sink {
    sender: Arc<BoundedSender>,
    lost: Arc<AtomicU64>,
    format: Format,
}

impl<'a> MakeWriter<'a> for Sink {
    type Writer = Line;
    fn make_writer(&'a self) -> Line {
        Line { sink: self.clone(), bytes: Vec::new() }
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
        let Sink { sender, lost, format } = &self.sink;
        let missing = lost.load(Ordering::Relaxed);
        let mut lines = match (missing, format) {
            (0, _) => Vec::new(),
            (_, Format::Text) => {
                format!("{missing} lines of the log are lost: standard error is not read\n").into_bytes()
            }
            (_, Format::Json) => format!("{{\"level\":\"WARN\",\"lost\":{missing}}}\n").into_bytes(),
        };
        lines.extend_from_slice(&line);
        // Where it cannot be written there is nowhere to report that to.
        let queued = sender.try_send(move |stderr| drop(stderr.write_all(&lines)));
        lost.store(if queued { 0 } else { missing + 1 }, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
