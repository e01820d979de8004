//! The node's own log: lines of text, or JSON objects, on standard error. Beside features that write there it goes
//! through their bounded writer: by itself, a line would stall the node behind theirs.

use crate::writer::{Lane, Writer};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing::{dispatcher, info, Dispatch};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait for the writer.
const LINES: usize = 128;

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
pub struct Log(Dispatch);

impl Log {
    /// A log that writes through `writer`, or straight to standard error.
    pub(crate) fn new(writer: Option<&Writer>, format: Format) -> Self {
        let sink = match writer {
            Some(writer) => Sink::Queued { lane: Arc::new(writer.lane(LINES)), lost: Arc::default(), format },
            None => Sink::Direct,
        };
        let lines = tracing_subscriber::fmt().with_writer(sink).with_ansi(false).with_target(false);
        Self(match format {
            Format::Text => Dispatch::new(lines.with_level(false).without_time().finish()),
            Format::Json => Dispatch::new(lines.json().flatten_event(true).finish()),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        // Its own subscriber, and no global one: a process may hold several nodes.
        dispatcher::with_default(&self.0, || info!("{text}"));
    }
}

/// Where lines go.
#[derive(Clone, Debug)]
enum Sink {
    Direct,
    Queued { lane: Arc<Lane>, lost: Arc<AtomicU64>, format: Format },
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
        // Where it cannot be written there is nowhere to report that to.
        match &self.sink {
            Sink::Direct => drop(io::stderr().lock().write_all(&line)),
            Sink::Queued { lane, lost, format } => {
                let missing = lost.load(Ordering::Relaxed);
                let mut lines = match (missing, format) {
                    (0, _) => Vec::new(),
                    (_, Format::Text) => {
                        format!("{missing} lines of the log are lost: standard error is not read\n")
                            .into_bytes()
                    }
                    (_, Format::Json) => format!("{{\"level\":\"WARN\",\"lost\":{missing}}}\n").into_bytes(),
                };
                lines.extend_from_slice(&line);
                let put = lane.put(move |stderr| drop(stderr.write_all(&lines)));
                lost.store(if put { 0 } else { missing + 1 }, Ordering::Relaxed);
            }
        }
    }
}
