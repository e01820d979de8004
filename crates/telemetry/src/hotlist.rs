//! The hottest keys of each class of requests, counted in bounded memory with the Space-Saving method: of a full list
//! the entry with the least count gives way, and its successor goes on from that count.

use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use slatelink_policy::{ClassId, Name};
use std::cell::RefCell;
use std::fs::File;
use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Write};
use std::time::Duration;
use tokio::time::Instant;

/// A longer key is cut to so many bytes, the mark of the cut included.
const MAX_KEY_BYTES: usize = 128;
const TRUNCATION_MARK: char = '…';
/// What the allocator may add to a key.
const ALLOCATION_OVERHEAD: usize = 16;
/// All lists and the copy that is being printed.
const MAX_MEMORY_BYTES: usize = 1_000_000;

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
const ENTRY_BYTES: usize = 2 * (size_of::<Entry>() + MAX_KEY_BYTES + ALLOCATION_OVERHEAD);

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
        let index = self
            .entries
            .iter()
            .position(|entry| entry.hash == hash && key.matches(&entry.key));
        let index = index.unwrap_or_else(|| {
            let new = |count| Entry {
                key: key.text(),
                hash,
                count,
                recent: 0.0,
                at: now,
            };
            let smallest = self
                .entries
                .iter_mut()
                .enumerate()
                .min_by_key(|(_, entry)| entry.count);
            match smallest.filter(|_| full) {
                Some((index, smallest)) => {
                    *smallest = new(smallest.count);
                    index
                }
                None => {
                    self.entries.push(new(0));
                    self.entries.len() - 1
                }
            }
        });
        let entry = &mut self.entries[index];
        entry.count += 1;
        entry.recent = decayed(entry.recent, now - entry.at, window) + 1.0;
        entry.at = now;
    }
}

fn decayed(recent: f64, age: Duration, window: f64) -> f64 {
    recent * (-age.as_secs_f64() / window).exp()
}

/// A key as it is held: whole, or cut with a mark.
struct Key<'a> {
    head: &'a str,
    truncated: bool,
}

impl<'a> Key<'a> {
    fn new(key: &'a str) -> Self {
        if key.len() <= MAX_KEY_BYTES {
            return Self {
                head: key,
                truncated: false,
            };
        }
        Self {
            head: &key[..key.floor_char_boundary(MAX_KEY_BYTES - TRUNCATION_MARK.len_utf8())],
            truncated: true,
        }
    }

    fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.head.as_bytes());
        hasher.write_u8(u8::from(self.truncated));
        hasher.finish()
    }

    fn matches(&self, held: &str) -> bool {
        match self.truncated {
            false => held == self.head,
            true => held.strip_suffix(TRUNCATION_MARK) == Some(self.head),
        }
    }

    fn text(&self) -> Box<str> {
        let mut text = String::with_capacity(MAX_KEY_BYTES);
        text.push_str(self.head);
        text.extend(self.truncated.then_some(TRUNCATION_MARK));
        text.into()
    }
}

/// See the module's page.
pub struct HotList {
    capacity: usize,
    window: f64,
    since: Instant,
    lists: RefCell<Vec<List>>,
    sender: BoundedSender,
}

impl HotList {
    /// `capacity` entries for each class. More than fit the memory is an error.
    pub fn new(
        capacity: usize,
        window: Duration,
        classes: &[Name],
        writer: &Writer,
    ) -> Result<Self, TelemetryError> {
        let max_capacity = MAX_MEMORY_BYTES / (ENTRY_BYTES * classes.len().max(1));
        if capacity > max_capacity {
            return Err(TelemetryError::HotListCapacity {
                capacity,
                max_capacity,
            });
        }
        // All room that there will be: a list that grew would take twice what it needs.
        let list = |class: &Name| List {
            class: class.clone(),
            total: 0,
            entries: Vec::with_capacity(capacity),
        };
        Ok(Self {
            capacity,
            window: window.as_secs_f64(),
            since: Instant::now(),
            lists: RefCell::new(classes.iter().map(list).collect()),
            // One print at a time: another signal meanwhile adds nothing.
            sender: writer.sender(1),
        })
    }

    /// A request was taken.
    pub fn request_received(&self, class: ClassId, key: &str) {
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
                print(&mut out, list, capacity, |entry| {
                    decayed(entry.recent, now - entry.at, window) / span
                })
            });
        };
        self.sender.try_send(write);
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
    list.entries
        .sort_unstable_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
    for entry in &list.entries {
        let (key, rate) = (escaped(&entry.key), rate(entry));
        writeln!(
            out,
            "hot {class} {key} rate={rate:.1}/s count={} err<={bound}",
            entry.count
        )?;
    }
    out.flush()
}

/// Text that is one word of one line, whatever a client has put into it.
fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '\\' => escaped.push_str("\\\\"),
            '\'' | '"' => escaped.push(c),
            c if c.is_whitespace() => escaped.extend(c.escape_unicode()),
            // What would not be seen as itself.
            c => escaped.extend(c.escape_debug()),
        }
    }
    escaped
}

#[cfg(test)]
mod tests;
