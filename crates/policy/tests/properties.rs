//! The rules as properties of the decision module, over sequences of events from fixed seeds.

#[path = "common/events.rs"]
mod events;

use events::{check, Change, Step, SERVERS};
use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: std::ops::Range<u8> = 0..6;
const CASES: u32 = 60;
const LENGTH: usize = 300;
/// Of the design: a tripped breaker blocks for so long, then lets so many trials out.
const COOLDOWN: Duration = Duration::from_secs(6);
const TRIALS: usize = 3;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was seen from outside, in order.
#[derive(Clone, Debug)]
enum Fact {
    Took(Request),
    /// With the entry as it was told last.
    Sent {
        id: RequestId,
        server: Endpoint,
    },
    Ended {
        id: RequestId,
        server: Endpoint,
        status: Status,
        cache_result: Option<CacheResult>,
    },
    Answered {
        id: RequestId,
        refused: Option<Duration>,
    },
    Left(RequestId),
    Told(Vec<Endpoint>),
    BreakerOpened(BreakerScope),
    /// All that came of one event has been seen.
    Done,
}

/// The endpoint that a breaker guards, wholly or for one class.
fn endpoint_of(scope: &BreakerScope) -> Option<&EndpointId> {
    match scope {
        BreakerScope::Endpoint(endpoint) | BreakerScope::EndpointClass { endpoint, .. } => {
            Some(endpoint)
        }
        BreakerScope::Zone(_) | BreakerScope::Origin => None,
    }
}

struct Out {
    id: RequestId,
    attempt: u32,
    server: Endpoint,
    at: Timestamp,
    ends: Timestamp,
}

/// A module and the world around it, which carries its actions out on paper.
struct World {
    balancer: Balancer,
    settings: Settings,
    now: Timestamp,
    list: BTreeMap<EndpointId, Endpoint>,
    out: Vec<Out>,
    /// By request: when its client gives up, and how many attempts were made.
    open: BTreeMap<RequestId, (Timestamp, u32)>,
    timers: BTreeSet<Timestamp>,
    count: u32,
    facts: Vec<(Timestamp, Fact)>,
    /// Requests that have their answer, or whose client has left.
    over: BTreeSet<RequestId>,
}

impl World {
    /// What the seed leaves open: who fetches misses, where repeats are dropped, how many attempts there are.
    fn new(seed: u64) -> Self {
        let class = |name: &str, idempotency| Class {
            name: name.into(),
            idempotency,
            latency_objective: ms(150),
            deadline: ms(600),
        };
        let scope = [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ][seed as usize % 3];
        let keyed = Idempotency::Keyed {
            scope,
            window: ms(200),
        };
        let aside = CacheMode::CacheAside {
            origin_kind: "origin".into(),
        };
        let settings = Settings {
            classes: vec![
                class("read", Idempotency::Idempotent),
                class("keyed", keyed),
                class("once", Idempotency::NonIdempotent),
            ],
            mode: if seed.is_multiple_of(2) {
                CacheMode::ReadThrough
            } else {
                aside
            },
            max_attempts: 2 + seed as u32 % 4,
            max_retry_after: ms(1_000),
            ..Settings::default()
        };
        let balancer = Balancer::new(settings.clone(), seed);
        let now = Timestamp::from_micros(3_000_000_000);
        let mut world = Self {
            balancer,
            settings,
            now,
            list: BTreeMap::new(),
            out: Vec::new(),
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            count: 0,
            facts: Vec::new(),
            over: BTreeSet::new(),
        };
        world.tell_whole(0);
        world
    }

    fn entry(i: usize) -> Endpoint {
        let zone = Some(Name::from(["x", "y"][i % 2]));
        Endpoint {
            zone,
            cell: i as u64 % 3,
            ..Endpoint::new(&format!("s{i}"))
        }
    }

    fn tell(
        &mut self,
        list: impl Fn(std::sync::Arc<[Endpoint]>) -> EndpointUpdate,
        entries: Vec<Endpoint>,
    ) {
        self.list
            .retain(|_, entry| entry.availability != Availability::Removed);
        let told = self.list.values().cloned().collect();
        self.facts.push((self.now, Fact::Told(told)));
        self.feed(Event::Endpoints(list(entries.into())));
    }

