//! Intrusive doubly linked lists over ids: the links of all ids stand in one array, so that an id is in at most one
//! list, and every operation takes constant time without an allocation of its own.
//!
//! Ids are expected to be small and dense: an id costs 12 bytes, as do all ids below the highest one used.

/// Stands for no id and for no list.
const NONE: u32 = u32::MAX;

/// The neighbours of an id, and the list that it is in.
#[derive(Clone, Copy, Debug)]
struct Link {
    previous: u32,
    next: u32,
    list: u32,
}

impl Link {
    /// Of an id that is in no list.
    const UNLINKED: Self = Self {
        previous: NONE,
        next: NONE,
        list: NONE,
    };
}

/// The ends of a list.
#[derive(Clone, Copy, Debug)]
struct List {
    first: u32,
    last: u32,
    len: u32,
}

impl List {
    const EMPTY: Self = Self {
        first: NONE,
        last: NONE,
        len: 0,
    };
}

/// A set of lists, each known by its index. Methods panic for the index of a list that was not made.
#[derive(Clone, Debug)]
pub struct LinkedLists {
    lists: Vec<List>,
    /// By id.
    links: Vec<Link>,
}

impl LinkedLists {
    /// Makes this many empty lists.
    pub fn new(count: usize) -> Self {
        Self {
            lists: vec![List::EMPTY; count],
            links: Vec::new(),
        }
    }

    /// Makes one more empty list, and returns its index.
    pub fn add_list(&mut self) -> usize {
        self.lists.push(List::EMPTY);
        self.lists.len() - 1
    }

    /// Number of ids in a list.
    pub fn len(&self, list: usize) -> usize {
        self.lists[list].len as usize
    }

    /// Whether a list has no ids.
    pub fn is_empty(&self, list: usize) -> bool {
        self.len(list) == 0
    }

    /// The list that an id is in.
    pub fn list_of(&self, id: u32) -> Option<usize> {
        self.links
            .get(id as usize)
            .filter(|link| link.list != NONE)
            .map(|link| link.list as usize)
    }

    /// The first id of a list.
    pub fn first(&self, list: usize) -> Option<u32> {
        optional(self.lists[list].first)
    }

    /// The ids of a list, from its first to its last.
    pub fn iter(&self, list: usize) -> impl Iterator<Item = u32> + '_ {
        std::iter::successors(self.first(list), |&id| {
            optional(self.links[id as usize].next)
        })
    }

    /// Appends an id to a list, and removes it from the list that it was in.
    pub fn push_back(&mut self, list: usize, id: u32) {
        self.remove(id);
        if self.links.len() <= id as usize {
            self.links.resize(id as usize + 1, Link::UNLINKED);
        }
        let ends = &mut self.lists[list];
        let previous = std::mem::replace(&mut ends.last, id);
        ends.len += 1;
        match optional(previous) {
            Some(previous) => self.links[previous as usize].next = id,
            None => ends.first = id,
        }
        self.links[id as usize] = Link {
            previous,
            next: NONE,
            list: list as u32,
        };
    }

    /// Removes an id from the list that it is in. `false` where it is in none.
    pub fn remove(&mut self, id: u32) -> bool {
        let Some(list) = self.list_of(id) else {
            return false;
        };
        let Link { previous, next, .. } =
            std::mem::replace(&mut self.links[id as usize], Link::UNLINKED);
        let ends = &mut self.lists[list];
        ends.len -= 1;
        match optional(previous) {
            Some(previous) => self.links[previous as usize].next = next,
            None => ends.first = next,
        }
        match optional(next) {
            Some(next) => self.links[next as usize].previous = previous,
            None => ends.last = previous,
        }
        true
    }
}

fn optional(id: u32) -> Option<u32> {
    (id != NONE).then_some(id)
}
