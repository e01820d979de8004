use super::notified::*;
use super::timing::*;
use super::*;
use crate::list_client::CONNECT_TIMEOUT;
use slatelink_policy::Settings;
use slatelink_telemetry::{LogFormat, Telemetry};
use std::cell::RefCell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::sleep;

/// The module's longest pause after it was told of a failure.
pub(super) const POLICY_BACKOFF_LIMIT: Duration = Duration::from_millis(840);

/// What the stand-in does with a call.
pub(super) enum Reply {
    List(u64),
    /// The list of this version, so long after the call of this number has come.
    After(usize, Duration, u64),
    Refused,
    Reset,
    Nothing,
}

/// Calls as they came: when, and for what.
pub(super) type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

/// A discovery that answers the calls, numbered from 0 as they come, as `reply` says.
pub(super) async fn stand_in(
    reply: impl Fn(usize, &str) -> Reply + 'static,
) -> (SocketAddr, Calls) {
    stand_in_on(TcpListener::bind("127.0.0.1:0").await.unwrap(), reply)
}

/// The same, on this listener.
fn stand_in_on(
    listener: TcpListener,
    reply: impl Fn(usize, &str) -> Reply + 'static,
) -> (SocketAddr, Calls) {
    let address = listener.local_addr().unwrap();
    let (calls, reply) = (Calls::default(), Rc::new(reply));
    let all = calls.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (calls, reply) = (calls.clone(), reply.clone());
            spawn_local(async move {
                let mut head = Vec::new();
                while matches!(stream.read_buf(&mut head).await, Ok(n) if n > 0) {
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let path = String::from_utf8_lossy(&head)
                        .split(' ')
                        .nth(1)
                        .unwrap()
                        .to_owned();
                    head.clear();
                    let number = calls.borrow().len();
                    let said = reply(number, &path);
                    calls.borrow_mut().push((Instant::now(), path));
                    let seq = match said {
                        Reply::List(seq) => seq,
                        Reply::After(other, pause, seq) => {
                            while calls.borrow().len() <= other {
                                sleep(Duration::from_millis(10)).await;
                            }
                            sleep(pause).await;
                            seq
                        }
                        Reply::Refused => {
                            let text =
                                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                            stream.write_all(text.as_bytes()).await.unwrap();
                            continue;
                        }
                        Reply::Reset => return,
                        // Until the client gives it up.
                        Reply::Nothing => continue,
                    };
                    let host = |name: &str, health: &str| {
                        format!("{{\"host\":\"{name}\",\"health\":\"{health}\"}}")
                    };
                    let hosts =
                        [host("s-leaving", "draining"), host("s-staying", "ready")].join(",");
                    let body = format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{hosts}]}}");
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, all)
}

/// Sets a client to work that holds the list of version 1, with a module that says when to follow.
fn client(address: SocketAddr, seed: u64, log: &Log) -> UnboundedReceiver<(Instant, DriverEvent)> {
    client_at(address, seed, false, log).0
}

/// The same, with where it is told of another address. Where lists are pushed nobody says when to follow.
pub(super) fn client_at(
    address: SocketAddr,
    seed: u64,
    pushed: bool,
    log: &Log,
) -> (
    UnboundedReceiver<(Instant, DriverEvent)>,
    Rc<watch::Sender<SocketAddr>>,
) {
    client_with(
        address,
        seed,
        &Settings {
            polls_discovery: !pushed,
            ..Settings::default()
        },
        log,
    )
}

