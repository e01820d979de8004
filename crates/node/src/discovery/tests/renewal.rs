//! Watches that fall silent, and their renewal.

use super::fake_discovery::{
    changes, wait_of, ManualDiscovery, PendingCall, Reply, ScriptedDiscovery,
};
use super::harness::{run_in_virtual_time, TestClient, PROMPTLY};
use crate::discovery::notified::{
    NOTIFIED_AFTER_FAILED_CALL, NOTIFIED_AFTER_WATCH_WAIT, QUEUE_LIMIT,
};
use crate::discovery::timing::{RENEWAL_BACKOFF, RENEWAL_OVERLAP};
use crate::driver::DriverEvent;
use slatelink_telemetry::Log;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

// Guards against a silent watch that is noticed only once the node is notified of what it misses: the node then sends to
// draining endpoints.
#[test]
fn what_a_silent_watch_misses_arrives_well_before_the_node_is_notified_of_it() {
    for seed in 0..4 {
        run_in_virtual_time(async |log| {
            let discovery = ScriptedDiscovery::start(|call, _| match call {
                0 => Reply::Nothing,
                _ => Reply::List(2),
            })
            .await;
            let mut client = TestClient::start(discovery.address, seed, &log);
            let arrived = client.list_forwarded(2).await;
            let watch = discovery.calls.borrow()[0].clone();
            let notified = watch.at + wait_of(&watch.path) + NOTIFIED_AFTER_WATCH_WAIT;
            // Discovery's queue is 2 s long at times, and its connection may fail: there must be time for retries.
            let latest = notified - Duration::from_secs(10);
            let took = arrived - watch.at;
            assert!(
                arrived <= latest,
                "{took:?} after the call, notified at {:?}",
                notified - watch.at
            );
            assert!(took < Duration::from_secs(20), "{took:?}");
        });
    }
}

// Guards against a watch that is dropped for its renewal with an answer on its way: the node is notified of that.
#[test]
fn an_answer_on_the_old_watch_while_its_renewal_waits_is_forwarded_at_once() {
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
        let arrived = client.list_forwarded(2).await;
        let late = arrived - (discovery.calls.borrow()[1].at + delay);
        assert!(late < Duration::from_millis(200), "{late:?}");
    });
}

// Guards against a healthy watch that is lost, and a policy told that there is none, because discovery had no time for a
// renewal.
#[test]
fn a_refused_or_reset_renewal_leaves_the_watch_open() {
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
            "no failure before"
        );
        let calls = discovery.calls.borrow();
        let late = first.at - (calls[4].at + delay);
        assert!(late < Duration::from_millis(200), "{late:?}");
        assert!(
            calls[1..5]
                .windows(2)
                .all(|pair| pair[1].at - pair[0].at >= RENEWAL_BACKOFF.mean / 2),
            "{calls:?}"
        );
    });
}

// Guards against nodes that, having called discovery together once, do so for ever: its queue is short, and a node that is
// refused there learns late of what its watch has missed.
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
        let within_a_queue = |from: Instant| {
            renewals
                .iter()
                .filter(|renewal| renewal.at >= from && renewal.at - from < QUEUE_LIMIT)
                .count()
        };
        let most = renewals
            .iter()
            .map(|renewal| within_a_queue(renewal.at))
            .max()
            .unwrap();
        assert!(
            most <= NODES / 2,
            "{most} of {NODES} within discovery's queue"
        );
    });
}

/// A client that has just renewed its watch.
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

/// How long after a renewal that falls silent a change arrives which is made `change_after` the renewal.
fn change_after_silent_renewal(change_after: Duration, seed: u64) -> Duration {
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
        // It is written to all watches that are still open but the silent one, and to later calls at their turn.
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

// Guards against an old watch that is closed for a renewal which is silent: a closed call counts as failed.
#[test]
fn after_a_renewal_that_falls_silent_a_change_arrives_before_the_node_is_notified_of_it() {
    let mut late = Vec::new();
    // While the renewal may wait for its turn, once it no longer may, and up to the next renewal.
    for change_after in [0, 1_000, 3_100, 6_000, 9_000, 12_000, 16_000].map(Duration::from_millis) {
        for seed in 0..3 {
            let took = change_after_silent_renewal(change_after, seed);
            if took >= NOTIFIED_AFTER_FAILED_CALL {
                late.push((change_after, seed, took));
            }
        }
    }
    assert!(
        late.is_empty(),
        "change after the renewal, seed, arrived so long after it: {late:?}"
    );
}

// Guards against a node that gets a change by the watch that it renewed, and goes on with the silent renewal: it is notified
// of the next changes at once unless a call follows the answer.
#[test]
fn after_an_answer_on_the_old_watch_only_another_call_follows() {
    for seed in 0..3 {
        let took = run_in_virtual_time(async |log| {
            let RenewedClient {
                mut client,
                mut discovery,
                old_watch,
                renewal,
            } = RenewedClient::start(seed, &log).await;
            sleep_until(renewal.at + RENEWAL_OVERLAP + Duration::from_secs(1)).await;
            assert!(old_watch.is_open(), "a closed watch is a failed call");
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
        assert!(took < QUEUE_LIMIT + PROMPTLY, "seed {seed}: {took:?}");
    }
}
