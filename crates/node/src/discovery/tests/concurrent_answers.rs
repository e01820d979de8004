//! Tests of simultaneous answers on a watch and on its renewal.

use super::fake_discovery::{changes, ManualDiscovery, PendingCall};
use super::harness::{run_in_virtual_time, ForwardedEvent, TestClient, MAX_FORWARDING_DELAY};
use crate::driver::DriverEvent;
use slatelink_policy::Availability;
use tokio::time::{timeout_at, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Watch {
    Old,
    Renewal,
}

// Guards against an answer that is dropped unread because the other watch was answered too. The
// node is notified of both answers, and the next call may wait in discovery's queue.
#[test]
fn answers_on_watch_and_renewal_are_both_forwarded_at_once() {
    let mut missed = Vec::new();
    for later_on in [Watch::Renewal, Watch::Old] {
        let forwarded = run_in_virtual_time(async |log| {
            let mut discovery = ManualDiscovery::start().await;
            let mut client = TestClient::start(discovery.address, 1, &log);
            let old = discovery.next_call().await;
            let renewal = discovery.next_call().await;
            assert_eq!(old.path, renewal.path, "the second call is not a renewal");
            let (earlier, later) = match later_on {
                Watch::Renewal => (&old, &renewal),
                Watch::Old => (&renewal, &old),
            };
            // The answer with the later version is long, so the other answer is read first.
            let mut endpoints = vec![("s-1", "draining"), ("s-2", "draining")];
            endpoints.extend([("s-other", "ready")].repeat(2_000));
            later.answer(&changes(3, &endpoints));
            earlier.answer(&changes(2, &[("s-1", "draining")]));
            // The next call is not answered.
            client.drain_forwarded("s-2", MAX_FORWARDING_DELAY).await
        });
        if forwarded.is_none() {
            missed.push(later_on);
        }
    }
    assert!(
        missed.is_empty(),
        "the drain in the later answer was not forwarded; later answer on {missed:?}"
    );
}

// Guards against the older of two answers that reverts a drain announced by the newer answer.
#[test]
fn older_answer_on_other_watch_does_not_revert_drain() {
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
            assert_eq!(old.path, renewal.path, "the second call is not a renewal");
            let answer = |call: &PendingCall, watch: Watch| match watch == later_on {
                true => call.answer(&changes(3, &[("s-1", "draining")])),
                false => call.answer(&changes(2, &[("s-1", "ready")])),
            };
            let mut watches = [(&old, Watch::Old), (&renewal, Watch::Renewal)];
            watches.sort_by_key(|(_, watch)| *watch != written_first);
            watches
                .iter()
                .for_each(|(call, watch)| answer(call, *watch));
            let deadline = Instant::now() + MAX_FORWARDING_DELAY;
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
                        "version {} reverts the drain; later answer on {later_on:?}, {written_first:?} written first",
                        list.version
                    );
                    drained |= !ready;
                }
            }
        });
    }
}