    fn tell_whole(&mut self, lacks: u8) {
        let all = (0..SERVERS)
            .filter(|i| lacks & 1 << i == 0)
            .map(Self::entry);
        let origin = Endpoint {
            kind: Some("origin".into()),
            ..Endpoint::new("zz")
        };
        let aside = self.settings.mode != CacheMode::ReadThrough;
        let held = |entry: Endpoint| self.list.get(&entry.id).cloned().unwrap_or(entry);
        let entries: Vec<_> = all.map(held).chain(aside.then_some(origin)).collect();
        self.list = entries
            .iter()
            .map(|entry| (entry.id.clone(), entry.clone()))
            .collect();
        self.tell(EndpointUpdate::Snapshot, entries);
    }

    fn change(&mut self, i: usize, to: Change) {
        let mut entry = self
            .list
            .get(&Self::entry(i).id)
            .cloned()
            .unwrap_or_else(|| Self::entry(i));
        match to {
            Change::Ready | Change::Moved => entry.availability = Availability::Ready,
            Change::Draining => entry.availability = Availability::Draining,
            Change::Gone => entry.availability = Availability::Removed,
            Change::Restarted => {
                entry.availability = Availability::Ready;
                entry.started = Some(self.now);
            }
        }
        self.list.insert(entry.id.clone(), entry.clone());
        self.tell(EndpointUpdate::Delta, vec![entry]);
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint: server,
                    timeout,
                    ..
                } => {
                    let server = self.list.get(&server).cloned().unwrap_or_else(|| Endpoint {
                        availability: Availability::Removed,
                        ..Endpoint::new(server.as_str())
                    });
                    self.facts.push((
                        self.now,
                        Fact::Sent {
                            id: id.clone(),
                            server: server.clone(),
                        },
                    ));
                    let until = self.open.get_mut(&id).map(|(until, made)| {
                        *made += 1;
                        (*until, *made - 1)
                    });
                    let (until, attempt) = until.unwrap_or((self.now, 0));
                    let ends = (self.now + timeout).min(until);
                    self.out.push(Out {
                        id,
                        attempt,
                        server,
                        at: self.now,
                        ends,
                    });
                }
                Action::Shed { id, retry_after } => self.answered(id, Some(retry_after)),
                Action::Fail { id } => self.answered(id, None),
                Action::Wake { after } => {
                    self.timers
                        .insert(self.now + after.max(Duration::from_micros(1)));
                }
                Action::BreakerOpened(scope) => {
                    self.facts.push((self.now, Fact::BreakerOpened(scope)))
                }
                _ => {}
            }
        }
        self.facts.push((self.now, Fact::Done));
    }

    fn answered(&mut self, id: RequestId, refused: Option<Duration>) {
        self.over.insert(id.clone());
        self.facts.push((self.now, Fact::Answered { id, refused }));
    }

    fn ask(&mut self, class: usize, key: u64, patience: Duration, write: bool, over_quota: bool) {
        self.count += 1;
        let deadline = self.now + patience;
        let request = Request {
            class: (class < self.settings.classes.len()).then_some(ClassId(class)),
            key: Some(key),
            write,
            over_quota,
            ..Request::new(&format!("r{}", self.count), deadline)
        };
        self.open.insert(request.id.clone(), (deadline, 0));
        self.facts.push((self.now, Fact::Took(request.clone())));
        self.feed(Event::Request(request));
    }

    fn end(&mut self, place: usize, status: Status, cache_result: Option<CacheResult>) {
        let Out {
            id,
            attempt,
            server,
            at,
            ..
        } = self.out.remove(place);
        let fact = Fact::Ended {
            id: id.clone(),
            server: server.clone(),
            status,
            cache_result,
        };
        self.facts.push((self.now, fact));
        if status == Status::Ok && !self.over.contains(&id) {
            self.answered(id.clone(), None);
        }
        let (answered, latency, server) = (self.over.contains(&id), self.now.since(at), server.id);
        let load = LoadReport::default();
        self.feed(Event::AttemptEnded(Outcome {
            id,
            attempt,
            endpoint: server,
            status,
            cache_result,
            latency,
            answered,
            load,
        }));
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let first = self
                .out
                .iter()
                .enumerate()
                .map(|(i, out)| (out.ends, Some(i)))
                .min();
            let timer = self.timers.first().map(|at| (*at, None));
            let Some((at, what)) = first
                .into_iter()
                .chain(timer)
                .min()
                .filter(|(at, _)| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(at);
            match what {
                Some(place) => self.end(place, Status::TimedOut, None),
                None => {
                    self.timers.remove(&at);
                    self.feed(Event::Timer);
                }
            }
        }
        self.now = end;
    }

    fn play(&mut self, steps: &[Step]) {
        for step in steps.iter().cloned() {
            match step {
                Step::Ask {
                    class,
                    key,
                    patience_ms,
                    write,
                    over_quota,
                } => {
                    self.ask(class, key, ms(patience_ms), write, over_quota);
                }
                Step::End {
                    which,
                    how,
                    cache_result,
                } if !self.out.is_empty() => {
                    let cache_result =
                        cache_result.filter(|_| self.settings.mode == CacheMode::ReadThrough);
                    self.end(which % self.out.len(), how, cache_result);
                }
                // Of an attempt that has ended, or of one that was never made.
                Step::Stray { which, how: status } => {
                    let known: Vec<_> = self.open.iter().collect();
                    let (id, attempt) = match known.is_empty() {
                        true => ("unknown".into(), 0),
                        false => {
                            let (id, (_, made)) = known[which % known.len()];
                            let out = |attempt: &u32| {
                                self.out
                                    .iter()
                                    .any(|o| o.id == *id && o.attempt == *attempt)
                            };
                            (
                                id.clone(),
                                (0..*made)
                                    .find(|attempt| !out(attempt))
                                    .unwrap_or(*made + 7),
                            )
                        }
                    };
                    let (server, answered) =
                        (Self::entry(which % SERVERS).id, self.over.contains(&id));
                    let (cache_result, latency, load) = (None, ms(1), LoadReport::default());
                    let stray = Outcome {
                        id,
                        attempt,
                        endpoint: server,
                        status,
                        cache_result,
                        latency,
                        answered,
                        load,
                    };
                    self.feed(Event::AttemptEnded(stray));
                }
                Step::Leave { which } => {
                    let open: Vec<_> = self
                        .open
                        .keys()
                        .filter(|id| !self.over.contains(*id))
                        .cloned()
                        .collect();
                    if let Some(id) = open.get(which % open.len().max(1)) {
                        self.over.insert(id.clone());
                        self.facts.push((self.now, Fact::Left(id.clone())));
                        self.feed(Event::RequestCanceled(id.clone()));
                    }
                }
                Step::Change { server, to } => self.change(server, to),
                Step::Whole { lacks } => self.tell_whole(lacks),
                Step::NoList => self.feed(Event::Endpoints(EndpointUpdate::Unavailable)),
                Step::Pass { ms: time } => self.pass(ms(time)),
                Step::End { .. } => {}
            }
        }
    }

    /// All that was seen, once everything has run out.
    fn facts(seed: u64, steps: &[Step]) -> Self {
        let mut world = Self::new(seed);
        world.play(steps);
        world.pass(ms(1_000));
        world
    }

    fn class(&self, request: &Request) -> Class {
        request
            .class
            .map_or_else(Class::default, |id| self.settings.classes[id.0].clone())
    }
}

