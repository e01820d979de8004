//! Tests of clients whose version is newer than the replica's version.

use crate::common::{answer_now, ms, replica_holding, update};
use crate::{watch, THREE_READY};
use slatelink_membership::{Answer, ListQuery, RejectedUpdate, UpstreamCall, Version};

// Guards against an older list for a client that previously used a relay with a newer version, and
// against a client that receives errors forever because upstream has lost its versions.
#[test]
fn client_with_newer_version_is_answered_after_confirmation_by_upstream() {
    let mut behind = replica_holding(5, &THREE_READY);
    assert_eq!(
        answer_now(&mut behind, Some(9), ms(10)),
        Ok(Answer::Confirm)
    );
    let call = behind.next_call();
    assert_eq!(call, UpstreamCall::Confirm(Version(9)));
    // Upstream knows the version: this replica was behind and fetches the missing changes.
    let mismatch = behind.apply(call, update(9, false, &[]), ms(11), ms(12));
    assert_eq!(
        mismatch,
        Err(RejectedUpdate::BaseMismatch {
            received: Version(9)
        })
    );
    assert_eq!(
        answer_now(&mut behind, Some(9), ms(12)),
        Ok(Answer::Confirm),
        "still unconfirmed while the missing changes are fetched"
    );
    assert_eq!(behind.next_call(), watch(5));
    behind
        .apply(watch(5), update(9, false, &[("a", "gone")]), ms(13), ms(14))
        .unwrap();
    assert_eq!(
        answer_now(&mut behind, Some(9), ms(14)),
        Ok(Answer::DeltaSince(Version(9)))
    );

    let mut restarted = replica_holding(5, &THREE_READY);
    assert_eq!(
        answer_now(&mut restarted, Some(9), ms(10)),
        Ok(Answer::Confirm)
    );
    // The answer to a call that was sent before the query does not confirm the version.
    restarted
        .apply(watch(5), update(5, false, &[]), ms(9), ms(11))
        .unwrap();
    assert_eq!(
        answer_now(&mut restarted, Some(9), ms(11)),
        Ok(Answer::Confirm)
    );
    let call = restarted.next_call();
    restarted
        .apply(call, update(5, true, &THREE_READY), ms(12), ms(13))
        .unwrap();
    let query_at = |milliseconds| ListQuery {
        after: Some(Version(9)),
        received_at: ms(milliseconds),
        wait_expired: false,
    };
    assert_eq!(
        restarted.answer(query_at(10), ms(13)),
        Ok(Answer::Snapshot),
        "upstream does not know the version"
    );
    assert_eq!(
        restarted.answer(query_at(13), ms(13)),
        Ok(Answer::Confirm),
        "the query was received after the call"
    );
}

// Guards against clients that wait forever if upstream answers an unknown version with a delta.
#[test]
fn older_delta_for_newer_client_version_triggers_snapshot() {
    let mut replica = replica_holding(5, &THREE_READY);
    assert_eq!(
        answer_now(&mut replica, Some(9), ms(1)),
        Ok(Answer::Confirm)
    );
    let call = replica.next_call();
    replica
        .apply(call, update(5, false, &[]), ms(2), ms(2))
        .unwrap_err();
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    replica
        .apply(
            UpstreamCall::Snapshot,
            update(5, true, &THREE_READY),
            ms(3),
            ms(3),
        )
        .unwrap();
    let query = ListQuery {
        after: Some(Version(9)),
        received_at: ms(1),
        wait_expired: false,
    };
    assert_eq!(replica.answer(query, ms(3)), Ok(Answer::Snapshot));
}
