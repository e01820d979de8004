//! Rules of request handling as properties of a whole node on loopback sockets, checked over event
//! sequences from fixed seeds.

#[path = "../../policy/tests/common/events.rs"]
mod events;
mod node_common;

use events::{check_without_shrinking, ServerChange, Step, SERVERS};
use node_common::*;
use slatelink_policy::Status;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest accepted time from a drain to the last request that the server receives: twice the
/// platform's limit, because the machine may be busy.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);
/// Longest accepted delay of a response beyond its client's deadline, on a busy machine.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
const CLASSES: [&str; 3] = ["read", "keyed", "once"];
/// Longest pause of a step, in milliseconds.
const MAX_PAUSE_MS: u64 = 30;

/// A request as a server received it.
struct ReceivedRequest {
    server: usize,
    id: String,
    status: Status,
    at: Instant,
}

/// A period in which a server must not receive new requests.
struct ExclusionPeriod {
    server: usize,
    from: Instant,
    to: Instant,
}

/// Outcome of a client's request.
struct ClientOutcome {
    class: &'static str,
    response: Option<Message>,
    latency: Duration,
    deadline: Duration,
    disconnected: bool,
}

/// A client whose request may be in flight.
struct PendingClient {
    id: String,
    class: &'static str,
    deadline: Duration,
    /// Handle with which the connection is closed.
    stream: std::net::TcpStream,
    disconnected: bool,
    thread: JoinHandle<(Option<Message>, Duration)>,
}

impl PendingClient {
    fn disconnect(&mut self) {
        self.disconnected = true;
        self.stream
            .shutdown(std::net::Shutdown::Both)
            .unwrap_or_default();
    }

    fn outcome(self) -> (String, ClientOutcome) {
        // The thread of a disconnected client may have panicked.
        let (response, latency) = self.thread.join().unwrap_or_default();
        let outcome = ClientOutcome {
            class: self.class,
            response,
            latency,
            deadline: self.deadline,
            disconnected: self.disconnected,
        };
        (self.id, outcome)
    }
}

fn reply(status: Status) -> Reply {
    match status {
        Status::Failed => Reply::Response(http_response("500 No", "", "")),
        Status::Rejected => Reply::Response(http_response("503 Full", "Srv-Declined: 1\r\n", "")),
        Status::Reset | Status::ConnectError => Reply::ResponseAndClose(String::new()),
        Status::TimedOut => Reply::NoResponse,
        _ => Reply::Response(http_response("200 OK", "", "value")),
    }
}

type Script = Arc<Mutex<VecDeque<Status>>>;
type Received = Arc<Mutex<Vec<ReceivedRequest>>>;

/// Starts a server that responds according to the script, which all servers share.
fn scripted_server(server: usize, script: &Script, received: &Received) -> CacheServer {
    let (script, received) = (script.clone(), received.clone());
    CacheServer::start(move |message| {
        let status = script.lock().unwrap().pop_front().unwrap_or(Status::Ok);
        let id = message.header("req-id").unwrap().to_owned();
        received.lock().unwrap().push(ReceivedRequest {
            server,
            id,
            status,
            at: Instant::now(),
        });
        reply(status)
    })
}

fn server_name(server: usize) -> String {
    format!("s-{server}")
}

/// Result of a run of a step sequence against a node.
struct RunResult {
    /// By request id.
    outcomes: BTreeMap<String, ClientOutcome>,
    received: Vec<ReceivedRequest>,
    exclusions: Vec<ExclusionPeriod>,
}

