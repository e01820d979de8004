//! Emission of metrics: formatting as lines, buffering, and sending in batches.

use super::buffer::LineBuffer;
use super::line::{LineFormatter, Metric};
use super::output::{BatchResult, Output, SendOutcome};

/// Formats metrics and sends them in batches, one at a time.
pub(super) struct Emitter {
    pub(super) formatter: LineFormatter,
    pub(super) buffer: LineBuffer,
    output: Output,
}

impl Emitter {
    /// Creates an emitter that has sent nothing.
    pub(super) const fn new(formatter: LineFormatter, buffer: LineBuffer, output: Output) -> Self {
        Self {
            formatter,
            buffer,
            output,
        }
    }

    /// Adds a metric, and sends a batch if the metric fills one.
    pub(super) fn emit(&mut self, metric: &Metric) {
        let line = self.formatter.format(metric);
        if self.buffer.push(&line) {
            self.send_batches();
        }
    }

    /// Sends all buffered lines, as far as the output accepts them.
    pub(super) fn flush(&mut self) {
        self.buffer.mark_all_due();
        self.send_batches();
    }

    /// Sends batches while one is full or due and no batch is being written.
    pub(super) fn send_batches(&mut self) {
        while self.buffer.batch_ready() {
            let batch = self.next_batch();
            match self.output.send(batch) {
                SendOutcome::Finished(result) => self.batch_finished(result),
                SendOutcome::InFlight => {}
            }
        }
    }

    /// Returns the oldest lines that fit in a batch, after the counters of the losses so far.
    pub(super) fn next_batch(&mut self) -> Vec<u8> {
        let losses = self.buffer.losses;
        let mut loss_lines = String::new();
        for (name, count) in [
            ("figures.dropped", losses.dropped_batches),
            ("figures.pushed_out", losses.evicted_lines),
        ] {
            if count > 0 {
                loss_lines += &self.formatter.format(&Metric::counter(name, &[], count));
            }
        }
        self.buffer.next_batch(&loss_lines)
    }

    /// Handles the result of the batch that was being written.
    pub(super) fn batch_finished(&mut self, result: BatchResult) {
        self.buffer.batch_finished(result);
    }
}
