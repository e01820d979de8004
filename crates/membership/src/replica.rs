//! A copy of the list: what upstream says goes in, and answers to callers come out.

use crate::history::History;
use crate::message::{EndpointRecord, ListUpdate, Version};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A whole list with fewer servers than the one held divided by this, or with none, is only believed once a second call
/// says so as well: a fault that empties the list would take the whole fleet out of service.
pub const UNCONFIRMED_SHRINK_FACTOR: usize = 2;
/// For so long after versions went back, the versions of before and of now cannot be told apart by their numbers. Callers
/// that name one of these get whole lists. A watch lasts 60 s at most, so each caller has heard something new by then.
pub const EPOCH_AMBIGUITY_WINDOW: Duration = Duration::from_secs(120);

/// A list of more bytes than this, as its entries are kept, is not taken: fifty times that of 4,600 servers.
pub const MAX_LIST_BYTES: usize = 32 << 20;

/// The next call to upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamCall {
    /// The whole list.
    Snapshot,
    /// A watch for what is newer than the version held.
    Watch(Version),
    /// What is newer than a version that a caller has and this replica has not, at once.
    Confirm(Version),
}

/// What became of a list from upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Whether callers have news by it.
    pub changed: bool,
    /// Whether versions went back, so that a new epoch began with it.
    pub new_epoch: bool,
    /// Entries that a later one of the same message overrode.
    pub duplicates: usize,
}

/// Why a list from upstream was not applied. The list held stays, and the next call is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedUpdate {
    /// A delta that shows that upstream numbers its lists anew.
    #[error("delta {received} does not follow on list {held}: the whole list is asked for")]
    VersionRegressed {
        /// The version held.
        held: Version,
        /// The version that was read.
        received: Version,
    },
    /// A delta to another version than the one held.
    #[error("delta {received} is based on a version that is not held: another call is made")]
    BaseMismatch {
        /// The version that was read.
        received: Version,
    },
    /// A list that would take too much memory. The one held stays until its lease runs out.
    #[error("list {received} would take {bytes} bytes: at most {MAX_LIST_BYTES} are kept")]
    TooLarge {
        /// The version that was read.
        received: Version,
        /// Bytes of all entries that would be held.
        bytes: usize,
    },
    /// A whole list that is suddenly far smaller.
    #[error(
        "snapshot {received} has {endpoints} endpoints and list {held} has {held_endpoints}: it is fetched again"
    )]
    Shrunk {
        /// The version held.
        held: Version,
        /// The version that was read.
        received: Version,
        /// Servers held.
        held_endpoints: usize,
        /// Servers in the list that was read.
        endpoints: usize,
    },
}

/// A caller's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListQuery {
    /// The version that the caller has; `None` where it asks for the whole list.
    pub after: Option<Version>,
    /// When it came.
    pub received_at: Duration,
    /// Whether the caller's wait is over, so that an answer without news is due.
    pub wait_expired: bool,
}

/// The answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The whole list.
    Snapshot,
    /// What changed since this version; nothing where it is the one held.
    DeltaSince(Version),
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
enum SnapshotReason {
    /// A delta went back.
    VersionRegressed,
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
    endpoints: BTreeMap<Arc<str>, EndpointRecord>,
    /// Bytes of their entries.
    bytes: usize,
    history: History,
    earlier: Option<EarlierEpochs>,
    /// Epochs begun, the first list's with them.
    epochs: u64,
    snapshot_reason: Option<SnapshotReason>,
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
            endpoints: BTreeMap::new(),
            bytes: 0,
            history: History::default(),
            earlier: None,
            epochs: 0,
            snapshot_reason: None,
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
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
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
    pub fn next_call(&self) -> UpstreamCall {
        match (self.next_list_call(), self.wanted) {
            (UpstreamCall::Watch(_), Some(wanted)) if !self.behind => UpstreamCall::Confirm(wanted),
            (call, _) => call,
        }
    }

    /// The same where upstream is not to be asked for callers' versions now.
    pub fn next_list_call(&self) -> UpstreamCall {
        self.version
            .filter(|_| self.snapshot_reason.is_none())
            .map_or(UpstreamCall::Snapshot, UpstreamCall::Watch)
    }

