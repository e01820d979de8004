//! Slow start: the number of requests that one node sends to a warming endpoint.

use crate::events::{check, ServerChange, SERVERS};
use crate::simulation::{serve_reads, Observation, Simulation};
use slatelink_policy::*;
use std::collections::BTreeMap;

/// A send to a warming endpoint.
struct Send {
    at: Timestamp,
    /// Number of requests per overload window that the endpoint can serve at the time of the send.
    capacity: f64,
}

fn capacity_fraction(settings: &Settings, endpoint: &Endpoint, now: Timestamp) -> f64 {
    let age = endpoint.started.map_or(1.0, |at| {
        now.since(at).as_secs_f64() / settings.slow_start_duration.as_secs_f64()
    });
    let min_capacity = settings.slow_start_min_capacity;
    (min_capacity + (1.0 - min_capacity) * age).min(1.0)
}

/// Returns the number of requests per overload window that a warming endpoint can serve: the
/// endpoint's share of the recently served requests, by capacity. `served` is the decayed count of
/// served requests.
fn capacity(
    settings: &Settings,
    endpoint: &Endpoint,
    listed: &[Endpoint],
    served: f64,
    now: Timestamp,
) -> f64 {
    let ready_servers = listed
        .iter()
        .filter(|endpoint| endpoint.availability == Availability::Ready && endpoint.kind.is_none());
    let fleet_capacity: f64 = ready_servers
        .map(|endpoint| capacity_fraction(settings, endpoint, now))
        .sum();
    served / 2.0 * capacity_fraction(settings, endpoint, now) / fleet_capacity
        * settings.slow_start_overload_window.as_secs_f64()
}

fn assert_within_budget(settings: &Settings, id: &EndpointId, sends: &[Send], now: Timestamp) {
    let window = settings.slow_start_overload_window;
    let in_window = sends
        .iter()
        .rev()
        .take_while(|send| now.since(send.at) <= window);
    let (count, capacity) = in_window.fold((0, 0.0f64), |(count, max_capacity), send| {
        (count + 1, max_capacity.max(send.capacity))
    });
    let budget = capacity * settings.slow_start_overload_factor * 1.1 + 3.0;
    assert!(
        f64::from(count) <= budget,
        "{count} sends to {id} in one window, at most {budget} allowed"
    );
}

#[test]
fn sends_to_a_warming_endpoint_stay_within_the_budget_in_every_window() {
    check(0..4, 12, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for chunk in steps.chunks(20) {
            serve_reads(&mut simulation, 150, |_| None, |_, _| Status::Ok);
            simulation.apply_steps(chunk);
            simulation.change_endpoint(chunk.len() % SERVERS, ServerChange::Restarted);
            serve_reads(&mut simulation, 150, |_| None, |_, _| Status::Ok);
        }
        let settings = &simulation.settings;
        let (mut listed, mut served, mut last_decay) = (Vec::new(), 0.0, simulation.now);
        let mut sends = BTreeMap::<EndpointId, Vec<Send>>::new();
        for (at, observation) in &simulation.observations {
            // At a constant rate, a count that decays with a time constant of 2 s converges to
            // twice the number of requests per second.
            served *= (-at.since(last_decay).as_secs_f64() / 2.0).exp();
            last_decay = *at;
            match observation {
                Observation::EndpointsListed(list) => listed = list.clone(),
                Observation::AttemptEnded {
                    status: Status::Ok, ..
                } => served += 1.0,
                Observation::AttemptSent { endpoint, .. }
                    if capacity_fraction(settings, endpoint, *at) < 0.9 =>
                {
                    let capacity = capacity(settings, endpoint, &listed, served, *at);
                    let sends = sends.entry(endpoint.id.clone()).or_default();
                    sends.push(Send { at: *at, capacity });
                    assert_within_budget(settings, &endpoint.id, sends, *at);
                }
                _ => {}
            }
        }
    });
}
