//! The operations that are measured, on the balancer of a fleet of a given size.

use crate::fit::Growth;
use crate::timing::{time, Cost};
use slatelink_policy::{
    Action, Balancer, Class, ClassId, DeduplicationScope, Endpoint, EndpointId, EndpointUpdate,
    Event, Idempotency, LoadReport, Outcome, Request, RequestId, Settings, Status, Timestamp,
};
use std::sync::Arc;
use std::time::Duration;

/// Nodes of the deployment, as the settings state.
pub const NODES: u32 = 11_000;
/// Zones over which endpoints are spread.
pub const ZONES: usize = 55;
/// Requests a second at the node: the step of the policy's clock.
pub const REQUESTS_PER_SECOND: u32 = 1_000;
/// Distinct keys that are asked for.
pub const KEYS: u64 = 240_000_000;
pub const SEED: u64 = 30;
/// The policy's clock at the start.
pub const START: Timestamp = Timestamp::from_micros(3_000_000_000);
/// Time from a request to its outcome.
pub const ANSWER_TIME: Duration = Duration::from_micros(500);
/// Duration of slow start, where some endpoints have just started: far longer than a case.
pub const WARM_WITHIN: Duration = Duration::from_secs(1_000_000);

/// What is measured at each number of endpoints.
pub struct Case {
    pub name: &'static str,
    pub growth: Growth,
    pub measure: fn(usize) -> Cost,
}

pub const CASES: [Case; 8] = [
    Case {
        name: "request_and_outcome",
        growth: Growth::Sort,
        measure: |n| requests(n, true, |_| false),
    },
    Case {
        name: "request_and_outcome_unsized",
        growth: Growth::Sort,
        measure: |n| requests(n, false, |_| false),
    },
    Case {
        name: "request_and_outcome_one_zone_cold",
        growth: Growth::Sort,
        measure: |n| requests(n, true, |i| i % ZONES == 0),
    },
    Case {
        name: "request_and_outcome_half_cold",
        growth: Growth::Sort,
        measure: |n| requests(n, true, |i| i % 2 == 0),
    },
    Case {
        name: "request_and_outcome_all_cold",
        growth: Growth::Square,
        measure: |n| requests(n, true, |_| true),
    },
    Case {
        name: "first_whole_list",
        growth: Growth::Square,
        measure: first_lists,
    },
    Case {
        name: "same_whole_list",
        growth: Growth::Square,
        measure: same_lists,
    },
    Case {
        name: "list_of_one_change",
        growth: Growth::Linear,
        measure: changes,
    },
];

/// Requests with their outcomes, all served. `cold` says which endpoints have just started.
fn requests(endpoints: usize, weights_include_speed: bool, cold: impl Fn(usize) -> bool) -> Cost {
    let mut entries = fleet(endpoints);
    for (_, entry) in entries.iter_mut().enumerate().filter(|(i, _)| cold(*i)) {
        entry.started = Some(START);
    }
    let mut balancer = filled(
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
        let sent = actions.drain(..).find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(endpoint),
            _ => None,
        });
        if let Some(endpoint) = sent {
            balancer.handle(
                now + ANSWER_TIME,
                Event::AttemptEnded(served(id, endpoint)),
                &mut actions,
            );
            actions.clear();
        }
    })
}

/// The first complete list of a balancer that knows no endpoint, in an order that is not the policy's.
fn first_lists(endpoints: usize) -> Cost {
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

/// A complete list that changes nothing.
fn same_lists(endpoints: usize) -> Cost {
    let mut balancer = filled(settings(), fleet(endpoints));
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

/// Lists of one endpoint that has started anew.
fn changes(endpoints: usize) -> Cost {
    let entries = fleet(endpoints);
    let mut balancer = filled(settings(), entries.clone());
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
        slow_start_duration: WARM_WITHIN,
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

pub fn filled(settings: Settings, entries: Vec<Endpoint>) -> Balancer {
    let mut balancer = Balancer::new(settings, SEED);
    balancer.handle(
        START,
        Event::Endpoints(EndpointUpdate::Snapshot(entries.into())),
        &mut Vec::new(),
    );
    balancer
}

fn served(id: RequestId, endpoint: EndpointId) -> Outcome {
    Outcome {
        id,
        attempt: 0,
        endpoint,
        status: Status::Ok,
        cache_result: None,
        latency: ANSWER_TIME,
        answered: true,
        load: LoadReport::default(),
    }
}
