//! Forwards log lines from the subscriber to the writer.

use super::LogFormat;
use crate::writer::BoundedSender;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing_subscriber::fmt::MakeWriter;

/// Destination of the log lines.
#[derive(Clone, Debug)]
pub(super) struct Sink {
    sender: Arc<BoundedSender>,
    /// Number of lines that did not fit in the queue since the last line that did.
    lost_lines: Arc<AtomicU64>,
    format: LogFormat,
}

impl Sink {
    /// Creates a sink that writes through `sender`; `format` must match the format of the
    /// subscriber's lines.
    pub(super) fn new(sender: BoundedSender, format: LogFormat) -> Self {
        Self {
            sender: Arc::new(sender),
            lost_lines: Arc::default(),
            format,
        }
    }

    /// Queues a line for the writer, preceded by a notice of earlier lost lines. Never blocks.
    fn send(&self, line: &[u8]) {
        let lost_lines = self.lost_lines.load(Ordering::Relaxed);
        let mut bytes = self.loss_notice(lost_lines).into_bytes();
        bytes.extend_from_slice(line);
        // A write error cannot be reported anywhere.
        let queued = self
            .sender
            .try_send(move |stderr| drop(stderr.write_all(&bytes)));
        let lost_lines = if queued { 0 } else { lost_lines + 1 };
        self.lost_lines.store(lost_lines, Ordering::Relaxed);
    }

    /// Returns a line that reports the number of lost lines; empty if no line was lost.
    fn loss_notice(&self, lost_lines: u64) -> String {
        match (lost_lines, self.format) {
            (0, _) => String::new(),
            (_, LogFormat::Text) => {
                format!("{lost_lines} log lines lost: standard error is not being read\n")
            }
            (_, LogFormat::Json) => format!("{{\"level\":\"WARN\",\"lost\":{lost_lines}}}\n"),
        }
    }
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

/// Buffer of one line, which is queued as a whole on drop.
pub(super) struct Line {
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
        self.sink.send(&self.bytes);
    }
}
