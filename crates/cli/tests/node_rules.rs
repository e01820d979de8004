//! The rules as properties of a whole node on loopback sockets, over sequences of events from fixed seeds.

#[path = "../../policy/tests/common/events.rs"]
mod events;
mod node_common;

use events::{check_once, Change, Step, SERVERS};
use node_common::*;
use slatelink_policy::Status;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The platform's limit on sends after a drain, and as much again for a busy machine.
const STOP: Duration = Duration::from_millis(500);
const CLASSES: [&str; 3] = ["read", "keyed", "once"];

/// What reached a server.
struct Asked {
    server: usize,
    id: String,
    status: Status,
    at: Instant,
}

/// From when to when a server was not to get anything new.
type Shut = (usize, Instant, Instant);

/// What a client got, and after how long.
struct Got {
    class: &'static str,
    answer: Option<Message>,
    took: Duration,
    patience: Duration,
    left: bool,
}

struct Client {
    left: std::net::TcpStream,
    gone: bool,
    thread: JoinHandle<(Option<Message>, Duration)>,
    class: &'static str,
    patience: Duration,
}

fn reply(status: Status) -> Reply {
    match status {
        Status::Failed => Reply::Answer(answer("500 No", "", "")),
        Status::Rejected => Reply::Answer(answer("503 Full", "Srv-Declined: 1\r\n", "")),
        Status::Reset | Status::ConnectError => Reply::AnswerAndClose(String::new()),
        Status::TimedOut => Reply::NoAnswer,
        _ => Reply::Answer(answer("200 OK", "", "value")),
    }
}

