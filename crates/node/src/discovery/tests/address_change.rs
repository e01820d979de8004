//! A change of discovery's address.

use super::fake_discovery::{changes, ManualDiscovery, Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, TestClient, PROMPTLY};
use crate::discovery::notified::{NOTIFIED_AFTER_ADDRESS_CHANGE, QUEUE_LIMIT};
use crate::driver::DriverEvent;
use std::time::Duration;
use tokio::time::{sleep, Instant};

// Guards against a node whose first call at the new address is lost, or refused because the queue is full, and that has no
// list from there when it is notified of all of it.
#[test]
fn after_an_address_change_failed_calls_are_retried_while_an_answer_would_be_in_time() {
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
    for (script, least) in [(lost, Duration::ZERO), (refused, QUEUE_LIMIT)] {
        for seed in 0..4 {
            run_in_virtual_time(async |log| {
                let old = ScriptedDiscovery::start(|_, _| Reply::Nothing).await;
                let new = ScriptedDiscovery::start(script).await;
                let mut client = TestClient::start(old.address, seed, &log);
                sleep(Duration::from_secs(1)).await;
                let changed_at = Instant::now();
                client.address.send_replace(new.address);
                let took = client.list_forwarded(7).await - changed_at;
                let calls = new.calls.borrow();
                assert!(
                    took >= least && took < NOTIFIED_AFTER_ADDRESS_CHANGE,
                    "{took:?}, {calls:?}"
                );
                assert!(calls.iter().all(|call| call.path == "/v1/servers"));
            });
        }
    }
}

// Guards against an answer that the old discovery writes while the address changes, and that nobody reads: the node is
// notified of it, and the new discovery's list may be a queue away.
#[test]
fn drains_announced_by_the_old_discovery_are_forwarded_until_the_new_one_has_answered() {
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
            panic!("a list: {:?}", first.event)
        };
        let endpoints: Vec<_> = list
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.endpoint().id, endpoint.state()))
            .collect();
        assert_eq!(
            endpoints,
            [("s-leaving".into(), "draining")],
            "and nothing of those that stay"
        );
        let took = first.at - changed_at;
        assert!(!list.complete && took < Duration::from_secs(1), "{took:?}");
        let took = client.list_forwarded(7).await - changed_at;
        assert!(took < NOTIFIED_AFTER_ADDRESS_CHANGE, "{took:?}");
        new.received(2).await;
        let calls = new.calls.borrow();
        assert!(calls[1].path.contains("after=7&"), "{calls:?}");
    });
}

// Guards against an answer of the old discovery that is dropped with its watch, because the new one's list comes in that
// moment.
#[test]
fn a_drain_announced_by_the_old_discovery_beside_the_new_ones_list_is_forwarded_at_once() {
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
        // The call that follows is not answered.
        let forwarded = client.drain_forwarded("s-1", PROMPTLY).await;
        assert!(forwarded.is_some(), "a drain that the node is notified of");
    });
}