#[test]
fn each_request_has_one_final_answer_in_its_time_and_nothing_else_has_one() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let mut open = BTreeMap::new();
        for (at, fact) in World::facts(seed, steps).facts {
            match fact {
                Fact::Took(request) => drop(open.insert(request.id, request.deadline)),
                Fact::Answered { id, .. } => {
                    let until = open
                        .remove(&id)
                        .unwrap_or_else(|| panic!("{id} has no answer to come"));
                    assert!(at <= until, "{id} is answered after its time");
                }
                Fact::Left(id) => drop(open.remove(&id)),
                Fact::Sent { id, .. } => assert!(open.contains_key(&id), "{id} is over, and sent"),
                _ => {}
            }
        }
        assert!(open.is_empty(), "no answer to {open:?}");
    });
}

#[test]
fn a_request_that_may_have_run_is_sent_again_or_refused_only_as_its_class_allows() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let world = World::facts(seed, steps);
        let (mut classes, mut ran) = (BTreeMap::new(), BTreeMap::<RequestId, Vec<_>>::new());
        for (at, fact) in &world.facts {
            match fact {
                Fact::Took(request) => {
                    classes.insert(request.id.clone(), world.class(request).idempotency);
                }
                Fact::Sent { id, server } => {
                    let earlier = ran.entry(id.clone()).or_default();
                    for (sent, before) in earlier.iter() {
                        let near = |scope: DeduplicationScope, before: &Endpoint| match scope {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => before.zone == server.zone,
                            DeduplicationScope::Cell => before.cell == server.cell,
                        };
                        let allowed = match classes[id] {
                            Idempotency::Idempotent => true,
                            Idempotency::NonIdempotent => false,
                            Idempotency::Keyed { scope, window } => {
                                *at < *sent + window && near(scope, before)
                            }
                        };
                        assert!(allowed, "{id} is sent again");
                    }
                    earlier.push((*at, server.clone()));
                }
                Fact::Ended {
                    id, server, status, ..
                } if status.never_ran() => {
                    let sent = ran.entry(id.clone()).or_default();
                    let place = sent
                        .iter()
                        .position(|(_, to)| to.id == server.id)
                        .expect("it was sent");
                    sent.remove(place);
                }
                Fact::Answered {
                    id,
                    refused: Some(_),
                } => {
                    let harmless = matches!(
                        classes[id],
                        Idempotency::Idempotent
                            | Idempotency::Keyed {
                                scope: DeduplicationScope::All,
                                ..
                            }
                    );
                    assert!(
                        harmless || ran.get(id).is_none_or(Vec::is_empty),
                        "{id} may have run, and is refused"
                    );
                }
                _ => {}
            }
        }
    });
}