    /// Takes in the answer to a call that was sent at `sent` and read at `read`.
    pub fn apply(
        &mut self,
        call: UpstreamCall,
        list: ListUpdate,
        sent: Duration,
        read: Duration,
    ) -> Result<ApplyOutcome, RejectedUpdate> {
        if let UpstreamCall::Confirm(wanted) = call {
            // Whatever it says, callers that want more have another call made.
            self.wanted = None;
            if list.version < wanted {
                self.unknown = Some((wanted, sent));
            }
        }
        match (list.complete, self.version) {
            (true, Some(held)) => self.check_whole(&list, held)?,
            (true, None) => {}
            (false, held) => self.check_delta(call, &list, held)?,
        }
        let bytes = self.bytes_with(&list);
        if bytes > MAX_LIST_BYTES {
            return Err(RejectedUpdate::TooLarge {
                received: list.version,
                bytes,
            });
        }
        self.bytes = bytes;
        self.snapshot_reason = None;
        self.behind = false;
        self.heard = Some(read);
        self.wanted = self.wanted.filter(|wanted| *wanted > list.version);
        Ok(if list.complete {
            self.take_whole(list, read)
        } else {
            self.take_delta(list)
        })
    }

    /// Bytes of the entries held once this list is applied.
    fn bytes_with(&self, list: &ListUpdate) -> usize {
        let newest = || newest_of_each(&list.records);
        let added: usize = newest()
            .filter(|record| !record.is_removed())
            .map(EndpointRecord::bytes)
            .sum();
        if list.complete {
            return added;
        }
        let replaced = newest().filter_map(|record| self.endpoints.get(record.host()));
        self.bytes + added - replaced.map(EndpointRecord::bytes).sum::<usize>()
    }

    /// The second whole list in a row that is too small is believed.
    fn check_whole(&mut self, list: &ListUpdate, held: Version) -> Result<(), RejectedUpdate> {
        let endpoints = newest_of_each(&list.records)
            .filter(|record| !record.is_removed())
            .count();
        let held_endpoints = self.endpoints.len();
        let shrunk = endpoints < held_endpoints.div_ceil(UNCONFIRMED_SHRINK_FACTOR);
        if shrunk && self.snapshot_reason != Some(SnapshotReason::Shrunk) {
            self.snapshot_reason = Some(SnapshotReason::Shrunk);
            return Err(RejectedUpdate::Shrunk {
                held,
                received: list.version,
                held_endpoints,
                endpoints,
            });
        }
        Ok(())
    }

    fn check_delta(
        &mut self,
        call: UpstreamCall,
        list: &ListUpdate,
        held: Option<Version>,
    ) -> Result<(), RejectedUpdate> {
        let received = list.version;
        let Some(held) = held else {
            return Err(RejectedUpdate::BaseMismatch { received });
        };
        let below_caller = matches!(call, UpstreamCall::Confirm(wanted) if received < wanted);
        let reused = received == held && !list.records.is_empty();
        if received < held || below_caller || reused {
            self.snapshot_reason = Some(SnapshotReason::VersionRegressed);
            return Err(RejectedUpdate::VersionRegressed { held, received });
        }
        if call != UpstreamCall::Watch(held) {
            self.behind = received > held;
            return Err(RejectedUpdate::BaseMismatch { received });
        }
        Ok(())
    }

