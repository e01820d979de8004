//! Measured operations of a balancer with a given number of endpoints.

use crate::fit::Growth;
use crate::timing::{time, Cost};
use slatelink_policy::{
    Action, Balancer, Class, ClassId, DeduplicationScope, Endpoint, EndpointId, EndpointUpdate,
    Event, Idempotency, LoadReport, Outcome, Request, RequestId, Settings, Status, Timestamp,
};
use std::sync::Arc;
use std::time::Duration;

/// Number of nodes of the deployment in the settings.
pub const NODES: u32 = 11_000;
/// Number of zones over which the endpoints are distributed.
pub const ZONES: usize = 55;
/// Requests per second at the node; determines the step of the simulated clock.
pub const REQUESTS_PER_SECOND: u32 = 1_000;
/// Number of keys from which the key of each request is drawn.
pub const KEYS: u64 = 240_000_000;
pub const SEED: u64 = 30;
/// Start of the simulated clock.
pub const START: Timestamp = Timestamp::from_micros(3_000_000_000);
/// Time from the send of a request to its outcome.
pub const REQUEST_LATENCY: Duration = Duration::from_micros(500);
/// Duration of slow start; far longer than a case, so that cold endpoints stay in slow start.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(1_000_000);

/// An operation that is measured at each number of endpoints.
pub struct Case {
    pub name: &'static str,
    pub growth: Growth,
    pub measure: fn(usize) -> Cost,
}

pub const CASES: [Case; 8] = [
    Case {
        name: "request_and_outcome",
        growth: Growth::Sort,
        measure: |n| measure_requests(n, true, |_| false),
    },
    Case {
        name: "request_and_outcome_unsized",
        growth: Growth::Sort,
        measure: |n| measure_requests(n, false, |_| false),
    },
    Case {
        name: "request_and_outcome_one_zone_cold",
        growth: Growth::Sort,
        measure: |n| measure_requests(n, true, |i| i % ZONES == 0),
    },
    Case {
        name: "request_and_outcome_half_cold",
        growth: Growth::Sort,
        measure: |n| measure_requests(n, true, |i| i % 2 == 0),
    },
    Case {
        name: "request_and_outcome_all_cold",
        growth: Growth::Square,
        measure: |n| measure_requests(n, true, |_| true),
    },
    Case {
        name: "first_whole_list",
        growth: Growth::Square,
        measure: measure_first_list,
    },
    Case {
        name: "same_whole_list",
        growth: Growth::Square,
        measure: measure_unchanged_list,
    },
    Case {
        name: "list_of_one_change",
        growth: Growth::Linear,
        measure: measure_single_changes,
    },
];

/// Measures requests with their outcomes; all requests are served. `is_cold` selects the endpoints
/// that have just started.
fn measure_requests(
    endpoints: usize,
    weights_include_speed: bool,
    is_cold: impl Fn(usize) -> bool,
) -> Cost {
    let mut entries = fleet(endpoints);
    for (_, entry) in entries.iter_mut().enumerate().filter(|(i, _)| is_cold(*i)) {
        entry.started = Some(START);
    }
    let mut balancer = balancer_with_endpoints(
        Settings {
            weights_include_speed,
            ..settings()
        },
        entries,
    );
    let mut random = fastrand::Rng::with_seed(SEED);
    let step = Duration::from_secs(1) / REQUESTS_PER_SECOND;
    let (mut now, mut number) = (START, 0_u64);
    let mut actions = Vec::new();
    time(|| {
        now = now + step;
        number += 1;
        let id = RequestId::from(number.to_string().as_str());
        let request = Request {
            class: Some(ClassId(0)),
            key: Some(random.u64(..KEYS)),
            ..Request::new(id.as_str(), now + Duration::from_secs(1))
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        let target = actions.drain(..).find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(endpoint),
            _ => None,
        });
        if let Some(endpoint) = target {
            balancer.handle(
                now + REQUEST_LATENCY,
                Event::AttemptEnded(served_outcome(id, endpoint)),
                &mut actions,
            );
            actions.clear();
        }
    })
}

/// Measures the first complete list of a balancer without endpoints, in a random order instead of
/// the policy's order by id.
fn measure_first_list(endpoints: usize) -> Cost {
    let mut entries = fleet(endpoints);
    fastrand::Rng::with_seed(SEED).shuffle(&mut entries);
    let entries: Arc<[Endpoint]> = entries.into();
    let mut actions = Vec::new();
    time(|| {
        let mut balancer = Balancer::new(settings(), SEED);
        balancer.handle(
            START,
            Event::Endpoints(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        actions.clear();
    })
}

/// Measures a complete list without a change.
fn measure_unchanged_list(endpoints: usize) -> Cost {
    let mut balancer = balancer_with_endpoints(settings(), fleet(endpoints));
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut entries = fleet(endpoints);
    random.shuffle(&mut entries);
    let entries: Arc<[Endpoint]> = entries.into();
    let mut actions = Vec::new();
    time(|| {
        balancer.handle(
            START,
            Event::Endpoints(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        actions.clear();
    })
}

/// Measures deltas with one endpoint that has restarted.
fn measure_single_changes(endpoints: usize) -> Cost {
    let entries = fleet(endpoints);
    let mut balancer = balancer_with_endpoints(settings(), entries.clone());
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut started = START;
    let mut actions = Vec::new();
    time(|| {
        started = started + Duration::from_micros(1);
        let changed = Endpoint {
            started: Some(started),
            ..entries[random.usize(..endpoints)].clone()
        };
        balancer.handle(
            START,
            Event::Endpoints(EndpointUpdate::Delta([changed].into())),
            &mut actions,
        );
        actions.clear();
    })
}

pub fn settings() -> Settings {
    let class = |name: &str, idempotency| Class {
        name: name.into(),
        idempotency,
        ..Class::default()
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(4),
    };
    Settings {
        nodes: NODES,
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("set", keyed),
            class("pay", Idempotency::NonIdempotent),
        ],
        polls_discovery: true,
        slow_start_duration: SLOW_START_DURATION,
        ..Settings::default()
    }
}

pub fn fleet(endpoints: usize) -> Vec<Endpoint> {
    let entry = |i: usize| Endpoint {
        zone: Some(format!("zone-{:02}", i % ZONES).as_str().into()),
        kind: Some("cache".into()),
        cell: (i / 8) as u64,
        ..Endpoint::new(&format!("s-{i:08x}"))
    };
    (0..endpoints).map(entry).collect()
}

pub fn balancer_with_endpoints(settings: Settings, entries: Vec<Endpoint>) -> Balancer {
    let mut balancer = Balancer::new(settings, SEED);
    balancer.handle(
        START,
        Event::Endpoints(EndpointUpdate::Snapshot(entries.into())),
        &mut Vec::new(),
    );
    balancer
}

fn served_outcome(id: RequestId, endpoint: EndpointId) -> Outcome {
    Outcome {
        id,
        attempt: 0,
        endpoint,
        status: Status::Ok,
        cache_result: None,
        latency: REQUEST_LATENCY,
        answered: true,
        load: LoadReport::default(),
    }
}
