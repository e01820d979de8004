//! Tests of stalled watches and of watch renewal.

use super::fake_discovery::{
    changes, wait_of, ManualDiscovery, PendingCall, Reply, ScriptedDiscovery,
};
use super::harness::{run_in_virtual_time, TestClient, MAX_FORWARDING_DELAY};
use crate::discovery::notified::{
    NOTIFIED_AFTER_FAILED_CALL, NOTIFIED_AFTER_WATCH_WAIT, QUEUE_LIMIT,
};
use crate::discovery::timing::{RENEWAL_BACKOFF, RENEWAL_OVERLAP};
use crate::driver::DriverEvent;
use slatelink_telemetry::Log;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

// Guards against a stalled watch that is detected only after the node is notified of the missed
// changes, so that the node sends requests to draining endpoints.
#[test]
fn change_missed_by_stalled_watch_arrives_well_before_node_is_notified() {
    for seed in 0..4 {
        run_in_virtual_time(async |log| {
            let discovery = ScriptedDiscovery::start(|call, _| match call {
                0 => Reply::Nothing,
                _ => Reply::List(2),
            })
            .await;
            let mut client = TestClient::start(discovery.address, seed, &log);
            let arrived_at = client.list_forwarded(2).await;
            let watch = discovery.calls.borrow()[0].clone();
            let notified_at = watch.at + wait_of(&watch.path) + NOTIFIED_AFTER_WATCH_WAIT;
            // A call may wait 2 s in discovery's queue, and connections may fail: there must be
            // time for retries.
            let latest = notified_at - Duration::from_secs(10);
            let elapsed = arrived_at - watch.at;
            assert!(
                arrived_at <= latest,
                "arrived {elapsed:?} after the call, node notified {:?} after the call",
                notified_at - watch.at
            );
            assert!(elapsed < Duration::from_secs(20), "{elapsed:?}");
        });
    }
}

// Guards against a watch that is dropped for its renewal while its answer is in transit: the node
// is notified of that answer.
#[test]
fn answer_on_old_watch_during_its_renewal_is_forwarded_at_once() {
    run_in_virtual_time(async |log| {
        let delay = Duration::from_millis(1500);
        let discovery = ScriptedDiscovery::start(move |call, _| match call {
            0 => Reply::ListAfter {
                call: 1,
                delay,
                version: 2,
            },
            _ => Reply::Nothing,
        })
        .await;
        let mut client = TestClient::start(discovery.address, 1, &log);
        let arrived_at = client.list_forwarded(2).await;
        let lateness = arrived_at - (discovery.calls.borrow()[1].at + delay);
        assert!(lateness < Duration::from_millis(200), "{lateness:?}");
    });
}

// Guards against a healthy watch that is closed, and reported as failed to the decision module,
// because an overloaded discovery did not accept the renewal.
#[test]
fn refused_or_reset_renewal_leaves_watch_open() {
    run_in_virtual_time(async |log| {
        let delay = Duration::from_millis(500);
        let discovery = ScriptedDiscovery::start(move |call, _| match call {
            0 => Reply::ListAfter {
                call: 4,
                delay,
                version: 2,
            },
            1 | 3 => Reply::Refused,
            2 => Reply::Reset,
            _ => Reply::Nothing,
        })
        .await;
        let mut client = TestClient::start(discovery.address, 1, &log);
        let first = client.next_event().await;
        assert!(
            matches!(first.event, DriverEvent::EndpointListReceived(list) if list.version == 2),
            "first event is not the list: a failure was reported"
        );
        let calls = discovery.calls.borrow();
        let lateness = first.at - (calls[4].at + delay);
        assert!(lateness < Duration::from_millis(200), "{lateness:?}");
        assert!(
            calls[1..5]
                .windows(2)
                .all(|pair| pair[1].at - pair[0].at >= RENEWAL_BACKOFF.mean / 2),
            "{calls:?}"
        );
    });
}

