//! Tests of failed calls, with changes made during the failures.

use super::fake_discovery::{changes, ManualDiscovery, Reply, ScriptedDiscovery};
use super::harness::{
    run_in_virtual_time, TestClient, LONGEST_POLICY_BACKOFF, MAX_FORWARDING_DELAY,
};
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

/// Kind of failure of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Refused,
    /// Refused after waiting in the queue.
    RefusedAfterQueue,
    /// The call's connection is closed.
    Reset,
    /// The call is never answered.
    Lost,
}

// Guards against a node that receives a change only after it is notified of the change, because its
// watch was lost and the following calls failed or the new watch was lost as well.
#[test]
fn change_after_failed_calls_arrives_before_node_is_notified() {
    // The first failure is a reset of the open watch, or a stalled watch whose renewal fails next.
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
                let arrived_at = client.list_forwarded(2).await;
                let calls = discovery.calls.borrow();
                let elapsed = arrived_at - calls[first_failed].at;
                assert!(
                    elapsed < NOTIFIED_AFTER_FAILED_CALL,
                    "{failures:?}: {elapsed:?} of {calls:?}"
                );
                assert!(elapsed >= QUEUE_LIMIT, "{failures:?}: {elapsed:?}");
            });
        }
    }
}

/// Returns a listener with a full accept queue, so that no further connection is established, and
/// the connections that fill the queue.
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

// Guards against a node that receives a change only after it is notified of the change, because
// discovery becomes reachable while the node still waits for a connection that is never
// established.
#[test]
fn change_after_unreachable_discovery_arrives_before_node_is_notified() {
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
        let elapsed = client.list_forwarded(2).await - reachable_at;
        let calls = discovery.calls.borrow();
        assert!(
            elapsed < NOTIFIED_AFTER_FAILED_CALL,
            "{elapsed:?}, {calls:?}"
        );
        assert!(
            elapsed > QUEUE_LIMIT + CONNECT_TIMEOUT / 2,
            "the node was not waiting for a connection: {elapsed:?}"
        );
    });
}

/// Returns the time from the start of call number `first_failed` to the arrival of a change. The
/// first calls fail as given by `failures`, and the next call is answered after `QUEUE_LIMIT`.
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
                // The call waits in the queue from its arrival, even while another call is queued.
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
        client.list_forwarded(2).await - failed_at.expect("call `first_failed` failed")
    })
}

// Guards against two failed calls in a row that together take longer than the time until the node
// is notified: two calls that are refused after waiting in the queue, or two lost calls.
#[test]
fn change_after_two_late_failures_in_a_row_arrives_before_node_is_notified() {
    let mut late = Vec::new();
    // The first failure is a reset of the open watch, or the refusal or loss of a renewal beside a
    // stalled watch. The next two calls fail as well.
    let sequences: [(usize, &[Failure]); 6] = [
        (0, &[Reset, RefusedAfterQueue, RefusedAfterQueue]),
        (0, &[Reset, Lost, Lost]),
        (0, &[Reset, RefusedAfterQueue, Lost]),
        (0, &[Reset, Lost, RefusedAfterQueue]),
        (1, &[Lost, RefusedAfterQueue, RefusedAfterQueue]),
        (1, &[Lost, Refused, Lost, Lost]),
    ];
    for (first_failed, failures) in sequences {
        let elapsed = (0..2)
            .map(|seed| change_after_failures(first_failed, failures, seed))
            .max()
            .unwrap();
        println!("{failures:?}: {elapsed:?}");
        assert!(elapsed >= QUEUE_LIMIT, "{failures:?}: {elapsed:?}");
        if elapsed >= NOTIFIED_AFTER_FAILED_CALL {
            late.push((failures, elapsed));
        }
    }
    assert!(
        late.is_empty(),
        "change arrived later than {NOTIFIED_AFTER_FAILED_CALL:?}: {late:?}"
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

// Guards against a drain that arrives late because the first call fails or is still in the queue
// when the drain is announced.
#[test]
fn drain_arrives_in_time_when_first_call_is_refused_or_queued() {
    for seed in 0..3 {
        let elapsed = drain_answered_after_queue(seed);
        assert!(elapsed < QUEUE_LIMIT + MAX_FORWARDING_DELAY, "{elapsed:?}");
        for failure in [Refused, RefusedAfterQueue] {
            let elapsed = change_after_failures(0, &[failure], seed);
            assert!(
                elapsed < NOTIFIED_AFTER_FAILED_CALL,
                "{failure:?}: {elapsed:?}"
            );
        }
    }
}

// Guards against a lost first call that is detected only at the regular renewal. Discovery doesn't
// know the node, which counts as notified after `max_poll_interval` without a watch or poll.
#[test]
fn lost_first_call_is_repeated_within_max_poll_interval() {
    let within = Settings::default().max_poll_interval;
    let elapsed = (0..3)
        .map(|seed| change_after_failures(0, &[Lost], seed))
        .max()
        .unwrap();
    assert!(elapsed < within, "{elapsed:?} of {within:?}");
}
