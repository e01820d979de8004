//! Slow start under the sum of all nodes: what they send together to an endpoint that warms up
//! stays within the budget that the settings state, but for chance.

mod common;
use common::*;
use slatelink_policy::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ENDPOINTS: usize = 10;
/// The endpoint that starts anew.
const STARTING: &str = "s0";
/// When it does, from the start of the simulation.
const STARTS_AFTER: Duration = Duration::from_secs(8);
/// Length of the simulation.
const LENGTH: Duration = Duration::from_secs(14);

/// What a simulation is played with.
struct Scenario {
    nodes: u32,
    seed: u64,
    /// Requests a second that an endpoint of full capacity can serve.
    capacity: f64,
    /// Requests that arrive, as a part of what all endpoints can serve.
    load: f64,
}

struct SimulatedNode {
    node: Node,
    /// Its part of the requests, in comparison with the other nodes.
    part: f64,
    /// When it is notified that the endpoint has started, from the start of the simulation.
    notified_after: Duration,
    notified: bool,
}

/// How an attempt in flight will end.
struct ComingEnd {
    node: usize,
    id: RequestId,
    attempt: u32,
    status: Status,
}

struct Simulation {
    random: fastrand::Rng,
    nodes: Vec<SimulatedNode>,
    start: Timestamp,
    /// By their time, and numbered in the order of the attempts' sends.
    coming_ends: BTreeMap<(Timestamp, u64), ComingEnd>,
    attempts: u64,
    /// When attempts at the starting endpoint were sent by nodes that had been notified of its
    /// start, from the start of the simulation.
    sends: Vec<Duration>,
}

fn slow_start_settings(nodes: u32) -> Settings {
    Settings {
        nodes,
        slow_start_overload_factor: 3.0,
        slow_start_overload_window: ms(1_500),
        slow_start_duration: ms(9_000),
        slow_start_min_capacity: 0.31,
        ..settings()
    }
}

fn endpoints() -> Vec<Endpoint> {
    (0..ENDPOINTS)
        .map(|i| Endpoint::new(&format!("s{i}")))
        .collect()
}

/// A key that the starting endpoint comes first for even at the capacity it starts with.
fn key_of_starting_endpoint() -> u64 {
    let mut probe = Node::new(settings(), 9);
    let mut endpoints = endpoints();
    endpoints[0].weight = settings().slow_start_min_capacity;
    probe.list_snapshot(endpoints);
    (0..)
        .find(|&key| {
            probe
                .read(key, Status::Ok)
                .is_some_and(|endpoint| endpoint.as_str() == STARTING)
        })
        .expect("one")
}

impl Simulation {
    fn new(scenario: &Scenario) -> Self {
        let mut random = fastrand::Rng::with_seed(scenario.seed);
        let nodes: Vec<_> = (0..scenario.nodes)
            .map(|i| {
                let settings = slow_start_settings(scenario.nodes);
                let mut node = Node::new(settings, scenario.seed << 20 | u64::from(i));
                node.list_snapshot(endpoints());
                SimulatedNode {
                    node,
                    part: 0.2 + 1.8 * random.f64() * random.f64() * 2.0,
                    // Lists come within two seconds.
                    notified_after: STARTS_AFTER + ms(random.u64(0..2_000)),
                    notified: false,
                }
            })
            .collect();
        Self {
            random,
            start: nodes[0].node.now,
            nodes,
            coming_ends: BTreeMap::new(),
            attempts: 0,
            sends: Vec::new(),
        }
    }

    /// Plays a scenario; returns when attempts at the starting endpoint were sent.
    fn play(scenario: &Scenario) -> Vec<Duration> {
        let mut simulation = Self::new(scenario);
        let hot_key = key_of_starting_endpoint();
        let rate = scenario.load * scenario.capacity * ENDPOINTS as f64;
        let (mut at, mut key) = (0.0, 0);
        loop {
            at += -(1.0 - simulation.random.f64()).ln() / rate;
            let arrives = simulation.start + Duration::from_secs_f64(at);
            simulation.end_attempts_until(arrives);
            if at >= LENGTH.as_secs_f64() {
                return simulation.sends;
            }
            let index = simulation.draw_node();
            simulation.bring_up_to(index, arrives);
            // One request in three is for a key of the starting endpoint's.
            key += 1;
            let wanted = if simulation.random.u8(0..3) == 0 {
                hot_key
            } else {
                1 << 32 | key
            };
            let id = simulation.nodes[index].node.request(0, wanted, ms(400));
            simulation.draw_end(index, &id);
        }
    }

