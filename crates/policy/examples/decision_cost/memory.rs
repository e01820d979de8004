//! Resident memory of balancers.

use crate::cases::{filled, fleet, settings};
use crate::ENDPOINTS;

/// Balancers over which resident memory is averaged: so many endpoints in all, one balancer at least.
const MEMORY_ENDPOINTS: usize = 20_000;

/// Resident memory of a balancer and of the list it was given, in bytes, for each number of endpoints; names are its
/// own. All of them are kept to the end: freed memory would be used again and not show.
pub fn resident_bytes() -> Vec<f64> {
    let mut kept = Vec::new();
    let mut measure = |endpoints: &usize| {
        let count = (MEMORY_ENDPOINTS / endpoints).max(1);
        let before = resident();
        kept.extend((0..count).map(|_| filled(settings(), fleet(*endpoints))));
        (resident() - before) / count as f64
    };
    ENDPOINTS.iter().map(&mut measure).collect()
}

/// Resident memory of this process, in bytes; zero where the system does not tell.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kib| kib.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
