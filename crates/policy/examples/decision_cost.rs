//! What the decision module costs by the number of servers: time for a request with its outcome, for a whole
//! list and for a list of one change, and resident memory.
//!
//! ```sh
//! cargo run --release -p slatelink-policy --example decision_cost > docs/capacity/decision-cost.json
//! ```
//!
//! Prints one JSON object with a row for each number of servers, and for each figure a least-squares fit in that
//! number, made from `FITTED_FROM` servers on without the row of `HELD_BACK`, with the error there. Keys, names and
//! the node's seed are fixed, so that each run makes the same decisions; only times and memory differ. All cases are
//! gone through `PASSES` times, so that a busy moment of the machine falls on all of them; in each pass a case ends
//! after `BATCHES` batches of about `BATCH_TIME`, or of one operation where that takes longer, and begins none after
//! `CASE_TIME`. Fits take the least batch: what else the machine does can only add to it.

use slatelink_policy::{
    Action, Balancer, Class, ClassId, DeduplicationScope, Endpoint, EndpointId, EndpointUpdate,
    Event, Idempotency, LoadReport, Outcome, Request, RequestId, Settings, Status, Timestamp,
};
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Numbers of servers that are measured.
const SERVERS: [usize; 7] = [10, 100, 300, 1_000, 2_000, 4_600, 10_000];
/// The row that is held back from the fits, to show their error.
const HELD_BACK: usize = 2_000;
/// Fits begin here: below it, what a call costs by itself hides what each server adds.
const FITTED_FROM: usize = 100;
/// Nodes of the fleet that the module is told of.
const NODES: u32 = 11_000;
/// Zones over which servers are spread.
const ZONES: usize = 55;
/// Requests a second at the node: the step of the module's clock.
const REQUESTS_PER_SECOND: u32 = 1_000;
/// Distinct keys that are asked for.
const KEYS: u64 = 240_000_000;
/// How often all cases are gone through.
const PASSES: usize = 5;
/// Batches of a case in one pass.
const BATCHES: usize = 15;
/// Aimed length of a batch.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// A case begins no further batch in a pass after this.
const CASE_TIME: Duration = Duration::from_secs(1);
/// Most operations in a batch.
const BATCH_OPERATIONS: u32 = 20_000;
/// Balancers over which resident memory is averaged: so many servers in all, one balancer at least.
const MEMORY_SERVERS: usize = 20_000;
const SEED: u64 = 30;
/// The module's clock at the start.
const START: Timestamp = Timestamp::from_micros(3_000_000_000);
/// Time from a request to its outcome.
const ANSWER_TIME: Duration = Duration::from_micros(500);
/// What servers lack in warmth, where some of them have just started: a part that takes far longer than a case.
const WARM_WITHIN: Duration = Duration::from_secs(1_000_000);

/// One operation's time in each batch of a case, in nanoseconds, and how many operations that were.
#[derive(Default)]
struct Cost {
    batches: Vec<f64>,
    operations: u64,
}

impl Cost {
    fn add(&mut self, pass: Self) {
        self.batches.extend(pass.batches);
        self.batches.sort_unstable_by(f64::total_cmp);
        self.operations += pass.operations;
    }

