//! Tests of the lease.

use crate::common::{answer_now, ms, update, LEASE};
use crate::{watch, THREE_READY};
use slatelink_membership::{Answer, Replica, Unavailable, UpstreamCall, Version};

// Guards against an outdated list that is served as a current list, and against answers before the
// first list.
#[test]
fn clients_receive_error_without_list_and_after_lease_expires() {
    let mut replica = Replica::new(LEASE);
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    assert_eq!(
        answer_now(&mut replica, None, ms(0)),
        Err(Unavailable::NoList)
    );
    replica
        .apply(
            UpstreamCall::Snapshot,
            update(3, true, &THREE_READY),
            ms(50),
            ms(100),
        )
        .unwrap();
    let end = ms(100) + LEASE;
    assert_eq!(replica.lease_expires_at(), Some(end));
    assert_eq!(answer_now(&mut replica, None, end), Ok(Answer::Snapshot));
    let late = end + ms(1);
    for after in [None, Some(1), Some(3), Some(9)] {
        let since_renewal = LEASE + ms(1);
        assert_eq!(
            answer_now(&mut replica, after, late),
            Err(Unavailable::LeaseExpired {
                since_renewal,
                lease: LEASE
            })
        );
    }
    // An update without changes renews the lease.
    let outcome = replica
        .apply(watch(3), update(3, false, &[]), late, late)
        .unwrap();
    assert!(!outcome.changed);
    assert_eq!(
        answer_now(&mut replica, Some(3), late),
        Ok(Answer::DeltaSince(Version(3)))
    );
}
