//! Tests of the verification of a watch that was opened after a failed call.

use super::fake_discovery::{wait_of, Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, TestClient};
use crate::discovery::notified::{NOTIFIED_AFTER_FAILED_CALL, QUEUE_LIMIT};
use crate::discovery::timing::{CATCH_UP_WAIT, WATCH_WAIT};
use std::time::Duration;

// Guards against a stalled watch that goes unnoticed after a failure, and against a poll queued
// ahead of the watch, which doubles the queue when many nodes lose watches. The watch stays open:
// the node is immediately notified of changes right after an answer.
#[test]
fn watch_opened_after_failure_is_verified_by_a_later_poll() {
    for seed in 0..8 {
        run_in_virtual_time(async |log| {
            let discovery = ScriptedDiscovery::start(|call, _| match call {
                0 => Reply::Reset,
                2 => Reply::List(1),
                // The watch that was opened after the failure is answered 5 s after the poll that
                // verified it.
                1 => Reply::ListAfter {
                    call: 2,
                    delay: Duration::from_secs(5),
                    version: 2,
                },
                _ => Reply::Nothing,
            })
            .await;
            let mut client = TestClient::start(discovery.address, seed, &log);
            let arrived_at = client.list_forwarded(2).await;
            let calls = discovery.calls.borrow();
            let waits: Vec<_> = calls[..3].iter().map(|call| wait_of(&call.path)).collect();
            assert_eq!(waits, [WATCH_WAIT, WATCH_WAIT, CATCH_UP_WAIT]);
            let verified_after = calls[2].at - calls[1].at;
            assert!(
                verified_after >= QUEUE_LIMIT,
                "the watch may still be in the queue: {verified_after:?}"
            );
            let answered_after = calls[2].at - calls[0].at + QUEUE_LIMIT;
            assert!(
                answered_after < NOTIFIED_AFTER_FAILED_CALL,
                "the poll's answer may be too late: {answered_after:?}"
            );
            let lateness = arrived_at - (calls[2].at + Duration::from_secs(5));
            assert!(
                lateness < Duration::from_millis(200),
                "the answer to the open watch was forwarded late: {lateness:?}"
            );
            assert!(
                calls
                    .iter()
                    .skip(3)
                    .all(|call| call.at >= arrived_at - Duration::from_millis(20)),
                "{calls:?}"
            );
        });
    }
}
