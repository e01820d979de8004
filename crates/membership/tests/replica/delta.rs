//! Tests of deltas to clients and of the history from which they are built.

use crate::common::{answer_now, ms, owned_pairs, replica_holding, update, LEASE};
use crate::{message_parts, watch, THREE_READY};
use slatelink_membership::{
    Answer, ApplyOutcome, Replica, UpstreamCall, Version, MAX_HISTORY_BYTES,
};

// Guards against deltas that repeat an endpoint, lack a removed endpoint, or start at a version
// other than the client's version.
#[test]
fn delta_contains_latest_record_of_each_changed_endpoint() {
    let mut replica = replica_holding(1, &THREE_READY);
    let changes = [
        (2, ("b", "draining")),
        (3, ("b", "gone")),
        (4, ("c", "draining")),
    ];
    for (version, change) in changes {
        let call = replica.next_call();
        assert_eq!(call, watch(version - 1));
        let outcome = replica.apply(call, update(version, false, &[change]), ms(1), ms(1));
        assert_eq!(
            outcome,
            Ok(ApplyOutcome {
                changed: true,
                new_epoch: false,
                duplicates: 0
            })
        );
    }
    let mut since = |version| {
        let answer = answer_now(&mut replica, Some(version), ms(1)).unwrap();
        message_parts(&replica, answer)
    };
    assert_eq!(
        since(1),
        (4, false, owned_pairs(&[("b", "gone"), ("c", "draining")]))
    );
    assert_eq!(
        since(2),
        (4, false, owned_pairs(&[("b", "gone"), ("c", "draining")]))
    );
    assert_eq!(since(3), (4, false, owned_pairs(&[("c", "draining")])));
    assert_eq!(since(4), (4, false, vec![]));
    assert_eq!(answer_now(&mut replica, None, ms(1)), Ok(Answer::Snapshot));
    assert_eq!(
        message_parts(&replica, Answer::Snapshot),
        (4, true, owned_pairs(&[("a", "ready"), ("c", "draining")]))
    );
}

// Guards against a delta from a skipped version, whose intermediate states are not known.
#[test]
fn client_with_version_that_was_never_held_receives_snapshot() {
    let mut replica = replica_holding(5, &THREE_READY);
    replica
        .apply(
            watch(5),
            update(9, false, &[("a", "draining")]),
            ms(0),
            ms(0),
        )
        .unwrap();
    for version in [4, 6, 8] {
        assert_eq!(
            answer_now(&mut replica, Some(version), ms(0)),
            Ok(Answer::Snapshot),
            "{version}"
        );
    }
    assert_eq!(
        answer_now(&mut replica, Some(5), ms(0)),
        Ok(Answer::DeltaSince(Version(5)))
    );
}

// Guards against clients that keep endpoints which a snapshot from upstream no longer contains.
#[test]
fn upstream_snapshot_is_forwarded_as_delta() {
    let mut replica = replica_holding(1, &THREE_READY);
    let snapshot = update(
        4,
        true,
        &[("a", "ready"), ("c", "draining"), ("d", "ready")],
    );
    replica.apply(watch(1), snapshot, ms(0), ms(0)).unwrap();
    let answer = answer_now(&mut replica, Some(1), ms(0)).unwrap();
    let (version, complete, mut records) = message_parts(&replica, answer);
    records.sort();
    assert_eq!((version, complete), (4, false));
    assert_eq!(
        records,
        owned_pairs(&[("b", "gone"), ("c", "draining"), ("d", "ready")])
    );
}

// Guards against memory that grows with every change, and against a client with a version older
// than the history that misses changes.
#[test]
fn history_is_bounded_and_client_older_than_history_receives_snapshot() {
    let mut replica = replica_holding(1, &THREE_READY);
    let padding = "x".repeat(MAX_HISTORY_BYTES / 8);
    for version in 2..40 {
        let host = format!("{version}-{padding}");
        replica
            .apply(
                watch(version - 1),
                update(version, false, &[(&host, "ready")]),
                ms(0),
                ms(0),
            )
            .unwrap();
        assert!(
            replica.history_bytes() <= MAX_HISTORY_BYTES,
            "{}",
            replica.history_bytes()
        );
    }
    assert_eq!(
        answer_now(&mut replica, Some(2), ms(0)),
        Ok(Answer::Snapshot)
    );
    assert_eq!(
        answer_now(&mut replica, Some(38), ms(0)),
        Ok(Answer::DeltaSince(Version(38)))
    );
}

// Guards against two records of the same endpoint in an answer: a client might apply either record.
#[test]
fn last_of_duplicate_records_is_applied() {
    let mut replica = Replica::new(LEASE);
    let twice = [("a", "ready"), ("b", "ready"), ("a", "draining")];
    let outcome = replica
        .apply(
            UpstreamCall::Snapshot,
            update(1, true, &twice),
            ms(0),
            ms(0),
        )
        .unwrap();
    assert_eq!((outcome.duplicates, replica.endpoint_count()), (1, 2));
    assert_eq!(
        message_parts(&replica, Answer::Snapshot).2,
        owned_pairs(&[("a", "draining"), ("b", "ready")])
    );
    let delta = update(2, false, &[("b", "draining"), ("b", "gone")]);
    let outcome = replica.apply(watch(1), delta, ms(0), ms(0)).unwrap();
    assert_eq!((outcome.duplicates, replica.endpoint_count()), (1, 1));
    let answer = answer_now(&mut replica, Some(1), ms(0)).unwrap();
    assert_eq!(
        message_parts(&replica, answer).2,
        owned_pairs(&[("b", "gone")])
    );
}
