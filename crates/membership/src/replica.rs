//! A copy of the list: what upstream says goes in, and answers to callers come out.

use crate::history::History;
use crate::message::{Entry, List, Version};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A whole list with fewer servers than the one held divided by this, or with none, is only believed once a second call
/// says so as well: a fault that empties the list would take the whole fleet out of service.
pub const SHRINK_FACTOR: usize = 2;
/// For so long after versions went back, the versions of before and of now cannot be told apart by their numbers. Callers
/// that name one of these get whole lists. A watch lasts 60 s at most, so each caller has heard something new by then.
pub const EPOCH_OVERLAP: Duration = Duration::from_secs(120);

/// A list of more bytes than this, as its entries are kept, is not taken: fifty times that of 4,600 servers.
pub const LIST_BYTES: usize = 32 << 20;

/// The next call to upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list.
    Whole,
    /// A watch for what is newer than the version held.
    Watch(Version),
    /// What is newer than a version that a caller has and this replica has not, at once.
    Confirm(Version),
}

/// What became of a list from upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Whether callers have news by it.
    pub news: bool,
    /// Whether versions went back, so that a new epoch began with it.
    pub new_epoch: bool,
    /// Entries that a later one of the same message overrode.
    pub duplicates: usize,
}

/// Why a list from upstream was not applied. The list held stays, and the next call is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedList {
    /// A delta that shows that upstream numbers its lists anew.
    #[error("delta {listed} does not follow on list {held}: the whole list is asked for")]
    WentBack {
        /// The version held.
        held: Version,
        /// The version that was read.
        listed: Version,
    },
    /// A delta to another version than the one held.
    #[error("delta {listed} is based on a version that is not held: another call is made")]
    OtherBase {
        /// The version that was read.
        listed: Version,
    },
    /// A list that would take too much memory. The one held stays until its lease runs out.
    #[error("list {listed} would take {bytes} bytes: at most {LIST_BYTES} are kept")]
    TooLarge {
        /// The version that was read.
        listed: Version,
        /// Bytes of all entries that would be held.
        bytes: usize,
    },
    /// A whole list that is suddenly far smaller.
    #[error(
        "whole list {listed} has {servers} servers and list {held} has {servers_held}: it is asked for again"
    )]
    Shrunk {
        /// The version held.
        held: Version,
        /// The version that was read.
        listed: Version,
        /// Servers held.
        servers_held: usize,
        /// Servers in the list that was read.
        servers: usize,
    },
}

/// A caller's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// The version that the caller has; `None` where it asks for the whole list.
    pub after: Option<Version>,
    /// When it came.
    pub came: Duration,
    /// Whether the caller's wait is over, so that an answer without news is due.
    pub wait_is_over: bool,
}

/// The answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The whole list.
    Whole,
    /// What changed since this version; nothing where it is the one held.
    ChangesSince(Version),
    /// There is nothing newer yet.
    Wait,
    /// The caller has a version that this replica has not: upstream has to be heard first.
    Confirm,
}

/// Why callers are failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// There is no list yet.
    #[error("no list has come from upstream yet")]
    NoList,
    /// The lease has run out.
    #[error("nothing was heard from upstream for {} ms; the lease is {} ms", silent.as_millis(), lease.as_millis())]
    LeaseExpired {
        /// How long nothing was heard.
        silent: Duration,
        /// The lease.
        lease: Duration,
    },
}

/// A whole list that is to be asked for again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// A delta went back.
    WentBack,
    /// A whole list was too small.
    Shrunk,
}

/// Versions of before the present epoch.
#[derive(Clone, Copy, Debug)]
struct EarlierEpochs {
    /// The highest of them that was held here.
    highest: Version,
    /// When the present epoch began.
    ended: Duration,
}

/// The copy of the list.
#[derive(Debug)]
pub struct Replica {
    lease: Duration,
    version: Option<Version>,
    /// By name; none of them is gone.
    servers: BTreeMap<Arc<str>, Entry>,
    /// Bytes of their entries.
    bytes: usize,
    history: History,
    earlier: Option<EarlierEpochs>,
    /// Epochs begun, the first list's with them.
    epochs: u64,
    doubt: Option<Doubt>,
    /// When upstream's last word was read.
    heard: Option<Duration>,
    /// The newest version that a caller has and this replica has not.
    wanted: Option<Version>,
    /// Upstream has shown that it is ahead: what is newer there is asked for before anything else.
    behind: bool,
    /// A version that upstream does not know, and when the call was sent that showed it.
    unknown: Option<(Version, Duration)>,
}

