//! A hierarchical timing wheel (G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels",
//! SOSP 1987, scheme 7).
//!
//! - Resolution: one tick of 10 ms. A timer never fires early, and fires less than one tick late.
//! - Cost: setting and cancelling take constant time, whatever the number of timers. A timer moves
//!   at most `LEVELS - 1` times before it fires, and once more for each 46 h (`MAX_TICKS_AHEAD`) of
//!   its delay.
//! - Memory: 20 bytes for each id, up to the highest one used.
//!
//! Timers that are due at the same time can be fired in batches.

use crate::linked_lists::LinkedLists;
use std::time::Duration;

/// Duration of a tick, in milliseconds.
const TICK_MILLIS: u64 = 10;
/// Duration of a tick, in microseconds.
const TICK_MICROS: u64 = TICK_MILLIS * 1_000;
/// Number of bits of a tick that select the slot in one level.
const SLOT_BITS: u32 = 6;
/// Slots per level; equals the number of bits of the word that marks occupied slots.
const SLOTS: u64 = 1 << SLOT_BITS;
/// Number of levels, whose slots span 10 ms, 640 ms, 41 s and 44 min.
const LEVELS: u32 = 4;
/// Maximum distance of a slot from the current tick, in ticks. A timer with a longer delay is
/// placed at this distance, and placed again when that slot is reached.
const MAX_TICKS_AHEAD: u64 = (SLOTS - 1) * ticks_per_slot(LEVELS - 1);

/// A set of timers, at most one for each id.
#[derive(Clone, Debug)]
pub struct TimerWheel {
    /// One list for each slot of each level.
    slots: LinkedLists,
    /// Tick at which the timer of each id fires.
    due_ticks: Vec<u64>,
    /// Bitmap of the slots that contain timers, for each level.
    occupied: [u64; LEVELS as usize],
    /// Tick being processed; all earlier ticks are complete.
    current_tick: u64,
    /// Number of timers that are set.
    len: usize,
}

impl Default for TimerWheel {
    fn default() -> Self {
        Self {
            slots: LinkedLists::new((SLOTS * u64::from(LEVELS)) as usize),
            due_ticks: Vec::new(),
            occupied: [0; LEVELS as usize],
            current_tick: 0,
            len: 0,
        }
    }
}

impl TimerWheel {
    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Checks whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the timer of an id to fire at `at`, replacing its previous timer.
    pub fn set(&mut self, id: u32, at: Duration) {
        // Rounded up, so that the timer never fires early.
        let due_tick = (at.as_micros() as u64).div_ceil(TICK_MICROS);
        if self.due_ticks.len() <= id as usize {
            self.due_ticks.resize(id as usize + 1, 0);
        }
        self.due_ticks[id as usize] = due_tick.max(self.current_tick);
        self.cancel(id);
        self.len += 1;
        self.insert_into_slot(id);
    }

    /// Cancels the timer of an id. Returns `false` if no timer was set.
    pub fn cancel(&mut self, id: u32) -> bool {
        let was_set = self.remove_from_slot(id);
        self.len -= usize::from(was_set);
        was_set
    }

    /// Fires the timers that are due at `now` and appends their ids to `fired`.
    ///
    /// Performs at most `max_steps` steps, one for each timer that fires or moves to a lower level.
    /// Returns `false` if work remains for this time; the caller then calls again.
    pub fn advance(&mut self, now: Duration, max_steps: usize, fired: &mut Vec<u32>) -> bool {
        let last_tick = now.as_millis() as u64 / TICK_MILLIS;
        if self.len == 0 {
            self.current_tick = self.current_tick.max(last_tick);
        }
        let mut steps_left = max_steps;
        while self.current_tick <= last_tick {
            if !self.cascade(&mut steps_left) || !self.fire(&mut steps_left, fired) {
                return false;
            }
            if self.current_tick == last_tick {
                break;
            }
            self.current_tick = self.next_occupied_tick().min(last_tick);
        }
        true
    }

    /// Moves timers from the slots of the upper levels that begin at the current tick to lower
    /// levels. Returns `false` if no steps are left.
    ///
    /// The next call resumes a slot that was not emptied: no timer is placed in that slot again.
    fn cascade(&mut self, steps_left: &mut usize) -> bool {
        let tick = self.current_tick;
        for level in (1..LEVELS).rev() {
            if !tick.is_multiple_of(ticks_per_slot(level)) {
                continue;
            }
            let slot = slot_index(level, tick);
            while let Some(id) = self.slots.first(slot) {
                if !take_step(steps_left) {
                    return false;
                }
                self.remove_from_slot(id);
                self.insert_into_slot(id);
            }
        }
        true
    }

    /// Fires the timers of the current tick. Returns `false` if no steps are left.
    fn fire(&mut self, steps_left: &mut usize, fired: &mut Vec<u32>) -> bool {
        let slot = slot_index(0, self.current_tick);
        while let Some(id) = self.slots.first(slot) {
            if !take_step(steps_left) {
                return false;
            }
            self.cancel(id);
            fired.push(id);
        }
        true
    }

    /// Returns the next tick at which a timer may fire or move. While the lowest levels are empty,
    /// this is the start of the next slot of the level above them.
    fn next_occupied_tick(&self) -> u64 {
        let empty_levels = self.occupied.iter().take_while(|bits| **bits == 0).count() as u32;
        let step = ticks_per_slot(empty_levels.min(LEVELS - 1));
        (self.current_tick / step + 1) * step
    }

    /// Inserts an id into the slot of its due tick, in the lowest level that covers that tick.
    fn insert_into_slot(&mut self, id: u32) {
        let due_tick = self.due_ticks[id as usize];
        let tick = due_tick.min(self.current_tick + MAX_TICKS_AHEAD);
        let ticks_ahead = tick - self.current_tick;
        let level = (0..LEVELS - 1)
            .find(|level| ticks_ahead < ticks_per_slot(level + 1))
            .unwrap_or(LEVELS - 1);
        self.occupied[level as usize] |= 1 << slot_in_level(level, tick);
        self.slots.push_back(slot_index(level, tick), id);
    }

    /// Removes an id from its slot. Returns `false` if it is in no slot.
    fn remove_from_slot(&mut self, id: u32) -> bool {
        let Some(slot) = self.slots.list_of(id) else {
            return false;
        };
        self.slots.remove(id);
        if self.slots.is_empty(slot) {
            self.occupied[slot / SLOTS as usize] &= !(1 << (slot as u64 % SLOTS));
        }
        true
    }
}

/// Returns the number of ticks that a slot of a level spans.
const fn ticks_per_slot(level: u32) -> u64 {
    SLOTS.pow(level)
}

/// Returns the slot of a level that contains a tick, from 0 to `SLOTS - 1`.
const fn slot_in_level(level: u32, tick: u64) -> u64 {
    (tick >> (SLOT_BITS * level)) % SLOTS
}

/// Returns the index, among the slots of all levels, of the slot that contains a tick.
const fn slot_index(level: u32, tick: u64) -> usize {
    (level as u64 * SLOTS + slot_in_level(level, tick)) as usize
}

/// Consumes one of the remaining steps. Returns `false` if none remains.
fn take_step(steps_left: &mut usize) -> bool {
    match steps_left.checked_sub(1) {
        Some(left) => {
            *steps_left = left;
            true
        }
        None => false,
    }
}
