//! One budget of descriptors and bytes for all that a node holds. Each side has a floor that the others cannot take,
//! and what is above the floors goes to who asks for it.

use std::cell::RefCell;
use std::rc::Rc;

/// Who holds a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Connections of clients.
    Clients,
    /// Connections to cache servers.
    Servers,
    /// Connections to the side ports.
    Beside,
}

impl Side {
    const COUNT: usize = 3;
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; Self::COUNT] = [Self::Clients, Self::Servers, Self::Beside];
}

/// What a side may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// So many descriptors are always there for it.
    pub floor: usize,
    /// It never holds more.
    pub most: usize,
}

/// What is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Descriptors of each side.
    pub places: [usize; Side::COUNT],
    /// Bytes of all.
    pub bytes: usize,
}

/// Why a lease was not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// The side has all that it may ever hold, or no other holds more than its floor: one of its own must give way.
    Own,
    /// This other side is further above its floor than the one that asks: one of that side's should give way.
    Other(Side),
}

#[derive(Debug)]
struct State {
    places: usize,
    shares: [Share; Side::COUNT],
    bytes: usize,
    held: Held,
}

/// See the module's page. Clones are the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<State>>);

impl Budget {
    /// A budget of so many descriptors and bytes. `None` where the floors are more than all of it, or a side's floor
    /// more than it may hold.
    pub fn new(places: usize, shares: [Share; Side::COUNT], bytes: usize) -> Option<Self> {
        let floors = shares
            .iter()
            .try_fold(0usize, |sum, share| sum.checked_add(share.floor))?;
        let fits = floors <= places && shares.iter().all(|share| share.floor <= share.most);
        fits.then(|| {
            Self(Rc::new(RefCell::new(State {
                places,
                shares,
                bytes,
                held: Held::default(),
            })))
        })
    }

    /// What is held now.
    pub fn held(&self) -> Held {
        self.0.borrow().held
    }

    /// The most that a side could come to hold, with the others at their floors.
    pub fn most(&self, side: Side) -> usize {
        let state = self.0.borrow();
        let others: usize = Side::ALL
            .iter()
            .filter(|s| **s != side)
            .map(|s| state.shares[*s as usize].floor)
            .sum();
        state.shares[side as usize].most.min(state.places - others)
    }

    /// A descriptor for a side, until the lease is dropped.
    pub fn lease(&self, side: Side) -> Result<Lease, Short> {
        let state = &mut *self.0.borrow_mut();
        let above = |side: Side| {
            state.held.places[side as usize].saturating_sub(state.shares[side as usize].floor)
        };
        let own = state.held.places[side as usize];
        let share = state.shares[side as usize];
        if own >= share.most {
            return Err(Short::Own);
        }
        if own >= share.floor {
            let floors: usize = state.shares.iter().map(|share| share.floor).sum();
            let free = state.places - floors;
            if Side::ALL.into_iter().map(above).sum::<usize>() >= free {
                let most = Side::ALL
                    .into_iter()
                    .filter(|other| *other != side)
                    .max_by_key(|other| above(*other));
                return Err(most
                    .filter(|other| above(*other) > above(side))
                    .map_or(Short::Own, Short::Other));
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
    side: Side,
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
