//! Slow start: a new endpoint's capacity grows over time, and no more is sent to it meanwhile than
//! it can take.
//!
//! The textbook's slow start raises a new host's weight. Here the weight grows the same way, and
//! beside it each node keeps a hard budget of sends to an endpoint that warms up: one sent too much
//! by all nodes together falls over and never comes back. Each node sends its part of what the
//! endpoint's size should get of the good answers seen here, in slots of half the window that the
//! endpoint counts in; fractions are rounded by seed, and nothing is saved up.

use crate::api::{Endpoint, Settings, Timestamp};
use crate::decay::DECAY_TIME;

/// Fraction of the stated overload factor that is used: a window can touch three slots of half a
/// window.
const OVERLOAD_FACTOR_FRACTION: f64 = 0.7;
/// Slots that a window is divided into.
const SLOTS_PER_WINDOW: u64 = 2;
/// Least warm-up time, in seconds: it is divided by.
const MIN_WARM_UP: f64 = 1e-6;

/// Sends to an endpoint in the latest slot that had one.
#[derive(Debug)]
pub(crate) struct SlotUsage {
    slot: u64,
    sends: u32,
}

impl SlotUsage {
    /// A slot with nothing left: what an endpoint was sent before it was dropped is forgotten, so
    /// that one that warms up waits for the next slot.
    pub(crate) fn exhausted(slot: u64) -> Self {
        Self {
            slot,
            sends: u32::MAX,
        }
    }

    /// Counts a send in this slot.
    pub(crate) fn record_send(&mut self, slot: u64) {
        self.sends = self.sends_in(slot).saturating_add(1);
        self.slot = slot;
    }

    /// Sends in this slot.
    pub(crate) fn sends_in(&self, slot: u64) -> u32 {
        if self.slot == slot {
            self.sends
        } else {
            0
        }
    }
}

/// The slow-start factor, from 0 to 1: the fraction of its full capacity that the endpoint has by
/// now.
pub(crate) fn warmth(settings: &Settings, endpoint: &Endpoint, now: Timestamp) -> f64 {
    let duration = settings.slow_start_duration.as_secs_f64().max(MIN_WARM_UP);
    let age = endpoint
        .started
        .map_or(duration, |at| now.since(at).as_secs_f64());
    let least = settings.slow_start_min_capacity;
    (least + (1.0 - least) * age / duration).min(1.0)
}

/// Number of the slot of time that `now` is in.
pub(crate) fn slot_at(settings: &Settings, now: Timestamp) -> u64 {
    let window = settings.slow_start_overload_window.as_micros() as u64;
    now.as_micros() / (window / SLOTS_PER_WINDOW).max(1)
}

/// Sends per slot that an endpoint may get which has this share of the fleet's capacity.
/// `good_answers` are the good ends of the last [`DECAY_TIME`].
pub(crate) fn slot_budget(settings: &Settings, good_answers: f64, share: f64) -> f64 {
    let windows = settings.slow_start_overload_window.as_secs_f64() / DECAY_TIME.as_secs_f64();
    good_answers * windows / SLOTS_PER_WINDOW as f64
        * share
        * settings.slow_start_overload_factor
        * OVERLOAD_FACTOR_FRACTION
}
