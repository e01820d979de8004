//! A budget of descriptors and memory, in bytes, shared by all connections of a node.
//!
//! Each kind of connection has reserved descriptors that other kinds cannot lease. Unreserved
//! descriptors are leased first come, first served, up to the limit of each kind. Bytes are not
//! divided by kind.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Purpose of a connection, which determines its quota of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Connections from clients.
    Client,
    /// Connections to endpoints.
    Upstream,
    /// Connections to the node's ports other than the client port.
    SidePort,
}

impl ConnectionKind {
    const COUNT: usize = 3;
    /// All kinds, each at the position of its discriminant.
    pub const ALL: [Self; Self::COUNT] = [Self::Client, Self::Upstream, Self::SidePort];
}

/// Bounds of the descriptors that one kind of connection may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Descriptors that no other kind can lease.
    pub reserved: usize,
    /// Maximum number of descriptors; at least `reserved`.
    pub limit: usize,
}

/// Leased descriptors and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors by kind, in the order of [`ConnectionKind::ALL`].
    pub descriptors: [usize; ConnectionKind::COUNT],
    /// Bytes leased by all kinds.
    pub bytes: usize,
}

/// Reason why a descriptor was not leased; names the kind that should close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// The requesting kind is at its limit, or no other kind exceeds its reservation by more: the
    /// requesting kind should close a connection.
    OwnLimit,
    /// The named kind exceeds its reservation by more than the requesting kind: the named kind
    /// should close a connection.
    OtherKind(ConnectionKind),
}

impl fmt::Display for LeaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnLimit => {
                f.write_str("no free descriptor; no other kind of connection has to release one")
            }
            Self::OtherKind(kind) => {
                write!(
                    f,
                    "no free descriptor; {kind:?} connections exceed their reservation by the most"
                )
            }
        }
    }
}

impl std::error::Error for LeaseError {}

/// Limit of the bytes that large messages may reserve together, so that they leave memory for the
/// connections of small ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeMessageLimit {
    /// Reservations of more than this many bytes count as large.
    pub above_bytes: usize,
    /// Maximum number of bytes of all large reservations.
    pub max_bytes: usize,
}

#[derive(Debug)]
struct State {
    max_descriptors: usize,
    quotas: [Quota; ConnectionKind::COUNT],
    max_bytes: usize,
    large_messages: LargeMessageLimit,
    /// Bytes of large reservations, which are part of `usage`.
    large_bytes: usize,
    usage: Usage,
}

impl State {
    /// Returns the number of descriptors that a kind holds beyond its reservation.
    fn held_beyond_reservation(&self, kind: ConnectionKind) -> usize {
        let held = self.usage.descriptors[kind as usize];
        held.saturating_sub(self.quotas[kind as usize].reserved)
    }

    /// Checks whether all unreserved descriptors are leased.
    fn shared_descriptors_exhausted(&self) -> bool {
        let reserved: usize = self.quotas.iter().map(|quota| quota.reserved).sum();
        let shared_in_use: usize = ConnectionKind::ALL
            .into_iter()
            .map(|kind| self.held_beyond_reservation(kind))
            .sum();
        shared_in_use >= self.max_descriptors - reserved
    }

    /// Returns the error for `kind` when all unreserved descriptors are leased.
    fn shared_shortage(&self, kind: ConnectionKind) -> LeaseError {
        ConnectionKind::ALL
            .into_iter()
            .filter(|other| *other != kind)
            .max_by_key(|other| self.held_beyond_reservation(*other))
            .filter(|other| {
                self.held_beyond_reservation(*other) > self.held_beyond_reservation(kind)
            })
            .map_or(LeaseError::OwnLimit, LeaseError::OtherKind)
    }

    /// Returns the part of a reservation that counts as large.
    fn large_part(&self, bytes: usize) -> usize {
        if bytes > self.large_messages.above_bytes {
            bytes
        } else {
            0
        }
    }

    fn check_lease(&self, kind: ConnectionKind) -> Result<(), LeaseError> {
        let held = self.usage.descriptors[kind as usize];
        let quota = self.quotas[kind as usize];
        if held >= quota.limit {
            return Err(LeaseError::OwnLimit);
        }
        if held >= quota.reserved && self.shared_descriptors_exhausted() {
            return Err(self.shared_shortage(kind));
        }
        Ok(())
    }
}

/// A budget of descriptors and bytes; clones share its state.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<State>>);

