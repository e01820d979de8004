//! One budget of descriptors and bytes for all that a node holds. Each side has a reserved that the others cannot take,
//! and what is above the floors goes to who asks for it.

use std::cell::RefCell;
use std::rc::Rc;

/// Who holds a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Connections of clients.
    Client,
    /// Connections to cache servers.
    Upstream,
    /// Connections to the side ports.
    SidePort,
}

impl ConnectionKind {
    const COUNT: usize = 3;
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; Self::COUNT] = [Self::Client, Self::Upstream, Self::SidePort];
}

/// What a side may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// So many descriptors are always there for it.
    pub reserved: usize,
    /// It never holds more.
    pub limit: usize,
}

/// What is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors of each side.
    pub places: [usize; ConnectionKind::COUNT],
    /// Bytes of all.
    pub bytes: usize,
}

/// Why a lease was not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// The side has all that it may ever hold, or no other holds more than its reserved: one of its own must give way.
    OwnLimit,
    /// This other side is further above its reserved than the one that asks: one of that side's should give way.
    OtherKind(ConnectionKind),
}

#[derive(Debug)]
struct State {
    places: usize,
    shares: [Quota; ConnectionKind::COUNT],
    bytes: usize,
    held: Usage,
}

/// See the module's page. Clones are the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<State>>);

impl Budget {
    /// A budget of so many descriptors and bytes. `None` where the floors are more than all of it, or a side's reserved
    /// more than it may hold.
    pub fn new(
        places: usize,
        shares: [Quota; ConnectionKind::COUNT],
        bytes: usize,
    ) -> Option<Self> {
        let floors = shares
            .iter()
            .try_fold(0usize, |sum, share| sum.checked_add(share.reserved))?;
        let fits = floors <= places && shares.iter().all(|share| share.reserved <= share.limit);
        fits.then(|| {
            Self(Rc::new(RefCell::new(State {
                places,
                shares,
                bytes,
                held: Usage::default(),
            })))
        })
    }

    /// What is held now.
    pub fn held(&self) -> Usage {
        self.0.borrow().held
    }

    /// The most that a side could come to hold, with the others at their floors.
    pub fn most(&self, side: ConnectionKind) -> usize {
        let state = self.0.borrow();
        let others: usize = ConnectionKind::ALL
            .iter()
            .filter(|s| **s != side)
            .map(|s| state.shares[*s as usize].reserved)
            .sum();
        state.shares[side as usize].limit.min(state.places - others)
    }

    /// A descriptor for a side, until the lease is dropped.
    pub fn lease(&self, side: ConnectionKind) -> Result<Lease, LeaseError> {
        let state = &mut *self.0.borrow_mut();
        let above = |side: ConnectionKind| {
            state.held.places[side as usize].saturating_sub(state.shares[side as usize].reserved)
        };
        let own = state.held.places[side as usize];
        let share = state.shares[side as usize];
        if own >= share.limit {
            return Err(LeaseError::OwnLimit);
        }
        if own >= share.reserved {
            let floors: usize = state.shares.iter().map(|share| share.reserved).sum();
            let free = state.places - floors;
            if ConnectionKind::ALL.into_iter().map(above).sum::<usize>() >= free {
                let most = ConnectionKind::ALL
                    .into_iter()
                    .filter(|other| *other != side)
                    .max_by_key(|other| above(*other));
                return Err(most
                    .filter(|other| above(*other) > above(side))
                    .map_or(LeaseError::OwnLimit, LeaseError::OtherKind));
            }
        }
        state.held.places[side as usize] += 1;
        Ok(Lease {
            budget: self.clone(),
            side,
            bytes: 0,
        })
    }
}

/// A descriptor, and the bytes that go with it; dropped, both are given back.
#[derive(Debug)]
pub struct Lease {
    budget: Budget,
    side: ConnectionKind,
    bytes: usize,
}

impl Lease {
    /// Holds so many bytes from now on, more or fewer than before. `false` where the budget has not that many: what was
    /// held is held as before. Fewer is never refused.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let state = &mut *self.budget.0.borrow_mut();
        let others = state.held.bytes - self.bytes;
        if bytes > self.bytes && bytes > state.bytes.saturating_sub(others) {
            return false;
        }
        state.held.bytes = others + bytes;
        self.bytes = bytes;
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let state = &mut *self.budget.0.borrow_mut();
        state.held.places[self.side as usize] -= 1;
        state.held.bytes -= self.bytes;
    }
}
