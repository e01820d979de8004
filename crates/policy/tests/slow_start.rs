//! Slow start with many nodes: the sends of all nodes together to a warming endpoint stay within
//! the configured budget, except for random variation.

mod common;
use common::*;
use slatelink_policy::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ENDPOINTS: usize = 10;
/// Id of the endpoint that restarts.
const RESTARTED: &str = "s0";
/// Time of the restart, relative to the start of the simulation.
const RESTARTS_AFTER: Duration = Duration::from_secs(8);
/// Length of the simulation.
const LENGTH: Duration = Duration::from_secs(14);

/// Parameters of a simulation.
struct Scenario {
    nodes: u32,
    seed: u64,
    /// Number of requests per second that an endpoint at full capacity can serve.
    capacity: f64,
    /// Rate of arriving requests, as a fraction of the capacity of all endpoints.
    load: f64,
}

struct SimulatedNode {
    node: Node,
    /// Relative share of the requests.
    request_weight: f64,
    /// Time at which the node is notified of the endpoint's restart, relative to the start of the
    /// simulation.
    notified_after: Duration,
    notified: bool,
}

/// Scheduled end of an attempt in flight.
struct ScheduledEnd {
    node: usize,
    id: RequestId,
    attempt: u32,
    status: Status,
}

struct Simulation {
    random: fastrand::Rng,
    nodes: Vec<SimulatedNode>,
    start: Timestamp,
    /// Scheduled ends by time and by the number of the attempt, in the order of the sends.
    scheduled_ends: BTreeMap<(Timestamp, u64), ScheduledEnd>,
    attempt_count: u64,
    /// Times of sends to the restarted endpoint by nodes that had been notified of the restart,
    /// relative to the start of the simulation.
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

/// Returns a key that the restarted endpoint owns even at the capacity at its start.
fn key_of_restarted_endpoint() -> u64 {
    let mut probe = Node::new(settings(), 9);
    let mut endpoints = endpoints();
    endpoints[0].weight = settings().slow_start_min_capacity;
    probe.list_snapshot(endpoints);
    (0..)
        .find(|&key| {
            probe
                .read(key, Status::Ok)
                .is_some_and(|endpoint| endpoint.as_str() == RESTARTED)
        })
        .expect("the endpoint owns a key")
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
                    request_weight: 0.2 + 1.8 * random.f64() * random.f64() * 2.0,
                    // Discovery notifies all nodes within two seconds.
                    notified_after: RESTARTS_AFTER + ms(random.u64(0..2_000)),
                    notified: false,
                }
            })
            .collect();
        Self {
            random,
            start: nodes[0].node.now,
            nodes,
            scheduled_ends: BTreeMap::new(),
            attempt_count: 0,
            sends: Vec::new(),
        }
    }

    /// Runs a scenario and returns the times of sends to the restarted endpoint by notified nodes,
    /// relative to the start of the simulation.
    fn run(scenario: &Scenario) -> Vec<Duration> {
        let mut simulation = Self::new(scenario);
        let hot_key = key_of_restarted_endpoint();
        let rate = scenario.load * scenario.capacity * ENDPOINTS as f64;
        let (mut at, mut key) = (0.0, 0);
        loop {
            at += -(1.0 - simulation.random.f64()).ln() / rate;
            let arrives_at = simulation.start + Duration::from_secs_f64(at);
            simulation.end_attempts_until(arrives_at);
            if at >= LENGTH.as_secs_f64() {
                return simulation.sends;
            }
            let index = simulation.draw_node();
            simulation.advance_node(index, arrives_at);
            // One request in three is for the key of the restarted endpoint.
            key += 1;
            let request_key = if simulation.random.u8(0..3) == 0 {
                hot_key
            } else {
                1 << 32 | key
            };
            let id = simulation.nodes[index]
                .node
                .request(0, request_key, ms(400));
            simulation.schedule_end(index, &id);
        }
    }

    fn end_attempts_until(&mut self, now: Timestamp) {
        let take_due = |simulation: &mut Self| {
            let first = simulation.scheduled_ends.first_entry();
            first
                .filter(|entry| entry.key().0 <= now)
                .map(|entry| entry.remove_entry())
        };
        while let Some(((at, _), end)) = take_due(self) {
            let node = &mut self.nodes[end.node].node;
            let has_ended = |node: &Node| {
                node.requests.get(&end.id).is_none_or(|request| {
                    let attempt = &request.attempts[end.attempt as usize];
                    attempt.status.is_some()
                })
            };
            if has_ended(node) {
                continue;
            }
            node.advance(at.since(node.now));
            if !has_ended(node) {
                node.end_attempt(&end.id, end.attempt, end.status);
                self.schedule_end(end.node, &end.id);
            }
        }
    }

    /// Draws the index of the node that receives the next request.
    fn draw_node(&mut self) -> usize {
        let total_weight: f64 = self.nodes.iter().map(|node| node.request_weight).sum();
        let mut remaining_weight = self.random.f64() * total_weight;
        let index = self.nodes.iter().position(|node| {
            remaining_weight -= node.request_weight;
            remaining_weight <= 0.0
        });
        index.unwrap_or(0)
    }

    /// Advances a node to `now` and notifies the node of the restart if the notification is due.
    fn advance_node(&mut self, index: usize, now: Timestamp) {
        let start = self.start;
        let simulated = &mut self.nodes[index];
        let node = &mut simulated.node;
        node.advance(now.since(node.now));
        if !simulated.notified && now.since(start) >= simulated.notified_after {
            simulated.notified = true;
            node.list_delta(vec![Endpoint {
                started: Some(start + RESTARTS_AFTER),
                ..Endpoint::new(RESTARTED)
            }]);
        }
        node.requests.retain(|_, request| {
            let mut attempts = request.attempts.iter();
            !request.answered || attempts.any(|attempt| attempt.status.is_none())
        });
    }

    /// Records the request's attempt in flight, if any, and schedules the end of the attempt with a
    /// random status and time.
    fn schedule_end(&mut self, index: usize, id: &RequestId) {
        let simulated = &self.nodes[index];
        let Some((attempt, endpoint)) = simulated.node.in_flight(id) else {
            return;
        };
        let now = simulated.node.now;
        let is_restarted = endpoint.as_str() == RESTARTED;
        if simulated.notified && is_restarted {
            self.sends.push(now.since(self.start));
        }
        // Attempts at the restarted endpoint fail more often, and each failure requires a retry.
        let rejection_rate = if is_restarted { 0.15 } else { 0.03 };
        let status = match self.random.f64() {
            drawn if drawn < rejection_rate => Status::Rejected,
            drawn if drawn < rejection_rate * 1.5 => Status::Failed,
            _ => Status::Ok,
        };
        self.attempt_count += 1;
        let at = now + ms(self.random.u64(5..60));
        let end = ScheduledEnd {
            node: index,
            id: id.clone(),
            attempt,
            status,
        };
        self.scheduled_ends.insert((at, self.attempt_count), end);
    }
}

