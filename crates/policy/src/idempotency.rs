//! Idempotency rules: whether a request that may have run already may be run again.
//!
//! An idempotent request may be, a non-idempotent one never. A keyed one may be sent again where
//! endpoints discard a repeat (its scope) and while they do (its window, from each attempt that may
//! have run).

use crate::api::{DeduplicationScope, Endpoint, Idempotency, Timestamp};
use crate::pending::PendingRequest;
use std::time::Duration;

/// Whether an attempt at this endpoint may be sent now.
pub(crate) fn may_attempt(
    idempotency: Idempotency,
    pending: &PendingRequest,
    endpoint: &Endpoint,
    now: Timestamp,
) -> bool {
    pending.may_have_run().all(|earlier| match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            now < earlier.sent + window && shares_scope(scope, &earlier.endpoint, endpoint)
        }
    })
}

/// For how long endpoints still discard a repeat of the request; the longest time where that does
/// not matter.
pub(crate) fn deduplication_left(
    idempotency: Idempotency,
    pending: &PendingRequest,
    now: Timestamp,
) -> Duration {
    let Idempotency::Keyed { window, .. } = idempotency else {
        return Duration::MAX;
    };
    pending
        .may_have_run()
        .map(|earlier| (earlier.sent + window).since(now))
        .min()
        .unwrap_or(Duration::MAX)
}

/// Whether the client may send the request again, to any node: what a shed request must allow.
pub(crate) fn client_may_retry(idempotency: Idempotency, pending: &PendingRequest) -> bool {
    let harmless = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All,
    };
    harmless || pending.may_have_run().next().is_none()
}

fn shares_scope(scope: DeduplicationScope, earlier: &Endpoint, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.zone == endpoint.zone,
        DeduplicationScope::Cell => earlier.cell == endpoint.cell,
    }
}