    fn end_attempts_until(&mut self, now: Timestamp) {
        let due = |simulation: &mut Self| {
            let first = simulation.coming_ends.first_entry();
            first
                .filter(|entry| entry.key().0 <= now)
                .map(|entry| entry.remove_entry())
        };
        while let Some(((at, _), end)) = due(self) {
            let node = &mut self.nodes[end.node].node;
            let ended = |node: &Node| {
                node.requests.get(&end.id).is_none_or(|request| {
                    let attempt = &request.attempts[end.attempt as usize];
                    attempt.status.is_some()
                })
            };
            if ended(node) {
                continue;
            }
            node.advance(at.since(node.now));
            if !ended(node) {
                node.end_attempt(&end.id, end.attempt, end.status);
                self.draw_end(end.node, &end.id);
            }
        }
    }

    /// The node that the next request comes to.
    fn draw_node(&mut self) -> usize {
        let parts: f64 = self.nodes.iter().map(|node| node.part).sum();
        let mut drawn = self.random.f64() * parts;
        let index = self.nodes.iter().position(|node| {
            drawn -= node.part;
            drawn <= 0.0
        });
        index.unwrap_or(0)
    }

    /// Lets a node's time pass, and notifies it of the start if that is due.
    fn bring_up_to(&mut self, index: usize, now: Timestamp) {
        let start = self.start;
        let simulated = &mut self.nodes[index];
        let node = &mut simulated.node;
        node.advance(now.since(node.now));
        if !simulated.notified && now.since(start) >= simulated.notified_after {
            simulated.notified = true;
            node.list_delta(vec![Endpoint {
                started: Some(start + STARTS_AFTER),
                ..Endpoint::new(STARTING)
            }]);
        }
        node.requests.retain(|_, request| {
            let mut attempts = request.attempts.iter();
            !request.answered || attempts.any(|attempt| attempt.status.is_none())
        });
    }

    /// Takes in the attempt that was just sent, if any, and draws how it will end.
    fn draw_end(&mut self, index: usize, id: &RequestId) {
        let simulated = &self.nodes[index];
        let Some((attempt, endpoint)) = simulated.node.in_flight(id) else {
            return;
        };
        let now = simulated.node.now;
        let is_starting = endpoint.as_str() == STARTING;
        if simulated.notified && is_starting {
            self.sends.push(now.since(self.start));
        }
        // The starting one fails more often, and each failure asks for a retry.
        let rejected = if is_starting { 0.15 } else { 0.03 };
        let status = match self.random.f64() {
            drawn if drawn < rejected => Status::Rejected,
            drawn if drawn < rejected * 1.5 => Status::Failed,
            _ => Status::Ok,
        };
        self.attempts += 1;
        let at = now + ms(self.random.u64(5..60));
        let end = ComingEnd {
            node: index,
            id: id.clone(),
            attempt,
            status,
        };
        self.coming_ends.insert((at, self.attempts), end);
    }
}

/// Within any window of the settings, all nodes together send an endpoint that warms up no more
/// than its budget N of that moment and what is chance beside it, 2 roots of N and 2: whatever
/// their number, their parts of the requests, hot keys, retries, and when each is notified.
#[test]
fn all_nodes_together_keep_to_the_slow_start_budget_of_an_endpoint() {
    let loads = [(6.0, 0.5), (60.0, 0.8), (6.0, 0.9), (60.0, 0.5)];
    for nodes in [1, 3, 20, 30, 300] {
        let settings = slow_start_settings(nodes);
        let window = settings.slow_start_overload_window;
        let least = settings.slow_start_min_capacity;
        let (mut sent, mut most_used) = (0, 0.0f64);
        for (seed, (capacity, load)) in (0..16).zip(loads.into_iter().cycle()) {
            let sends = Simulation::play(&Scenario {
                nodes,
                seed,
                capacity,
                load,
            });
            sent += sends.len();
            for (first, from) in sends.iter().enumerate() {
                if *from + window > STARTS_AFTER + settings.slow_start_duration {
                    break;
                }
                let in_window = sends[first..]
                    .iter()
                    .take_while(|at| **at <= *from + window)
                    .count() as f64;
                let age = (*from - STARTS_AFTER).as_secs_f64()
                    / settings.slow_start_duration.as_secs_f64();
                let present = capacity * (least + (1.0 - least) * age);
                let budget = settings.slow_start_overload_factor * present * window.as_secs_f64();
                let chance = 2.0 * budget.sqrt() + 2.0;
                most_used = most_used.max(in_window / (budget + chance));
                assert!(
                    in_window <= budget + chance,
                    "{nodes} nodes, seed {seed}, load {load}: {in_window} in a window at age \
                     {age:.2}, {budget:.1} allowed"
                );
            }
        }
        // Kept away from, it would never warm up; and a simulation that comes nowhere near the
        // budget shows little.
        assert!(
            sent >= 16 * 30 && most_used >= 0.3,
            "{nodes} nodes sent it {sent}, {most_used:.2} of what is allowed"
        );
    }
}
