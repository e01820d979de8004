//! Failed calls, and the changes that are made meanwhile.

use super::fake_discovery::{changes, ManualDiscovery, Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, TestClient, LONGEST_POLICY_BACKOFF, PROMPTLY};
use crate::discovery::notified::{NOTIFIED_AFTER_FAILED_CALL, QUEUE_LIMIT};
use crate::driver::DriverEvent;
use crate::list_client::CONNECT_TIMEOUT;
use slatelink_policy::Settings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use Failure::{Lost, Refused, RefusedAfterQueue, Reset};

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Refused,
    /// Refused once it has stood in the queue.
    RefusedAfterQueue,
    /// Its connection is closed.
    Reset,
    /// It is never answered.
    Lost,
}

// Guards against a node that has lost its watch and returns, by calls that fail again or by a watch that is lost, only once
// it is notified of the changes of meanwhile.
#[test]
fn after_failed_calls_a_change_arrives_before_the_node_is_notified_of_it() {
    // The first failure is that of the open watch, or of a renewal beside one that has fallen silent.
    let sequences: [&[Failure]; 9] = [
        &[Reset],
        &[Reset, Refused],
        &[Reset, Refused, Refused],
        &[Reset, Lost],
        &[Reset, Reset, Refused],
        &[Lost, Refused],
        &[Lost, Refused, Refused],
        &[Lost, Refused, Lost],
        &[Lost, Reset, Refused],
    ];
    for failures in sequences {
        let first_failed = usize::from(failures[0] == Lost);
        for seed in 0..3 {
            run_in_virtual_time(async |log| {
                let script = move |call, _: &str| match failures.get(call) {
                    Some(Refused) => Reply::Refused,
                    Some(Reset) => Reply::Reset,
                    Some(_) => Reply::Nothing,
                    None if call == failures.len() => Reply::ListAfter {
                        call,
                        delay: QUEUE_LIMIT,
                        version: 2,
                    },
                    None => Reply::Nothing,
                };
                let discovery = ScriptedDiscovery::start(script).await;
                let mut client = TestClient::start(discovery.address, seed, &log);
                let arrived = client.list_forwarded(2).await;
                let calls = discovery.calls.borrow();
                let took = arrived - calls[first_failed].at;
                assert!(
                    took < NOTIFIED_AFTER_FAILED_CALL,
                    "{failures:?}: {took:?} of {calls:?}"
                );
                assert!(took >= QUEUE_LIMIT, "{failures:?}: {took:?}");
            });
        }
    }
}

/// A listener whose queue of connections is full, so that no further one is established, and what fills it.
fn unreachable_listener() -> (socket2::Socket, Vec<std::net::TcpStream>) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    listener.listen(0).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut connections = Vec::new();
    while let Ok(connection) =
        std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200))
    {
        connections.push(connection);
    }
    (listener, connections)
}

// The same for a discovery that is cut off, and back while the node still waits for a connection that is never established.
#[test]
fn after_discovery_was_unreachable_a_change_arrives_before_the_node_is_notified_of_it() {
    run_in_virtual_time(async |log| {
        let (listener, connections) = unreachable_listener();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut client = TestClient::start(address, 1, &log);
        let failed = client.next_event().await;
        assert!(matches!(failed.event, DriverEvent::DiscoveryFailed));
        while Instant::now() < failed.at + LONGEST_POLICY_BACKOFF + CONNECT_TIMEOUT / 10 {
            sleep(Duration::from_millis(10)).await;
        }
        drop(connections);
        let reachable_at = Instant::now();
        let listener = TcpListener::from_std(listener.into()).unwrap();
        let discovery =
            ScriptedDiscovery::start_on(listener, |call, path| match path.contains("after=1&") {
                true => Reply::ListAfter {
                    call,
                    delay: QUEUE_LIMIT,
                    version: 2,
                },
                false => Reply::Nothing,
            });
        let took = client.list_forwarded(2).await - reachable_at;
        let calls = discovery.calls.borrow();
        assert!(took < NOTIFIED_AFTER_FAILED_CALL, "{took:?}, {calls:?}");
        assert!(
            took > QUEUE_LIMIT + CONNECT_TIMEOUT / 2,
            "the node was not waiting for a connection: {took:?}"
        );
    });
}