/// The same, with these settings.
fn client_with(
    address: SocketAddr,
    seed: u64,
    settings: &Settings,
    log: &Log,
) -> (
    UnboundedReceiver<(Instant, DriverEvent)>,
    Rc<watch::Sender<SocketAddr>>,
) {
    let (events, mut inputs) = unbounded_channel();
    let (told, heard) = unbounded_channel();
    let (addresses, address) = watch::channel(address);
    let addresses = Rc::new(addresses);
    let kept = addresses.clone();
    let random = fastrand::Rng::with_seed(seed);
    let &Settings {
        drain_grace,
        max_poll_interval,
        polls_discovery,
        ..
    } = settings;
    let (log, version, pushed) = (log.clone(), Some(1), !polls_discovery);
    let options = DiscoveryOptions {
        address,
        version,
        pushed,
        drain_grace,
        max_poll_interval,
        random,
        events,
        log,
    };
    let poll_requested = Rc::new(Notify::new());
    if !pushed {
        poll_requested.notify_one();
    }
    spawn_local(run(options, poll_requested.clone()));
    spawn_local(async move {
        while let Some(input) = inputs.recv().await {
            let failed = matches!(input, DriverEvent::DiscoveryFailed);
            if told.send((Instant::now(), input)).is_err() {
                return;
            }
            if failed && !pushed {
                sleep(POLICY_BACKOFF_LIMIT).await;
                poll_requested.notify_one();
            }
        }
        drop(kept);
    });
    (heard, addresses)
}

/// Plays in virtual time. It moves on in small steps between which the sockets have their turns: left to itself a
/// paused clock jumps to the next timer whenever no task is ready, also over bytes that are on their way.
pub(super) fn play<T>(day: impl AsyncFnOnce(Log) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        spawn_local(async {
            loop {
                for _ in 0..200 {
                    yield_now().await;
                }
                std::thread::sleep(Duration::from_micros(50));
                tokio::time::advance(Duration::from_millis(10)).await;
            }
        });
        let telemetry = Telemetry::start(&Default::default(), &[], LogFormat::Text).unwrap();
        day(telemetry.log.clone()).await
    })
}

/// When the list of this version came.
pub(super) async fn list(
    heard: &mut UnboundedReceiver<(Instant, DriverEvent)>,
    version: u64,
) -> Instant {
    loop {
        let (at, input) = heard.recv().await.expect("a client that runs");
        if matches!(input, DriverEvent::EndpointListReceived(list) if list.version == version) {
            return at;
        }
    }
}

pub(super) fn wait_of(path: &str) -> Duration {
    Duration::from_millis(path.split_once("wait_ms=").unwrap().1.parse().unwrap())
}

// Guards against a watch that falls silent and is noticed only once what it misses counts as told: the node then
// sends to servers that leave.
#[test]
fn what_a_silent_watch_misses_is_brought_well_before_it_counts_as_told() {
    for seed in 0..4 {
        play(async |log| {
            let reply = |call, _: &str| {
                if call == 0 {
                    Reply::Nothing
                } else {
                    Reply::List(2)
                }
            };
            let (address, calls) = stand_in(reply).await;
            let came = list(&mut client(address, seed, &log), 2).await;
            let (asked, path) = calls.borrow()[0].clone();
            let told = asked + wait_of(&path) + NOTIFIED_AFTER_WATCH_WAIT;
            // Discovery's queue is 2 s long at times, and its connection may fail: there must be time for more tries.
            let most = told - Duration::from_secs(10);
            assert!(
                came <= most,
                "{:?} after the call, told at {:?}",
                came - asked,
                told - asked
            );
            assert!(came - asked < Duration::from_secs(20), "{:?}", came - asked);
        });
    }
}

// Guards against a watch given up for its renewal with a word on its way: written, it counts as told.
#[test]
fn a_word_on_the_old_watch_while_the_new_one_waits_for_its_turn_is_taken_at_once() {
    play(async |log| {
        let pause = Duration::from_millis(1500);
        let reply = move |call, _: &str| match call {
            0 => Reply::After(1, pause, 2),
            _ => Reply::Nothing,
        };
        let (address, calls) = stand_in(reply).await;
        let came = list(&mut client(address, 1, &log), 2).await;
        let late = came - (calls.borrow()[1].0 + pause);
        assert!(late < Duration::from_millis(200), "{late:?}");
    });
}

