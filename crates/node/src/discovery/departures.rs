//! Servers that were announced as leaving, so that a list from before the announcement can't bring one back.
//!
//! Lists reach a node on several connections: the watch and the one that renews it, the old discovery and the new one
//! after a move. One that was made earlier may arrive later, and a discovery that has lost its state may begin with old
//! versions. Time comes in as an argument.

use super::in_flight::Source;
use slatelink_config::EndpointList;
use slatelink_policy::Availability;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// For so long a departure outweighs lists that can't be told to be newer. An older one that is still on its way has
/// come by then, and a discovery that has lost its state has found it again.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(30);

struct Departure {
    source: Source,
    version: u64,
    /// Start of the process that leaves.
    started: Option<u64>,
    announced: Instant,
}

/// The newest list that was taken.
struct Newest {
    source: Source,
    version: u64,
    taken: Instant,
}

/// The departures of late, by server. As many as the lists of `ANNOUNCEMENT_LIFETIME` named.
#[derive(Default)]
pub struct Departures {
    servers: HashMap<String, Departure>,
    newest: Option<Newest>,
    /// Who is listed, since the last whole list; a whole list tells by what it lacks, too.
    listed: Option<HashSet<String>>,
}

impl Departures {
    /// Notes what a list says of servers that leave, and has those left alone that it calls ready by older knowledge.
    /// Whether there were any of these.
    pub fn amend(&mut self, list: &mut EndpointList, source: Source, now: Instant) -> bool {
        self.servers
            .retain(|_, departure| now - departure.announced < ANNOUNCEMENT_LIFETIME);
        let version = list.version;
        let newer = self.advance(list, source, now);
        let mut amended = false;
        for host in &mut list.endpoints {
            if host.availability() != Availability::Ready {
                let departure = Departure {
                    source,
                    version,
                    started: host.started_ms(),
                    announced: now,
                };
                self.record(host.id(), departure);
                continue;
            }
            let Some(departure) = self.servers.get(host.id()) else {
                let unlisted = self
                    .listed
                    .as_ref()
                    .is_some_and(|listed| !listed.contains(host.id()));
                if unlisted && !newer {
                    host.set_draining();
                    amended = true;
                }
                continue;
            };
            let newer = source == departure.source && version > departure.version;
            if newer || host.started_ms() > departure.started {
                self.servers.remove(host.id());
            } else {
                host.set_draining();
                amended = true;
            }
        }
        amended
    }

    /// Takes in who is listed, unless the list is not newer than one of the same source. Whether it was newer.
    fn advance(&mut self, list: &EndpointList, source: Source, now: Instant) -> bool {
        let outweighs = |newest: &&Newest| {
            let fresh = now - newest.taken < ANNOUNCEMENT_LIFETIME;
            fresh && newest.source == source && newest.version >= list.version
        };
        if self.newest.as_ref().filter(outweighs).is_some() {
            return false;
        }
        self.newest = Some(Newest {
            source,
            version: list.version,
            taken: now,
        });
        if list.complete {
            self.listed = Some(
                list.endpoints
                    .iter()
                    .map(|host| host.id().to_owned())
                    .collect(),
            );
        } else if let Some(listed) = &mut self.listed {
            for host in &list.endpoints {
                match host.availability() {
                    Availability::Removed => drop(listed.remove(host.id())),
                    _ => drop(listed.insert(host.id().to_owned())),
                }
            }
        }
        true
    }

    fn record(&mut self, server: &str, departure: Departure) {
        match self.servers.get_mut(server) {
            // An older list that repeats it takes nothing from the newer one's weight.
            Some(known) if known.source == departure.source => {
                known.version = known.version.max(departure.version);
                known.started = known.started.max(departure.started);
                known.announced = departure.announced;
            }
            Some(known) => *known = departure,
            None => drop(self.servers.insert(server.to_owned(), departure)),
        }
    }
}
