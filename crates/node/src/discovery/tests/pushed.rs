//! Tests of pushed lists: discovery pushes the lists to an agent that serves only this node, and
//! the node is immediately notified of the agent's list.

use super::fake_discovery::{Reply, ScriptedDiscovery};
use super::harness::{run_in_virtual_time, PolicyBackoff, TestClient};
use crate::discovery::timing::PUSHED_BACKOFF_DRAIN_GRACE_FRACTION;
use slatelink_policy::Settings;
use slatelink_telemetry::Log;
use std::net::SocketAddr;
use std::time::Duration;

fn start_client(address: SocketAddr, seed: u64, settings: &Settings, log: &Log) -> TestClient {
    TestClient::start_with(address, seed, settings, PolicyBackoff::Longest, log)
}

// Guards against a node that has no open watch at the agent.
#[test]
fn lost_watch_at_agent_is_reopened_at_once() {
    run_in_virtual_time(async |log| {
        let discovery = ScriptedDiscovery::start(|call, _| match call {
            0 => Reply::List(2),
            1 | 3 | 4 => Reply::Reset,
            5 => Reply::Refused,
            2 => Reply::List(3),
            6 => Reply::List(4),
            _ => Reply::Nothing,
        })
        .await;
        let settings = Settings {
            polls_discovery: false,
            ..Settings::default()
        };
        let mut client = start_client(discovery.address, 1, &settings, &log);
        client.list_forwarded(2).await;
        client.list_forwarded(4).await;
        let calls = discovery.calls.borrow();
        assert!(
            calls.iter().all(|call| call.path.contains("after=")),
            "{calls:?}"
        );
        let pauses: Vec<_> = calls
            .windows(2)
            .map(|pair| pair[1].at - pair[0].at)
            .collect();
        assert!(
            pauses
                .iter()
                .all(|pause| *pause < Duration::from_millis(250)),
            "{pauses:?}"
        );
        let shortest = settings
            .drain_grace
            .mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION)
            / 2;
        assert!(
            pauses[4] >= shortest,
            "calls to a failing agent follow too quickly: {pauses:?}"
        );
    });
}

// Guards against a fixed backoff in place of a backoff derived from the configured `drain_grace`,
// which may be as short as the shortest value below.
#[test]
fn failing_agent_is_called_again_within_drain_grace() {
    for grace in [60, 250, 1_000].map(Duration::from_millis) {
        for seed in 0..4 {
            let pauses = run_in_virtual_time(async |log| {
                let discovery = ScriptedDiscovery::start(|_, _| Reply::Reset).await;
                let settings = Settings {
                    polls_discovery: false,
                    drain_grace: grace,
                    ..Settings::default()
                };
                let _client = start_client(discovery.address, seed, &settings, &log);
                discovery.received(18).await;
                let calls = discovery.calls.borrow();
                // The pause after the first call is left out: the first failure has no backoff.
                calls[1..]
                    .windows(2)
                    .map(|pair| pair[1].at - pair[0].at)
                    .collect::<Vec<_>>()
            });
            assert!(
                pauses.iter().all(|pause| *pause <= grace),
                "pauses {pauses:?} exceed the drain grace {grace:?}"
            );
            let total: Duration = pauses.iter().sum();
            let shortest = grace.mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION / 2.0);
            assert!(
                total >= shortest * pauses.len() as u32,
                "calls to a failing agent follow too quickly: {pauses:?}, drain grace {grace:?}"
            );
        }
    }
}
