//! Slow start: a new endpoint's capacity grows over time, and the load sent to the endpoint stays
//! within its current capacity.
//!
//! The usual slow start raises a new host's weight. Here the weight grows the same way, and each
//! node also has a hard budget of sends to a warming endpoint: an endpoint that receives too many
//! requests from all nodes together becomes overloaded and does not recover. The budget follows
//! from the good outcomes at this node and the endpoint's share of the fleet's capacity. The budget
//! applies to one slot, which is half the window in which the endpoint's load is measured. A
//! fractional budget is rounded at random, by the node's seed, and unused budget does not carry
//! over to the next slot.

use crate::api::{Endpoint, Settings, Timestamp};
use crate::decay::DECAY_TIME;

/// Fraction of the configured overload factor that is used, because a window can overlap three
/// slots of half a window.
const OVERLOAD_FACTOR_FRACTION: f64 = 0.7;
/// Number of slots per window.
const SLOTS_PER_WINDOW: u64 = 2;
/// Minimum duration of slow start in seconds; prevents a division by zero.
const MIN_SLOW_START_SECONDS: f64 = 1e-6;

/// Number of sends to an endpoint in the latest slot with a send.
#[derive(Debug)]
pub(crate) struct SlotUsage {
    slot: u64,
    sends: u32,
}

impl SlotUsage {
    /// Returns a slot without remaining budget. The sends to an endpoint before its removal are not
    /// known, so a warming endpoint that is listed again gets no request before the next slot.
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

    /// Returns the number of sends in this slot.
    pub(crate) fn sends_in(&self, slot: u64) -> u32 {
        if self.slot == slot {
            self.sends
        } else {
            0
        }
    }
}

/// Returns the slow-start factor, from 0 to 1: the fraction of the endpoint's full capacity that is
/// available at `now`.
pub(crate) fn capacity_fraction(settings: &Settings, endpoint: &Endpoint, now: Timestamp) -> f64 {
    let duration = settings
        .slow_start_duration
        .as_secs_f64()
        .max(MIN_SLOW_START_SECONDS);
    let age = endpoint
        .started
        .map_or(duration, |at| now.since(at).as_secs_f64());
    let min_capacity = settings.slow_start_min_capacity;
    (min_capacity + (1.0 - min_capacity) * age / duration).min(1.0)
}

/// Returns the number of the slot that contains `now`.
pub(crate) fn slot_at(settings: &Settings, now: Timestamp) -> u64 {
    let window = settings.slow_start_overload_window.as_micros() as u64;
    now.as_micros() / (window / SLOTS_PER_WINDOW).max(1)
}

/// Returns the number of sends per slot to an endpoint with this share of the fleet's capacity.
/// `good_outcomes` is the number of good outcomes in the last [`DECAY_TIME`].
pub(crate) fn slot_budget(settings: &Settings, good_outcomes: f64, capacity_share: f64) -> f64 {
    let windows = settings.slow_start_overload_window.as_secs_f64() / DECAY_TIME.as_secs_f64();
    good_outcomes * windows / SLOTS_PER_WINDOW as f64
        * capacity_share
        * settings.slow_start_overload_factor
        * OVERLOAD_FACTOR_FRACTION
}
