//! Tests of calls that end unanswered although no call to discovery has failed: closed watches,
//! superseded calls and calls to a previous address.

use super::fake_discovery::{changes, ManualDiscovery, PendingCall};
use super::harness::{polling_settings, run_in_virtual_time, PolicyBackoff, TestClient};
use crate::discovery::notified::{NOTIFIED_AFTER_FAILED_CALL, QUEUE_LIMIT, WATCH_CONTINUITY_GAP};
use crate::discovery::timing::WATCH_WAIT;
use slatelink_policy::Settings;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// Time within which a quiet client closes a watch.
const QUIET_TIME: Duration = Duration::from_secs(75);

/// Answers the first call and takes all further ones, without answering, until the client has closed
/// one of them. Returns these calls.
async fn calls_until_one_is_closed(discovery: &mut ManualDiscovery) -> Vec<PendingCall> {
    let first = discovery.next_call().await;
    first.answer(&changes(1, &[]));
    let mut calls: Vec<PendingCall> = Vec::new();
    let started_at = Instant::now();
    while calls.iter().all(PendingCall::is_open) {
        assert!(started_at.elapsed() < QUIET_TIME, "no watch was closed");
        let step = Instant::now() + Duration::from_millis(10);
        if let Ok(Some(call)) = timeout_at(step, discovery.calls.recv()).await {
            calls.push(call);
        }
    }
    calls
}

/// Answers every further call with a drain of this version, `QUEUE_LIMIT` after its arrival.
fn answer_with_drain(mut calls: UnboundedReceiver<PendingCall>, version: u64) {
    spawn_local(async move {
        while let Some(call) = calls.recv().await {
            spawn_local(async move {
                sleep(QUEUE_LIMIT).await;
                if call.is_open() {
                    call.answer(&changes(version, &[("s-1", "draining")]));
                }
                std::future::pending::<()>().await;
            });
        }
    });
}

/// Returns the time from a change to its arrival, where all watches of a quiet client stall after it
/// has closed one of them, and the change follows `change_after` the close.
fn change_after_closed_watch(change_after: Duration, seed: u64, settings: &Settings) -> Duration {
    run_in_virtual_time(async |log| {
        let mut discovery = ManualDiscovery::start().await;
        let backoff = PolicyBackoff::Longest;
        let mut client = TestClient::start_with(discovery.address, seed, settings, backoff, &log);
        let mut stalled = calls_until_one_is_closed(&mut discovery).await;
        sleep(change_after).await;
        while let Ok(call) = discovery.calls.try_recv() {
            stalled.push(call);
        }
        let changed_at = Instant::now();
        answer_with_drain(discovery.calls, 2);
        let arrived_at = client.list_forwarded(2).await;
        drop(stalled);
        arrived_at - changed_at
    })
}

// Guards against a watch that the client closes unanswered without a check afterwards: a stall of the
// open watches then hides a drain past the 6 s that count from a given-up call (review case 8).
#[test]
fn change_after_closed_watch_arrives_before_node_is_notified() {
    let pushed = Settings {
        polls_discovery: false,
        ..Settings::default()
    };
    for (seed, change_after, settings) in [
        (0, Duration::ZERO, polling_settings()),
        (1, Duration::from_millis(500), polling_settings()),
        (2, Duration::from_millis(1_000), polling_settings()),
        (3, Duration::from_millis(500), pushed),
    ] {
        let elapsed = change_after_closed_watch(change_after, seed, &settings);
        assert!(
            elapsed < NOTIFIED_AFTER_FAILED_CALL,
            "seed {seed}, {change_after:?} after the close: {elapsed:?}"
        );
    }
}

// Guards against calls to a previous address of discovery that end unanswered after the first list
// of the new one, and that no check follows.
#[test]
fn change_after_unanswered_call_to_previous_address_arrives_before_node_is_notified() {
    for seed in 0..3 {
        let elapsed = run_in_virtual_time(async |log| {
            let mut previous = ManualDiscovery::start().await;
            let mut current = ManualDiscovery::start().await;
            let mut client = TestClient::start(previous.address, seed, &log);
            let old_watch = previous.next_call().await;
            client.address.send(current.address).unwrap();
            current
                .next_call()
                .await
                .answer(&changes(1, &[("s-1", "ready")]));
            let stalled = current.next_call().await;
            sleep(Duration::from_millis(1_500)).await;
            old_watch.reset();
            sleep(Duration::from_millis(200)).await;
            let changed_at = Instant::now();
            answer_with_drain(current.calls, 2);
            let arrived_at = client.list_forwarded(2).await;
            drop(stalled);
            arrived_at - changed_at
        });
        assert!(
            elapsed < NOTIFIED_AFTER_FAILED_CALL,
            "seed {seed}: {elapsed:?}"
        );
    }
}

// Guards against a renewed watch that stalls, is superseded by the other watch's answer and closed,
// and that no check follows.
#[test]
fn change_after_superseded_watch_is_closed_arrives_before_node_is_notified() {
    for seed in 0..3 {
        let elapsed = run_in_virtual_time(async |log| {
            let mut discovery = ManualDiscovery::start().await;
            let mut client = TestClient::start(discovery.address, seed, &log);
            let stalled = discovery.next_call().await;
            let renewal = discovery.next_call().await;
            sleep(Duration::from_secs(4)).await;
            renewal.answer(&changes(2, &[("s-2", "draining")]));
            let next = discovery.next_call().await;
            while stalled.is_open() {
                sleep(Duration::from_millis(10)).await;
                assert!(
                    next.at.elapsed() < WATCH_WAIT,
                    "the stalled watch stays open"
                );
            }
            let changed_at = Instant::now();
            answer_with_drain(discovery.calls, 3);
            let arrived_at = client.list_forwarded(3).await;
            drop(next);
            arrived_at - changed_at
        });
        assert!(
            elapsed < NOTIFIED_AFTER_FAILED_CALL,
            "seed {seed}: {elapsed:?}"
        );
    }
}

// Guards against a verification of a closed watch whose answer is not followed by a call: a change
// right after an answer counts as notified at once, and the open watch may have stalled.
#[test]
fn verification_after_closed_watch_is_followed_by_a_renewal_at_once() {
    for seed in 0..3 {
        run_in_virtual_time(async |log| {
            let mut discovery = ManualDiscovery::start().await;
            let _client = TestClient::start(discovery.address, seed, &log);
            let watches = calls_until_one_is_closed(&mut discovery).await;
            let verification = discovery.next_call().await;
            assert!(!verification.path.contains("wait_ms=60000"), "a poll");
            verification.answer(&changes(1, &[]));
            let answered_at = Instant::now();
            let renewal = discovery.next_call().await;
            assert_eq!(renewal.path, watches[0].path);
            let pause = renewal.at - answered_at;
            assert!(pause < WATCH_CONTINUITY_GAP, "{pause:?}");
            assert!(
                watches.iter().any(PendingCall::is_open),
                "the newest watch stays open"
            );
        });
    }
}