#[test]
fn nothing_new_goes_to_a_server_once_its_drain_or_end_is_told() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        for (_, fact) in World::facts(seed, steps).facts {
            if let Fact::Sent { id, server } = fact {
                assert_eq!(
                    server.availability,
                    Availability::Ready,
                    "{id} goes to {}",
                    server.id
                );
            }
        }
    });
}

/// Requests that are answered at once, so that a cold server's part of them is worth something.
fn busy(
    world: &mut World,
    count: u64,
    cache_result: impl Fn(u64) -> Option<CacheResult>,
    status: impl Fn(u64, &EndpointId) -> Status,
) {
    for i in 0..count {
        // The keys are many, and every one of them comes again.
        let key = i * 7919 % 97;
        world.ask(0, key, ms(400), false, false);
        while let Some(place) = world.out.iter().position(|out| out.at == world.now) {
            let status = status(key, &world.out[place].server.id);
            world.end(
                place,
                status,
                cache_result(key).filter(|_| status == Status::Ok),
            );
        }
        world.pass(ms(4));
    }
}

#[test]
fn a_cold_server_gets_no_more_than_its_budget_in_any_span() {
    check(0..4, 12, 60, |seed, steps| {
        let mut world = World::new(seed);
        for part in steps.chunks(20) {
            busy(&mut world, 150, |_| None, |_, _| Status::Ok);
            world.play(part);
            world.change(part.len() % SERVERS, Change::Restarted);
            busy(&mut world, 150, |_| None, |_, _| Status::Ok);
        }
        let Settings {
            slow_start_overload_factor,
            slow_start_overload_window,
            slow_start_min_capacity,
            slow_start_duration,
            ..
        } = world.settings;
        let warmth = |entry: &Endpoint, now: Timestamp| {
            let age = entry.started.map_or(1.0, |at| {
                now.since(at).as_secs_f64() / slow_start_duration.as_secs_f64()
            });
            (slow_start_min_capacity + (1.0 - slow_start_min_capacity) * age).min(1.0)
        };
        let (mut told, mut good, mut counted) = (Vec::new(), 0.0, world.now);
        let mut sent = BTreeMap::<EndpointId, Vec<(Timestamp, f64)>>::new();
        for (at, fact) in &world.facts {
            // What the node has seen answered of late, fading over two seconds, is the fleet's use a second, twice.
            good *= (-at.since(counted).as_secs_f64() / 2.0).exp();
            counted = *at;
            match fact {
                Fact::Told(list) => told = list.clone(),
                Fact::Ended {
                    status: Status::Ok, ..
                } => good += 1.0,
                Fact::Sent { server, .. } if warmth(server, *at) < 0.9 => {
                    let ready = told.iter().filter(|entry| {
                        entry.availability == Availability::Ready && entry.kind.is_none()
                    });
                    let fleet: f64 = ready.map(|entry| warmth(entry, *at)).sum();
                    let can = good / 2.0 * warmth(server, *at) / fleet
                        * slow_start_overload_window.as_secs_f64();
                    let all = sent.entry(server.id.clone()).or_default();
                    all.push((*at, can));
                    let span = all
                        .iter()
                        .rev()
                        .take_while(|(then, _)| at.since(*then) <= slow_start_overload_window);
                    let (within, most) =
                        span.fold((0, 0.0f64), |(n, most), (_, can)| (n + 1, most.max(*can)));
                    let most = most * slow_start_overload_factor * 1.1 + 3.0;
                    assert!(
                        f64::from(within) <= most,
                        "{within} in a span to {}, {most} allowed",
                        server.id
                    );
                }
                _ => {}
            }
        }
    });
}

