//! Slow start: what one node sends to an endpoint that warms up.

use crate::events::{check, Change, SERVERS};
use crate::simulation::{serve_reads, Observation, Simulation};
use slatelink_policy::*;
use std::collections::BTreeMap;

/// A send to an endpoint that warms up.
struct Send {
    at: Timestamp,
    /// Requests per overload window that the endpoint could serve then.
    capacity: f64,
}

fn warmth(settings: &Settings, endpoint: &Endpoint, now: Timestamp) -> f64 {
    let age = endpoint.started.map_or(1.0, |at| {
        now.since(at).as_secs_f64() / settings.slow_start_duration.as_secs_f64()
    });
    let least = settings.slow_start_min_capacity;
    (least + (1.0 - least) * age).min(1.0)
}

/// The capacity of an endpoint that warms up, as its part of what the fleet has served of late.
fn capacity(
    settings: &Settings,
    endpoint: &Endpoint,
    listed: &[Endpoint],
    served: f64,
    now: Timestamp,
) -> f64 {
    let ready = listed
        .iter()
        .filter(|endpoint| endpoint.availability == Availability::Ready && endpoint.kind.is_none());
    let fleet: f64 = ready.map(|endpoint| warmth(settings, endpoint, now)).sum();
    served / 2.0 * warmth(settings, endpoint, now) / fleet
        * settings.slow_start_overload_window.as_secs_f64()
}

fn assert_within_budget(settings: &Settings, id: &EndpointId, sends: &[Send], now: Timestamp) {
    let window = settings.slow_start_overload_window;
    let in_window = sends
        .iter()
        .rev()
        .take_while(|send| now.since(send.at) <= window);
    let (count, capacity) = in_window.fold((0, 0.0f64), |(count, most), send| {
        (count + 1, most.max(send.capacity))
    });
    let budget = capacity * settings.slow_start_overload_factor * 1.1 + 3.0;
    assert!(
        f64::from(count) <= budget,
        "{count} in a window to {id}, {budget} allowed"
    );
}

#[test]
fn an_endpoint_that_warms_up_gets_no_more_than_its_budget_in_any_window() {
    check(0..4, 12, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for part in steps.chunks(20) {
            serve_reads(&mut simulation, 150, |_| None, |_, _| Status::Ok);
            simulation.play(part);
            simulation.change_endpoint(part.len() % SERVERS, Change::Restarted);
            serve_reads(&mut simulation, 150, |_| None, |_, _| Status::Ok);
        }
        let settings = &simulation.settings;
        let (mut listed, mut served, mut counted) = (Vec::new(), 0.0, simulation.now);
        let mut sends = BTreeMap::<EndpointId, Vec<Send>>::new();
        for (at, observation) in &simulation.observations {
            // Decayed over two seconds, what was served of late is twice the requests a second.
            served *= (-at.since(counted).as_secs_f64() / 2.0).exp();
            counted = *at;
            match observation {
                Observation::EndpointsListed(list) => listed = list.clone(),
                Observation::AttemptEnded {
                    status: Status::Ok, ..
                } => served += 1.0,
                Observation::AttemptSent { endpoint, .. }
                    if warmth(settings, endpoint, *at) < 0.9 =>
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
