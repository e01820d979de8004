//! The circuit breaker of the origin.

use crate::events::check;
use crate::simulation::{
    ms, sent_just_now, serve_reads, Observation, Simulation, COOLDOWN, ORIGIN,
};
use slatelink_policy::*;
use std::collections::BTreeMap;

/// Reads of which those of odd keys are cached nowhere and those of the origin fail.
fn read_while_the_origin_fails(simulation: &mut Simulation, key: u64) {
    let read_through = simulation.settings.mode == CacheMode::ReadThrough;
    let (status, cache_result) = if key.is_multiple_of(2) {
        (Status::Ok, CacheResult::Hit)
    } else {
        (Status::Failed, CacheResult::Miss)
    };
    simulation.request(0, key, ms(400), false, false);
    while let Some(place) = sent_just_now(simulation) {
        let status = if simulation.in_flight[place].endpoint.kind.is_some() {
            Status::Failed
        } else if read_through {
            status
        } else {
            Status::Miss
        };
        simulation.end_attempt(place, status, read_through.then_some(cache_result));
    }
    simulation.advance(ms(20));
}

/// Whether this opens the breaker that guards the origin, by itself or as an endpoint.
fn guards_origin(scope: &BreakerScope) -> bool {
    match scope {
        BreakerScope::Origin => true,
        BreakerScope::Endpoint(id) => id.as_str() == ORIGIN,
        BreakerScope::EndpointClass { .. } | BreakerScope::Zone(_) => false,
    }
}

/// What the requests of a simulation were, and what the last answers to their keys tell.
#[derive(Default)]
struct Keys {
    of_request: BTreeMap<RequestId, (Option<u64>, bool)>,
    /// Whether the last answer to a key shows that its value is cached.
    cached: BTreeMap<Option<u64>, bool>,
}

impl Keys {
    fn record(&mut self, id: &RequestId, cache_result: Option<CacheResult>, status: Status) {
        let (key, _) = self.of_request[id];
        match cache_result {
            Some(CacheResult::Hit) => drop(self.cached.insert(key, true)),
            // A miss that could not be fetched is the origin's failure.
            Some(CacheResult::Miss) => {
                let fetched = matches!(status, Status::Ok | Status::Miss);
                self.cached.insert(key, fetched);
            }
            None => {}
        }
    }

    /// Whether an attempt at this request asks the endpoint for nothing that needs the origin.
    fn needs_no_origin(&self, id: &RequestId, endpoint: &Endpoint, mode: &CacheMode) -> bool {
        let (key, write) = self.of_request[id];
        match mode {
            CacheMode::ReadThrough => !write && self.cached.get(&key) == Some(&true),
            CacheMode::CacheAside { .. } => endpoint.kind.is_none(),
        }
    }
}

#[test]
fn an_origin_that_fails_is_asked_for_nothing_until_the_cooldown_of_its_breaker_is_over() {
    check(0..6, 12, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        let hit = |_| Some(CacheResult::Hit);
        serve_reads(&mut simulation, 100, hit, |_, _| Status::Ok);
        simulation.play(steps);
        for _ in 0..3 {
            for key in 0..20 {
                read_while_the_origin_fails(&mut simulation, key);
            }
        }
        let mut keys = Keys::default();
        let (mut open_until, mut opened) = (Timestamp::default(), 0);
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::RequestArrived(request) => {
                    let of_request = (request.key, request.write);
                    keys.of_request.insert(request.id.clone(), of_request);
                }
                Observation::AttemptEnded {
                    id,
                    cache_result,
                    status,
                    ..
                } => keys.record(id, *cache_result, *status),
                Observation::BreakerOpened(scope) if guards_origin(scope) => {
                    (open_until, opened) = (*at + COOLDOWN, opened + 1);
                }
                Observation::AttemptSent { id, endpoint } if *at < open_until => assert!(
                    keys.needs_no_origin(id, endpoint, &simulation.settings.mode),
                    "{id} of key {:?} asks the origin while its breaker is open",
                    keys.of_request[id].0
                ),
                _ => {}
            }
        }
        assert!(
            opened > 0 || steps.len() > 3,
            "the origin's breaker never opened"
        );
    });
}