#[test]
fn a_database_that_fails_is_asked_for_no_misses_until_its_cooldown_is_over() {
    // What a key's last answer was, from outside: only one that was a hit needs no database.
    check(0..6, 12, 60, |seed, steps| {
        let mut world = World::new(seed);
        let through = world.settings.mode == CacheMode::ReadThrough;
        let bad = |key: u64| {
            if key.is_multiple_of(2) {
                Status::Ok
            } else {
                Status::Failed
            }
        };
        busy(
            &mut world,
            100,
            |_| Some(CacheResult::Hit),
            |_, _| Status::Ok,
        );
        world.play(steps);
        let cache_result = |key: u64| {
            if key.is_multiple_of(2) {
                CacheResult::Hit
            } else {
                CacheResult::Miss
            }
        };
        for _ in 0..3 {
            for key in 0..20 {
                world.ask(0, key, ms(400), false, false);
                while let Some(place) = world.out.iter().position(|out| out.at == world.now) {
                    let status = if through { bad(key) } else { Status::Miss };
                    let status = if world.out[place].server.kind.is_some() {
                        Status::Failed
                    } else {
                        status
                    };
                    world.end(place, status, through.then_some(cache_result(key)));
                }
                world.pass(ms(20));
            }
        }
        let (mut keys, mut hits) = (BTreeMap::new(), BTreeMap::new());
        let (mut open_until, mut trips) = (Timestamp::default(), 0);
        for (at, fact) in &world.facts {
            match fact {
                Fact::Took(request) => {
                    keys.insert(request.id.clone(), (request.key, request.write));
                }
                Fact::Ended {
                    id,
                    cache_result,
                    status,
                    ..
                } => {
                    // A miss that was not fetched is the database's failure.
                    match cache_result {
                        Some(CacheResult::Hit) => drop(hits.insert(keys[id].0, true)),
                        Some(CacheResult::Miss) => {
                            hits.insert(keys[id].0, matches!(status, Status::Ok | Status::Miss));
                        }
                        _ => {}
                    }
                }
                Fact::BreakerOpened(BreakerScope::Origin) => {
                    (open_until, trips) = (*at + COOLDOWN, trips + 1);
                }
                Fact::BreakerOpened(BreakerScope::Endpoint(id)) if id.as_str() == "zz" => {
                    (open_until, trips) = (*at + COOLDOWN, trips + 1);
                }
                Fact::Sent { id, server } if *at < open_until => {
                    let (key, write) = keys[id];
                    let spared = match through {
                        true => !write && hits.get(&key) == Some(&true),
                        false => server.kind.is_none(),
                    };
                    assert!(
                        spared,
                        "{id} of key {key:?} asks the database, which is given a rest"
                    );
                }
                _ => {}
            }
        }
        assert!(
            trips > 0 || steps.len() > 3,
            "the database's breaker never tripped"
        );
    });
}

/// What is known from outside of a server's breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Closed,
    Open(Timestamp),
    Trials { out: usize, passed: usize },
}

