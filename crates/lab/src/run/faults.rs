//! The faults of servers and discovery, set and lifted on the time line.

use crate::discovery::Directory;
use crate::scenario::{Fault, Kind, Scenario};
use crate::servers::{Floor, ServerMode};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// Each fault with each server or node that it strikes, and when; faults of discovery once.
pub(super) fn struck(scenario: &Scenario) -> impl Iterator<Item = (Fault, usize, Duration)> + '_ {
    scenario.faults.iter().map(toml::Spanned::get_ref).flat_map(|fault| {
        let whom = match fault.kind {
            kind if kind.of_servers() => fault.struck(&scenario.fleet),
            kind if kind.of_nodes() => fault.nodes.clone(),
            _ => vec![0],
        };
        let apart = fault.apart_s.get();
        whom.into_iter().enumerate().map(move |(nth, server)| {
            (fault.clone(), server, Duration::from_secs_f64(fault.at_s.get() + apart * nth as f64))
        })
    })
}

/// Sets the faults of servers and discovery going.
pub(super) fn begin(scenario: &Scenario, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let begun = Instant::now();
    let mut spare = scenario.fleet.servers;
    for (fault, server, at) in struck(scenario) {
        let new = spare;
        spare += usize::from(fault.kind == Kind::Replace);
        let long = fault.for_s.map(|long| Duration::from_secs_f64(long.get()));
        let from = (begun + at).saturating_duration_since(floor.start).as_micros() as u64;
        let until = long.map(|long| from + long.as_micros() as u64);
        floor.record.borrow_mut().faults.push((fault.kind, from, until, server));
        if fault.kind.of_nodes() {
            continue;
        }
        let (floor, directory) = (floor.clone(), directory.clone());
        spawn_local(async move {
            sleep_until((begun + at).into()).await;
            tracing::info!(kind = ?fault.kind, whom = server, "a fault begins");
            set(&fault, server, new, &floor, &directory);
            if let Some(long) = long {
                sleep(long).await;
                tracing::info!(kind = ?fault.kind, whom = server, "a fault ends");
                unset(&fault, server, &floor, &directory);
            }
            if let Some(back) = fault.back_s.filter(|_| fault.kind == Kind::Drain) {
                sleep(Duration::from_secs_f64(back.get())).await;
                floor.set_mode(server, ServerMode::Healthy);
                directory.change(server, "ready", unix_ms());
            }
        });
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn set(fault: &Fault, server: usize, new: usize, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        Kind::Kill => {
            floor.set_mode(server, ServerMode::Down);
            directory.change(server, "gone", 0);
        }
        Kind::Hang => floor.set_mode(server, ServerMode::Hang),
        Kind::Slow => floor.cluster.borrow_mut().set_slowdown(server, by),
        Kind::Reset => floor.set_mode(server, ServerMode::Reset),
        Kind::Half => floor.set_mode(server, ServerMode::Truncate),
        Kind::Garbage => floor.set_mode(server, ServerMode::Garbage),
        Kind::Refuse => floor.set_mode(server, ServerMode::Refuse),
        Kind::Cut => floor.set_mode(server, ServerMode::Partitioned),
        Kind::Drain => directory.change(server, "draining", 0),
        Kind::Replace => {
            floor.set_mode(server, ServerMode::Down);
            floor.set_mode(new, ServerMode::Down);
            floor.set_mode(new, ServerMode::Healthy);
            directory.change(server, "gone", 0);
            directory.change(new, "ready", unix_ms());
        }
        Kind::DiscoveryDown => directory.set_down(true),
        Kind::DiscoveryRefuses => directory.refuses.set(true),
        Kind::DiscoveryLate => directory.late.set(directory.late.get() + Duration::from_secs_f64(by)),
        Kind::DiscoveryLies => directory.set_lies(true),
        Kind::NodeKill | Kind::NodeTerm | Kind::NodeHup => {}
    }
}

fn unset(fault: &Fault, server: usize, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        Kind::Kill => {
            floor.set_mode(server, ServerMode::Healthy);
            directory.change(server, "ready", unix_ms());
        }
        Kind::Slow => floor.cluster.borrow_mut().set_slowdown(server, 1.0),
        Kind::Hang | Kind::Reset | Kind::Half | Kind::Garbage | Kind::Refuse | Kind::Cut => {
            floor.set_mode(server, ServerMode::Healthy);
        }
        Kind::Drain => {
            floor.set_mode(server, ServerMode::Down);
            directory.change(server, "gone", 0);
        }
        Kind::DiscoveryDown => directory.set_down(false),
        Kind::DiscoveryRefuses => directory.refuses.set(false),
        Kind::DiscoveryLate => {
            directory.late.set(directory.late.get().saturating_sub(Duration::from_secs_f64(by)));
        }
        Kind::DiscoveryLies => directory.set_lies(false),
        Kind::Replace | Kind::NodeKill | Kind::NodeTerm | Kind::NodeHup => {}
    }
}
