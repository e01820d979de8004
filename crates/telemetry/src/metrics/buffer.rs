//! Bounded buffer of unsent lines: when the buffer is full, the oldest lines are evicted, and lost
//! lines and batches are counted.

use super::output::BatchResult;
use std::collections::VecDeque;

/// Maximum size of the unsent lines, including the batch being written.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Part of [`MAX_BUFFERED_BYTES`] reserved for the loss counters, which are added to a batch when
/// it is sent.
pub(super) const LOSS_COUNTER_BYTES: usize = 256;

/// Losses not yet reported in a written batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Losses {
    /// Number of batches that could not be written.
    pub(super) dropped_batches: u64,
    /// Number of lines evicted from a full buffer.
    pub(super) evicted_lines: u64,
}

/// A batch that the writer has not finished.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlightBatch {
    /// Length of the batch.
    pub(super) bytes: usize,
    /// Losses reported in the batch.
    losses: Losses,
}

/// Unsent lines, and the single batch being written.
pub(super) struct LineBuffer {
    pub(super) max_batch_bytes: usize,
    /// Complete lines, oldest first.
    pub(super) lines: VecDeque<u8>,
    /// Number of leading bytes marked as due by a flush: due lines are sent even if they do not
    /// fill a batch.
    due_bytes: usize,
    /// The batch being written.
    pub(super) in_flight: Option<InFlightBatch>,
    /// Losses not yet reported in a batch that was written.
    pub(super) losses: Losses,
    /// Number of batches that could not be written since the start.
    pub(super) total_dropped_batches: u64,
}

impl LineBuffer {
    /// Creates an empty buffer whose batches are at most `max_batch_bytes` long.
    pub(super) fn new(max_batch_bytes: usize) -> Self {
        Self {
            max_batch_bytes,
            lines: VecDeque::new(),
            due_bytes: 0,
            in_flight: None,
            losses: Losses::default(),
            total_dropped_batches: 0,
        }
    }

    /// Adds a complete line, evicting the oldest lines if needed. Returns `false` if the line does
    /// not fit even then.
    pub(super) fn push(&mut self, line: &str) -> bool {
        let in_flight_bytes = self.in_flight.map_or(0, |batch| batch.bytes);
        let max_pending_bytes = MAX_BUFFERED_BYTES - LOSS_COUNTER_BYTES;
        while self.lines.len() + in_flight_bytes + line.len() > max_pending_bytes {
            // Only one batch is in flight at a time, so the other buffered bytes are queued lines,
            // which can be evicted.
            if !self.evict_oldest_line() {
                return false;
            }
        }
        self.reserve(line.len());
        self.lines.extend(line.as_bytes());
        true
    }

    /// Evicts the oldest queued line. Returns `false` if no line is queued.
    fn evict_oldest_line(&mut self) -> bool {
        let Some(end) = self.lines.iter().position(|&byte| byte == b'\n') else {
            return false;
        };
        let line_bytes = end + 1;
        self.lines.drain(..line_bytes);
        self.due_bytes = self.due_bytes.saturating_sub(line_bytes);
        self.losses.evicted_lines += 1;
        true
    }

    /// Reserves capacity for `additional` more bytes: a queue that grows on demand could take twice
    /// the limit.
    fn reserve(&mut self, additional: usize) {
        let needed = self.lines.len() + additional;
        if needed > self.lines.capacity() {
            let capacity = needed.next_power_of_two().min(MAX_BUFFERED_BYTES);
            self.lines.reserve_exact(capacity - self.lines.len());
        }
    }

    /// Checks whether the buffer is so full that counters should stay merged instead of being
    /// emitted as lines.
    pub(super) fn is_half_full(&self) -> bool {
        self.lines.len() >= MAX_BUFFERED_BYTES / 2
    }

    /// Checks whether lines are queued or a batch is being written.
    pub(super) fn has_unsent(&self) -> bool {
        self.in_flight.is_some() || !self.lines.is_empty()
    }

    /// Marks all queued lines as due, even if they do not fill a batch.
    pub(super) fn mark_all_due(&mut self) {
        self.due_bytes = self.lines.len();
    }

    /// Checks whether a batch should be sent now: no batch is being written, and a batch is full or
    /// due.
    pub(super) fn batch_ready(&self) -> bool {
        self.in_flight.is_none() && (self.lines.len() >= self.max_batch_bytes || self.due_bytes > 0)
    }

    /// Takes the oldest lines that fit in a batch, after `loss_lines`, the counters of the current
    /// losses. The batch counts as being written until [`LineBuffer::batch_finished`].
    pub(super) fn next_batch(&mut self, loss_lines: &str) -> Vec<u8> {
        let mut batch = Vec::with_capacity(self.max_batch_bytes);
        batch.extend(loss_lines.bytes());
        let remaining_bytes = self.max_batch_bytes - batch.len();
        let mut line_ends = self
            .lines
            .iter()
            .enumerate()
            .take(remaining_bytes)
            .filter(|(_, &byte)| byte == b'\n');
        let taken = line_ends.next_back().map_or(0, |(end, _)| end + 1);
        batch.extend(self.lines.drain(..taken));
        self.due_bytes = self.due_bytes.saturating_sub(taken);
        self.in_flight = Some(InFlightBatch {
            bytes: batch.len(),
            losses: self.losses,
        });
        batch
    }

    /// Ends the current batch. If it was written, the losses that it reports are cleared; if not,
    /// the batch itself counts as dropped.
    pub(super) fn batch_finished(&mut self, result: BatchResult) {
        let batch = self.in_flight.take().unwrap_or_default();
        match result {
            BatchResult::Written => {
                self.losses.dropped_batches -= batch.losses.dropped_batches;
                self.losses.evicted_lines -= batch.losses.evicted_lines;
            }
            BatchResult::Dropped => {
                self.losses.dropped_batches += 1;
                self.total_dropped_batches += 1;
            }
        }
    }
}