// Guards against a healthy watch that is lost, and a module told that there is none, because discovery had no
// time for another.
#[test]
fn a_renewal_that_is_refused_or_reset_leaves_the_watch_as_it_was() {
    play(async |log| {
        let pause = Duration::from_millis(500);
        let reply = move |call, _: &str| match call {
            0 => Reply::After(4, pause, 2),
            1 | 3 => Reply::Refused,
            2 => Reply::Reset,
            _ => Reply::Nothing,
        };
        let (address, calls) = stand_in(reply).await;
        let mut heard = client(address, 1, &log);
        let (came, first) = heard.recv().await.unwrap();
        assert!(
            matches!(first, DriverEvent::EndpointListReceived(list) if list.version == 2),
            "no failure before"
        );
        let late = came - (calls.borrow()[4].0 + pause);
        assert!(late < Duration::from_millis(200), "{late:?}");
        let calls = calls.borrow();
        assert!(
            calls[1..5]
                .windows(2)
                .all(|two| two[1].0 - two[0].0 >= RENEWAL_BACKOFF.mean / 2),
            "{calls:?}"
        );
    });
}

// Guards against a node with no watch where lists are pushed: what its agent has counts as told all the same.
#[test]
fn where_lists_are_pushed_a_lost_watch_is_open_again_within_the_rules_time() {
    play(async |log| {
        let reply = |call, _: &str| match call {
            0 => Reply::List(2),
            1 | 3 | 4 => Reply::Reset,
            5 => Reply::Refused,
            2 => Reply::List(3),
            6 => Reply::List(4),
            _ => Reply::Nothing,
        };
        let (address, calls) = stand_in(reply).await;
        let mut heard = client_at(address, 1, true, &log).0;
        list(&mut heard, 2).await;
        list(&mut heard, 4).await;
        let calls = calls.borrow();
        assert!(
            calls.iter().all(|(_, path)| path.contains("after=")),
            "{calls:?}"
        );
        let pauses: Vec<_> = calls.windows(2).map(|two| two[1].0 - two[0].0).collect();
        assert!(
            pauses
                .iter()
                .all(|pause| *pause < Duration::from_millis(250)),
            "{pauses:?}"
        );
        assert!(
            pauses[4]
                >= Settings::default()
                    .drain_grace
                    .mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION)
                    / 2,
            "an agent that fails is not asked without end: {pauses:?}"
        );
    });
}

// Guards against a fixed time that stands where the settings' should: where lists are pushed, what the agent has counts as
// told at once, and a drain's time may be as short as this.
#[test]
fn where_lists_are_pushed_an_agent_that_fails_is_asked_again_within_the_time_that_the_settings_leave(
) {
    for grace in [60, 250, 1_000].map(Duration::from_millis) {
        for seed in 0..4 {
            let pauses = play(async |log| {
                let (address, calls) = stand_in(|_, _| Reply::Reset).await;
                let settings = Settings {
                    polls_discovery: false,
                    drain_grace: grace,
                    ..Settings::default()
                };
                let _client = client_with(address, seed, &settings, &log);
                while calls.borrow().len() < 18 {
                    sleep(Duration::from_millis(10)).await;
                }
                let calls = calls.borrow();
                // The first pause after an open watch is none.
                calls[1..]
                    .windows(2)
                    .map(|two| two[1].0 - two[0].0)
                    .collect::<Vec<_>>()
            });
            assert!(
                pauses.iter().all(|pause| *pause <= grace),
                "{pauses:?} of {grace:?}"
            );
            let total: Duration = pauses.iter().sum();
            assert!(
                total
                    >= grace.mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION / 2.0)
                        * pauses.len() as u32,
                "an agent that fails is not asked without end: {pauses:?} of {grace:?}"
            );
        }
    }
}

// Guards against a node that moves to a discovery whose first call is swallowed, or refused for want of a place in
// its queue, and has no list from there when all of it counts as told.
#[test]
fn after_a_move_calls_that_fail_are_made_again_while_their_answer_would_be_in_time() {
    let swallowed: fn(usize, &str) -> Reply = |call, _| {
        if call == 0 {
            Reply::Nothing
        } else {
            Reply::List(7)
        }
    };
    let queue = Duration::from_secs(2);
    let refused: fn(usize, &str) -> Reply = |call, _| match call {
        0..=1 => Reply::Refused,
        call => Reply::After(call, Duration::from_secs(2), 7),
    };
    for (reply, least) in [(swallowed, Duration::ZERO), (refused, queue)] {
        for seed in 0..4 {
            play(async |log| {
                let (old, _) = stand_in(|_, _| Reply::Nothing).await;
                let (new, calls) = stand_in(reply).await;
                let (mut heard, addresses) = client_at(old, seed, false, &log);
                sleep(Duration::from_secs(1)).await;
                let moved = Instant::now();
                addresses.send_replace(new);
                let took = list(&mut heard, 7).await - moved;
                assert!(
                    took >= least && took < NOTIFIED_AFTER_ADDRESS_CHANGE,
                    "{took:?}, {:?}",
                    calls.borrow()
                );
                assert!(calls.borrow().iter().all(|(_, path)| path == "/v1/servers"));
            });
        }
    }
}

