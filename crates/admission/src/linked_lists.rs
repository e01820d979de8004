//! Doubly linked lists over small numbers: each number is in at most one list, and every change takes constant time.

/// No number.
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    before: u32,
    after: u32,
    list: u32,
}

const LOOSE: Link = Link {
    before: NONE,
    after: NONE,
    list: NONE,
};

#[derive(Clone, Copy, Debug)]
struct Ends {
    first: u32,
    last: u32,
    len: u32,
}

/// The lists. Numbers cost 12 bytes each, up to the highest one used.
#[derive(Clone, Debug)]
pub struct LinkedLists {
    ends: Vec<Ends>,
    links: Vec<Link>,
}

impl LinkedLists {
    /// So many empty lists.
    pub fn new(count: usize) -> Self {
        Self {
            ends: vec![
                Ends {
                    first: NONE,
                    last: NONE,
                    len: 0
                };
                count
            ],
            links: Vec::new(),
        }
    }

    /// One more list; its number.
    pub fn add(&mut self) -> usize {
        self.ends.push(Ends {
            first: NONE,
            last: NONE,
            len: 0,
        });
        self.ends.len() - 1
    }

    /// How many are in a list.
    pub fn len(&self, list: usize) -> usize {
        self.ends[list].len as usize
    }

    /// Whether a list has none.
    pub fn is_empty(&self, list: usize) -> bool {
        self.len(list) == 0
    }

    /// The list that a number is in.
    pub fn list(&self, id: u32) -> Option<usize> {
        self.links
            .get(id as usize)
            .filter(|link| link.list != NONE)
            .map(|link| link.list as usize)
    }

    /// The first of a list.
    pub fn first(&self, list: usize) -> Option<u32> {
        some(self.ends[list].first)
    }

    /// The one behind this one, in the same list.
    pub fn after(&self, id: u32) -> Option<u32> {
        some(self.links[id as usize].after)
    }

    /// A list from its first on.
    pub fn iter(&self, list: usize) -> impl Iterator<Item = u32> + '_ {
        std::iter::successors(self.first(list), |&id| self.after(id))
    }

    /// Puts a number at the end of a list, out of the one that it was in.
    pub fn push(&mut self, list: usize, id: u32) {
        self.remove(id);
        if self.links.len() <= id as usize {
            self.links.resize(id as usize + 1, LOOSE);
        }
        let ends = &mut self.ends[list];
        let before = std::mem::replace(&mut ends.last, id);
        ends.len += 1;
        match some(before) {
            Some(before) => self.links[before as usize].after = id,
            None => ends.first = id,
        }
        self.links[id as usize] = Link {
            before,
            after: NONE,
            list: list as u32,
        };
    }

    /// Takes a number out of its list. `false` where it was in none.
    pub fn remove(&mut self, id: u32) -> bool {
        let Some(list) = self.list(id) else {
            return false;
        };
        let Link { before, after, .. } = std::mem::replace(&mut self.links[id as usize], LOOSE);
        let ends = &mut self.ends[list];
        ends.len -= 1;
        match some(before) {
            Some(before) => self.links[before as usize].after = after,
            None => ends.first = after,
        }
        match some(after) {
            Some(after) => self.links[after as usize].before = before,
            None => self.ends[list].last = before,
        }
        true
    }
}

fn some(id: u32) -> Option<u32> {
    (id != NONE).then_some(id)
}
