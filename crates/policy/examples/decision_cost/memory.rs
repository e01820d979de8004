//! Resident memory of balancers.

use crate::cases::{balancer_with_endpoints, fleet, settings};
use crate::ENDPOINTS;

/// Total number of endpoints of the balancers over which resident memory is averaged; at least one
/// balancer is measured.
const TOTAL_ENDPOINTS: usize = 20_000;

/// Returns the resident memory of a balancer with its endpoint list and endpoint names, in bytes,
/// for each number of endpoints. All balancers are kept until the end: freed memory would be reused
/// and the growth would not be measured.
pub fn resident_bytes() -> Vec<f64> {
    let mut kept = Vec::new();
    let mut measure = |endpoints: &usize| {
        let count = (TOTAL_ENDPOINTS / endpoints).max(1);
        let before = process_resident_bytes();
        kept.extend((0..count).map(|_| balancer_with_endpoints(settings(), fleet(*endpoints))));
        (process_resident_bytes() - before) / count as f64
    };
    ENDPOINTS.iter().map(&mut measure).collect()
}

/// Returns the resident memory of this process in bytes; 0 if it is not available.
fn process_resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kib| kib.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
