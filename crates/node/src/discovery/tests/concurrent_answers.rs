//! Answers on a watch and on its renewal at the same time.

use super::fake_discovery::{changes, ManualDiscovery, PendingCall};
use super::harness::{run_in_virtual_time, ForwardedEvent, TestClient, PROMPTLY};
use crate::driver::DriverEvent;
use slatelink_policy::Availability;
use tokio::time::{timeout_at, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Watch {
    Old,
    Renewal,
}

// Guards against an answer that is dropped unread with its watch, because the other watch had one too: the node is notified of
// both, and the next call may stand in discovery's queue.
#[test]
fn answers_on_a_watch_and_on_its_renewal_are_both_forwarded_at_once() {
    let mut missed = Vec::new();
    for later_on in [Watch::Renewal, Watch::Old] {
        let forwarded = run_in_virtual_time(async |log| {
            let mut discovery = ManualDiscovery::start().await;
            let mut client = TestClient::start(discovery.address, 1, &log);
            let old = discovery.next_call().await;
            let renewal = discovery.next_call().await;
            assert_eq!(old.path, renewal.path, "a renewal");
            let (earlier, later) = match later_on {
                Watch::Renewal => (&old, &renewal),
                Watch::Old => (&renewal, &old),
            };
            // The answer of the later version is long: the other one is read before it.
            let mut endpoints = vec![("s-1", "draining"), ("s-2", "draining")];
            endpoints.extend([("s-other", "ready")].repeat(2_000));
            later.answer(&changes(3, &endpoints));
            earlier.answer(&changes(2, &[("s-1", "draining")]));
            // The call that follows is not answered.
            client.drain_forwarded("s-2", PROMPTLY).await
        });
        if forwarded.is_none() {
            missed.push(later_on);
        }
    }
    assert!(
        missed.is_empty(),
        "the drain announced by the later answer is missed where that is on {missed:?}"
    );
}

// Guards against the older of two answers that undoes what the later one announced.
#[test]
fn an_older_answer_on_the_other_watch_does_not_undo_a_drain() {
    for (later_on, written_first) in [
        (Watch::Renewal, Watch::Renewal),
        (Watch::Renewal, Watch::Old),
        (Watch::Old, Watch::Renewal),
        (Watch::Old, Watch::Old),
    ] {
        run_in_virtual_time(async |log| {
            let mut discovery = ManualDiscovery::start().await;
            let mut client = TestClient::start(discovery.address, 1, &log);
            let old = discovery.next_call().await;
            let renewal = discovery.next_call().await;
            assert_eq!(old.path, renewal.path, "a renewal");
            let answer = |call: &PendingCall, watch: Watch| match watch == later_on {
                true => call.answer(&changes(3, &[("s-1", "draining")])),
                false => call.answer(&changes(2, &[("s-1", "ready")])),
            };
            let mut watches = [(&old, Watch::Old), (&renewal, Watch::Renewal)];
            watches.sort_by_key(|(_, watch)| *watch != written_first);
            watches
                .iter()
                .for_each(|(call, watch)| answer(call, *watch));
            let deadline = Instant::now() + PROMPTLY;
            let mut drained = false;
            while let Ok(Some(ForwardedEvent { event, .. })) =
                timeout_at(deadline, client.events.recv()).await
            {
                let DriverEvent::EndpointListReceived(list) = event else {
                    continue;
                };
                for endpoint in &list.endpoints {
                    let ready = endpoint.availability() == Availability::Ready;
                    assert!(
                        !(ready && drained),
                        "{later_on:?}, {written_first:?}: version {}",
                        list.version
                    );
                    drained |= !ready;
                }
            }
        });
    }
}
