//! Tests of a change of discovery's address.

use super::fake_discovery::{changes, ManualDiscovery, Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, TestClient, MAX_FORWARDING_DELAY};
use crate::discovery::notified::{NOTIFIED_AFTER_ADDRESS_CHANGE, QUEUE_LIMIT};
use crate::driver::DriverEvent;
use std::time::Duration;
use tokio::time::{sleep, Instant};

// Guards against a node that is notified of the new discovery's list before it has that list,
// because the first call to the new address was lost, or refused by a full queue.
#[test]
fn failed_calls_after_address_change_are_retried_until_list_arrives_in_time() {
    let lost: fn(usize, &str) -> Reply = |call, _| match call {
        0 => Reply::Nothing,
        _ => Reply::List(7),
    };
    let refused: fn(usize, &str) -> Reply = |call, _| match call {
        0..=1 => Reply::Refused,
        call => Reply::ListAfter {
            call,
            delay: QUEUE_LIMIT,
            version: 7,
        },
    };
    for (script, min_elapsed) in [(lost, Duration::ZERO), (refused, QUEUE_LIMIT)] {
        for seed in 0..4 {
            run_in_virtual_time(async |log| {
                let old = ScriptedDiscovery::start(|_, _| Reply::Nothing).await;
                let new = ScriptedDiscovery::start(script).await;
                let mut client = TestClient::start(old.address, seed, &log);
                sleep(Duration::from_secs(1)).await;
                let changed_at = Instant::now();
                client.address.send_replace(new.address);
                let elapsed = client.list_forwarded(7).await - changed_at;
                let calls = new.calls.borrow();
                assert!(
                    elapsed >= min_elapsed && elapsed < NOTIFIED_AFTER_ADDRESS_CHANGE,
                    "{elapsed:?}, {calls:?}"
                );
                assert!(calls.iter().all(|call| call.path == "/v1/servers"));
            });
        }
    }
}

// Guards against an answer that the old discovery writes during the address change and that is
// never read. The node is notified of the answer, and the new discovery's list may wait in its
// queue.
#[test]
fn drains_from_old_discovery_are_forwarded_until_new_discovery_answers() {
    run_in_virtual_time(async |log| {
        let old = ScriptedDiscovery::start(|call, _| match call {
            0 => Reply::ListAfter {
                call: 0,
                delay: Duration::from_millis(1300),
                version: 2,
            },
            _ => Reply::Nothing,
        })
        .await;
        let new = ScriptedDiscovery::start(|call, _| match call {
            0 => Reply::ListAfter {
                call: 0,
                delay: Duration::from_millis(1900),
                version: 7,
            },
            _ => Reply::Nothing,
        })
        .await;
        let mut client = TestClient::start(old.address, 1, &log);
        sleep(Duration::from_secs(1)).await;
        client.address.send_replace(new.address);
        let changed_at = Instant::now();
        let first = client.next_event().await;
        let DriverEvent::EndpointListReceived(list) = first.event else {
            panic!("expected a list, got {:?}", first.event)
        };
        let endpoints: Vec<_> = list
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.endpoint().id, endpoint.state()))
            .collect();
        assert_eq!(
            endpoints,
            [("s-leaving".into(), "draining")],
            "only the draining endpoint is forwarded"
        );
        let elapsed = first.at - changed_at;
        assert!(
            !list.complete && elapsed < Duration::from_secs(1),
            "{elapsed:?}"
        );
        let elapsed = client.list_forwarded(7).await - changed_at;
        assert!(elapsed < NOTIFIED_AFTER_ADDRESS_CHANGE, "{elapsed:?}");
        new.received(2).await;
        let calls = new.calls.borrow();
        assert!(calls[1].path.contains("after=7&"), "{calls:?}");
    });
}

// Guards against an answer of the old discovery that is dropped with its watch, because the new
// discovery's list arrives at the same moment.
#[test]
fn drain_from_old_discovery_is_forwarded_when_new_list_arrives_simultaneously() {
    run_in_virtual_time(async |log| {
        let mut old = ManualDiscovery::start().await;
        let mut new = ManualDiscovery::start().await;
        let mut client = TestClient::start(old.address, 1, &log);
        let watch = old.next_call().await;
        client.address.send_replace(new.address);
        let poll = new.next_call().await;
        assert_eq!(poll.path, "/v1/servers");
        poll.answer(&changes(5, &[("s-2", "ready")]));
        watch.answer(&changes(6, &[("s-1", "draining")]));
        // The next call is not answered.
        let forwarded = client.drain_forwarded("s-1", MAX_FORWARDING_DELAY).await;
        assert!(
            forwarded.is_some(),
            "the drain from the old discovery was not forwarded"
        );
    });
}
