//! A hierarchical timing wheel (G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987, scheme
//! 7).
//!
//! - Resolution: one tick of 10 ms. A timer never fires early, and less than one tick late.
//! - Cost: setting and cancelling take constant time, whatever the number of timers. A timer moves at most `LEVELS - 1`
//!   times before it fires, and once more for each 46 h (`MAX_TICKS_AHEAD`) that it lies ahead.
//! - Memory: 20 bytes for each id, up to the highest one used.
//!
//! Timers that fall due together can be fired in parts.

use crate::linked_lists::LinkedLists;
use std::time::Duration;

/// Length of a tick, in milliseconds.
const TICK_MILLIS: u64 = 10;
/// Length of a tick, in microseconds.
const TICK_MICROS: u64 = TICK_MILLIS * 1_000;
/// Bits of a tick's number that select the slot of one level.
const SLOT_BITS: u32 = 6;
/// Slots of a level: as many as the bits of a word, which marks those in use.
const SLOTS: u64 = 1 << SLOT_BITS;
/// Levels, whose slots span 10 ms, 640 ms, 41 s and 44 min.
const LEVELS: u32 = 4;
/// The furthest ahead that a timer is placed, in ticks; one that lies further ahead is placed here, and anew from here.
const MAX_TICKS_AHEAD: u64 = (SLOTS - 1) * ticks_per_slot(LEVELS - 1);

/// Timers, at most one for each id.
#[derive(Clone, Debug)]
pub struct TimerWheel {
    /// A list for each slot of each level.
    slots: LinkedLists,
    /// The tick at which each id's timer fires.
    due_ticks: Vec<u64>,
    /// A bit for each slot of a level that has timers.
    occupied: [u64; LEVELS as usize],
    /// The tick that is being processed; all earlier ones are done.
    current_tick: u64,
    /// Number of timers.
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
    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the timer of an id to fire at `at`, in place of the one that it had.
    pub fn set(&mut self, id: u32, at: Duration) {
        // Rounded up, so that it never fires early.
        let due_tick = (at.as_micros() as u64).div_ceil(TICK_MICROS);
        if self.due_ticks.len() <= id as usize {
            self.due_ticks.resize(id as usize + 1, 0);
        }
        self.due_ticks[id as usize] = due_tick.max(self.current_tick);
        self.cancel(id);
        self.len += 1;
        self.place(id);
    }

    /// Cancels the timer of an id. `false` where none was set.
    pub fn cancel(&mut self, id: u32) -> bool {
        let was_set = self.unplace(id);
        self.len -= usize::from(was_set);
        was_set
    }

    /// Fires the timers that are due at `now`: their ids are appended to `fired`.
    ///
    /// Does at most `max_steps` steps, one for each timer that fires or moves to a lower level. `false` where there is
    /// more to do at this time: call it again.
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

    /// Moves the timers of the upper levels' slots that begin at the current tick to the levels below. `false` where no
    /// steps are left.
    ///
    /// A slot that is left half empty is resumed by the next call: none of its timers is placed in it again.
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
                self.unplace(id);
                self.place(id);
            }
        }
        true
    }

    /// Fires the timers of the current tick. `false` where no steps are left.
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

    /// The next tick at which a timer may fire or move: while the lowest levels are empty, nothing happens before the
    /// next slot of the level above them begins.
    fn next_occupied_tick(&self) -> u64 {
        let empty_levels = self.occupied.iter().take_while(|bits| **bits == 0).count() as u32;
        let step = ticks_per_slot(empty_levels.min(LEVELS - 1));
        (self.current_tick / step + 1) * step
    }

    /// Puts an id into the slot of its due tick, on the lowest level that reaches it.
    fn place(&mut self, id: u32) {
        let due_tick = self.due_ticks[id as usize];
        let tick = due_tick.min(self.current_tick + MAX_TICKS_AHEAD);
        let ahead = tick - self.current_tick;
        let level = (0..LEVELS - 1)
            .find(|level| ahead < ticks_per_slot(level + 1))
            .unwrap_or(LEVELS - 1);
        self.occupied[level as usize] |= 1 << slot_in_level(level, tick);
        self.slots.push_back(slot_index(level, tick), id);
    }

    /// Takes an id out of its slot. `false` where it is in none.
    fn unplace(&mut self, id: u32) -> bool {
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

/// Ticks that a slot of a level spans.
const fn ticks_per_slot(level: u32) -> u64 {
    SLOTS.pow(level)
}

/// The slot of a level that holds a tick, from 0 to `SLOTS - 1`.
const fn slot_in_level(level: u32, tick: u64) -> u64 {
    (tick >> (SLOT_BITS * level)) % SLOTS
}

/// Index of that slot among those of all levels.
const fn slot_index(level: u32, tick: u64) -> usize {
    (level as u64 * SLOTS + slot_in_level(level, tick)) as usize
}

/// Takes one of the steps that are left; `false` where none is.
fn take_step(steps_left: &mut usize) -> bool {
    match steps_left.checked_sub(1) {
        Some(left) => {
            *steps_left = left;
            true
        }
        None => false,
    }
}
