//! Batches of lines on their way out, one at a time, and the count of those that got lost.

use super::line::MetricKind;
use super::output::Output;
use super::{Metrics, State};
use std::io::Write as _;
use std::sync::PoisonError;

/// A batch on its way to the writer.
#[derive(Clone, Copy, Default)]
pub(super) struct InFlightBatch {
    pub(super) bytes: usize,
    dropped: u64,
    pushed_out: u64,
}

impl Metrics {
    /// Sends batches while one is full or due and none is on its way.
    pub(super) fn send_batches(&self, state: &mut State) {
        while state.in_flight.is_none() && (state.lines.len() >= self.batch || state.due_bytes > 0)
        {
            let batch = self.next_batch(state);
            match &self.output {
                Output::Udp(socket) => {
                    let sent = socket.send(batch.trim_ascii_end());
                    self.batch_finished(state, sent.is_ok());
                }
                Output::Queue {
                    sender,
                    file,
                    results,
                } => {
                    let (file, results) = (file.clone(), results.clone());
                    let queued = sender.try_send(move |stderr| {
                        let written = match &file {
                            None => stderr.write_all(&batch),
                            Some(file) => file
                                .lock()
                                .unwrap_or_else(PoisonError::into_inner)
                                .write(&batch),
                        };
                        // The node may have stopped meanwhile.
                        let _ = results.send(written.is_ok());
                    });
                    if !queued {
                        self.batch_finished(state, false);
                    }
                }
            }
        }
    }

    /// The oldest lines that make a batch, and before them what was lost so far.
    pub(super) fn next_batch(&self, state: &mut State) -> Vec<u8> {
        let mut batch = Vec::with_capacity(self.batch);
        let (dropped, pushed_out) = (state.dropped, state.pushed_out);
        for (name, count) in [
            ("figures.dropped", dropped),
            ("figures.pushed_out", pushed_out),
        ] {
            if count > 0 {
                batch.extend(
                    self.format_line(state, name, &[], count, MetricKind::Counter)
                        .bytes(),
                );
            }
        }
        let remaining_bytes = self.batch - batch.len();
        let mut line_ends = state
            .lines
            .iter()
            .enumerate()
            .take(remaining_bytes)
            .filter(|(_, &byte)| byte == b'\n');
        let taken = line_ends.next_back().map_or(0, |(end, _)| end + 1);
        batch.extend(state.lines.drain(..taken));
        state.due_bytes = state.due_bytes.saturating_sub(taken);
        state.in_flight = Some(InFlightBatch {
            bytes: batch.len(),
            dropped,
            pushed_out,
        });
        batch
    }

    pub(super) fn batch_finished(&self, state: &mut State, succeeded: bool) {
        let batch = state.in_flight.take().unwrap_or_default();
        if succeeded {
            state.dropped -= batch.dropped;
            state.pushed_out -= batch.pushed_out;
        } else {
            state.dropped += 1;
            state.dropped_total += 1;
        }
    }
}