impl Budget {
    /// Creates a budget with the quotas of each kind, in the order of [`ConnectionKind::ALL`].
    ///
    /// Returns `None` if the sum of the reservations exceeds `max_descriptors`, or if a reservation
    /// exceeds its own limit.
    pub fn new(
        max_descriptors: usize,
        quotas: [Quota; ConnectionKind::COUNT],
        max_bytes: usize,
    ) -> Option<Self> {
        let reserved = quotas
            .iter()
            .try_fold(0usize, |sum, quota| sum.checked_add(quota.reserved))?;
        let within_limits = quotas.iter().all(|quota| quota.reserved <= quota.limit);
        if reserved > max_descriptors || !within_limits {
            return None;
        }
        Some(Self(Rc::new(RefCell::new(State {
            max_descriptors,
            quotas,
            max_bytes,
            large_messages: LargeMessageLimit {
                above_bytes: usize::MAX,
                max_bytes: 0,
            },
            large_bytes: 0,
            usage: Usage::default(),
        }))))
    }

    /// Limits the bytes that large messages may reserve. Without this, any reservation may take all
    /// bytes that are left.
    pub fn limit_large_messages(&self, limit: LargeMessageLimit) {
        self.0.borrow_mut().large_messages = limit;
    }

    /// Returns the leased descriptors and bytes.
    pub fn usage(&self) -> Usage {
        self.0.borrow().usage
    }

    /// Returns the maximum number of descriptors that a kind can ever hold: all descriptors that
    /// are not reserved for other kinds, up to its own limit.
    pub fn max_descriptors(&self, kind: ConnectionKind) -> usize {
        let state = self.0.borrow();
        let reserved_by_others: usize = ConnectionKind::ALL
            .iter()
            .filter(|other| **other != kind)
            .map(|other| state.quotas[*other as usize].reserved)
            .sum();
        let limit = state.quotas[kind as usize].limit;
        limit.min(state.max_descriptors - reserved_by_others)
    }

    /// Reserves bytes. Returns `None` if the budget does not have them, or not for large messages.
    pub fn reserve_bytes(&self, bytes: usize) -> Option<ByteReservation> {
        let state = &mut *self.0.borrow_mut();
        if bytes > state.max_bytes.saturating_sub(state.usage.bytes) {
            return None;
        }
        let large = state.large_part(bytes);
        if large > 0 && state.large_bytes + large > state.large_messages.max_bytes {
            return None;
        }
        state.usage.bytes += bytes;
        state.large_bytes += large;
        Some(ByteReservation {
            budget: self.clone(),
            bytes,
            large,
        })
    }

    /// Leases a descriptor for a connection of this kind. Dropping the lease releases the
    /// descriptor.
    pub fn lease(&self, kind: ConnectionKind) -> Result<Lease, LeaseError> {
        let state = &mut *self.0.borrow_mut();
        state.check_lease(kind)?;
        state.usage.descriptors[kind as usize] += 1;
        Ok(Lease {
            budget: self.clone(),
            kind,
            bytes: 0,
        })
    }
}

/// Lease of a descriptor and of the bytes that its connection uses; both are released on drop.
#[derive(Debug)]
pub struct Lease {
    budget: Budget,
    kind: ConnectionKind,
    bytes: usize,
}

impl Lease {
    /// Returns the budget of the lease.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns the number of leased bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of leased bytes to `bytes`.
    ///
    /// Returns `false` and leaves the lease unchanged if the increase exceeds the budget. A
    /// decrease always succeeds.
    pub fn try_set_bytes(&mut self, bytes: usize) -> bool {
        let state = &mut *self.budget.0.borrow_mut();
        let held_by_others = state.usage.bytes - self.bytes;
        if bytes > self.bytes && bytes > state.max_bytes.saturating_sub(held_by_others) {
            return false;
        }
        state.usage.bytes = held_by_others + bytes;
        self.bytes = bytes;
        true
    }
}

/// Bytes reserved for a message, beside those of its connection; released on drop. A message may
/// outlive its connection.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Budget,
    bytes: usize,
    /// The part of `bytes` that counts as large.
    large: usize,
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let state = &mut *self.budget.0.borrow_mut();
        state.usage.bytes -= self.bytes;
        state.large_bytes -= self.large;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let state = &mut *self.budget.0.borrow_mut();
        state.usage.descriptors[self.kind as usize] -= 1;
        state.usage.bytes -= self.bytes;
    }
}