/// How long after the start of the call of number `first_failed` a change arrives, where the first calls fail like this and
/// the one after them is answered at the end of the queue.
fn change_after_failures(first_failed: usize, failures: &[Failure], seed: u64) -> Duration {
    run_in_virtual_time(async |log| {
        let mut discovery = ManualDiscovery::start().await;
        let mut client = TestClient::start(discovery.address, seed, &log);
        let mut lost = Vec::new();
        let mut failed_at = None;
        for (number, failure) in failures.iter().enumerate() {
            let call = discovery.next_call().await;
            if number == first_failed {
                failed_at = Some(call.at);
            }
            match failure {
                Refused => call.refuse(),
                // In the queue from when it came, also beside another call.
                RefusedAfterQueue => {
                    spawn_local(async move {
                        sleep_until(call.at + QUEUE_LIMIT).await;
                        call.refuse();
                    });
                }
                Reset => call.reset(),
                Lost => lost.push(call),
            }
        }
        let call = discovery.next_call().await;
        spawn_local(async move {
            sleep_until(call.at + QUEUE_LIMIT).await;
            call.answer(&changes(2, &[("s-1", "draining")]));
            std::future::pending::<()>().await;
        });
        client.list_forwarded(2).await - failed_at.expect("a call that fails")
    })
}

// Guards against two failed calls in a row that together outlast the time until the node is notified: two refusals that each
// stood in the queue, two calls that are lost.
#[test]
fn after_two_late_failures_in_a_row_a_change_arrives_before_the_node_is_notified_of_it() {
    let mut late = Vec::new();
    // An open watch that is reset, or a renewal beside a silent one that is refused, and two more.
    let sequences: [(usize, &[Failure]); 6] = [
        (0, &[Reset, RefusedAfterQueue, RefusedAfterQueue]),
        (0, &[Reset, Lost, Lost]),
        (0, &[Reset, RefusedAfterQueue, Lost]),
        (0, &[Reset, Lost, RefusedAfterQueue]),
        (1, &[Lost, RefusedAfterQueue, RefusedAfterQueue]),
        (1, &[Lost, Refused, Lost, Lost]),
    ];
    for (first_failed, failures) in sequences {
        let took = (0..2)
            .map(|seed| change_after_failures(first_failed, failures, seed))
            .max()
            .unwrap();
        println!("{failures:?}: {took:?}");
        assert!(took >= QUEUE_LIMIT, "{failures:?}: {took:?}");
        if took >= NOTIFIED_AFTER_FAILED_CALL {
            late.push((failures, took));
        }
    }
    assert!(
        late.is_empty(),
        "later than {NOTIFIED_AFTER_FAILED_CALL:?}: {late:?}"
    );
}

fn drain_answered_after_queue(seed: u64) -> Duration {
    run_in_virtual_time(async |log| {
        let mut discovery = ManualDiscovery::start().await;
        let mut client = TestClient::start(discovery.address, seed, &log);
        let call = discovery.next_call().await;
        sleep(QUEUE_LIMIT).await;
        call.answer(&changes(2, &[("s-1", "draining")]));
        client.list_forwarded(2).await - call.at
    })
}

// Guards against a first call that fails, or is still in the queue, when a drain is announced.
#[test]
fn a_first_call_that_is_refused_or_queued_brings_a_drain_in_time() {
    for seed in 0..3 {
        let took = drain_answered_after_queue(seed);
        assert!(took < QUEUE_LIMIT + PROMPTLY, "{took:?}");
        for failure in [Refused, RefusedAfterQueue] {
            let took = change_after_failures(0, &[failure], seed);
            assert!(took < NOTIFIED_AFTER_FAILED_CALL, "{failure:?}: {took:?}");
        }
    }
}

// Guards against a first call that is lost and noticed only when it is renewed: discovery doesn't know of the node, which is
// notified once it has neither watched nor polled for the settings' interval.
#[test]
fn a_lost_first_call_is_followed_by_another_within_the_maximum_poll_interval() {
    let within = Settings::default().max_poll_interval;
    let took = (0..3)
        .map(|seed| change_after_failures(0, &[Lost], seed))
        .max()
        .unwrap();
    assert!(took < within, "{took:?} of {within:?}");
}