// Guards against a word that the old discovery writes while a node moves, and that nobody reads: it counts as told,
// and the new one's list may be a queue away.
#[test]
fn what_the_old_discovery_tells_of_servers_that_leave_is_heeded_until_the_new_one_has_answered() {
    play(async |log| {
        let (old, _) = stand_in(|call, _| match call {
            0 => Reply::After(0, Duration::from_millis(1300), 2),
            _ => Reply::Nothing,
        })
        .await;
        let (new, calls) = stand_in(|call, _| match call {
            0 => Reply::After(0, Duration::from_millis(1900), 7),
            _ => Reply::Nothing,
        })
        .await;
        let (mut heard, addresses) = client_at(old, 1, false, &log);
        sleep(Duration::from_secs(1)).await;
        addresses.send_replace(new);
        let moved = Instant::now();
        let (told, word) = heard.recv().await.unwrap();
        let DriverEvent::EndpointListReceived(word) = word else {
            panic!("a list: {word:?}")
        };
        let names: Vec<_> = word
            .endpoints
            .iter()
            .map(|host| (host.endpoint().id, host.state()))
            .collect();
        assert_eq!(
            names,
            [("s-leaving".into(), "draining")],
            "and nothing of those that stay"
        );
        assert!(
            !word.complete && told - moved < Duration::from_secs(1),
            "{:?}",
            told - moved
        );
        let came = list(&mut heard, 7).await;
        assert!(
            came - moved < NOTIFIED_AFTER_ADDRESS_CHANGE,
            "{:?}",
            came - moved
        );
        while calls.borrow().len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(
            calls.borrow()[1].1.contains("after=7&"),
            "{:?}",
            calls.borrow()
        );
    });
}

// Guards against nodes that ask discovery together for ever after they have asked together once: its queue is
// short, and who is refused there learns late of what its watch has missed.
#[test]
fn watches_opened_together_are_renewed_apart() {
    play(async |log| {
        const NODES: usize = 64;
        let (address, calls) = stand_in(|_, _| Reply::Nothing).await;
        let _heard: Vec<_> = (0..NODES as u64)
            .map(|seed| client(address, seed, &log))
            .collect();
        while calls.borrow().len() < 2 * NODES {
            sleep(Duration::from_millis(100)).await;
        }
        let calls = calls.borrow();
        let again: Vec<_> = calls[NODES..2 * NODES].iter().map(|(at, _)| *at).collect();
        let most = (again.iter()).map(|from| {
            again
                .iter()
                .filter(|at| **at >= *from && **at - *from < NOTIFIED_AFTER_WATCH_WAIT)
                .count()
        });
        let most = most.max().unwrap();
        assert!(
            most <= NODES / 2,
            "{most} of {NODES} within discovery's queue"
        );
    });
}

