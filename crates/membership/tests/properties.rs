//! Property tests: whatever upstream does, clients end with upstream's list.

mod common;

use common::{ms, update, LEASE};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slatelink_membership::{Answer, ListQuery, ListUpdate, Replica, UpstreamCall, Version};
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: std::ops::Range<u8> = 0..4;
const CASES: u32 = 150;
/// A step takes a second: a case stays within the time in which clients may name versions of an earlier epoch.
const STEPS: usize = 80;
const STEP: Duration = Duration::from_secs(1);
/// Endpoints that a case changes.
const ENDPOINTS: u8 = 6;
const CLIENTS: u8 = 3;
/// High enough for all restarts to go back.
const FIRST_VERSION: u64 = 10_000;

/// Health by an endpoint's name; `gone` does not occur.
type HealthByName = BTreeMap<String, String>;

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint becomes ready, draining or removed.
    Change(u8, u8),
    /// Upstream restarts at a lower version and with fewer endpoints.
    Restart(u8),
    /// A replica makes its next call; upstream may have forgotten its changes.
    Call { replica: u8, forgets: bool },
    /// A client calls a replica, which may not answer yet.
    Query {
        client: u8,
        replica: u8,
        wants_snapshot: bool,
        wait_expired: bool,
    },
}

fn step(replicas: u8, restarts: bool) -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..ENDPOINTS, 0..3u8).prop_map(|(host, health)| Step::Change(host, health)),
        u32::from(restarts) => (0..20u8).prop_map(Step::Restart),
        5 => (0..replicas, prop::bool::weighted(0.2))
            .prop_map(|(replica, forgets)| Step::Call { replica, forgets }),
        5 => (0..CLIENTS, 0..replicas, prop::bool::weighted(0.1), any::<bool>()).prop_map(
            |(client, replica, wants_snapshot, wait_expired)| Step::Query { client, replica, wants_snapshot, wait_expired }
        ),
    ]
}

/// Discovery: the list of each version since its last restart.
struct Upstream {
    lists: BTreeMap<u64, HealthByName>,
}

impl Upstream {
    fn new() -> Self {
        let endpoints = (0..ENDPOINTS)
            .map(|host| (format!("s{host}"), "ready".to_owned()))
            .collect();
        Self {
            lists: BTreeMap::from([(FIRST_VERSION, endpoints)]),
        }
    }

    fn version(&self) -> u64 {
        *self.lists.last_key_value().unwrap().0
    }

    fn endpoints(&self) -> &HealthByName {
        self.lists.last_key_value().unwrap().1
    }

    fn change(&mut self, host: u8, health: u8) {
        let (version, mut endpoints) = (self.version() + 1, self.endpoints().clone());
        match health {
            0 => endpoints.insert(format!("s{host}"), "ready".to_owned()),
            1 => endpoints.insert(format!("s{host}"), "draining".to_owned()),
            _ => endpoints.remove(&format!("s{host}")),
        };
        self.lists.insert(version, endpoints);
    }

    fn restart(&mut self, version: u64, steps_back: u8) {
        let endpoints = self.endpoints().iter().skip(usize::from(steps_back % 3));
        let endpoints = endpoints
            .map(|(host, health)| (host.clone(), health.clone()))
            .collect();
        self.lists = BTreeMap::from([(version, endpoints)]);
    }

    fn snapshot(&self) -> ListUpdate {
        let endpoints: Vec<_> = self
            .endpoints()
            .iter()
            .map(|(host, health)| (&**host, &**health))
            .collect();
        update(self.version(), true, &endpoints)
    }

    fn answer(&self, call: UpstreamCall, forgets: bool) -> ListUpdate {
        let (UpstreamCall::Watch(after) | UpstreamCall::Confirm(after)) = call else {
            return self.snapshot();
        };
        if forgets || !self.lists.contains_key(&after.0) {
            return self.snapshot();
        }
        // All that was changed since, also what has its earlier state again.
        let mut changes = BTreeMap::new();
        let mut before = &self.lists[&after.0];
        for endpoints in self
            .lists
            .range(after.0 + 1..)
            .map(|(_, endpoints)| endpoints)
        {
            let hosts = before.keys().chain(endpoints.keys());
            for host in hosts.filter(|host| before.get(*host) != endpoints.get(*host)) {
                changes.insert(host.as_str(), ());
            }
            before = endpoints;
        }
        let health = |host: &str| self.endpoints().get(host).map_or("gone", |health| health);
        let changes: Vec<_> = changes.keys().map(|host| (*host, health(host))).collect();
        update(self.version(), false, &changes)
    }
}