    fn take_whole(&mut self, list: ListUpdate, now: Duration) -> ApplyOutcome {
        let total = list.records.len();
        let mut endpoints: BTreeMap<_, _> = list
            .records
            .into_iter()
            .map(|record| (record.host().clone(), record))
            .collect();
        let duplicates = total - endpoints.len();
        endpoints.retain(|_, record| !record.is_removed());
        let changes = self.differences(&endpoints);
        let reused = self.version == Some(list.version) && !changes.is_empty();
        let went_back = self.version.is_some_and(|held| list.version < held);
        let new_epoch = reused || went_back;
        let changed = new_epoch || self.version != Some(list.version);
        if new_epoch {
            self.end_epoch(now);
        }
        if new_epoch || self.version.is_none() {
            self.epochs += 1;
            self.history.restart(list.version);
        } else {
            self.history.record(list.version, changes);
        }
        self.endpoints = endpoints;
        self.version = Some(list.version);
        ApplyOutcome {
            changed,
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
    fn differences(&self, endpoints: &BTreeMap<Arc<str>, EndpointRecord>) -> Vec<EndpointRecord> {
        let lost = self
            .endpoints
            .iter()
            .filter(|(host, _)| !endpoints.contains_key(*host));
        let lost = lost.map(|(_, record)| record.to_removed());
        let changed = endpoints
            .iter()
            .filter(|(host, record)| self.endpoints.get(*host) != Some(*record));
        lost.chain(changed.map(|(_, record)| record.clone()))
            .collect()
    }

    fn take_delta(&mut self, list: ListUpdate) -> ApplyOutcome {
        let total = list.records.len();
        let changes: Vec<_> = newest_of_each(&list.records).cloned().collect();
        let duplicates = total - changes.len();
        let changed = self.version != Some(list.version) || !changes.is_empty();
        for record in &changes {
            if record.is_removed() {
                self.endpoints.remove(record.host());
            } else {
                self.endpoints.insert(record.host().clone(), record.clone());
            }
        }
        self.history.record(list.version, changes);
        self.version = Some(list.version);
        ApplyOutcome {
            changed,
            new_epoch: false,
            duplicates,
        }
    }

    /// The next call goes to another upstream: what the one before was doubted for says nothing of this one.
    pub fn upstream_changed(&mut self) {
        self.snapshot_reason = None;
        self.behind = false;
    }

    /// What a caller is answered now. A caller that is to have upstream confirmed is remembered: the next call does that.
    pub fn answer(&mut self, query: ListQuery, now: Duration) -> Result<Answer, Unavailable> {
        let (version, heard) = self.version.zip(self.heard).ok_or(Unavailable::NoList)?;
        let silent = now.saturating_sub(heard);
        if silent > self.lease {
            return Err(Unavailable::LeaseExpired {
                silent,
                lease: self.lease,
            });
        }
        let Some(after) = query.after else {
            return Ok(Answer::Snapshot);
        };
        if self.is_ambiguous(after, now) {
            return Ok(self.answer_ambiguous(after, version, query));
        }
        if after > version {
            return Ok(self.answer_newer(after, query.received_at));
        }
        if after == version && !query.wait_expired {
            return Ok(Answer::Wait);
        }
        let known = self.history.holds(after);
        Ok(if known {
            Answer::DeltaSince(after)
        } else {
            Answer::Snapshot
        })
    }

    /// Whether a version may be one of an earlier epoch.
    fn is_ambiguous(&self, version: Version, now: Duration) -> bool {
        let earlier = self
            .earlier
            .filter(|earlier| now.saturating_sub(earlier.ended) <= EPOCH_AMBIGUITY_WINDOW);
        earlier.is_some_and(|earlier| version <= earlier.highest)
    }

    /// Whole lists only. A caller that named the version held in this epoch waits, or it would ask without end.
    fn answer_ambiguous(&self, after: Version, version: Version, query: ListQuery) -> Answer {
        let of_this_epoch = self
            .earlier
            .is_some_and(|earlier| query.received_at >= earlier.ended);
        if after == version && of_this_epoch && !query.wait_expired {
            return Answer::Wait;
        }
        Answer::Snapshot
    }

    /// Either this replica is behind, or upstream does not know that version any more. Only upstream can say which.
    fn answer_newer(&mut self, after: Version, received_at: Duration) -> Answer {
        if self
            .unknown
            .is_some_and(|(version, asked)| after <= version && received_at <= asked)
        {
            return Answer::Snapshot;
        }
        self.wanted = self.wanted.max(Some(after));
        Answer::Confirm
    }

    /// The message of a reply; `None` where that has none.
    pub fn message(&self, reply: Answer) -> Option<ListUpdate> {
        let version = self.version?;
        match reply {
            Answer::Snapshot => Some(ListUpdate {
                version,
                complete: true,
                records: self.endpoints.values().cloned().collect(),
            }),
            Answer::DeltaSince(after) => {
                let records = self.history.since(after)?;
                Some(ListUpdate {
                    version,
                    complete: false,
                    records,
                })
            }
            Answer::Wait | Answer::Confirm => None,
        }
    }
}

/// The last record of each server: a message is read in its order, and the later word stands.
fn newest_of_each(records: &[EndpointRecord]) -> impl Iterator<Item = &EndpointRecord> {
    let last: HashMap<&str, usize> = records
        .iter()
        .enumerate()
        .map(|(index, record)| (&**record.host(), index))
        .collect();
    let is_last =
        move |index: usize, record: &EndpointRecord| last.get(&**record.host()) == Some(&index);
    records
        .iter()
        .enumerate()
        .filter(move |(index, record)| is_last(*index, record))
        .map(|(_, record)| record)
}
