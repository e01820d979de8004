//! Intrusive doubly linked lists over ids: the links of all ids are stored in one array. An id is
//! in at most one list, and every operation takes constant time without an allocation of its own.
//!
//! Ids are expected to be small and dense: each id up to the highest one used costs 12 bytes.

/// Sentinel for the absence of an id or of a list.
const NONE: u32 = u32::MAX;

/// Neighbours of an id, and the list that contains it.
#[derive(Clone, Copy, Debug)]
struct Link {
    previous: u32,
    next: u32,
    list: u32,
}

impl Link {
    /// Link of an id that is in no list.
    const UNLINKED: Self = Self {
        previous: NONE,
        next: NONE,
        list: NONE,
    };
}

/// Ends and length of a list.
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

/// A set of lists, each identified by its index. Methods panic if the index of a list is out of
/// range.
#[derive(Clone, Debug)]
pub struct LinkedLists {
    lists: Vec<List>,
    /// Links by id.
    links: Vec<Link>,
}

impl LinkedLists {
    /// Creates `count` empty lists.
    pub fn new(count: usize) -> Self {
        Self {
            lists: vec![List::EMPTY; count],
            links: Vec::new(),
        }
    }

    /// Adds an empty list and returns its index.
    pub fn add_list(&mut self) -> usize {
        self.lists.push(List::EMPTY);
        self.lists.len() - 1
    }

    /// Returns the number of ids in a list.
    pub fn len(&self, list: usize) -> usize {
        self.lists[list].len as usize
    }

    /// Checks whether a list is empty.
    pub fn is_empty(&self, list: usize) -> bool {
        self.len(list) == 0
    }

    /// Returns the list that contains an id, if any.
    pub fn list_of(&self, id: u32) -> Option<usize> {
        self.links
            .get(id as usize)
            .filter(|link| link.list != NONE)
            .map(|link| link.list as usize)
    }

    /// Returns the first id of a list.
    pub fn first(&self, list: usize) -> Option<u32> {
        id_to_option(self.lists[list].first)
    }

    /// Returns the last id of a list.
    pub fn last(&self, list: usize) -> Option<u32> {
        id_to_option(self.lists[list].last)
    }

    /// Iterates over the ids of a list, from first to last.
    pub fn iter(&self, list: usize) -> impl Iterator<Item = u32> + '_ {
        std::iter::successors(self.first(list), |&id| {
            id_to_option(self.links[id as usize].next)
        })
    }

    /// Appends an id to a list, after removing it from the list that contained it.
    pub fn push_back(&mut self, list: usize, id: u32) {
        self.remove(id);
        if self.links.len() <= id as usize {
            self.links.resize(id as usize + 1, Link::UNLINKED);
        }
        let ends = &mut self.lists[list];
        let previous = std::mem::replace(&mut ends.last, id);
        ends.len += 1;
        match id_to_option(previous) {
            Some(previous) => self.links[previous as usize].next = id,
            None => ends.first = id,
        }
        self.links[id as usize] = Link {
            previous,
            next: NONE,
            list: list as u32,
        };
    }

    /// Removes an id from the list that contains it. Returns `false` if the id is in no list.
    pub fn remove(&mut self, id: u32) -> bool {
        let Some(list) = self.list_of(id) else {
            return false;
        };
        let Link { previous, next, .. } =
            std::mem::replace(&mut self.links[id as usize], Link::UNLINKED);
        let ends = &mut self.lists[list];
        ends.len -= 1;
        match id_to_option(previous) {
            Some(previous) => self.links[previous as usize].next = next,
            None => ends.first = next,
        }
        match id_to_option(next) {
            Some(next) => self.links[next as usize].previous = previous,
            None => ends.last = previous,
        }
        true
    }
}

fn id_to_option(id: u32) -> Option<u32> {
    (id != NONE).then_some(id)
}
