//! The hottest keys of each class of requests, counted in bounded memory with the Space-Saving method: of a full list
//! the entry with the least count gives way, and its successor goes on from that count.

use crate::writer::{Lane, Writer};
use slatelink_decide::{ClassId, Name};
use std::cell::RefCell;
use std::fs::File;
use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Write};
use std::time::Duration;
use tokio::time::Instant;

/// A longer key is cut to so many bytes, the mark of the cut included.
const LONGEST_KEY: usize = 128;
const CUT: char = '…';
/// What the allocator may add to a key.
const OVERHEAD: usize = 16;
/// All lists and the copy that is being printed.
const MEMORY: usize = 1_000_000;

/// What is known of a key.
#[derive(Clone, Debug)]
struct Entry {
    key: Box<str>,
    hash: u64,
    /// The key's requests, and as many more at most as the error's bound says.
    count: u64,
    /// Its requests since it came in, each fading by `window`; as of `at`.
    recent: f64,
    at: Instant,
}

/// The most that an entry takes: as it is held, and copied to be printed.
const ENTRY: usize = 2 * (size_of::<Entry>() + LONGEST_KEY + OVERHEAD);

/// The list of one class.
#[derive(Clone, Debug)]
struct List {
    class: Name,
    total: u64,
    entries: Vec<Entry>,
}

impl List {
    fn count(&mut self, key: &str, capacity: usize, window: f64, now: Instant) {
        self.total += 1;
        let key = Key::new(key);
        let (hash, full) = (key.hash(), self.entries.len() >= capacity);
        // Walked as a whole: of a few hundred entries that takes less than the request's other work.
        let place = self.entries.iter().position(|entry| entry.hash == hash && key.is(&entry.key));
        let place = place.unwrap_or_else(|| {
            let new = |count| Entry { key: key.text(), hash, count, recent: 0.0, at: now };
            let least = self.entries.iter_mut().enumerate().min_by_key(|(_, entry)| entry.count);
            match least.filter(|_| full) {
                Some((place, least)) => {
                    *least = new(least.count);
                    place
                }
                None => {
                    self.entries.push(new(0));
                    self.entries.len() - 1
                }
            }
        });
        let entry = &mut self.entries[place];
        entry.count += 1;
        entry.recent = faded(entry.recent, now - entry.at, window) + 1.0;
        entry.at = now;
    }
}

fn faded(recent: f64, age: Duration, window: f64) -> f64 {
    recent * (-age.as_secs_f64() / window).exp()
}

/// A key as it is held: whole, or cut with a mark.
struct Key<'a> {
    head: &'a str,
    cut: bool,
}

impl<'a> Key<'a> {
    fn new(key: &'a str) -> Self {
        if key.len() <= LONGEST_KEY {
            return Self { head: key, cut: false };
        }
        Self { head: &key[..key.floor_char_boundary(LONGEST_KEY - CUT.len_utf8())], cut: true }
    }

    fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.head.as_bytes());
        hasher.write_u8(u8::from(self.cut));
        hasher.finish()
    }

    fn is(&self, held: &str) -> bool {
        match self.cut {
            false => held == self.head,
            true => held.strip_suffix(CUT) == Some(self.head),
        }
    }

    fn text(&self) -> Box<str> {
        let mut text = String::with_capacity(LONGEST_KEY);
        text.push_str(self.head);
        text.extend(self.cut.then_some(CUT));
        text.into()
    }
}

/// See the module's page.
pub struct HotList {
    capacity: usize,
    window: f64,
    since: Instant,
    lists: RefCell<Vec<List>>,
    lane: Lane,
}

