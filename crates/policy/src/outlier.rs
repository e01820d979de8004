//! Outlier detection: checks whether a target fails more often than the other targets.
//!
//! The usual detector ejects hosts up to a percentage of the fleet. Here a closed breaker opens
//! only if its target fails and the other targets do not. Targets that fail together have a common
//! cause, and their ejection would move their keys to endpoints that have not cached the keys.

use crate::api::Timestamp;
use crate::breaker::{CircuitBreaker, WindowCounts, MIN_CALLS, OPENING_FAILURE_RATE};
use crate::endpoint_table::{EndpointState, EndpointTable};

/// Failure rate of the other endpoints from which the cause is assumed to be common to all.
pub(crate) const COMMON_FAILURE_RATE: f64 = OPENING_FAILURE_RATE / 2.0;

/// Checks whether the failure rate of all endpoints except the one at `index` is below
/// [`COMMON_FAILURE_RATE`]. Returns true if the other endpoints had fewer than [`MIN_CALLS`] calls,
/// too few for a meaningful failure rate.
pub(crate) fn endpoint_is_outlier(table: &EndpointTable, index: usize, now: Timestamp) -> bool {
    let others = counts_of_others(table, index, now, |endpoint| &endpoint.breaker);
    others.calls < MIN_CALLS || others.failure_rate_below(COMMON_FAILURE_RATE)
}

/// Checks whether other endpoints accept a class that the endpoint at `index` rejects. Returns
/// false if no other endpoint had a call of the class. If most endpoints reject the class, another
/// endpoint would be no better choice.
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
