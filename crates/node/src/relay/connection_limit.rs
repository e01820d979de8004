//! A limit on the number of open connections.

use std::cell::Cell;

/// Counts open connections up to a limit.
#[derive(Debug)]
pub struct ConnectionLimit {
    open: Cell<usize>,
    max: usize,
}

impl ConnectionLimit {
    /// Creates a limit of `max` connections, none of which is open.
    pub fn new(max: usize) -> Self {
        Self {
            open: Cell::new(0),
            max,
        }
    }

    /// Returns the number of connections that hold a permit.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the upper bound of [`open`](Self::open).
    pub fn max(&self) -> usize {
        self.max
    }

    /// Acquires a permit for one more connection; returns `None` if the limit is reached.
    pub fn try_acquire(&self) -> Option<ConnectionPermit<'_>> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(self))
    }
}

/// Permit for one open connection, released on drop.
#[derive(Debug)]
pub struct ConnectionPermit<'a>(&'a ConnectionLimit);

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