/// Run of a step sequence: the node with its servers, discovery and clients.
struct Run {
    script: Script,
    received: Received,
    servers: Vec<CacheServer>,
    discovery: Discovery,
    node: Node,
    clients: Vec<PendingClient>,
    /// Health of each server as listed by discovery; `None` for a server that is not listed.
    states: [Option<&'static str>; SERVERS],
    /// Version of the newest list.
    version: u64,
    /// Start of the current exclusion period of each server.
    excluded_since: [Option<Instant>; SERVERS],
    exclusions: Vec<ExclusionPeriod>,
}

impl Run {
    fn start(steps: &[Step]) -> Self {
        let statuses = steps.iter().filter_map(|step| match step {
            Step::EndAttempt { status, .. } => Some(*status),
            _ => None,
        });
        let script = Arc::new(Mutex::new(statuses.collect()));
        let received = Received::default();
        let servers: Vec<_> = (0..SERVERS)
            .map(|server| scripted_server(server, &script, &received))
            .collect();
        let discovery = Discovery::start(&ready_entries(&servers));
        let node = Node::ready(&config(discovery.address));
        discovery.wait_until_applied(1);
        Self {
            script,
            received,
            servers,
            discovery,
            node,
            clients: Vec::new(),
            states: [Some("ready"); SERVERS],
            version: 1,
            excluded_since: [None; SERVERS],
            exclusions: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::SendRequest {
                class,
                key,
                timeout_ms,
                ..
            } => self.send_request(CLASSES[class % 3], *key, *timeout_ms),
            Step::Disconnect { index } if !self.clients.is_empty() => {
                let selected = index % self.clients.len();
                self.clients[selected].disconnect();
            }
            Step::ChangeServer { server, change } => {
                self.states[*server] = match change {
                    ServerChange::Draining => Some("draining"),
                    ServerChange::Removed => None,
                    _ => Some("ready"),
                };
                self.publish_states();
            }
            Step::SendSnapshot { omitted } => {
                for (server, state) in self.states.iter_mut().enumerate() {
                    *state = state
                        .or(Some("ready"))
                        .filter(|_| omitted & 1 << server == 0);
                }
                self.publish_states();
            }
            Step::Advance { ms } => thread::sleep(Duration::from_millis((*ms).min(MAX_PAUSE_MS))),
            _ => {}
        }
    }