    /// The batch that so large a part of all batches is faster than; zero gives the fastest.
    fn quantile(&self, part: f64) -> f64 {
        let last = self.batches.len().saturating_sub(1);
        self.batches
            .get((part * last as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// How a figure grows with the number of servers, by the loops that it comes from.
#[derive(Clone, Copy)]
enum Growth {
    /// A base and a part for each server.
    Linear,
    /// A base and the cost of a sort.
    Sort,
    /// A part for each server and one for each pair of servers.
    Square,
}

impl Growth {
    const fn name(self) -> &'static str {
        match self {
            Self::Linear => "a + b*n",
            Self::Sort => "a + b*n*log2(n)",
            Self::Square => "a*n + b*n^2",
        }
    }

    /// The two terms whose factors are fitted.
    fn terms(self, servers: f64) -> (f64, f64) {
        match self {
            Self::Linear => (1.0, servers),
            Self::Sort => (1.0, servers * servers.log2()),
            Self::Square => (servers, servers * servers),
        }
    }
}

/// What is measured at each number of servers.
struct Case {
    name: &'static str,
    growth: Growth,
    measure: fn(usize) -> Cost,
}

const CASES: [Case; 8] = [
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

/// What is measured at one number of servers; costs in the order of `CASES`.
struct Row {
    servers: usize,
    bytes: f64,
    costs: [Cost; CASES.len()],
}

fn main() {
    let row = |(&servers, bytes)| Row {
        servers,
        bytes,
        costs: Default::default(),
    };
    let mut rows: Vec<Row> = SERVERS.iter().zip(resident_bytes()).map(row).collect();
    for pass in 1..=PASSES {
        for row in &mut rows {
            eprintln!("pass {pass} of {PASSES}, {} servers", row.servers);
            for (cost, case) in row.costs.iter_mut().zip(&CASES) {
                cost.add((case.measure)(row.servers));
            }
        }
    }
    println!("{}", report(&rows));
}

/// Requests with their outcomes, all served. `cold` says which servers have just started.
fn requests(servers: usize, weights_include_speed: bool, cold: impl Fn(usize) -> bool) -> Cost {
    let mut entries = fleet(servers);
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
        if let Some(server) = sent {
            balancer.handle(
                now + ANSWER_TIME,
                Event::AttemptEnded(served(id, server)),
                &mut actions,
            );
            actions.clear();
        }
    })
}

/// The first whole list of a balancer that knows no server, in an order that is not the module's.
fn first_lists(servers: usize) -> Cost {
    let mut entries = fleet(servers);
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

/// A whole list that changes nothing.
fn same_lists(servers: usize) -> Cost {
    let mut balancer = filled(settings(), fleet(servers));
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut entries = fleet(servers);
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

/// Lists of one server that has started anew.
fn changes(servers: usize) -> Cost {
    let entries = fleet(servers);
    let mut balancer = filled(settings(), entries.clone());
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut started = START;
    let mut actions = Vec::new();
    time(|| {
        started = started + Duration::from_micros(1);
        let changed = Endpoint {
            started: Some(started),
            ..entries[random.usize(..servers)].clone()
        };
        balancer.handle(
            START,
            Event::Endpoints(EndpointUpdate::Delta([changed].into())),
            &mut actions,
        );
        actions.clear();
    })
}

/// Times an operation in batches, after one that is not counted and tells how many fit into a batch.
fn time(mut operation: impl FnMut()) -> Cost {
    let began = Instant::now();
    let mut warm_up = 0_u32;
    while warm_up == 0 || (warm_up < BATCH_OPERATIONS && began.elapsed() < BATCH_TIME) {
        operation();
        warm_up += 1;
    }
    let each = began.elapsed() / warm_up;
    let operations = (BATCH_TIME.as_nanos() / each.as_nanos().max(1))
        .clamp(1, u128::from(BATCH_OPERATIONS)) as u32;
    let (began, mut batches) = (Instant::now(), Vec::new());
    while batches.is_empty() || (batches.len() < BATCHES && began.elapsed() < CASE_TIME) {
        let began = Instant::now();
        for _ in 0..operations {
            operation();
        }
        batches.push(began.elapsed().as_nanos() as f64 / f64::from(operations));
    }
    let operations = u64::from(operations) * batches.len() as u64;
    Cost {
        batches,
        operations,
    }
}

/// Resident memory of a balancer and of the list it was given, in bytes, for each number of servers; names are its
/// own. All of them are kept to the end: freed memory would be used again and not show.
fn resident_bytes() -> Vec<f64> {
    let mut kept = Vec::new();
    let mut measure = |servers: &usize| {
        let count = (MEMORY_SERVERS / servers).max(1);
        let before = resident();
        kept.extend((0..count).map(|_| filled(settings(), fleet(*servers))));
        (resident() - before) / count as f64
    };
    SERVERS.iter().map(&mut measure).collect()
}

/// Resident memory of this process, in bytes; zero where the system does not tell.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kib| kib.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

fn settings() -> Settings {
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

fn fleet(servers: usize) -> Vec<Endpoint> {
    let entry = |i: usize| Endpoint {
        zone: Some(format!("zone-{:02}", i % ZONES).as_str().into()),
        kind: Some("cache".into()),
        cell: (i / 8) as u64,
        ..Endpoint::new(&format!("s-{i:08x}"))
    };
    (0..servers).map(entry).collect()
}

fn filled(settings: Settings, entries: Vec<Endpoint>) -> Balancer {
    let mut balancer = Balancer::new(settings, SEED);
    balancer.handle(
        START,
        Event::Endpoints(EndpointUpdate::Snapshot(entries.into())),
        &mut Vec::new(),
    );
    balancer
}

fn served(id: RequestId, server: EndpointId) -> Outcome {
    Outcome {
        id,
        attempt: 0,
        endpoint: server,
        status: Status::Ok,
        cache_result: None,
        latency: ANSWER_TIME,
        answered: true,
        load: LoadReport::default(),
    }
}

/// The factors of a growth's two terms.
struct Fit {
    growth: Growth,
    factors: (f64, f64),
}

impl Fit {
    /// Fitted so that the sum of the squares of relative errors is least: rows differ by orders of magnitude.
    fn new(growth: Growth, points: &[(f64, f64)]) -> Self {
        // Divided by its figure, each point has to give one.
        let scaled = |&(servers, figure): &(f64, f64)| {
            let (first, second) = growth.terms(servers);
            (first / figure, second / figure)
        };
        let terms: Vec<(f64, f64)> = points.iter().map(scaled).collect();
        let sum = |product: fn(&(f64, f64)) -> f64| terms.iter().map(product).sum::<f64>();
        let (first, second) = (sum(|t| t.0), sum(|t| t.1));
        let (squares, mixed, second_squares) =
            (sum(|t| t.0 * t.0), sum(|t| t.0 * t.1), sum(|t| t.1 * t.1));
        let determinant = squares * second_squares - mixed * mixed;
        let factors = (
            (first * second_squares - second * mixed) / determinant,
            (second * squares - first * mixed) / determinant,
        );
        Self { growth, factors }
    }

    fn at(&self, servers: f64) -> f64 {
        let (first, second) = self.growth.terms(servers);
        self.factors.0 * first + self.factors.1 * second
    }

    /// By how many per cent of a figure the fit is above it.
    fn error(&self, (servers, figure): (f64, f64)) -> f64 {
        100.0 * (self.at(servers) - figure) / figure
    }
}

/// The fit of a figure, with its worst error at the fitted rows and the one at the row held back.
fn fit(rows: &[Row], growth: Growth, figure: impl Fn(&Row) -> f64) -> String {
    let point = |row: &Row| (row.servers as f64, figure(row));
    let points: Vec<_> = rows
        .iter()
        .filter(|row| row.servers >= FITTED_FROM && row.servers != HELD_BACK)
        .map(point)
        .collect();
    let fit = Fit::new(growth, &points);
    let errors = points.iter().map(|point| fit.error(*point));
    let worst = errors
        .max_by(|a, b| a.abs().total_cmp(&b.abs()))
        .unwrap_or(f64::NAN);
    let held_back = rows.iter().find(|row| row.servers == HELD_BACK);
    let held_back = held_back.map_or(f64::NAN, |row| fit.error(point(row)));
    let (a, b) = fit.factors;
    format!(
        "{{\"form\":\"{}\",\"a\":{a:.3},\"b\":{b:.5},\"worst_error_percent\":{worst:.1},\
         \"held_back_error_percent\":{held_back:.1}}}",
        growth.name()
    )
}

fn report(rows: &[Row]) -> String {
    let mut text = format!(
        "{{\"program\":\"decision_cost\",\"seed\":{SEED},\"nodes\":{NODES},\"zones\":{ZONES},\"keys\":{KEYS},\
         \"held_back_servers\":{HELD_BACK},\n\"rows\":[\n"
    );
    for (i, row) in rows.iter().enumerate() {
        let _ = write!(
            text,
            "{{\"servers\":{},\"resident_bytes\":{:.0}",
            row.servers, row.bytes
        );
        for (Case { name, .. }, cost) in CASES.iter().zip(&row.costs) {
            let (least, median, most) =
                (cost.quantile(0.0), cost.quantile(0.5), cost.quantile(1.0));
            let _ = write!(
                text,
                ",\n \"{name}\":{{\"least_ns\":{least:.0},\"median_ns\":{median:.0},\"most_ns\":{most:.0},\
                 \"operations\":{}}}",
                cost.operations
            );
        }
        text.push_str(if i + 1 < rows.len() { "},\n" } else { "}\n" });
    }
    let bytes = fit(rows, Growth::Linear, |row| row.bytes);
    let _ = write!(text, "],\n\"fits\":{{\n \"resident_bytes\":{bytes}");
    for (place, Case { name, growth, .. }) in CASES.iter().enumerate() {
        let fit = fit(rows, *growth, |row| row.costs[place].quantile(0.0));
        let _ = write!(text, ",\n \"{name}\":{fit}");
    }
    text.push_str("\n}}");
    text
}
