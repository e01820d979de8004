//! Configuration file of a node in the platform's format.

use crate::scenario::{Idempotency, Scenario};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Microseconds per second; the configuration gives times in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the configuration of the node at position `index`, with discovery at `discovery`.
pub(crate) fn config(index: usize, scenario: &Scenario, seed: u64, discovery: SocketAddr) -> Value {
    let fleet = &scenario.fleet;
    let us = |seconds: f64| (seconds * MICROS_PER_SECOND) as u64;
    let classes: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| {
            let idempotency = match class.idempotency {
                Idempotency::Idempotent => "safe",
                Idempotency::Keyed => "keyed",
                Idempotency::NonIdempotent => "unsafe",
            };
            json!({
                "name": class.name, "effect": idempotency, "dedup_scope": "all", "worth": class.priority_weight.get(),
                "promise_us": us(class.latency_objective_ms.get() / 1e3), "hard_limit_us": us(class.deadline_ms.get() / 1e3),
                "repeat_window_us": us(class.repeat_window_s.get()), "late_value": 0.0,
            })
        })
        .collect();
    json!({
        "name": format!("n{index}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", crate::plan::mix(seed ^ index as u64)),
        "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": fleet.zones[index % fleet.zones.len()], "zones": fleet.zones, "balancers": fleet.nodes,
            "membership_mode": "subscribe", "weights": "cores", "orgs": [], "lanes": classes,
            "family_info": {"mode": "through"},
            "report": {"fields": if fleet.reports { "inflight,queue,util" } else { "" }},
            "limits": {
                "connect_timeout_us": 250_000, "keepalive_us": us(fleet.idle_close_s.get()), "most_tries": 6,
                "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000, "second_copies": true,
                "probing": false,
            },
            "safety": {
                "cold_share": fleet.cold_share.get(), "warm_within_us": us(fleet.warm_s.get()),
                "fall_multiple": fleet.overload_factor.get(), "fall_us": us(fleet.overload_window_s.get()),
            },
        },
    })
}
