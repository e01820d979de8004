//! The verification of a watch that was opened after a failed call.

use super::fake_discovery::{wait_of, Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, TestClient};
use crate::discovery::notified::{NOTIFIED_AFTER_FAILED_CALL, QUEUE_LIMIT};
use crate::discovery::timing::{CATCH_UP_WAIT, WATCH_WAIT};
use std::time::Duration;

// Guards against a node that takes a silent watch for one without changes right after a failure, and against a poll that stands
// in discovery's queue in front of that watch: nodes that lost their watches together would need two turns each before all of
// them have the list. The watch stands while it is verified and after that: the node is notified at once of what changes right
// after an answer.
#[test]
fn after_a_failure_a_watch_is_opened_first_and_verified_by_a_poll_beside_it() {
    for seed in 0..8 {
        run_in_virtual_time(async |log| {
            let discovery = ScriptedDiscovery::start(|call, _| match call {
                0 => Reply::Reset,
                2 => Reply::List(1),
                // The watch that was opened after the failure, so long after the poll that verified it.
                1 => Reply::ListAfter {
                    call: 2,
                    delay: Duration::from_secs(5),
                    version: 2,
                },
                _ => Reply::Nothing,
            })
            .await;
            let mut client = TestClient::start(discovery.address, seed, &log);
            let arrived = client.list_forwarded(2).await;
            let calls = discovery.calls.borrow();
            let waits: Vec<_> = calls[..3].iter().map(|call| wait_of(&call.path)).collect();
            assert_eq!(waits, [WATCH_WAIT, WATCH_WAIT, CATCH_UP_WAIT]);
            let verified_after = calls[2].at - calls[1].at;
            assert!(
                verified_after >= QUEUE_LIMIT,
                "the watch has had its turn: {verified_after:?}"
            );
            let answered_after = calls[2].at - calls[0].at + QUEUE_LIMIT;
            assert!(
                answered_after < NOTIFIED_AFTER_FAILED_CALL,
                "the poll's answer may be too late: {answered_after:?}"
            );
            let late = arrived - (calls[2].at + Duration::from_secs(5));
            assert!(
                late < Duration::from_millis(200),
                "the watch still stands: {late:?}"
            );
            assert!(
                calls
                    .iter()
                    .skip(3)
                    .all(|call| call.at >= arrived - Duration::from_millis(20)),
                "{calls:?}"
            );
        });
    }
}