impl Replica {
    /// An empty one. It answers for `lease` after each word from upstream.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            version: None,
            servers: BTreeMap::new(),
            bytes: 0,
            history: History::default(),
            earlier: None,
            epochs: 0,
            doubt: None,
            heard: None,
            wanted: None,
            behind: false,
            unknown: None,
        }
    }

    /// The version held.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Servers in the list.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Epochs that began: one with the first list, and one each time versions went back.
    pub fn epochs(&self) -> u64 {
        self.epochs
    }

    /// Bytes of the changes that are kept.
    pub fn history_bytes(&self) -> usize {
        self.history.bytes()
    }

    /// When callers will be failed unless upstream is heard; `None` where there is no list.
    pub fn expires(&self) -> Option<Duration> {
        self.heard.map(|heard| heard + self.lease)
    }

    /// The call that upstream is to have next.
    pub fn next_call(&self) -> Call {
        match (self.next_list_call(), self.wanted) {
            (Call::Watch(_), Some(wanted)) if !self.behind => Call::Confirm(wanted),
            (call, _) => call,
        }
    }

    /// The same where upstream is not to be asked for callers' versions now.
    pub fn next_list_call(&self) -> Call {
        self.version
            .filter(|_| self.doubt.is_none())
            .map_or(Call::Whole, Call::Watch)
    }

    /// Takes in the answer to a call that was sent at `sent` and read at `read`.
    pub fn apply(
        &mut self,
        call: Call,
        list: List,
        sent: Duration,
        read: Duration,
    ) -> Result<Applied, RejectedList> {
        if let Call::Confirm(wanted) = call {
            // Whatever it says, callers that want more have another call made.
            self.wanted = None;
            if list.version < wanted {
                self.unknown = Some((wanted, sent));
            }
        }
        match (list.whole, self.version) {
            (true, Some(held)) => self.check_whole(&list, held)?,
            (true, None) => {}
            (false, held) => self.check_delta(call, &list, held)?,
        }
        let bytes = self.bytes_with(&list);
        if bytes > LIST_BYTES {
            return Err(RejectedList::TooLarge {
                listed: list.version,
                bytes,
            });
        }
        self.bytes = bytes;
        self.doubt = None;
        self.behind = false;
        self.heard = Some(read);
        self.wanted = self.wanted.filter(|wanted| *wanted > list.version);
        Ok(if list.whole {
            self.take_whole(list, read)
        } else {
            self.take_delta(list)
        })
    }

    /// Bytes of the entries held once this list is applied.
    fn bytes_with(&self, list: &List) -> usize {
        let newest = || newest_of_each(&list.entries);
        let added: usize = newest()
            .filter(|entry| !entry.is_gone())
            .map(Entry::bytes)
            .sum();
        if list.whole {
            return added;
        }
        let replaced = newest().filter_map(|entry| self.servers.get(entry.host()));
        self.bytes + added - replaced.map(Entry::bytes).sum::<usize>()
    }

    /// The second whole list in a row that is too small is believed.
    fn check_whole(&mut self, list: &List, held: Version) -> Result<(), RejectedList> {
        let servers = newest_of_each(&list.entries)
            .filter(|entry| !entry.is_gone())
            .count();
        let servers_held = self.servers.len();
        let shrunk = servers < servers_held.div_ceil(SHRINK_FACTOR);
        if shrunk && self.doubt != Some(Doubt::Shrunk) {
            self.doubt = Some(Doubt::Shrunk);
            return Err(RejectedList::Shrunk {
                held,
                listed: list.version,
                servers_held,
                servers,
            });
        }
        Ok(())
    }

    fn check_delta(
        &mut self,
        call: Call,
        list: &List,
        held: Option<Version>,
    ) -> Result<(), RejectedList> {
        let listed = list.version;
        let Some(held) = held else {
            return Err(RejectedList::OtherBase { listed });
        };
        let below_caller = matches!(call, Call::Confirm(wanted) if listed < wanted);
        let reused = listed == held && !list.entries.is_empty();
        if listed < held || below_caller || reused {
            self.doubt = Some(Doubt::WentBack);
            return Err(RejectedList::WentBack { held, listed });
        }
        if call != Call::Watch(held) {
            self.behind = listed > held;
            return Err(RejectedList::OtherBase { listed });
        }
        Ok(())
    }

    fn take_whole(&mut self, list: List, now: Duration) -> Applied {
        let total = list.entries.len();
        let mut servers: BTreeMap<_, _> = list
            .entries
            .into_iter()
            .map(|entry| (entry.host().clone(), entry))
            .collect();
        let duplicates = total - servers.len();
        servers.retain(|_, entry| !entry.is_gone());
        let changes = self.differences(&servers);
        let reused = self.version == Some(list.version) && !changes.is_empty();
        let went_back = self.version.is_some_and(|held| list.version < held);
        let new_epoch = reused || went_back;
        let news = new_epoch || self.version != Some(list.version);
        if new_epoch {
            self.end_epoch(now);
        }
        if new_epoch || self.version.is_none() {
            self.epochs += 1;
            self.history.restart(list.version);
        } else {
            self.history.record(list.version, changes);
        }
        self.servers = servers;
        self.version = Some(list.version);
        Applied {
            news,
            new_epoch,
            duplicates,
        }
    }

    fn end_epoch(&mut self, now: Duration) {
        let highest = self
            .version
            .max(self.earlier.map(|earlier| earlier.highest));
        self.earlier = highest.map(|highest| EarlierEpochs {
            highest,
            ended: now,
        });
    }

    /// What the servers held have to become, so that they are these.
    fn differences(&self, servers: &BTreeMap<Arc<str>, Entry>) -> Vec<Entry> {
        let lost = self
            .servers
            .iter()
            .filter(|(host, _)| !servers.contains_key(*host));
        let lost = lost.map(|(_, entry)| entry.removed());
        let changed = servers
            .iter()
            .filter(|(host, entry)| self.servers.get(*host) != Some(*entry));
        lost.chain(changed.map(|(_, entry)| entry.clone()))
            .collect()
    }

    fn take_delta(&mut self, list: List) -> Applied {
        let total = list.entries.len();
        let changes: Vec<_> = newest_of_each(&list.entries).cloned().collect();
        let duplicates = total - changes.len();
        let news = self.version != Some(list.version) || !changes.is_empty();
        for entry in &changes {
            if entry.is_gone() {
                self.servers.remove(entry.host());
            } else {
                self.servers.insert(entry.host().clone(), entry.clone());
            }
        }
        self.history.record(list.version, changes);
        self.version = Some(list.version);
        Applied {
            news,
            new_epoch: false,
            duplicates,
        }
    }

    /// The next call goes to another upstream: what the one before was doubted for says nothing of this one.
    pub fn upstream_changed(&mut self) {
        self.doubt = None;
        self.behind = false;
    }

    /// What a caller is answered now. A caller that is to have upstream confirmed is remembered: the next call does that.
    pub fn answer(&mut self, question: Question, now: Duration) -> Result<Reply, Unavailable> {
        let (version, heard) = self.version.zip(self.heard).ok_or(Unavailable::NoList)?;
        let silent = now.saturating_sub(heard);
        if silent > self.lease {
            return Err(Unavailable::LeaseExpired {
                silent,
                lease: self.lease,
            });
        }
        let Some(after) = question.after else {
            return Ok(Reply::Whole);
        };
        if self.is_ambiguous(after, now) {
            return Ok(self.answer_ambiguous(after, version, question));
        }
        if after > version {
            return Ok(self.answer_newer(after, question.came));
        }
        if after == version && !question.wait_is_over {
            return Ok(Reply::Wait);
        }
        let known = self.history.holds(after);
        Ok(if known {
            Reply::ChangesSince(after)
        } else {
            Reply::Whole
        })
    }

    /// Whether a version may be one of an earlier epoch.
    fn is_ambiguous(&self, version: Version, now: Duration) -> bool {
        let earlier = self
            .earlier
            .filter(|earlier| now.saturating_sub(earlier.ended) <= EPOCH_OVERLAP);
        earlier.is_some_and(|earlier| version <= earlier.highest)
    }

    /// Whole lists only. A caller that named the version held in this epoch waits, or it would ask without end.
    fn answer_ambiguous(&self, after: Version, version: Version, question: Question) -> Reply {
        let of_this_epoch = self
            .earlier
            .is_some_and(|earlier| question.came >= earlier.ended);
        if after == version && of_this_epoch && !question.wait_is_over {
            return Reply::Wait;
        }
        Reply::Whole
    }

    /// Either this replica is behind, or upstream does not know that version any more. Only upstream can say which.
    fn answer_newer(&mut self, after: Version, came: Duration) -> Reply {
        if self
            .unknown
            .is_some_and(|(version, asked)| after <= version && came <= asked)
        {
            return Reply::Whole;
        }
        self.wanted = self.wanted.max(Some(after));
        Reply::Confirm
    }

    /// The message of a reply; `None` where that has none.
    pub fn message(&self, reply: Reply) -> Option<List> {
        let version = self.version?;
        match reply {
            Reply::Whole => Some(List {
                version,
                whole: true,
                entries: self.servers.values().cloned().collect(),
            }),
            Reply::ChangesSince(after) => {
                let entries = self.history.since(after)?;
                Some(List {
                    version,
                    whole: false,
                    entries,
                })
            }
            Reply::Wait | Reply::Confirm => None,
        }
    }
}

/// The last entry of each server: a message is read in its order, and the later word stands.
fn newest_of_each(entries: &[Entry]) -> impl Iterator<Item = &Entry> {
    let last: HashMap<&str, usize> = entries
        .iter()
        .enumerate()
        .map(|(place, entry)| (&**entry.host(), place))
        .collect();
    let is_last = move |place: usize, entry: &Entry| last.get(&**entry.host()) == Some(&place);
    entries
        .iter()
        .enumerate()
        .filter(move |(place, entry)| is_last(*place, entry))
        .map(|(_, entry)| entry)
}
