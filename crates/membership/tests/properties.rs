//! Property tests: for any sequence of upstream events, clients end with upstream's list.

mod common;

use common::{ms, update, LEASE};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slatelink_membership::{Answer, ListQuery, ListUpdate, Replica, UpstreamCall, Version};
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: std::ops::Range<u8> = 0..4;
const CASES: u32 = 150;
/// A step takes one second, so that a case ends within the time in which clients may name versions
/// of an earlier epoch.
const STEPS: usize = 80;
const STEP: Duration = Duration::from_secs(1);
/// Number of endpoints that a case changes.
const ENDPOINTS: u8 = 6;
const CLIENTS: u8 = 3;
/// High enough that all restarts can lower the version.
const FIRST_VERSION: u64 = 10_000;

/// Health by endpoint name, without endpoints whose health is `gone`.
type HealthByName = BTreeMap<String, String>;

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint becomes ready, draining or removed.
    Change(u8, u8),
    /// Upstream restarts at a lower version and with fewer endpoints.
    Restart(u8),
    /// A replica makes its next call. Upstream may have lost its history of changes.
    Call { replica: u8, history_lost: bool },
    /// A client queries a replica, which may have no answer yet.
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
            .prop_map(|(replica, history_lost)| Step::Call { replica, history_lost }),
        5 => (0..CLIENTS, 0..replicas, prop::bool::weighted(0.1), any::<bool>()).prop_map(
            |(client, replica, wants_snapshot, wait_expired)| Step::Query { client, replica, wants_snapshot, wait_expired }
        ),
    ]
}

/// Discovery, with the list of each version since the last restart.
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

    fn answer(&self, call: UpstreamCall, history_lost: bool) -> ListUpdate {
        let (UpstreamCall::Watch(after) | UpstreamCall::Confirm(after)) = call else {
            return self.snapshot();
        };
        if history_lost || !self.lists.contains_key(&after.0) {
            return self.snapshot();
        }
        // All endpoints that changed since then, including endpoints that returned to their earlier
        // state.
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

/// Discovery, replicas and clients. The upstream of replica 2 is replica 0; the upstream of all
/// other replicas is discovery.
struct Simulation {
    upstream: Upstream,
    replicas: Vec<Replica>,
    clients: Vec<Client>,
    now: Duration,
}

impl Simulation {
    fn new(replicas: u8) -> Self {
        Self {
            upstream: Upstream::new(),
            replicas: (0..replicas).map(|_| Replica::new(LEASE * 100)).collect(),
            clients: vec![Client::default(); usize::from(CLIENTS)],
            now: Duration::ZERO,
        }
    }

    /// Queries a replica at the current time. Returns the message of its answer, if any.
    fn query_replica(
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
            // The replica immediately calls upstream, and then fetches the missing changes.
            (0..2).for_each(|_| self.call(replica, false));
            let reply = self.replicas[replica].answer(query, self.now).ok()?;
            return self.replicas[replica].message(reply);
        }
        self.replicas[replica].message(reply)
    }

    fn call(&mut self, replica: usize, history_lost: bool) {
        let call = self.replicas[replica].next_call();
        let answer = match (replica, call) {
            (2, UpstreamCall::Snapshot) => self.query_replica(0, None, true),
            (2, UpstreamCall::Watch(after) | UpstreamCall::Confirm(after)) => {
                self.query_replica(0, Some(after.0), true)
            }
            _ => Some(self.upstream.answer(call, history_lost)),
        };
        let Some(answer) = answer else { return };
        let now = self.now;
        // After a rejected update the replica calls again.
        let _ = self.replicas[replica].apply(call, answer, now, now);
    }

    /// Returns whether a replica still holds upstream's next version from before a restart. If the
    /// replica has not called since, the protocol cannot distinguish the two lists of that version.
    fn would_reuse_held_version(&self) -> bool {
        self.replicas
            .iter()
            .any(|replica| replica.version() == Some(Version(self.upstream.version() + 1)))
    }

    /// Restarts upstream at a version below all held versions, because a reused version could not
    /// be distinguished from the original.
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

    fn run_step(&mut self, step: &Step) {
        self.now += STEP;
        match *step {
            Step::Change(..) if self.would_reuse_held_version() => {}
            Step::Change(host, health) => self.upstream.change(host, health),
            Step::Restart(steps_back) => self.restart(steps_back),
            Step::Call {
                replica,
                history_lost,
            } => self.call(usize::from(replica), history_lost),
            Step::Query {
                client,
                replica,
                wants_snapshot,
                wait_expired,
            } => {
                let (client, replica) = (usize::from(client), usize::from(replica));
                let after = self.clients[client].version.filter(|_| !wants_snapshot);
                if let Some(list) = self.query_replica(replica, after, wait_expired) {
                    self.clients[client].apply(&list);
                }
            }
        }
    }
}

