//! Outlier detection: whether a target fails more than the others do.
//!
//! The textbook's detector ejects hosts up to a percentage of the fleet. Here a closed breaker
//! opens only where its target fails and the others do not: many that fail together have a common
//! cause, and to eject them would push their keys onto the rest, which lacks them.

use crate::api::Timestamp;
use crate::breaker::{CircuitBreaker, WindowCounts, MIN_CALLS, OPENING_FAILURE_RATE};
use crate::endpoint_table::{EndpointState, EndpointTable};

/// Failure rate of the other endpoints from which on the cause is taken to be common to all.
pub(crate) const COMMON_FAILURE_RATE: f64 = OPENING_FAILURE_RATE / 2.0;

/// Whether the other endpoints fail less than the one at `index`; true where they had too few calls
/// to tell.
pub(crate) fn endpoint_is_outlier(table: &EndpointTable, index: usize, now: Timestamp) -> bool {
    let others = counts_of_others(table, index, now, |endpoint| &endpoint.breaker);
    others.calls < MIN_CALLS || others.failure_rate_below(COMMON_FAILURE_RATE)
}

/// Whether other endpoints take a class better than the one at `index` does; false where none had a
/// call of it. Where most reject it, no other endpoint would be a better one.
pub(crate) fn class_is_outlier(
    table: &EndpointTable,
    index: usize,
    class: usize,
    now: Timestamp,
) -> bool {
    let others = counts_of_others(table, index, now, |endpoint| {
        &endpoint.class_breakers[class]
    });
    others.failure_rate_below(OPENING_FAILURE_RATE)
}

fn counts_of_others<B>(
    table: &EndpointTable,
    index: usize,
    now: Timestamp,
    breaker_of: B,
) -> WindowCounts
where
    B: Fn(&EndpointState) -> &CircuitBreaker,
{
    let hash = table[index].hash;
    table
        .iter()
        .filter(|other| other.hash != hash)
        .filter_map(|other| breaker_of(other).recent_counts(now))
        .fold(WindowCounts::default(), |sum, counts| sum + counts)
}
