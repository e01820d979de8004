//! Prevents stale lists from making an endpoint ready again after it was announced as draining or
//! removed.
//!
//! Lists reach a node on several connections: a watch and its renewal use separate connections, and
//! so do the old and the new discovery after a change of address. An older list may therefore
//! arrive after a newer list, and a discovery that has lost its state may start again with old
//! versions. The module reads no clock: the current time is an argument.

use super::in_flight::AddressGeneration;
use slatelink_config::{EndpointList, EndpointRecord};
use slatelink_policy::Availability;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long an announcement takes precedence over lists that aren't known to be newer. By then an
/// older list in transit has arrived, and a discovery that lost its state has recovered it.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(30);

/// Latest announcement that an endpoint is draining or removed.
struct Announcement {
    generation: AddressGeneration,
    version: u64,
    /// Start time of the endpoint's process, in milliseconds of Unix time.
    started_ms: Option<u64>,
    announced_at: Instant,
}

/// The newest list received so far.
struct NewestList {
    generation: AddressGeneration,
    version: u64,
    received_at: Instant,
}

/// Recent announcements, and the endpoints of the newest list. The size is bounded by the number of
/// endpoints in the lists of the last `ANNOUNCEMENT_LIFETIME` and in the last complete list.
#[derive(Default)]
pub struct StaleListFilter {
    /// Announcements by endpoint id.
    announcements: HashMap<String, Announcement>,
    newest: Option<NewestList>,
    /// Ids of the listed endpoints; `None` before the first complete list. An endpoint that a
    /// complete list lacks is removed.
    listed: Option<HashSet<String>>,
}

impl StaleListFilter {
    /// Records the announcements of a list, and marks as draining the endpoints that the list
    /// contains as ready although a known drain or removal takes precedence. Returns whether any
    /// endpoint was marked.
    pub fn apply(
        &mut self,
        list: &mut EndpointList,
        generation: AddressGeneration,
        now: Instant,
    ) -> bool {
        self.announcements
            .retain(|_, announcement| now - announcement.announced_at < ANNOUNCEMENT_LIFETIME);
        let is_newest = self.update_newest(list, generation, now);
        let version = list.version;
        let mut marked_any = false;
        for endpoint in &mut list.endpoints {
            if endpoint.availability() != Availability::Ready {
                let announcement = Announcement {
                    generation,
                    version,
                    started_ms: endpoint.started_ms(),
                    announced_at: now,
                };
                self.record(endpoint.id(), announcement);
            } else if self.known_state_takes_precedence(endpoint, generation, version, is_newest) {
                endpoint.set_draining();
                marked_any = true;
            } else {
                self.announcements.remove(endpoint.id());
            }
        }
        marked_any
    }

    /// Returns whether the known state of an endpoint takes precedence over a list that contains it
    /// as ready. `is_newest` is the result of `update_newest` for the list.
    fn known_state_takes_precedence(
        &self,
        endpoint: &EndpointRecord,
        generation: AddressGeneration,
        version: u64,
        is_newest: bool,
    ) -> bool {
        let Some(announcement) = self.announcements.get(endpoint.id()) else {
            let unlisted = self
                .listed
                .as_ref()
                .is_some_and(|listed| !listed.contains(endpoint.id()));
            return unlisted && !is_newest;
        };
        let newer = generation == announcement.generation && version > announcement.version;
        let restarted = endpoint.started_ms() > announcement.started_ms;
        !newer && !restarted
    }

    /// Records the endpoints of a list, unless a recent list of the same generation is as new or
    /// newer. Returns whether the endpoints were recorded.
    fn update_newest(
        &mut self,
        list: &EndpointList,
        generation: AddressGeneration,
        now: Instant,
    ) -> bool {
        let is_outdated = self.newest.as_ref().is_some_and(|newest| {
            let recent = now - newest.received_at < ANNOUNCEMENT_LIFETIME;
            recent && newest.generation == generation && newest.version >= list.version
        });
        if is_outdated {
            return false;
        }
        self.newest = Some(NewestList {
            generation,
            version: list.version,
            received_at: now,
        });
        self.update_listed(list);
        true
    }

    fn update_listed(&mut self, list: &EndpointList) {
        if list.complete {
            let ids = list
                .endpoints
                .iter()
                .map(|endpoint| endpoint.id().to_owned());
            self.listed = Some(ids.collect());
            return;
        }
        let Some(listed) = &mut self.listed else {
            return;
        };
        for endpoint in &list.endpoints {
            if endpoint.availability() == Availability::Removed {
                listed.remove(endpoint.id());
            } else {
                listed.insert(endpoint.id().to_owned());
            }
        }
    }

    fn record(&mut self, id: &str, announcement: Announcement) {
        match self.announcements.get_mut(id) {
            // An older list that repeats the announcement doesn't lower the recorded version and
            // start time.
            Some(known) if known.generation == announcement.generation => {
                known.version = known.version.max(announcement.version);
                known.started_ms = known.started_ms.max(announcement.started_ms);
                known.announced_at = announcement.announced_at;
            }
            Some(known) => *known = announcement,
            None => {
                self.announcements.insert(id.to_owned(), announcement);
            }
        }
    }
}
