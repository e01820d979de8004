//! Test of many nodes that lose their watches at the same time.

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

/// Numbers of nodes, each with the duration of a call in discovery. Measured with 6 and 300 nodes;
/// the value for 300 nodes is also used for 350.
const FLEETS: [(u64, Duration); 3] = [
    (6, Duration::from_millis(350)),
    (300, Duration::from_micros(13_600)),
    (350, Duration::from_micros(13_600)),
];

/// A discovery that handles calls one after the other, and immediately refuses calls that would
/// wait longer than `QUEUE_LIMIT`.
struct QueuingDiscovery {
    address: SocketAddr,
    /// Notified once to reset all open calls. Each later call is answered with a new version when
    /// it leaves the queue.
    reset: Rc<Notify>,
    /// Number of refused calls.
    refused: Rc<Cell<u32>>,
}

impl QueuingDiscovery {
    /// Starts a discovery that takes `call_duration` for each call.
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
    let mut queue_empty_at = Instant::now();
    loop {
        tokio::select! {
            () = reset.notified() => {
                was_reset = true;
                open.drain(..).for_each(|call| call.reset());
                queue_empty_at = Instant::now();
            }
            call = calls.recv() => {
                let Some(call) = call else { return };
                if !was_reset {
                    open.push(call);
                    continue;
                }
                let now = Instant::now();
                queue_empty_at = queue_empty_at.max(now);
                if queue_empty_at - now > QUEUE_LIMIT {
                    refused.set(refused.get() + 1);
                    call.refuse();
                    continue;
                }
                queue_empty_at += call_duration;
                spawn_local(answer_at(queue_empty_at, call));
            }
        }
    }
}

async fn answer_at(processed_at: Instant, call: PendingCall) {
    sleep_until(processed_at).await;
    if call.path.contains("after=1&") {
        call.answer(&changes(2, &[("s-1", "draining")]));
        return;
    }
    // The node already holds the newest version, so the call waits as a watch.
    sleep(wait_of(&call.path)).await;
    if call.is_open() {
        call.answer(&changes(2, &[]));
    }
}

/// Returns the times from the loss of the watches to the arrival of the new list at each node, in
/// ascending order.
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
        let mut arrivals = Vec::new();
        for client in &mut fleet {
            arrivals.push(client.list_forwarded(2).await - lost_at);
        }
        arrivals.sort_unstable();
        println!(
            "{nodes} nodes: {} calls refused, median arrival {:?}, last arrival {:?}",
            discovery.refused.get(),
            arrivals[arrivals.len() / 2],
            arrivals[arrivals.len() - 1]
        );
        arrivals
    })
}

// Guards against a fleet that loses all watches at once and then makes more calls than discovery
// can answer before the nodes are notified.
#[test]
fn fleet_that_loses_all_watches_receives_list_before_it_is_notified() {
    let mut late = Vec::new();
    for (nodes, call_duration) in FLEETS {
        let arrivals = list_arrivals(nodes, call_duration);
        let late_nodes = arrivals
            .iter()
            .filter(|elapsed| **elapsed >= NOTIFIED_AFTER_FAILED_CALL)
            .count();
        if late_nodes > 0 {
            late.push((nodes, late_nodes, arrivals[arrivals.len() - 1]));
        }
    }
    assert!(
        late.is_empty(),
        "the list did not reach all nodes within {NOTIFIED_AFTER_FAILED_CALL:?} (nodes, late nodes, last arrival): {late:?}"
    );
}
