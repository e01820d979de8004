//! One budget of descriptors and bytes of memory for everything that a node holds open.
//!
//! Each kind of connection has a reserved number of descriptors that the other kinds cannot take. The descriptors
//! beyond the reservations go to whoever asks first, up to each kind's limit. Bytes are one shared amount.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// The kind of connection that a descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Connections of clients.
    Client,
    /// Connections to endpoints.
    Upstream,
    /// Connections to the node's ports beside the one for clients.
    SidePort,
}

impl ConnectionKind {
    const COUNT: usize = 3;
    /// All kinds, each at the position of its discriminant.
    pub const ALL: [Self; Self::COUNT] = [Self::Client, Self::Upstream, Self::SidePort];
}

/// The descriptors that one kind of connection may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Descriptors that no other kind can take.
    pub reserved: usize,
    /// Descriptors that the kind may hold at most, `reserved` or more.
    pub limit: usize,
}

/// What is leased at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors by kind, in the order of [`ConnectionKind::ALL`].
    pub descriptors: [usize; ConnectionKind::COUNT],
    /// Bytes of all kinds together.
    pub bytes: usize,
}

/// Why no descriptor was leased, and so which kind of connection should give one up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// The kind that asked is at its limit, or no other kind exceeds its reservation by more: one of its own
    /// connections should be closed.
    OwnLimit,
    /// This other kind exceeds its reservation by more than the one that asked: one of its connections should be
    /// closed.
    OtherKind(ConnectionKind),
}

impl fmt::Display for LeaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnLimit => f.write_str("no descriptor is free, and this kind holds its part"),
            Self::OtherKind(kind) => {
                write!(
                    f,
                    "no descriptor is free, and {kind:?} holds most beyond its reservation"
                )
            }
        }
    }
}

impl std::error::Error for LeaseError {}

#[derive(Debug)]
struct State {
    max_descriptors: usize,
    quotas: [Quota; ConnectionKind::COUNT],
    max_bytes: usize,
    usage: Usage,
}

impl State {
    /// Descriptors that a kind holds beyond its reservation.
    fn unreserved(&self, kind: ConnectionKind) -> usize {
        let held = self.usage.descriptors[kind as usize];
        held.saturating_sub(self.quotas[kind as usize].reserved)
    }

    /// Whether the descriptors that no kind has reserved are all taken.
    fn shared_descriptors_exhausted(&self) -> bool {
        let reserved: usize = self.quotas.iter().map(|quota| quota.reserved).sum();
        let taken: usize = ConnectionKind::ALL
            .into_iter()
            .map(|kind| self.unreserved(kind))
            .sum();
        taken >= self.max_descriptors - reserved
    }

    /// The kind that should give up a descriptor to `kind`, where the shared ones are all taken.
    fn shortage(&self, kind: ConnectionKind) -> LeaseError {
        ConnectionKind::ALL
            .into_iter()
            .filter(|other| *other != kind)
            .max_by_key(|other| self.unreserved(*other))
            .filter(|other| self.unreserved(*other) > self.unreserved(kind))
            .map_or(LeaseError::OwnLimit, LeaseError::OtherKind)
    }

    fn check_lease(&self, kind: ConnectionKind) -> Result<(), LeaseError> {
        let held = self.usage.descriptors[kind as usize];
        let quota = self.quotas[kind as usize];
        if held >= quota.limit {
            return Err(LeaseError::OwnLimit);
        }
        if held >= quota.reserved && self.shared_descriptors_exhausted() {
            return Err(self.shortage(kind));
        }
        Ok(())
    }
}

/// A budget of descriptors and bytes; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<State>>);

impl Budget {
    /// A budget with the quotas of each kind, in the order of [`ConnectionKind::ALL`].
    ///
    /// `None` where the reservations add up to more than `max_descriptors`, or one exceeds its own limit.
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
            usage: Usage::default(),
        }))))
    }

    /// What is leased at present.
    pub fn usage(&self) -> Usage {
        self.0.borrow().usage
    }

    /// The most descriptors that a kind can ever hold: those that the others have not reserved, up to its own limit.
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

    /// Leases a descriptor for a connection of this kind, until the lease is dropped.
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

/// A descriptor of a budget, and the bytes that its connection uses; both are given back on drop.
#[derive(Debug)]
pub struct Lease {
    budget: Budget,
    kind: ConnectionKind,
    bytes: usize,
}

impl Lease {
    /// Changes the bytes that the lease holds to this number.
    ///
    /// `false` where the budget does not have as many; the lease then holds what it held before. Fewer bytes than
    /// before always succeed.
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

impl Drop for Lease {
    fn drop(&mut self) {
        let state = &mut *self.budget.0.borrow_mut();
        state.usage.descriptors[self.kind as usize] -= 1;
        state.usage.bytes -= self.bytes;
    }
}