/// Plays the steps against a node; what each client got, what reached the servers, and from when to when each server was
/// not to get anything new.
fn play(steps: &[Step]) -> (BTreeMap<String, Got>, Vec<Asked>, Vec<Shut>) {
    let script: VecDeque<_> = steps
        .iter()
        .filter_map(|step| {
            if let Step::End { how, .. } = step {
                Some(*how)
            } else {
                None
            }
        })
        .collect();
    let (script, asked) = (
        Arc::new(Mutex::new(script)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| {
            let (script, asked) = (script.clone(), asked.clone());
            CacheServer::start(move |message| {
                let status = script.lock().unwrap().pop_front().unwrap_or(Status::Ok);
                let id = message.header("req-id").unwrap().to_owned();
                asked.lock().unwrap().push(Asked {
                    server,
                    id,
                    status,
                    at: Instant::now(),
                });
                reply(status)
            })
        })
        .collect();
    let name = |i: usize| format!("s-{i}");
    let mut states = [Some("ready"); SERVERS];
    let entries: Vec<_> = (0..SERVERS)
        .map(|i| servers[i].entry(&name(i), "ready"))
        .collect();
    let discovery = Discovery::start(&entries);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    let mut clients: Vec<(String, Client)> = Vec::new();
    let (mut seq, mut shut, mut closed) = (1, [None; SERVERS], Vec::new());
    for step in steps {
        match step {
            Step::Ask {
                class,
                key,
                patience_ms,
                ..
            } => {
                let (id, class) = (format!("{:x}", clients.len() + 1), CLASSES[class % 3]);
                let patience = Duration::from_millis(2_000 + patience_ms);
                let stream = std::net::TcpStream::connect(node.address).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                let left = stream.try_clone().unwrap();
                let text = read(class, *key, patience.as_millis() as u64)
                    .replace(&format!("Req-Id: {key:x}"), &format!("Req-Id: {id}"));
                let at = Instant::now();
                let thread = thread::spawn(move || {
                    let answer = node_common::Client::on(stream).try_request(&text);
                    (answer, at.elapsed())
                });
                clients.push((
                    id,
                    Client {
                        left,
                        gone: false,
                        thread,
                        class,
                        patience,
                    },
                ));
            }
            Step::Leave { which } if !clients.is_empty() => {
                let place = which % clients.len();
                let client = &mut clients[place].1;
                client.gone = true;
                client
                    .left
                    .shutdown(std::net::Shutdown::Both)
                    .unwrap_or_default();
            }
            Step::Change { .. } | Step::Whole { .. } => {
                match step {
                    Step::Change { server, to } => {
                        states[*server] = match to {
                            Change::Draining => Some("draining"),
                            Change::Gone => None,
                            _ => Some("ready"),
                        };
                    }
                    Step::Whole { lacks } => {
                        for (i, state) in states.iter_mut().enumerate() {
                            *state = state.or(Some("ready")).filter(|_| lacks & 1 << i == 0);
                        }
                    }
                    _ => {}
                }
                let listed =
                    (0..SERVERS).filter_map(|i| Some(servers[i].entry(&name(i), states[i]?)));
                // From before it is told, a server may be used again; from after it, one must not be.
                let before = Instant::now();
                discovery.publish(true, &listed.collect::<Vec<_>>());
                seq += 1;
                discovery.wait_until_applied(seq);
                for i in 0..SERVERS {
                    match (states[i], shut[i]) {
                        (Some("ready"), Some(from)) => {
                            closed.push((i, from, before));
                            shut[i] = None;
                        }
                        (Some("ready"), None) | (_, Some(_)) => {}
                        (_, None) => shut[i] = Some(Instant::now()),
                    }
                }
            }
            Step::Pass { ms } => thread::sleep(Duration::from_millis((*ms).min(30))),
            _ => {}
        }
    }
    let got = clients.into_iter().map(|(id, client)| {
        let Client {
            class,
            patience,
            gone: left,
            thread,
            ..
        } = client;
        // One that left may have broken off.
        let (answer, took) = thread.join().unwrap_or_default();
        (
            id,
            Got {
                class,
                answer,
                took,
                patience,
                left,
            },
        )
    });
    let got = got.collect();
    // It is as good as ever afterwards.
    let end = Instant::now();
    discovery.publish(true, &entries);
    discovery.wait_until_applied(seq + 1);
    script.lock().unwrap().clear();
    wait_for("service", || node.read("read", 0xfff).status() == 200);
    closed.extend(
        shut.iter()
            .enumerate()
            .filter_map(|(i, from)| Some((i, (*from)?, end))),
    );
    drop(node);
    let asked = std::mem::take(&mut *asked.lock().unwrap());
    (got, asked, closed)
}

#[test]
fn a_node_keeps_the_rules_through_any_sequence_of_events() {
    check_once(0..6, 120, |_, steps| {
        let (got, asked, closed) = play(steps);
        let mut tries = BTreeMap::<&str, Vec<Status>>::new();
        asked
            .iter()
            .for_each(|one| tries.entry(&one.id).or_default().push(one.status));
        for (id, got) in got.iter().filter(|(_, got)| !got.left) {
            // One final answer, before the client gives up; a second one would be the next answer on its connection.
            let answer = got
                .answer
                .as_ref()
                .unwrap_or_else(|| panic!("no answer to {id}"));
            let grace = Duration::from_secs(2);
            assert!(
                got.took <= got.patience + grace,
                "{id} is answered after {:?}",
                got.took
            );
            let tries = tries.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let declined = |status: &Status| *status == Status::Rejected;
            // Resends only as the class allows.
            let again = tries.len().max(1) - 1;
            assert!(
                got.class != "once" || tries.iter().take(again).all(declined),
                "{id}: {tries:?}"
            );
            match answer.status() {
                200 => assert_eq!(
                    (answer.body.as_slice(), tries.is_empty()),
                    (&b"value"[..], false),
                    "{id}"
                ),
                // A refusal is harmless, and says when to come back.
                503 => {
                    assert!(
                        got.class != "once" || tries.iter().all(declined),
                        "{id} refused after {tries:?}"
                    );
                    assert!(
                        answer
                            .header("retry-after")
                            .unwrap()
                            .parse::<f64>()
                            .unwrap()
                            > 0.0,
                        "{answer:?}"
                    );
                }
                status => assert_eq!(status, 502, "{id}"),
            }
            // Given up means answered at once: where no server was silent, none waits for its deadline.
            let silent = tries.contains(&Status::TimedOut);
            assert!(
                silent || got.took < got.patience + Duration::from_millis(200),
                "{id} waited {:?}",
                got.took
            );
        }
        // A drain or end that was told.
        for (server, from, to) in closed {
            let late = asked
                .iter()
                .filter(|one| one.server == server && one.at > from + STOP && one.at < to);
            let late: Vec<_> = late
                .map(|one| (&one.id, one.at - from, to - one.at))
                .collect();
            assert!(
                late.is_empty(),
                "{late:?} reached s-{server} long after its end was told"
            );
        }
    });
}