// Guards against a node that has lost its watch and comes back by calls that fail again, or by a watch that is swallowed,
// only once the changes of meanwhile count as told.
#[test]
fn after_calls_that_fail_a_change_is_brought_before_it_counts_as_told() {
    // What the first calls meet, and which of them fails first: the watch that is open, or a renewal beside one that has
    // fallen silent. R is refused, X reset, and - swallowed.
    let days = ["X", "XR", "XRR", "X-", "XXR", "-R", "-RR", "-R-", "-XR"];
    for fails in days {
        let first = usize::from(fails.starts_with('-'));
        for seed in 0..3 {
            play(async |log| {
                let reply = move |call, _: &str| match fails.as_bytes().get(call) {
                    Some(b'R') => Reply::Refused,
                    Some(b'X') => Reply::Reset,
                    Some(_) => Reply::Nothing,
                    None if call == fails.len() => Reply::After(call, QUEUE_LIMIT, 2),
                    None => Reply::Nothing,
                };
                let (address, calls) = stand_in(reply).await;
                let came = list(&mut client(address, seed, &log), 2).await;
                let took = came - calls.borrow()[first].0;
                assert!(
                    took < NOTIFIED_AFTER_FAILED_CALL,
                    "{fails}: {took:?} of {:?}",
                    calls.borrow()
                );
                assert!(took >= QUEUE_LIMIT, "{fails}: {took:?}");
            });
        }
    }
}

// The same for a discovery that nothing can be connected to, as where it is cut off: it is back while the node still waits
// for a connection that never comes up.
#[test]
fn after_a_discovery_that_could_not_be_connected_to_a_change_is_brought_before_it_counts_as_told() {
    play(async |log| {
        // With its queue full a listener lets no connection come up.
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        listener.listen(0).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut filling = Vec::new();
        while let Ok(stream) =
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200))
        {
            filling.push(stream);
        }
        let mut heard = client(address, 1, &log);
        let (failed, input) = heard.recv().await.unwrap();
        assert!(matches!(input, DriverEvent::DiscoveryFailed));
        while Instant::now() < failed + POLICY_BACKOFF_LIMIT + CONNECT_TIMEOUT / 10 {
            sleep(Duration::from_millis(10)).await;
        }
        drop(filling);
        let reached = Instant::now();
        let reply = |call, path: &str| match path.contains("after=1&") {
            true => Reply::After(call, QUEUE_LIMIT, 2),
            false => Reply::Nothing,
        };
        let (_, calls) = stand_in_on(TcpListener::from_std(listener.into()).unwrap(), reply);
        let took = list(&mut heard, 2).await - reached;
        assert!(
            took < NOTIFIED_AFTER_FAILED_CALL,
            "{took:?}, {:?}",
            calls.borrow()
        );
        assert!(
            took > QUEUE_LIMIT + CONNECT_TIMEOUT / 2,
            "it met the node at a call that nobody took: {took:?}"
        );
    });
}

// Guards against a node that takes a watch which says nothing for word that there is nothing, right after a failure, and
// against a call that waits for a place in discovery's queue in front of that watch: nodes that lost their watches together
// would need two turns each before all of them know what has changed. The watch stands while it is verified and after that:
// what changes within 200 ms of an answer counts as told.
#[test]
fn after_a_failure_the_watch_comes_first_and_is_verified_by_a_call_that_is_answered_at_once() {
    for seed in 0..8 {
        play(async |log| {
            let (address, calls) = stand_in(|call, _| match call {
                0 => Reply::Reset,
                2 => Reply::List(1),
                // The watch that was opened after the failure, so long after the call that verified it.
                1 => Reply::After(2, Duration::from_secs(5), 2),
                _ => Reply::Nothing,
            })
            .await;
            let came = list(&mut client(address, seed, &log), 2).await;
            let calls = calls.borrow();
            let waits: Vec<_> = calls[..3].iter().map(|(_, path)| wait_of(path)).collect();
            assert_eq!(waits, [WATCH_WAIT, WATCH_WAIT, CATCH_UP_WAIT]);
            let verified = calls[2].0 - calls[1].0;
            assert!(
                verified >= QUEUE_LIMIT,
                "the watch has had its turn: {verified:?}"
            );
            let answered = calls[2].0 - calls[0].0 + QUEUE_LIMIT;
            assert!(
                answered < NOTIFIED_AFTER_FAILED_CALL,
                "its answer may be too late: {answered:?}"
            );
            let late = came - (calls[2].0 + Duration::from_secs(5));
            assert!(
                late < Duration::from_millis(200),
                "the watch still stands: {late:?}"
            );
            assert!(
                calls
                    .iter()
                    .skip(3)
                    .all(|(at, _)| *at >= came - Duration::from_millis(20)),
                "{calls:?}"
            );
        });
    }
}