#[derive(Clone, Debug, Default)]
struct Client {
    version: Option<u64>,
    endpoints: HealthByName,
}

impl Client {
    fn apply(&mut self, update: &ListUpdate) {
        if update.complete {
            self.endpoints.clear();
        }
        for (host, health) in common::name_and_health(update) {
            match health.as_str() {
                "gone" => self.endpoints.remove(&host),
                _ => self.endpoints.insert(host, health),
            };
        }
        self.version = Some(update.version.0);
    }
}

/// One or more replicas; replica 2 has replica 0 as its upstream, all others have discovery.
struct World {
    upstream: Upstream,
    replicas: Vec<Replica>,
    clients: Vec<Client>,
    now: Duration,
}

impl World {
    fn new(replicas: u8) -> Self {
        Self {
            upstream: Upstream::new(),
            replicas: (0..replicas).map(|_| Replica::new(LEASE * 100)).collect(),
            clients: vec![Client::default(); usize::from(CLIENTS)],
            now: Duration::ZERO,
        }
    }

    /// What a replica answers a client now.
    fn ask(
        &mut self,
        replica: usize,
        after: Option<u64>,
        wait_expired: bool,
    ) -> Option<ListUpdate> {
        let query = ListQuery {
            after: after.map(Version),
            received_at: self.now,
            wait_expired,
        };
        let reply = self.replicas[replica].answer(query, self.now).ok()?;
        if reply == Answer::Confirm {
            // It calls upstream at once, and fetches what it lacks.
            (0..2).for_each(|_| self.call(replica, false));
            let reply = self.replicas[replica].answer(query, self.now).ok()?;
            return self.replicas[replica].message(reply);
        }
        self.replicas[replica].message(reply)
    }

    fn call(&mut self, replica: usize, forgets: bool) {
        let call = self.replicas[replica].next_call();
        let answer = match (replica, call) {
            (2, UpstreamCall::Snapshot) => self.ask(0, None, true),
            (2, UpstreamCall::Watch(after) | UpstreamCall::Confirm(after)) => {
                self.ask(0, Some(after.0), true)
            }
            _ => Some(self.upstream.answer(call, forgets)),
        };
        let Some(answer) = answer else { return };
        let now = self.now;
        // A rejected update has another call made.
        let _ = self.replicas[replica].apply(call, answer, now, now);
    }

    /// Whether upstream's next version is held by a replica from before a restart. If that had not called since, nothing
    /// in the protocol could show the difference.
    fn would_reuse_held_version(&self) -> bool {
        self.replicas
            .iter()
            .any(|replica| replica.version() == Some(Version(self.upstream.version() + 1)))
    }

    /// Restarts upstream below all versions held: one that was reused could not be told apart.
    fn restart(&mut self, steps_back: u8) {
        let held = self
            .replicas
            .iter()
            .filter_map(|replica| replica.version())
            .map(|version| version.0);
        let lowest = held.chain([self.upstream.version()]).min().unwrap();
        self.upstream
            .restart(lowest - 1 - u64::from(steps_back), steps_back);
    }

    fn play(&mut self, step: &Step) {
        self.now += STEP;
        match *step {
            Step::Change(..) if self.would_reuse_held_version() => {}
            Step::Change(host, health) => self.upstream.change(host, health),
            Step::Restart(steps_back) => self.restart(steps_back),
            Step::Call { replica, forgets } => self.call(usize::from(replica), forgets),
            Step::Query {
                client,
                replica,
                wants_snapshot,
                wait_expired,
            } => {
                let (client, replica) = (usize::from(client), usize::from(replica));
                let after = self.clients[client].version.filter(|_| !wants_snapshot);
                if let Some(list) = self.ask(replica, after, wait_expired) {
                    self.clients[client].apply(&list);
                }
            }
        }
    }
}

