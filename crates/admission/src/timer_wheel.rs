//! A hierarchical timing wheel (G. Varghese and T. Lauck, Hashed and Hierarchical Timing Wheels, SOSP 1987, scheme 7):
//! setting and cancelling a timer takes constant time whatever their number.
//!
//! Cost: 20 bytes for each number, up to the highest one used. A timer moves at most `LEVELS - 1` times before it fires,
//! and fires at most one tick late, never early. Work that falls due together is handed out in parts.

use crate::linked_lists::LinkedLists;
use std::time::Duration;

/// Milliseconds of a tick.
const TICK: u64 = 10;
const BITS: u32 = 6;
const SLOTS: u64 = 1 << BITS;
/// 64 slots of 10 ms, 640 ms, 41 s and 44 min: later timers wait in the last slot and are placed anew.
const LEVELS: u32 = 4;

/// Timers, one for each number.
#[derive(Clone, Debug)]
pub struct TimerWheel {
    lists: LinkedLists,
    /// The tick at which each fires.
    due: Vec<u64>,
    /// A bit for each slot that has timers.
    used: [u64; LEVELS as usize],
    /// The tick that is at work: those before it are done.
    at: u64,
    set: usize,
}

impl Default for TimerWheel {
    fn default() -> Self {
        let lists = LinkedLists::new((SLOTS * u64::from(LEVELS)) as usize);
        Self {
            lists,
            due: Vec::new(),
            used: [0; LEVELS as usize],
            at: 0,
            set: 0,
        }
    }
}

impl TimerWheel {
    /// How many are set.
    pub fn len(&self) -> usize {
        self.set
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.set == 0
    }

    /// Sets a number's timer, in place of the one it had.
    pub fn set(&mut self, id: u32, at: Duration) {
        // Rounded up: never early.
        let tick = (at.as_micros() as u64).div_ceil(TICK * 1000).max(self.at);
        if self.due.len() <= id as usize {
            self.due.resize(id as usize + 1, 0);
        }
        self.due[id as usize] = tick;
        self.cancel(id);
        self.set += 1;
        self.place(id);
    }

    /// Cancels it. `false` where none was set.
    pub fn cancel(&mut self, id: u32) -> bool {
        let was = self.take(id);
        self.set -= usize::from(was);
        was
    }

    fn take(&mut self, id: u32) -> bool {
        let Some(list) = self.lists.list(id) else {
            return false;
        };
        self.lists.remove(id);
        if self.lists.is_empty(list) {
            self.used[list / SLOTS as usize] &= !(1 << (list as u64 % SLOTS));
        }
        true
    }

    fn place(&mut self, id: u32) {
        // No further off than the last level reaches.
        let tick = self.due[id as usize].min(self.at + (SLOTS - 1) * SLOTS.pow(LEVELS - 1));
        let ahead = tick - self.at;
        let level = (0..LEVELS - 1)
            .find(|level| ahead < SLOTS.pow(level + 1))
            .unwrap_or(LEVELS - 1);
        let slot = (tick >> (BITS * level)) % SLOTS;
        self.used[level as usize] |= 1 << slot;
        self.lists.push(slot_list(level, slot), id);
    }

    /// Appends those that are due at `now` to `fired`, and does no more than `work` steps: one for each timer that
    /// fires or is moved. `false` where there is more to do now.
    pub fn advance(&mut self, now: Duration, mut work: usize, fired: &mut Vec<u32>) -> bool {
        let last = now.as_millis() as u64 / TICK;
        if self.set == 0 {
            self.at = self.at.max(last);
        }
        while self.at <= last {
            // What is due in the slots above comes down first. One that is left half emptied is taken up again: none of
            // what comes down lands in it anew.
            let at = self.at;
            for level in (1..LEVELS)
                .rev()
                .filter(|level| at.is_multiple_of(SLOTS.pow(*level)))
            {
                let list = slot_list(level, (at >> (BITS * level)) % SLOTS);
                while let Some(id) = self.lists.first(list) {
                    if work == 0 {
                        return false;
                    }
                    work -= 1;
                    self.take(id);
                    self.place(id);
                }
            }
            let list = slot_list(0, self.at % SLOTS);
            while let Some(id) = self.lists.first(list) {
                if work == 0 {
                    return false;
                }
                work -= 1;
                self.cancel(id);
                fired.push(id);
            }
            if self.at == last {
                break;
            }
            // Where a level and those below it have none, nothing happens before the next slot of the level above.
            let empty = self.used.iter().take_while(|used| **used == 0).count() as u32;
            let step = SLOTS.pow(empty.min(LEVELS - 1));
            self.at = ((self.at / step + 1) * step).min(last);
        }
        true
    }
}

fn slot_list(level: u32, slot: u64) -> usize {
    (u64::from(level) * SLOTS + slot) as usize
}