#[test]
fn an_open_breaker_lets_nothing_out_and_a_half_open_one_its_trials_while_another_is_closed() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut world = World::new(seed);
        for (i, part) in steps.chunks(15).enumerate() {
            // One server fails until its breaker opens, and meets many requests at once in its cooldown and past it.
            let lost = World::entry(i % 2).id;
            let bad = |_: u64, at: &EndpointId| {
                if *at == lost {
                    Status::Failed
                } else {
                    Status::Ok
                }
            };
            busy(&mut world, 60, |_| None, bad);
            for wait in [0, 3_000, 3_100] {
                world.pass(ms(wait));
                (0..40).for_each(|key| world.ask(0, key, ms(400), false, false));
            }
            world.play(part);
        }
        let mut seen = BTreeMap::<EndpointId, Seen>::new();
        let mut started = BTreeMap::new();
        let mut ever_tripped = BTreeSet::new();
        let (mut told, mut asked, mut to) = (Vec::new(), BTreeSet::new(), BTreeMap::new());
        for (at, fact) in &world.facts {
            match fact {
                Fact::Told(list) => {
                    for entry in list {
                        // A new start, or a return, is another server.
                        if started.insert(entry.id.clone(), entry.started) != Some(entry.started) {
                            seen.insert(entry.id.clone(), Seen::Closed);
                        }
                    }
                    started.retain(|id, _| list.iter().any(|entry| entry.id == *id));
                    told = list.clone();
                }
                Fact::BreakerOpened(scope) => {
                    if let BreakerScope::Endpoint(endpoint) = scope {
                        seen.insert(endpoint.clone(), Seen::Open(*at + COOLDOWN));
                    }
                    // A class's own breaker blocks as well: such a server counts as none that is free.
                    ever_tripped.extend(endpoint_of(scope).cloned());
                }
                Fact::Sent { id, server } => {
                    let first = asked.insert(id.clone());
                    // Where every server is blocked the first attempt goes to the key's own: the design says so.
                    let free = told.iter().any(|entry| {
                        entry.availability == Availability::Ready
                            && entry.kind.is_none()
                            && entry.started.is_none()
                            && !ever_tripped.contains(&entry.id)
                    });
                    let must = (free || !first) && server.kind.is_none();
                    let state = seen.entry(server.id.clone()).or_insert(Seen::Closed);
                    match state {
                        Seen::Open(until) if *at >= *until => {
                            *state = Seen::Trials { out: 1, passed: 0 }
                        }
                        Seen::Open(_) => {
                            assert!(!must, "{id} goes to {} in its cooldown", server.id)
                        }
                        Seen::Trials { out, passed } => {
                            *out += 1;
                            assert!(
                                !must || *out + *passed <= TRIALS,
                                "{id} is a trial too many at {}",
                                server.id
                            );
                        }
                        Seen::Closed => {}
                    }
                    to.insert((id.clone(), server.id.clone()), (*at, server.started));
                }
                Fact::Ended { server, status, .. } => {
                    if let Some(Seen::Trials { out, passed }) = seen.get_mut(&server.id) {
                        *out = out.saturating_sub(1);
                        *passed += usize::from(matches!(status, Status::Ok | Status::Miss));
                        if *passed >= TRIALS {
                            seen.insert(server.id.clone(), Seen::Closed);
                        }
                    }
                }
                _ => {}
            }
        }
    });
}

#[test]
fn no_trial_leaks_a_server_that_answers_again_is_used_again() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut world = World::new(seed);
        for part in steps.chunks(15) {
            // Some or all servers fail, their breakers open, and their trials meet the same.
            let lost = part.len() as u64 % 4;
            let bad = |key: u64, _: &EndpointId| {
                if key % 4 >= lost {
                    Status::Failed
                } else {
                    Status::Ok
                }
            };
            busy(&mut world, 40, |_| None, bad);
            world.pass(COOLDOWN);
            busy(&mut world, 20, |_| None, bad);
            world.play(part);
        }
        (0..SERVERS).for_each(|i| world.change(i, Change::Ready));
        let hit = |_| Some(CacheResult::Hit);
        // Longer than the longest cooldown, and as long again for its trials.
        (0..20).for_each(|_| {
            busy(&mut world, 20, hit, |_, _| Status::Ok);
            world.pass(ms(1_000));
        });
        let last = world.now;
        busy(&mut world, 200, hit, |_, _| Status::Ok);
        let late = world.facts.iter().filter(|(at, _)| *at >= last);
        let used: BTreeSet<_> = late
            .filter_map(|(_, fact)| match fact {
                Fact::Sent { server, .. } => Some(server.id.clone()),
                _ => None,
            })
            .collect();
        let missing: Vec<_> = (0..SERVERS)
            .map(|i| World::entry(i).id)
            .filter(|id| !used.contains(id))
            .collect();
        assert!(missing.is_empty(), "{missing:?} answer and are not used");
    });
}