fn check(replicas: u8, restarts: bool, holds: impl Fn(&[Step]) -> Result<(), TestCaseError>) {
    for seed in SEEDS {
        let config = Config {
            cases: CASES,
            failure_persistence: None,
            ..Config::default()
        };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let steps = prop::collection::vec(step(replicas, restarts), 1..STEPS);
        let result = TestRunner::new_with_rng(config, random).run(&steps, |steps| holds(&steps));
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}

// Guards against any order of snapshots, deltas and restarts that leaves a client with another list than upstream's.
#[test]
fn a_client_ends_with_exactly_the_list_of_upstream() {
    check(1, true, |steps| {
        let mut world = World::new(1);
        for step in steps {
            world.play(step);
        }
        // A smaller snapshot is applied the second time; a regressed delta has a snapshot fetched.
        (0..4).for_each(|_| world.call(0, false));
        for client in 0..usize::from(CLIENTS) {
            let after = world.clients[client].version;
            let list = world.ask(0, after, true);
            prop_assert!(list.is_some(), "it is answered");
            world.clients[client].apply(&list.unwrap());
            prop_assert_eq!(&world.clients[client].endpoints, world.upstream.endpoints());
            prop_assert_eq!(
                world.clients[client].version,
                Some(world.upstream.version())
            );
        }
        Ok(())
    });
}

// The same through a second tier, whose upstream is a relay.
#[test]
fn a_client_of_a_second_tier_ends_with_exactly_the_list_of_upstream() {
    const SITE: u8 = 2;
    check(3, true, |steps| {
        let mut world = World::new(3);
        for step in steps {
            match step.clone() {
                // No client changes its relay: it cannot tell a relay that noticed a restart from one that did not.
                Step::Query {
                    client,
                    wants_snapshot,
                    wait_expired,
                    ..
                } => {
                    world.play(&Step::Query {
                        client,
                        replica: SITE,
                        wants_snapshot,
                        wait_expired,
                    });
                }
                step => world.play(&step),
            }
        }
        for replica in [0, usize::from(SITE)] {
            (0..4).for_each(|_| world.call(replica, false));
        }
        for client in 0..usize::from(CLIENTS) {
            let after = world.clients[client].version;
            let list = world.ask(usize::from(SITE), after, true);
            prop_assert!(list.is_some(), "it is answered");
            world.clients[client].apply(&list.unwrap());
            prop_assert_eq!(&world.clients[client].endpoints, world.upstream.endpoints());
        }
        Ok(())
    });
}

// Guards against a removed endpoint that comes back by a relay which is behind: no client goes back to an older version, and
// what it has is always upstream's list of that version.
#[test]
fn a_client_that_changes_its_relay_never_applies_an_older_list() {
    check(3, false, |steps| {
        let mut world = World::new(3);
        for step in steps {
            // A client that asks for a snapshot has given up what it had.
            if matches!(
                step,
                Step::Query {
                    wants_snapshot: true,
                    ..
                }
            ) {
                continue;
            }
            let before: Vec<_> = world.clients.iter().map(|client| client.version).collect();
            world.play(step);
            for (client, before) in world.clients.iter().zip(before) {
                prop_assert!(
                    client.version >= before,
                    "{:?} after {before:?}",
                    client.version
                );
                if let Some(version) = client.version {
                    prop_assert_eq!(&client.endpoints, &world.upstream.lists[&version]);
                }
            }
        }
        Ok(())
    });
}

// Guards against properties that hold only because nothing is ever answered.
#[test]
fn the_properties_cover_answers_of_each_kind() {
    let mut world = World::new(3);
    let ask = |client, replica| Step::Query {
        client,
        replica,
        wants_snapshot: false,
        wait_expired: true,
    };
    let call = |replica| Step::Call {
        replica,
        forgets: false,
    };
    for step in [
        call(0),
        call(2),
        ask(0, 2),
        Step::Change(1, 2),
        call(0),
        ask(1, 0),
        ask(1, 2),
        ask(0, 2),
    ] {
        world.play(&step);
    }
    let versions: Vec<_> = world.clients.iter().map(|client| client.version).collect();
    assert_eq!(
        versions,
        [Some(FIRST_VERSION + 1), Some(FIRST_VERSION + 1), None]
    );
    assert_eq!(world.clients[0].endpoints, *world.upstream.endpoints());
    assert_eq!(world.now, ms(8_000));
}