/// In each window, all nodes together send at most N + 2 * sqrt(N) + 2 requests to a warming
/// endpoint, where N is the endpoint's budget at the start of the window and the other terms allow
/// for random variation. The bound holds for any number of nodes, shares of the requests, hot keys,
/// retries and times of notification.
#[test]
fn sends_of_all_nodes_together_stay_within_the_slow_start_budget_of_an_endpoint() {
    let loads = [(6.0, 0.5), (60.0, 0.8), (6.0, 0.9), (60.0, 0.5)];
    for nodes in [1, 3, 20, 30, 300] {
        let settings = slow_start_settings(nodes);
        let window = settings.slow_start_overload_window;
        let min_capacity = settings.slow_start_min_capacity;
        let (mut sent, mut max_used) = (0, 0.0f64);
        for (seed, (capacity, load)) in (0..16).zip(loads.into_iter().cycle()) {
            let sends = Simulation::run(&Scenario {
                nodes,
                seed,
                capacity,
                load,
            });
            sent += sends.len();
            for (first, window_start) in sends.iter().enumerate() {
                if *window_start + window > RESTARTS_AFTER + settings.slow_start_duration {
                    break;
                }
                let in_window = sends[first..]
                    .iter()
                    .take_while(|at| **at <= *window_start + window)
                    .count() as f64;
                let age = (*window_start - RESTARTS_AFTER).as_secs_f64()
                    / settings.slow_start_duration.as_secs_f64();
                let current_capacity = capacity * (min_capacity + (1.0 - min_capacity) * age);
                let budget =
                    settings.slow_start_overload_factor * current_capacity * window.as_secs_f64();
                let allowance = 2.0 * budget.sqrt() + 2.0;
                max_used = max_used.max(in_window / (budget + allowance));
                assert!(
                    in_window <= budget + allowance,
                    "{nodes} nodes, seed {seed}, load {load}: {in_window} sends in one window at \
                     age {age:.2}, budget of {budget:.1}"
                );
            }
        }
        // An endpoint without requests would not warm up, and a simulation far below the budget
        // would prove little.
        assert!(
            sent >= 16 * 30 && max_used >= 0.3,
            "{nodes} nodes sent {sent} requests to the endpoint and used at most {max_used:.2} of \
             the bound"
        );
    }
}
