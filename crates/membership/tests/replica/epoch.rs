//! Tests of epochs of upstream's versions.

use crate::common::{answer_now, ms, replica_holding, update};
use crate::{watch, THREE_READY};
use slatelink_membership::{
    Answer, ListQuery, RejectedUpdate, UpstreamCall, Version, EPOCH_AMBIGUITY_WINDOW,
};

// Guards against removed endpoints that an old delta restores, and against deltas between versions
// of different epochs.
#[test]
fn clients_receive_snapshots_only_while_their_version_is_ambiguous() {
    let mut replica = replica_holding(50, &THREE_READY);
    let regressed = replica.apply(watch(50), update(4, false, &[("a", "ready")]), ms(0), ms(0));
    assert_eq!(
        regressed,
        Err(RejectedUpdate::VersionRegressed {
            held: Version(50),
            received: Version(4)
        })
    );
    assert_eq!(
        replica.version(),
        Some(Version(50)),
        "the rejected delta is not applied"
    );
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    let now = ms(1000);
    let outcome = replica
        .apply(
            UpstreamCall::Snapshot,
            update(4, true, &THREE_READY),
            now,
            now,
        )
        .unwrap();
    assert!(outcome.new_epoch && outcome.changed);
    assert_eq!(replica.epochs(), 2);
    // A watch that was open when the versions regressed is answered, whatever its version.
    let waiting = ListQuery {
        after: Some(Version(4)),
        received_at: ms(999),
        wait_expired: false,
    };
    assert_eq!(replica.answer(waiting, now), Ok(Answer::Snapshot));
    // A watch that was received in the current epoch waits.
    let current = ListQuery {
        after: Some(Version(4)),
        received_at: now,
        wait_expired: false,
    };
    assert_eq!(replica.answer(current, now), Ok(Answer::Wait));
    replica
        .apply(watch(4), update(5, false, &[("a", "gone")]), now, now)
        .unwrap();
    for version in [3, 4, 5, 49, 50] {
        assert_eq!(
            answer_now(&mut replica, Some(version), now),
            Ok(Answer::Snapshot),
            "{version}"
        );
    }
    // After the window every client has received an answer of this epoch.
    let later = now + EPOCH_AMBIGUITY_WINDOW + ms(1);
    replica
        .apply(watch(5), update(5, false, &[]), later, later)
        .unwrap();
    assert_eq!(
        answer_now(&mut replica, Some(4), later),
        Ok(Answer::DeltaSince(Version(4)))
    );
}

// Guards against a version that upstream reuses for another list: a client with the first list
// would never receive the second list.
#[test]
fn version_reused_for_another_list_begins_an_epoch() {
    let mut replica = replica_holding(7, &THREE_READY);
    let reused = replica.apply(
        watch(7),
        update(7, false, &[("a", "draining")]),
        ms(0),
        ms(0),
    );
    assert!(
        matches!(reused, Err(RejectedUpdate::VersionRegressed { .. })),
        "{reused:?}"
    );
    let other_endpoints = [("a", "draining"), ("b", "ready"), ("c", "ready")];
    let outcome = replica
        .apply(
            UpstreamCall::Snapshot,
            update(7, true, &other_endpoints),
            ms(5),
            ms(5),
        )
        .unwrap();
    assert!(outcome.new_epoch && outcome.changed);
    let waiting = ListQuery {
        after: Some(Version(7)),
        received_at: ms(1),
        wait_expired: false,
    };
    assert_eq!(replica.answer(waiting, ms(5)), Ok(Answer::Snapshot));
}