impl HotList {
    /// `capacity` entries for each class. More than fit the memory is an error.
    pub fn new(capacity: usize, window: Duration, classes: &[Name], writer: &Writer) -> Result<Self, String> {
        let most = MEMORY / (ENTRY * classes.len().max(1));
        if capacity > most {
            return Err(format!("hotlist: a capacity of {capacity} would take over 1 MB, {most} would not"));
        }
        // All room that there will be: a list that grew would take twice what it needs.
        let list =
            |class: &Name| List { class: class.clone(), total: 0, entries: Vec::with_capacity(capacity) };
        Ok(Self {
            capacity,
            window: window.as_secs_f64(),
            since: Instant::now(),
            lists: RefCell::new(classes.iter().map(list).collect()),
            // One print at a time: another signal meanwhile adds nothing.
            lane: writer.lane(1),
        })
    }

    /// A request was taken.
    pub fn taken(&self, class: ClassId, key: &str) {
        if let Some(list) = self.lists.borrow_mut().get_mut(class.0) {
            list.count(key, self.capacity, self.window, Instant::now());
        }
    }

    /// Writes all lists to standard error.
    pub fn print(&self) {
        let lists = self.lists.borrow().clone();
        let (capacity, window, now) = (self.capacity as u64, self.window, Instant::now());
        // Of a span shorter than the window only its own time can be averaged over.
        let span = (now - self.since).as_secs_f64().max(1.0);
        let span = window * -(-span / window).exp_m1();
        let write = move |stderr: &mut File| {
            let mut out = io::BufWriter::new(stderr);
            // There is nowhere to report an error to.
            let _ = lists.into_iter().try_for_each(|list| {
                print(&mut out, list, capacity, |entry| faded(entry.recent, now - entry.at, window) / span)
            });
        };
        self.lane.put(write);
    }
}

/// One line an entry, the highest counts first.
fn print(
    out: &mut impl Write,
    mut list: List,
    capacity: u64,
    rate: impl Fn(&Entry) -> f64,
) -> io::Result<()> {
    let class = escaped(list.class.as_str());
    if list.entries.is_empty() {
        writeln!(out, "hot {class} none")?;
    }
    let bound = list.total / capacity;
    list.entries.sort_unstable_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
    for entry in &list.entries {
        let (key, rate) = (escaped(&entry.key), rate(entry));
        writeln!(out, "hot {class} {key} rate={rate:.1}/s count={} err<={bound}", entry.count)?;
    }
    out.flush()
}

