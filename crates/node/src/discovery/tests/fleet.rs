//! Many nodes that lose their watches together.

use super::fake_discovery::{changes, wait_of, ManualDiscovery, PendingCall};
use super::harness::{polling_settings, run_in_virtual_time, PolicyBackoff, TestClient};
use crate::discovery::notified::{NOTIFIED_AFTER_FAILED_CALL, QUEUE_LIMIT};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a call takes discovery, by the number of nodes: as measured at 6 and 300, and the latter for 350.
const FLEETS: [(u64, Duration); 3] = [
    (6, Duration::from_millis(350)),
    (300, Duration::from_micros(13_600)),
    (350, Duration::from_micros(13_600)),
];

/// A discovery that handles calls in turn and refuses at once those that would wait longer than `QUEUE_LIMIT`.
struct QueuingDiscovery {
    address: SocketAddr,
    /// Resets all open calls once. Calls after that are answered with a new version at their turn.
    reset: Rc<Notify>,
    refused: Rc<Cell<u32>>,
}

impl QueuingDiscovery {
    /// Each call takes `call_duration`.
    async fn start(call_duration: Duration) -> Self {
        let ManualDiscovery { address, calls } = ManualDiscovery::start().await;
        let reset = Rc::new(Notify::new());
        let refused: Rc<Cell<u32>> = Rc::default();
        spawn_local(serve(calls, call_duration, reset.clone(), refused.clone()));
        Self {
            address,
            reset,
            refused,
        }
    }
}

async fn serve(
    mut calls: UnboundedReceiver<PendingCall>,
    call_duration: Duration,
    reset: Rc<Notify>,
    refused: Rc<Cell<u32>>,
) {
    let mut open: Vec<PendingCall> = Vec::new();
    let mut was_reset = false;
    let mut idle_at = Instant::now();
    loop {
        tokio::select! {
            () = reset.notified() => {
                was_reset = true;
                open.drain(..).for_each(|call| call.reset());
                idle_at = Instant::now();
            }
            call = calls.recv() => {
                let Some(call) = call else { return };
                if !was_reset {
                    open.push(call);
                    continue;
                }
                let now = Instant::now();
                idle_at = idle_at.max(now);
                if idle_at - now > QUEUE_LIMIT {
                    refused.set(refused.get() + 1);
                    call.refuse();
                    continue;
                }
                idle_at += call_duration;
                spawn_local(answer_at(idle_at, call));
            }
        }
    }
}

async fn answer_at(turn: Instant, call: PendingCall) {
    sleep_until(turn).await;
    if call.path.contains("after=1&") {
        call.answer(&changes(2, &[("s-1", "draining")]));
        return;
    }
    // There is no newer version.
    sleep(wait_of(&call.path)).await;
    if call.is_open() {
        call.answer(&changes(2, &[]));
    }
}

/// How long after the loss of their watches the nodes have the new list, in ascending order.
fn list_arrivals(nodes: u64, call_duration: Duration) -> Vec<Duration> {
    run_in_virtual_time(async |log| {
        let discovery = QueuingDiscovery::start(call_duration).await;
        let settings = polling_settings();
        let backoff = PolicyBackoff::Drawn;
        let mut fleet: Vec<_> = (0..nodes)
            .map(|seed| TestClient::start_with(discovery.address, seed, &settings, backoff, &log))
            .collect();
        sleep(Duration::from_secs(3)).await;
        discovery.reset.notify_one();
        let lost_at = Instant::now();
        let mut took = Vec::new();
        for client in &mut fleet {
            took.push(client.list_forwarded(2).await - lost_at);
        }
        took.sort_unstable();
        println!(
            "{nodes} nodes: refused {}, half {:?}, last {:?}",
            discovery.refused.get(),
            took[took.len() / 2],
            took[took.len() - 1]
        );
        took
    })
}

// Guards against a fleet that has lost its watches together and makes more calls than discovery can answer until the nodes are
// notified.
#[test]
fn a_large_fleet_that_loses_its_watches_together_has_the_list_before_it_is_notified() {
    let mut late = Vec::new();
    for (nodes, call_duration) in FLEETS {
        let took = list_arrivals(nodes, call_duration);
        let missed = took
            .iter()
            .filter(|took| **took >= NOTIFIED_AFTER_FAILED_CALL)
            .count();
        if missed > 0 {
            late.push((nodes, missed, took[took.len() - 1]));
        }
    }
    assert!(
        late.is_empty(),
        "of so many nodes so many were late, the last one by then: {late:?}"
    );
}
