//! Tests of updates that must not be applied.

use crate::common::{answer_now, ms, replica_holding, update, LEASE};
use crate::{message_parts, watch, THREE_READY};
use slatelink_membership::{RejectedUpdate, UpstreamCall, Version, MAX_LIST_BYTES};

// Guards against an upstream fault that empties the list and takes the whole fleet out of service.
#[test]
fn snapshot_with_fewer_than_half_the_endpoints_is_applied_only_when_repeated() {
    let four = [
        ("a", "ready"),
        ("b", "ready"),
        ("c", "ready"),
        ("d", "ready"),
    ];
    for small in [&[][..], &four[..1]] {
        let mut replica = replica_holding(1, &four);
        let call = replica.next_call();
        let rejected = replica.apply(call, update(2, true, small), ms(0), ms(9));
        let shrunk = RejectedUpdate::Shrunk {
            held: Version(1),
            received: Version(2),
            held_endpoints: 4,
            endpoints: small.len(),
        };
        assert_eq!(rejected, Err(shrunk));
        assert_eq!(
            (replica.endpoint_count(), replica.lease_expires_at()),
            (4, Some(LEASE)),
            "a rejected snapshot changes neither the list nor the lease"
        );
        assert_eq!(
            replica.next_call(),
            UpstreamCall::Snapshot,
            "the snapshot is fetched again immediately"
        );
        replica
            .apply(
                UpstreamCall::Snapshot,
                update(2, true, small),
                ms(10),
                ms(10),
            )
            .unwrap();
        assert_eq!(replica.endpoint_count(), small.len());
        let answer = answer_now(&mut replica, Some(1), ms(10)).unwrap();
        assert_eq!(
            message_parts(&replica, answer).2.len(),
            4 - small.len(),
            "the delta contains the removed endpoints"
        );
    }
    let mut replica = replica_holding(1, &four);
    let half = replica.apply(watch(1), update(2, true, &four[..2]), ms(0), ms(0));
    assert!(
        half.is_ok(),
        "a snapshot with half the endpoints is rejected: {half:?}"
    );
    // A small snapshot from one upstream does not confirm a small snapshot from another upstream.
    let mut replica = replica_holding(1, &four);
    replica
        .apply(watch(1), update(2, true, &[]), ms(0), ms(0))
        .unwrap_err();
    replica.upstream_changed();
    assert_eq!(replica.next_call(), watch(1));
    replica
        .apply(watch(1), update(2, true, &[]), ms(0), ms(0))
        .unwrap_err();
}

// Guards against unbounded memory use when upstream keeps adding endpoints.
#[test]
fn update_beyond_memory_limit_is_rejected_and_removal_frees_memory() {
    let padding = "x".repeat(MAX_LIST_BYTES / 8);
    let host = |number: u64| format!("{number}-{padding}");
    let mut replica = replica_holding(1, &THREE_READY);
    let mut version = 1;
    let last = loop {
        let added = update(version + 1, false, &[(&host(version), "ready")]);
        match replica.apply(watch(version), added, ms(0), ms(version)) {
            Ok(_) => version += 1,
            Err(error) => break error,
        }
    };
    assert!(
        matches!(last, RejectedUpdate::TooLarge { bytes, .. } if bytes > MAX_LIST_BYTES),
        "{last}"
    );
    assert_eq!(replica.version(), Some(Version(version)));
    assert_eq!(
        replica.lease_expires_at(),
        Some(ms(version - 1) + LEASE),
        "a rejected update does not renew the lease"
    );
    let removal = update(
        version + 1,
        false,
        &[(&host(1), "draining"), (&host(2), "gone")],
    );
    replica
        .apply(watch(version), removal, ms(0), ms(0))
        .unwrap();
    let added = update(version + 2, false, &[(&host(version), "ready")]);
    replica
        .apply(watch(version + 1), added, ms(0), ms(0))
        .unwrap();
}
