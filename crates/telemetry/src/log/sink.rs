//! The way of the log's lines from the subscriber to the writer.

use super::LogFormat;
use crate::writer::BoundedSender;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing_subscriber::fmt::MakeWriter;

/// Where lines go.
#[derive(Clone, Debug)]
pub(super) struct Sink {
    sender: Arc<BoundedSender>,
    /// Lines that did not fit the queue since the last one that did.
    lost_lines: Arc<AtomicU64>,
    format: LogFormat,
}

impl Sink {
    /// A sink that writes through `sender`, in the form that the subscriber's lines have.
    pub(super) fn new(sender: BoundedSender, format: LogFormat) -> Self {
        Self {
            sender: Arc::new(sender),
            lost_lines: Arc::default(),
            format,
        }
    }

    /// Hands a line to the writer, behind the notice of lines lost before it. Never waits.
    fn send(&self, line: &[u8]) {
        let lost_lines = self.lost_lines.load(Ordering::Relaxed);
        let mut bytes = self.loss_notice(lost_lines).into_bytes();
        bytes.extend_from_slice(line);
        // Where it cannot be written there is nowhere to report that to.
        let queued = self
            .sender
            .try_send(move |stderr| drop(stderr.write_all(&bytes)));
        let lost_lines = if queued { 0 } else { lost_lines + 1 };
        self.lost_lines.store(lost_lines, Ordering::Relaxed);
    }

    /// The notice of so many lost lines, a line; empty where there are none.
    fn loss_notice(&self, lost_lines: u64) -> String {
        match (lost_lines, self.format) {
            (0, _) => String::new(),
            (_, LogFormat::Text) => {
                format!("{lost_lines} lines of the log are lost: standard error is not read\n")
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

/// One line: it goes out whole, when it is dropped.
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