#[test]
fn a_late_outcome_trips_no_breaker_of_a_new_incarnation() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let mut incarnations = BTreeMap::<EndpointId, (Option<Timestamp>, u32)>::new();
        let mut sent = BTreeMap::new();
        let mut last = None;
        for (_, fact) in World::facts(seed, steps).facts {
            match fact {
                Fact::Told(list) => {
                    // Gone and named again, or started anew.
                    for (id, (_, life)) in incarnations.iter_mut() {
                        *life += u32::from(!list.iter().any(|entry| entry.id == *id));
                    }
                    for entry in list {
                        let (started, life) =
                            incarnations.entry(entry.id).or_insert((entry.started, 0));
                        *life +=
                            u32::from(std::mem::replace(started, entry.started) != entry.started);
                    }
                }
                Fact::Sent { id, server } => {
                    let life = incarnations.get(&server.id).copied();
                    sent.insert((id, server.id), life);
                }
                Fact::Ended { id, server, .. } => {
                    last = Some((server.id.clone(), sent[&(id, server.id)]))
                }
                Fact::BreakerOpened(scope) if scope != BreakerScope::Origin => {
                    let host = endpoint_of(&scope).expect("few nodes keep no breakers of zones");
                    let (server, life) = last.clone().expect("an outcome before a trip");
                    assert_eq!(server, *host);
                    assert_eq!(
                        life,
                        incarnations.get(host).copied(),
                        "an old life's outcome trips {host}"
                    );
                }
                _ => {}
            }
        }
    });
}

#[test]
fn what_is_given_up_is_answered_in_that_step_and_a_refusal_says_when_to_come_back() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let world = World::facts(seed, steps);
        let mut open = BTreeMap::<RequestId, (Timestamp, i32, bool, Duration)>::new();
        let mut over = None;
        for (at, fact) in &world.facts {
            match fact {
                Fact::Took(request) => {
                    over = request.over_quota.then(|| request.id.clone());
                    open.insert(
                        request.id.clone(),
                        (*at, 0, false, world.class(request).latency_objective),
                    );
                }
                Fact::Sent { id, .. } => {
                    open.entry(id.clone())
                        .and_modify(|(_, out, tried, _)| (*out, *tried) = (*out + 1, true));
                }
                Fact::Ended { id, .. } => {
                    drop(open.entry(id.clone()).and_modify(|(_, out, ..)| *out -= 1))
                }
                Fact::Answered { id, refused } => {
                    open.remove(id);
                    if let Some(after) = refused {
                        let most = world.settings.max_retry_after;
                        assert!(
                            !after.is_zero() && *after <= most,
                            "{id}: come back after {after:?}"
                        );
                    }
                }
                Fact::Left(id) => drop(open.remove(id)),
                Fact::Done => {
                    for (id, (taken, out, tried, latency_objective)) in &open {
                        assert!(*out > 0 || !tried, "{id} has nothing out and no answer");
                        assert!(
                            *out > 0 || at.since(*taken) < *latency_objective,
                            "{id} is held past its aim"
                        );
                    }
                    let over = over.take().filter(|id| open.contains_key(id));
                    assert_eq!(over, None, "over its share, and not refused at once");
                }
                _ => {}
            }
        }
    });
}

#[test]
fn equal_events_give_equal_actions() {
    check(0..2, 10, LENGTH, |seed, steps| {
        let [one, other] = [(); 2].map(|()| format!("{:?}", World::facts(seed, steps).facts));
        assert_eq!(one, other);
    });
}
