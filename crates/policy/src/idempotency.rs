//! Idempotency rules: whether a request that may have run already may be sent again.
//!
//! An idempotent request may always be sent again, a non-idempotent request never. A keyed request
//! may be sent again only to endpoints in its scope, which discard repeats, and only within its
//! window from each attempt that may have run.

use crate::api::{DeduplicationScope, Endpoint, Idempotency, Timestamp};
use crate::pending::PendingRequest;
use std::time::Duration;

/// Checks whether an attempt at this endpoint may be sent now.
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

/// Returns the remaining time in which endpoints discard a repeat of the request; `Duration::MAX`
/// if no repeat needs to be discarded.
pub(crate) fn remaining_deduplication_time(
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

/// Checks whether the client may send the request again, to any node. A request may be shed only if
/// its client may send it again.
pub(crate) fn client_may_retry(idempotency: Idempotency, pending: &PendingRequest) -> bool {
    let repeat_is_safe = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All,
    };
    repeat_is_safe || pending.may_have_run().next().is_none()
}

fn shares_scope(scope: DeduplicationScope, earlier: &Endpoint, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.zone == endpoint.zone,
        DeduplicationScope::Cell => earlier.cell == endpoint.cell,
    }
}
