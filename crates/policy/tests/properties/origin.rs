//! The circuit breaker of the origin.

use crate::events::check;
use crate::simulation::{
    attempt_sent_now, ms, serve_reads, Observation, Simulation, COOLDOWN, ORIGIN,
};
use slatelink_policy::*;
use std::collections::BTreeMap;

/// Sends one read while the origin fails. An even key is a hit; an odd key is a miss, and the read
/// from the origin fails. In cache-aside mode all keys are misses.
fn read_while_origin_fails(simulation: &mut Simulation, key: u64) {
    let read_through = simulation.settings.mode == CacheMode::ReadThrough;
    let (status, cache_result) = if key.is_multiple_of(2) {
        (Status::Ok, CacheResult::Hit)
    } else {
        (Status::Failed, CacheResult::Miss)
    };
    simulation.request(0, key, ms(400), false, false);
    while let Some(index) = attempt_sent_now(simulation) {
        let status = if simulation.in_flight[index].endpoint.kind.is_some() {
            Status::Failed
        } else if read_through {
            status
        } else {
            Status::Miss
        };
        simulation.end_attempt(index, status, read_through.then_some(cache_result));
    }
    simulation.advance(ms(20));
}

/// Checks whether a breaker of this scope guards the origin, as the origin or as an endpoint.
fn is_origin_scope(scope: &BreakerScope) -> bool {
    match scope {
        BreakerScope::Origin => true,
        BreakerScope::Endpoint(id) => id.as_str() == ORIGIN,
        BreakerScope::EndpointClass { .. } | BreakerScope::Zone(_) => false,
    }
}

/// Keys of the requests of a simulation, and the cache state of each key.
#[derive(Default)]
struct RequestKeys {
    /// Key of each request, and whether the request is a write.
    by_request: BTreeMap<RequestId, (Option<u64>, bool)>,
    /// Whether the latest outcome for a key shows that the key's value is cached.
    cached: BTreeMap<Option<u64>, bool>,
}

impl RequestKeys {
    fn record(&mut self, id: &RequestId, cache_result: Option<CacheResult>, status: Status) {
        let (key, _) = self.by_request[id];
        match cache_result {
            Some(CacheResult::Hit) => drop(self.cached.insert(key, true)),
            // A miss whose fetch failed leaves the value uncached.
            Some(CacheResult::Miss) => {
                let fetched = matches!(status, Status::Ok | Status::Miss);
                self.cached.insert(key, fetched);
            }
            None => {}
        }
    }

    /// Checks whether an attempt of this request at the endpoint causes no request to the origin.
    fn avoids_origin(&self, id: &RequestId, endpoint: &Endpoint, mode: &CacheMode) -> bool {
        let (key, write) = self.by_request[id];
        match mode {
            CacheMode::ReadThrough => !write && self.cached.get(&key) == Some(&true),
            CacheMode::CacheAside { .. } => endpoint.kind.is_none(),
        }
    }
}

#[test]
fn an_open_breaker_of_the_origin_blocks_all_requests_to_the_origin_during_its_cooldown() {
    check(0..6, 12, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        let hit = |_| Some(CacheResult::Hit);
        serve_reads(&mut simulation, 100, hit, |_, _| Status::Ok);
        simulation.apply_steps(steps);
        for _ in 0..3 {
            for key in 0..20 {
                read_while_origin_fails(&mut simulation, key);
            }
        }
        let mut keys = RequestKeys::default();
        let (mut open_until, mut times_opened) = (Timestamp::default(), 0);
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::RequestArrived(request) => {
                    let key_and_write = (request.key, request.write);
                    keys.by_request.insert(request.id.clone(), key_and_write);
                }
                Observation::AttemptEnded {
                    id,
                    cache_result,
                    status,
                    ..
                } => keys.record(id, *cache_result, *status),
                Observation::BreakerOpened(scope) if is_origin_scope(scope) => {
                    (open_until, times_opened) = (*at + COOLDOWN, times_opened + 1);
                }
                Observation::AttemptSent { id, endpoint } if *at < open_until => assert!(
                    keys.avoids_origin(id, endpoint, &simulation.settings.mode),
                    "{id} with key {:?} is sent to the origin while the origin's breaker is open",
                    keys.by_request[id].0
                ),
                _ => {}
            }
        }
        assert!(
            times_opened > 0 || steps.len() > 3,
            "the breaker of the origin did not open"
        );
    });
}
