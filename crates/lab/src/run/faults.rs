//! Application and reversal of scheduled faults of servers and discovery.

use crate::discovery::DiscoveryStandIn;
use crate::list_protocol::Availability;
use crate::record::AppliedFault;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::servers::{CacheServers, ServerMode};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// Returns each fault with each server or node that it targets and its start time; a fault of
/// discovery is returned once.
pub(super) fn faults_by_target(
    scenario: &Scenario,
) -> impl Iterator<Item = (Fault, usize, Duration)> + '_ {
    scenario
        .faults
        .iter()
        .map(toml::Spanned::get_ref)
        .flat_map(|fault| {
            let targets = match fault.kind {
                kind if kind.targets_servers() => fault.target_servers(&scenario.fleet),
                kind if kind.targets_nodes() => fault.nodes.clone(),
                _ => vec![0],
            };
            let interval = fault.interval_s.get();
            targets
                .into_iter()
                .enumerate()
                .map(move |(position, target)| {
                    (
                        fault.clone(),
                        target,
                        Duration::from_secs_f64(fault.at_s.get() + interval * position as f64),
                    )
                })
        })
}

/// Starts a task for each fault of servers and discovery; start times count from now.
pub(super) fn schedule_faults(
    scenario: &Scenario,
    cache_servers: &Rc<CacheServers>,
    discovery_stand_in: &Rc<DiscoveryStandIn>,
) {
    let load_start = Instant::now();
    let mut next_spare = scenario.fleet.servers;
    for (fault, server, at) in faults_by_target(scenario) {
        let replacement = next_spare;
        next_spare += usize::from(fault.kind == FaultKind::Replace);
        let duration = fault
            .for_s
            .map(|seconds| Duration::from_secs_f64(seconds.get()));
        let from = (load_start + at)
            .saturating_duration_since(cache_servers.start)
            .as_micros() as u64;
        let until = duration.map(|duration| from + duration.as_micros() as u64);
        let applied = AppliedFault {
            kind: fault.kind,
            from,
            until,
            target: server,
        };
        cache_servers.record.borrow_mut().faults.push(applied);
        if fault.kind.targets_nodes() {
            continue;
        }
        let (cache_servers, discovery_stand_in) =
            (cache_servers.clone(), discovery_stand_in.clone());
        spawn_local(async move {
            sleep_until((load_start + at).into()).await;
            tracing::info!(kind = ?fault.kind, whom = server, "fault begins");
            apply(
                &fault,
                server,
                replacement,
                &cache_servers,
                &discovery_stand_in,
            );
            if let Some(duration) = duration {
                sleep(duration).await;
                tracing::info!(kind = ?fault.kind, whom = server, "fault ends");
                revert(&fault, server, &cache_servers, &discovery_stand_in);
            }
            if let Some(return_delay) = fault
                .return_delay_s
                .filter(|_| fault.kind == FaultKind::Drain)
            {
                sleep(Duration::from_secs_f64(return_delay.get())).await;
                cache_servers.set_mode(server, ServerMode::Healthy);
                discovery_stand_in.change(server, Availability::Ready, unix_ms());
            }
        });
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

fn apply(
    fault: &Fault,
    server: usize,
    replacement: usize,
    cache_servers: &Rc<CacheServers>,
    discovery_stand_in: &Rc<DiscoveryStandIn>,
) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        FaultKind::Kill => {
            cache_servers.set_mode(server, ServerMode::Down);
            discovery_stand_in.change(server, Availability::Removed, 0);
        }
        FaultKind::Hang => cache_servers.set_mode(server, ServerMode::Hang),
        FaultKind::Slow => cache_servers.cluster.borrow_mut().set_slowdown(server, by),
        FaultKind::Reset => cache_servers.set_mode(server, ServerMode::Reset),
        FaultKind::Truncate => cache_servers.set_mode(server, ServerMode::Truncate),
        FaultKind::Garbage => cache_servers.set_mode(server, ServerMode::Garbage),
        FaultKind::Refuse => cache_servers.set_mode(server, ServerMode::Refuse),
        FaultKind::Partition => cache_servers.set_mode(server, ServerMode::Partitioned),
        FaultKind::Drain => discovery_stand_in.change(server, Availability::Draining, 0),
        FaultKind::Replace => {
            cache_servers.set_mode(server, ServerMode::Down);
            cache_servers.set_mode(replacement, ServerMode::Down);
            cache_servers.set_mode(replacement, ServerMode::Healthy);
            discovery_stand_in.change(server, Availability::Removed, 0);
            discovery_stand_in.change(replacement, Availability::Ready, unix_ms());
        }
        FaultKind::DiscoveryDown => discovery_stand_in.set_down(true),
        FaultKind::DiscoveryRefuses => discovery_stand_in.refuses.set(true),
        FaultKind::DiscoveryLate => discovery_stand_in
            .report_delay
            .set(discovery_stand_in.report_delay.get() + Duration::from_secs_f64(by)),
        FaultKind::DiscoveryReportsAllReady => discovery_stand_in.set_reports_all_ready(true),
        FaultKind::NodeKill | FaultKind::NodeTerm | FaultKind::NodeHup => {}
    }
}

fn revert(
    fault: &Fault,
    server: usize,
    cache_servers: &Rc<CacheServers>,
    discovery_stand_in: &Rc<DiscoveryStandIn>,
) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        FaultKind::Kill => {
            cache_servers.set_mode(server, ServerMode::Healthy);
            discovery_stand_in.change(server, Availability::Ready, unix_ms());
        }
        FaultKind::Slow => cache_servers.cluster.borrow_mut().set_slowdown(server, 1.0),
        FaultKind::Hang
        | FaultKind::Reset
        | FaultKind::Truncate
        | FaultKind::Garbage
        | FaultKind::Refuse
        | FaultKind::Partition => {
            cache_servers.set_mode(server, ServerMode::Healthy);
        }
        FaultKind::Drain => {
            cache_servers.set_mode(server, ServerMode::Down);
            discovery_stand_in.change(server, Availability::Removed, 0);
        }
        FaultKind::DiscoveryDown => discovery_stand_in.set_down(false),
        FaultKind::DiscoveryRefuses => discovery_stand_in.refuses.set(false),
        FaultKind::DiscoveryLate => {
            discovery_stand_in.report_delay.set(
                discovery_stand_in
                    .report_delay
                    .get()
                    .saturating_sub(Duration::from_secs_f64(by)),
            );
        }
        FaultKind::DiscoveryReportsAllReady => discovery_stand_in.set_reports_all_ready(false),
        FaultKind::Replace | FaultKind::NodeKill | FaultKind::NodeTerm | FaultKind::NodeHup => {}
    }
}