    /// Sends a request on a new connection.
    fn send_request(&mut self, class: &'static str, key: u64, extra_timeout_ms: u64) {
        let id = format!("{:x}", self.clients.len() + 1);
        let deadline = Duration::from_millis(2_000 + extra_timeout_ms);
        let stream = std::net::TcpStream::connect(self.node.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let handle = stream.try_clone().unwrap();
        let text = api_request(class, key, deadline.as_millis() as u64)
            .replace(&format!("Req-Id: {key:x}"), &format!("Req-Id: {id}"));
        let at = Instant::now();
        let thread = thread::spawn(move || {
            let response = Client::from_stream(stream).try_request(&text);
            (response, at.elapsed())
        });
        self.clients.push(PendingClient {
            id,
            class,
            deadline,
            stream: handle,
            disconnected: false,
            thread,
        });
    }

    /// Publishes the servers' states as a complete list and records the exclusions that result.
    fn publish_states(&mut self) {
        let listed = (0..SERVERS)
            .filter_map(|i| Some(self.servers[i].entry(&server_name(i), self.states[i]?)));
        let listed: Vec<_> = listed.collect();
        // For a server that is ready again, the exclusion ends before the publication. For a
        // drained or removed server, it starts once the node has applied the list.
        let before = Instant::now();
        self.discovery.publish(true, &listed);
        self.version += 1;
        self.discovery.wait_until_applied(self.version);
        for server in 0..SERVERS {
            match (self.states[server], self.excluded_since[server]) {
                (Some("ready"), Some(from)) => {
                    self.exclusions.push(ExclusionPeriod {
                        server,
                        from,
                        to: before,
                    });
                    self.excluded_since[server] = None;
                }
                (Some("ready"), None) | (_, Some(_)) => {}
                (_, None) => self.excluded_since[server] = Some(Instant::now()),
            }
        }
    }

    /// Waits for the clients and checks that the node serves requests afterwards.
    fn finish(mut self) -> RunResult {
        let clients = std::mem::take(&mut self.clients);
        let outcomes = clients.into_iter().map(PendingClient::outcome).collect();
        let end = Instant::now();
        self.discovery.publish(true, &ready_entries(&self.servers));
        self.discovery.wait_until_applied(self.version + 1);
        self.script.lock().unwrap().clear();
        wait_for("a served request", || {
            self.node.read("read", 0xfff).status() == 200
        });
        let still_excluded = self.excluded_since.iter().enumerate();
        self.exclusions
            .extend(still_excluded.filter_map(|(server, from)| {
                Some(ExclusionPeriod {
                    server,
                    from: (*from)?,
                    to: end,
                })
            }));
        drop(self.node);
        let received = std::mem::take(&mut *self.received.lock().unwrap());
        RunResult {
            outcomes,
            received,
            exclusions: self.exclusions,
        }
    }
}

fn ready_entries(servers: &[CacheServer]) -> Vec<serde_json::Value> {
    let entries = servers.iter().enumerate();
    entries
        .map(|(server, endpoint)| endpoint.entry(&server_name(server), "ready"))
        .collect()
}

/// Runs the steps against a node.
fn run_steps(steps: &[Step]) -> RunResult {
    let mut run = Run::start(steps);
    for step in steps {
        run.apply(step);
    }
    run.finish()
}

fn is_rejected(status: &Status) -> bool {
    *status == Status::Rejected
}

/// Asserts that a client that stayed connected has received one final response by its deadline,
/// after attempts that its class allows.
fn assert_answered(id: &str, outcome: &ClientOutcome, attempts: &[Status]) {
    // A second response would be taken for the response to the next request on the connection.
    let response = outcome
        .response
        .as_ref()
        .unwrap_or_else(|| panic!("no response to request {id}"));
    assert!(
        outcome.latency <= outcome.deadline + RESPONSE_GRACE,
        "the response to request {id} took {:?}",
        outcome.latency
    );
    // A request of class `once` is retried only after rejected attempts.
    let retry_count = attempts.len().max(1) - 1;
    assert!(
        outcome.class != "once" || attempts.iter().take(retry_count).all(is_rejected),
        "request {id} was retried after attempts {attempts:?}"
    );
    match response.status() {
        200 => assert_eq!(
            (response.body.as_slice(), attempts.is_empty()),
            (&b"value"[..], false),
            "{id}"
        ),
        503 => assert_safely_shed(id, outcome.class, response, attempts),
        status => assert_eq!(status, 502, "{id}"),
    }
    // An abandoned request is answered at once: unless an attempt timed out, no request waits for
    // its deadline.
    let timed_out = attempts.contains(&Status::TimedOut);
    assert!(
        timed_out || outcome.latency < outcome.deadline + Duration::from_millis(200),
        "request {id} waited {:?}",
        outcome.latency
    );
}

/// Asserts that a shed request is safe to retry and that its response has a retry time.
fn assert_safely_shed(id: &str, class: &str, response: &Message, attempts: &[Status]) {
    assert!(
        class != "once" || attempts.iter().all(is_rejected),
        "request {id} was shed after attempts {attempts:?}"
    );
    let retry_after = response.header("retry-after").unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 0.0, "{response:?}");
}

/// Asserts that no request reached a server while its drain or removal was in effect.
fn assert_excluded(period: &ExclusionPeriod, received: &[ReceivedRequest]) {
    let ExclusionPeriod { server, from, to } = *period;
    let late = received.iter().filter(|request| {
        request.server == server && request.at > from + DRAIN_LIMIT && request.at < to
    });
    let late: Vec<_> = late
        .map(|request| (&request.id, request.at - from, to - request.at))
        .collect();
    assert!(
        late.is_empty(),
        "requests {late:?} reached s-{server} long after its drain or removal"
    );
}

#[test]
fn a_node_keeps_the_rules_through_any_sequence_of_events() {
    check_without_shrinking(0..6, 120, |_, steps| {
        let RunResult {
            outcomes,
            received,
            exclusions,
        } = run_steps(steps);
        let mut attempts = BTreeMap::<&str, Vec<Status>>::new();
        for request in &received {
            attempts
                .entry(&request.id)
                .or_default()
                .push(request.status);
        }
        for (id, outcome) in outcomes.iter().filter(|(_, outcome)| !outcome.disconnected) {
            let attempts = attempts.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            assert_answered(id, outcome, attempts);
        }
        for period in &exclusions {
            assert_excluded(period, &received);
        }
    });
}