// Guards against nodes that open their watches at the same time and then renew them at the same
// time. Discovery's queue is short, and a refused node is late to receive the changes that its
// watch missed.
#[test]
fn watches_opened_together_are_renewed_at_different_times() {
    run_in_virtual_time(async |log| {
        const NODES: usize = 64;
        let discovery = ScriptedDiscovery::start(|_, _| Reply::Nothing).await;
        let _clients: Vec<_> = (0..NODES as u64)
            .map(|seed| TestClient::start(discovery.address, seed, &log))
            .collect();
        while discovery.calls.borrow().len() < 2 * NODES {
            sleep(Duration::from_millis(100)).await;
        }
        let calls = discovery.calls.borrow();
        let renewals = &calls[NODES..2 * NODES];
        let renewals_within_queue_limit = |from: Instant| {
            renewals
                .iter()
                .filter(|renewal| renewal.at >= from && renewal.at - from < QUEUE_LIMIT)
                .count()
        };
        let max_renewals = renewals
            .iter()
            .map(|renewal| renewals_within_queue_limit(renewal.at))
            .max()
            .unwrap();
        assert!(
            max_renewals <= NODES / 2,
            "{max_renewals} of {NODES} renewals within one period of QUEUE_LIMIT"
        );
    });
}

/// A client that has just opened a renewal of its watch.
struct RenewedClient {
    client: TestClient,
    discovery: ManualDiscovery,
    old_watch: PendingCall,
    renewal: PendingCall,
}

impl RenewedClient {
    async fn start(seed: u64, log: &Log) -> Self {
        let mut discovery = ManualDiscovery::start().await;
        let client = TestClient::start(discovery.address, seed, log);
        let old_watch = discovery.next_call().await;
        let renewal = discovery.next_call().await;
        Self {
            client,
            discovery,
            old_watch,
            renewal,
        }
    }
}

/// Returns the time from a change to its arrival, where the change is made `change_after` the
/// opening of a renewal that stalls.
fn change_after_stalled_renewal(change_after: Duration, seed: u64) -> Duration {
    run_in_virtual_time(async |log| {
        let RenewedClient {
            mut client,
            mut discovery,
            old_watch,
            renewal,
        } = RenewedClient::start(seed, &log).await;
        let changed_at = renewal.at + change_after;
        let mut watches = vec![old_watch];
        while let Ok(Some(call)) = timeout_at(changed_at, discovery.calls.recv()).await {
            watches.push(call);
        }
        // The change is written to all open watches except the stalled renewal, and to later calls
        // after `QUEUE_LIMIT`.
        let change = changes(2, &[("s-1", "draining")]);
        watches
            .iter()
            .filter(|watch| watch.is_open())
            .for_each(|watch| watch.answer(&change));
        spawn_local(async move {
            while let Some(call) = discovery.calls.recv().await {
                sleep(QUEUE_LIMIT).await;
                call.answer(&change);
            }
        });
        client.list_forwarded(2).await - changed_at
    })
}

// Guards against an old watch that is closed in favour of a stalled renewal: a closed call counts
// as failed.
#[test]
fn change_after_stalled_renewal_arrives_before_node_is_notified() {
    let mut late = Vec::new();
    // The change is made while the renewal may still wait in the queue, after the renewal has left
    // the queue, and up to the next renewal.
    for change_after in [0, 1_000, 3_100, 6_000, 9_000, 12_000, 16_000].map(Duration::from_millis) {
        for seed in 0..3 {
            let elapsed = change_after_stalled_renewal(change_after, seed);
            if elapsed >= NOTIFIED_AFTER_FAILED_CALL {
                late.push((change_after, seed, elapsed));
            }
        }
    }
    assert!(
        late.is_empty(),
        "late changes (time after the renewal, seed, delay of the arrival): {late:?}"
    );
}

// Guards against a node that receives a change on the old watch and keeps the stalled renewal as
// its only call: without a new call after the answer, the node is immediately notified of the next
// changes.
#[test]
fn answer_on_old_watch_is_followed_by_a_new_call() {
    for seed in 0..3 {
        let elapsed = run_in_virtual_time(async |log| {
            let RenewedClient {
                mut client,
                mut discovery,
                old_watch,
                renewal,
            } = RenewedClient::start(seed, &log).await;
            sleep_until(renewal.at + RENEWAL_OVERLAP + Duration::from_secs(1)).await;
            assert!(
                old_watch.is_open(),
                "the old watch is closed, which counts as a failed call"
            );
            let answered_at = Instant::now();
            old_watch.answer(&changes(2, &[("s-1", "draining")]));
            spawn_local(async move {
                while let Some(call) = discovery.calls.recv().await {
                    sleep(QUEUE_LIMIT).await;
                    call.answer(&changes(3, &[("s-2", "draining")]));
                }
                drop(renewal);
            });
            client.list_forwarded(3).await - answered_at
        });
        assert!(
            elapsed < QUEUE_LIMIT + MAX_FORWARDING_DELAY,
            "seed {seed}: {elapsed:?}"
        );
    }
}