/// Text that is one word of one line, whatever a client has put into it.
fn escaped(text: &str) -> String {
    let mut word = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '\\' => word.push_str("\\\\"),
            '\'' | '"' => word.push(c),
            c if c.is_whitespace() => word.extend(c.escape_unicode()),
            // What would not be seen as itself.
            c => word.extend(c.escape_debug()),
        }
    }
    word
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    fn list(capacity: usize) -> List {
        List { class: "look\nup".into(), total: 0, entries: Vec::with_capacity(capacity) }
    }

    fn printed(list: List, capacity: u64) -> Vec<String> {
        let mut out = Vec::new();
        print(&mut out, list, capacity, |entry| entry.recent).unwrap();
        String::from_utf8(out).unwrap().lines().map(str::to_owned).collect()
    }

    // Guards against a count outside its bound, and against a hot key that is missing: the method's promises.
    #[test]
    fn each_count_is_over_by_no_more_than_total_by_capacity_and_no_hot_key_is_missing() {
        const CAPACITY: usize = 16;
        let (mut list, mut tally) = (list(CAPACITY), HashMap::<String, u64>::new());
        let (mut random, now) = (fastrand::Rng::with_seed(7), Instant::now());
        for i in 1..=20_000 {
            let key = match random.f64() {
                x if x < 0.3 => "hot".to_owned(),
                x if x < 0.5 => format!("warm{}", random.u8(..4)),
                _ => format!("{:x}", random.u16(..2000)),
            };
            list.count(&key, CAPACITY, 60.0, now);
            *tally.entry(key).or_default() += 1;
            let least = list.entries.iter().map(|entry| entry.count).min().unwrap();
            assert!(least <= i / CAPACITY as u64 || i < CAPACITY as u64);
        }
        let bound = list.total / CAPACITY as u64;
        assert_eq!((list.entries.len(), list.total), (CAPACITY, 20_000));
        assert_eq!(
            list.entries.iter().map(|entry| entry.count).sum::<u64>(),
            list.total,
            "a newcomer adds to the least"
        );
        for entry in &list.entries {
            let real = tally[&*entry.key];
            assert!(real <= entry.count && entry.count - real <= bound, "{entry:?} {real}");
        }
        let held = |key: &str| list.entries.iter().any(|entry| *entry.key == *key);
        assert!(tally.iter().filter(|(_, &count)| count > bound).all(|(key, _)| held(key)));
        let lines = printed(list, CAPACITY as u64);
        let counts: Vec<u64> = lines
            .iter()
            .map(|line| line.split("count=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap())
            .collect();
        assert!(counts.is_sorted_by(|a, b| a >= b), "{counts:?}");
        assert!(
            lines[0].starts_with("hot look\\u{a}up hot rate=") && lines[0].ends_with(" err<=1250"),
            "{}",
            lines[0]
        );
    }

    // Guards against a class that is missing where it had no traffic.
    #[test]
    fn a_class_without_traffic_says_so() {
        assert_eq!(printed(list(4), 4), ["hot look\\u{a}up none"]);
    }

    // Guards against keys that take more than their share, break within a character or forge lines of the log.
    #[test]
    fn keys_are_cut_on_a_character_and_escaped() {
        for (key, held) in [
            ("k".repeat(128), "k".repeat(128)),
            ("k".repeat(129), "k".repeat(125) + "…"),
            ("é".repeat(65), "é".repeat(62) + "…"),
            (format!("k{}", "é".repeat(64)), format!("k{}…", "é".repeat(62))),
        ] {
            let mut list = list(4);
            list.count(&key, 4, 60.0, Instant::now());
            list.count(&key.clone(), 4, 60.0, Instant::now());
            assert_eq!((&*list.entries[0].key, list.entries[0].count), (&*held, 2));
            assert!(held.len() <= LONGEST_KEY);
        }
        assert_eq!(
            escaped("a\\b\nhot lookup x\u{1b}[2K\u{2028}\u{202e}'\"é"),
            "a\\\\b\\u{a}hot\\u{20}lookup\\u{20}x\\u{1b}[2K\\u{2028}\\u{202e}'\"é"
        );
    }

    // Guards against memory over what the operators allow, at the largest capacity and with the longest keys.
    #[test]
    fn the_largest_lists_and_their_copy_stay_under_a_megabyte() {
        let writer = Writer::start().unwrap();
        let classes: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
        let window = Duration::from_secs(60);
        let most = MEMORY / (ENTRY * classes.len());
        assert!(most >= 256, "{most}");
        assert!(HotList::new(most + 1, window, &classes, &writer).is_err());
        let hot = HotList::new(most, window, &classes, &writer).unwrap();
        for i in 0..3 * most {
            for class in 0..3 {
                hot.taken(ClassId(class), &format!("{i}{}", "k".repeat(200)));
            }
        }
        let lists = hot.lists.borrow();
        let held = |list: &List| {
            let keys: usize = list.entries.iter().map(|entry| entry.key.len() + OVERHEAD).sum();
            list.entries.capacity() * size_of::<Entry>() + keys
        };
        let all: usize = lists.iter().map(held).sum();
        assert!(lists.iter().all(|list| list.entries.len() == most));
        assert!(2 * all <= MEMORY, "{all}");
    }

    // Guards against a rate that never falls, or a count that does.
    #[test]
    fn rates_decay_over_the_window_and_counts_do_not() {
        let (mut list, start) = (list(4), Instant::now());
        (0..600).for_each(|i| list.count("k", 4, 60.0, start + Duration::from_secs(i)));
        let recent = list.entries[0].recent;
        assert!((recent / 60.0 - 1.0).abs() < 0.02, "one a second: {recent}");
        let later = faded(recent, Duration::from_secs(60), 60.0);
        assert!((later / recent - (-1.0f64).exp()).abs() < 1e-9);
        assert_eq!(list.entries[0].count, 600);
    }
}
