//! Lines that wait to go out, in bounded memory: the oldest are evicted, and what is lost is counted.

use super::output::BatchResult;
use std::collections::VecDeque;

/// What waits to go out, the batch that is being written included, is never more bytes than this.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Of these, kept free for the counters of what was lost, which a batch gets as it goes out.
pub(super) const LOSS_COUNTER_BYTES: usize = 256;

/// Losses not yet reported in a written batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Losses {
    /// Batches that could not be written.
    pub(super) dropped_batches: u64,
    /// Lines that were evicted from a full buffer.
    pub(super) evicted_lines: u64,
}

/// A batch on its way to the writer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlightBatch {
    /// Its length.
    pub(super) bytes: usize,
    /// The losses that it counts.
    losses: Losses,
}

/// Lines that wait, and the one batch that is being written.
pub(super) struct LineBuffer {
    pub(super) max_batch_bytes: usize,
    /// Whole lines, the oldest first.
    pub(super) lines: VecDeque<u8>,
    /// So many of these bytes have waited for a flush: they go out also where they fill no batch.
    due_bytes: usize,
    /// The batch that is being written.
    pub(super) in_flight: Option<InFlightBatch>,
    /// What was lost and not yet counted in a batch that got out.
    pub(super) losses: Losses,
    /// Batches that could not be written, since the start.
    pub(super) total_dropped_batches: u64,
}

impl LineBuffer {
    /// An empty buffer, whose batches are no longer than `max_batch_bytes`.
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

    /// Adds a whole line, for which the oldest ones are evicted if need be. `false` where even so it does not fit.
    pub(super) fn push(&mut self, line: &str) -> bool {
        let in_flight_bytes = self.in_flight.map_or(0, |batch| batch.bytes);
        let max_waiting = MAX_BUFFERED_BYTES - LOSS_COUNTER_BYTES;
        while self.lines.len() + in_flight_bytes + line.len() > max_waiting {
            // At most a batch is being written, so some line of those that wait can go.
            if !self.evict_oldest_line() {
                return false;
            }
        }
        self.reserve(line.len());
        self.lines.extend(line.as_bytes());
        true
    }

    /// `false` where no line waits.
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

    /// Makes room for so many more bytes: grown by itself, the queue could take twice its bound.
    fn reserve(&mut self, additional: usize) {
        let needed = self.lines.len() + additional;
        if needed > self.lines.capacity() {
            let capacity = needed.next_power_of_two().min(MAX_BUFFERED_BYTES);
            self.lines.reserve_exact(capacity - self.lines.len());
        }
    }

    /// Whether so much waits that counters are to be kept merged and no lines emitted for them.
    pub(super) fn is_half_full(&self) -> bool {
        self.lines.len() >= MAX_BUFFERED_BYTES / 2
    }

    /// Whether something waits or is being written.
    pub(super) fn has_unsent(&self) -> bool {
        self.in_flight.is_some() || !self.lines.is_empty()
    }

    /// Has all that waits now go out, also where it fills no batch.
    pub(super) fn mark_all_due(&mut self) {
        self.due_bytes = self.lines.len();
    }

    /// Whether a batch is to go out now: none is being written, and one is full or due.
    pub(super) fn batch_ready(&self) -> bool {
        self.in_flight.is_none() && (self.lines.len() >= self.max_batch_bytes || self.due_bytes > 0)
    }

    /// Takes the oldest lines that make a batch, behind `loss_lines`, the counters of the present losses. It is being written
    /// until [`LineBuffer::batch_finished`].
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

    /// The batch is written, and with it the counters of losses, or it is lost itself.
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