fn check_property(
    replicas: u8,
    restarts: bool,
    property: impl Fn(&[Step]) -> Result<(), TestCaseError>,
) {
    for seed in SEEDS {
        let config = Config {
            cases: CASES,
            failure_persistence: None,
            ..Config::default()
        };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let steps = prop::collection::vec(step(replicas, restarts), 1..STEPS);
        let result = TestRunner::new_with_rng(config, random).run(&steps, |steps| property(&steps));
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}

// Guards against any order of snapshots, deltas and restarts that leaves a client with a list other
// than upstream's list.
#[test]
fn client_ends_with_exactly_the_list_of_upstream() {
    check_property(1, true, |steps| {
        let mut simulation = Simulation::new(1);
        for step in steps {
            simulation.run_step(step);
        }
        // A much smaller snapshot is applied only the second time, and a regressed delta requires a
        // snapshot.
        (0..4).for_each(|_| simulation.call(0, false));
        for client in 0..usize::from(CLIENTS) {
            let after = simulation.clients[client].version;
            let list = simulation.query_replica(0, after, true);
            prop_assert!(list.is_some(), "the replica did not answer");
            simulation.clients[client].apply(&list.unwrap());
            prop_assert_eq!(
                &simulation.clients[client].endpoints,
                simulation.upstream.endpoints()
            );
            prop_assert_eq!(
                simulation.clients[client].version,
                Some(simulation.upstream.version())
            );
        }
        Ok(())
    });
}

// Guards against any order of snapshots, deltas and restarts that leaves a client of a second-tier
// replica, whose upstream is a relay, with a list other than upstream's list.
#[test]
fn client_of_second_tier_ends_with_exactly_the_list_of_upstream() {
    const SECOND_TIER: u8 = 2;
    check_property(3, true, |steps| {
        let mut simulation = Simulation::new(3);
        for step in steps {
            match step.clone() {
                // All clients query the same relay: a client cannot distinguish a relay that has
                // detected a restart from a relay that has not.
                Step::Query {
                    client,
                    wants_snapshot,
                    wait_expired,
                    ..
                } => {
                    simulation.run_step(&Step::Query {
                        client,
                        replica: SECOND_TIER,
                        wants_snapshot,
                        wait_expired,
                    });
                }
                step => simulation.run_step(&step),
            }
        }
        for replica in [0, usize::from(SECOND_TIER)] {
            (0..4).for_each(|_| simulation.call(replica, false));
        }
        for client in 0..usize::from(CLIENTS) {
            let after = simulation.clients[client].version;
            let list = simulation.query_replica(usize::from(SECOND_TIER), after, true);
            prop_assert!(list.is_some(), "the replica did not answer");
            simulation.clients[client].apply(&list.unwrap());
            prop_assert_eq!(
                &simulation.clients[client].endpoints,
                simulation.upstream.endpoints()
            );
        }
        Ok(())
    });
}

// Guards against a removed endpoint that a relay with an older list restores at a client. No client
// returns to an older version, and its list is always upstream's list of its version.
#[test]
fn client_that_changes_its_relay_never_applies_an_older_list() {
    check_property(3, false, |steps| {
        let mut simulation = Simulation::new(3);
        for step in steps {
            // A client that requests a snapshot discards its list, so its version may decrease.
            if matches!(
                step,
                Step::Query {
                    wants_snapshot: true,
                    ..
                }
            ) {
                continue;
            }
            let before: Vec<_> = simulation
                .clients
                .iter()
                .map(|client| client.version)
                .collect();
            simulation.run_step(step);
            for (client, before) in simulation.clients.iter().zip(before) {
                prop_assert!(
                    client.version >= before,
                    "{:?} after {before:?}",
                    client.version
                );
                if let Some(version) = client.version {
                    prop_assert_eq!(&client.endpoints, &simulation.upstream.lists[&version]);
                }
            }
        }
        Ok(())
    });
}

// Guards against properties that hold only because no query is ever answered.
#[test]
fn steps_produce_answers_of_each_kind() {
    let mut simulation = Simulation::new(3);
    let query_step = |client, replica| Step::Query {
        client,
        replica,
        wants_snapshot: false,
        wait_expired: true,
    };
    let call = |replica| Step::Call {
        replica,
        history_lost: false,
    };
    for step in [
        call(0),
        call(2),
        query_step(0, 2),
        Step::Change(1, 2),
        call(0),
        query_step(1, 0),
        query_step(1, 2),
        query_step(0, 2),
    ] {
        simulation.run_step(&step);
    }
    let versions: Vec<_> = simulation
        .clients
        .iter()
        .map(|client| client.version)
        .collect();
    assert_eq!(
        versions,
        [Some(FIRST_VERSION + 1), Some(FIRST_VERSION + 1), None]
    );
    assert_eq!(
        simulation.clients[0].endpoints,
        *simulation.upstream.endpoints()
    );
    assert_eq!(simulation.now, ms(8_000));
}
