//! A replica of the list, one concern at a time.

mod common;

use common::{ask, holding, list, ms, pairs, words, LEASE};
use slatelink_membership::{
    Answer, ApplyOutcome, ListQuery, ListUpdate, RejectedUpdate, Replica, Unavailable,
    UpstreamCall, Version, EPOCH_AMBIGUITY_WINDOW, MAX_HISTORY_BYTES, MAX_LIST_BYTES,
};

const THREE: [(&str, &str); 3] = [("a", "ready"), ("b", "ready"), ("c", "ready")];

fn watch(version: u64) -> UpstreamCall {
    UpstreamCall::Watch(Version(version))
}

fn told(replica: &Replica, reply: Answer) -> (u64, bool, Vec<(String, String)>) {
    let list = replica.message(reply).unwrap();
    (list.version.0, list.complete, words(&list))
}

// Guards against a relay that drops or rewrites what it does not know.
#[test]
fn entries_are_passed_on_byte_for_byte() {
    let text =
        br#"{"seq":7,"whole":true,"hosts":[{"host":"a","health":"odd","share":1.0,"later":{"x": [1]}}]}"#;
    let read = ListUpdate::parse(text).unwrap();
    assert_eq!(read.encode().unwrap(), text);
    let mut replica = Replica::new(LEASE);
    replica
        .apply(UpstreamCall::Snapshot, read, ms(0), ms(0))
        .unwrap();
    assert_eq!(
        replica.message(Answer::Snapshot).unwrap().encode().unwrap(),
        text
    );
}

// Guards against a message that is half read: nothing of it may be applied.
#[test]
fn what_is_no_list_is_refused_with_its_place() {
    let error = ListUpdate::parse(
        br#"{"seq":7,"whole":true,"hosts":[{"host":"a","health":"ready"},{"host":"b"}]}"#,
    );
    let text = error.unwrap_err().to_string();
    assert!(
        text.starts_with("entry 1 of list 7 has no name or no health: missing field `health`"),
        "{text}"
    );
    assert!(ListUpdate::parse(b"{\"seq\":-1}")
        .unwrap_err()
        .to_string()
        .starts_with("not a list: "));
}

// Guards against deltas that repeat a server, leave out one that is gone, or begin at another version than the caller's.
#[test]
fn a_caller_gets_the_newest_state_of_what_changed_since_its_version() {
    let mut replica = holding(1, &THREE);
    let changes = [
        (2, ("b", "draining")),
        (3, ("b", "gone")),
        (4, ("c", "draining")),
    ];
    for (version, change) in changes {
        let call = replica.next_call();
        assert_eq!(call, watch(version - 1));
        let applied = replica.apply(call, list(version, false, &[change]), ms(1), ms(1));
        assert_eq!(
            applied,
            Ok(ApplyOutcome {
                changed: true,
                new_epoch: false,
                duplicates: 0
            })
        );
    }
    let mut since = |version| {
        let reply = ask(&mut replica, Some(version), ms(1)).unwrap();
        told(&replica, reply)
    };
    assert_eq!(
        since(1),
        (4, false, pairs(&[("b", "gone"), ("c", "draining")]))
    );
    assert_eq!(
        since(2),
        (4, false, pairs(&[("b", "gone"), ("c", "draining")]))
    );
    assert_eq!(since(3), (4, false, pairs(&[("c", "draining")])));
    assert_eq!(since(4), (4, false, vec![]));
    assert_eq!(ask(&mut replica, None, ms(1)), Ok(Answer::Snapshot));
    assert_eq!(
        told(&replica, Answer::Snapshot),
        (4, true, pairs(&[("a", "ready"), ("c", "draining")]))
    );
}

// Guards against a delta for a version that was jumped over: what came and went in between is not known.
#[test]
fn a_version_that_was_never_held_gets_the_whole_list() {
    let mut replica = holding(5, &THREE);
    replica
        .apply(watch(5), list(9, false, &[("a", "draining")]), ms(0), ms(0))
        .unwrap();
    for version in [4, 6, 8] {
        assert_eq!(
            ask(&mut replica, Some(version), ms(0)),
            Ok(Answer::Snapshot),
            "{version}"
        );
    }
    assert_eq!(
        ask(&mut replica, Some(5), ms(0)),
        Ok(Answer::DeltaSince(Version(5)))
    );
}

// Guards against a whole list that brings back, or does not take away, what it lacks.
#[test]
fn a_whole_list_is_told_as_its_difference() {
    let mut replica = holding(1, &THREE);
    let complete = list(
        4,
        true,
        &[("a", "ready"), ("c", "draining"), ("d", "ready")],
    );
    replica.apply(watch(1), complete, ms(0), ms(0)).unwrap();
    let reply = ask(&mut replica, Some(1), ms(0)).unwrap();
    let (version, complete, mut records) = told(&replica, reply);
    records.sort();
    assert_eq!((version, complete), (4, false));
    assert_eq!(
        records,
        pairs(&[("b", "gone"), ("c", "draining"), ("d", "ready")])
    );
}

// Guards against memory that grows with every change, and against a caller behind the bound that misses some.
#[test]
fn changes_are_kept_within_their_bound_and_who_is_behind_gets_the_whole_list() {
    let mut replica = holding(1, &THREE);
    let padding = "x".repeat(MAX_HISTORY_BYTES / 8);
    for version in 2..40 {
        let host = format!("{version}-{padding}");
        replica
            .apply(
                watch(version - 1),
                list(version, false, &[(&host, "ready")]),
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
    assert_eq!(ask(&mut replica, Some(2), ms(0)), Ok(Answer::Snapshot));
    assert_eq!(
        ask(&mut replica, Some(38), ms(0)),
        Ok(Answer::DeltaSince(Version(38)))
    );
}

// Guards against an old list that is told as if it were new, and against a relay that answers before it has one.
#[test]
fn callers_are_failed_without_a_list_and_once_the_lease_has_run_out() {
    let mut replica = Replica::new(LEASE);
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    assert_eq!(ask(&mut replica, None, ms(0)), Err(Unavailable::NoList));
    replica
        .apply(
            UpstreamCall::Snapshot,
            list(3, true, &THREE),
            ms(50),
            ms(100),
        )
        .unwrap();
    let end = ms(100) + LEASE;
    assert_eq!(replica.lease_expires_at(), Some(end));
    assert_eq!(ask(&mut replica, None, end), Ok(Answer::Snapshot));
    let late = end + ms(1);
    for after in [None, Some(1), Some(3), Some(9)] {
        let silent = LEASE + ms(1);
        assert_eq!(
            ask(&mut replica, after, late),
            Err(Unavailable::LeaseExpired {
                silent,
                lease: LEASE
            })
        );
    }
    // A word without news is a word.
    let applied = replica
        .apply(watch(3), list(3, false, &[]), late, late)
        .unwrap();
    assert!(!applied.changed);
    assert_eq!(
        ask(&mut replica, Some(3), late),
        Ok(Answer::DeltaSince(Version(3)))
    );
}

// Guards against servers that come back by an old delta, and against deltas that mix two numberings.
#[test]
fn after_versions_went_back_nothing_is_told_but_whole_lists() {
    let mut replica = holding(50, &THREE);
    let back = replica.apply(watch(50), list(4, false, &[("a", "ready")]), ms(0), ms(0));
    assert_eq!(
        back,
        Err(RejectedUpdate::VersionRegressed {
            held: Version(50),
            received: Version(4)
        })
    );
    assert_eq!(
        replica.version(),
        Some(Version(50)),
        "what it says is not told"
    );
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    let now = ms(1000);
    let applied = replica
        .apply(UpstreamCall::Snapshot, list(4, true, &THREE), now, now)
        .unwrap();
    assert!(applied.new_epoch && applied.changed);
    assert_eq!(replica.epochs(), 2);
    // A watch that was open when versions went back is answered, whatever its number.
    let waiting = ListQuery {
        after: Some(Version(4)),
        received_at: ms(999),
        wait_expired: false,
    };
    assert_eq!(replica.answer(waiting, now), Ok(Answer::Snapshot));
    // Of this epoch, for all that is known: it waits.
    let new = ListQuery {
        after: Some(Version(4)),
        received_at: now,
        wait_expired: false,
    };
    assert_eq!(replica.answer(new, now), Ok(Answer::Wait));
    replica
        .apply(watch(4), list(5, false, &[("a", "gone")]), now, now)
        .unwrap();
    for version in [3, 4, 5, 49, 50] {
        assert_eq!(
            ask(&mut replica, Some(version), now),
            Ok(Answer::Snapshot),
            "{version}"
        );
    }
    // By then each caller has heard something of this epoch.
    let later = now + EPOCH_AMBIGUITY_WINDOW + ms(1);
    replica
        .apply(watch(5), list(5, false, &[]), later, later)
        .unwrap();
    assert_eq!(
        ask(&mut replica, Some(4), later),
        Ok(Answer::DeltaSince(Version(4)))
    );
}

// Guards against a version that upstream uses for another list: who has the first one would never hear of the second.
#[test]
fn a_version_that_is_used_again_for_another_list_begins_an_epoch() {
    let mut replica = holding(7, &THREE);
    let again = replica.apply(watch(7), list(7, false, &[("a", "draining")]), ms(0), ms(0));
    assert!(
        matches!(again, Err(RejectedUpdate::VersionRegressed { .. })),
        "{again:?}"
    );
    let other = [("a", "draining"), ("b", "ready"), ("c", "ready")];
    let applied = replica
        .apply(UpstreamCall::Snapshot, list(7, true, &other), ms(5), ms(5))
        .unwrap();
    assert!(applied.new_epoch && applied.changed);
    let waiting = ListQuery {
        after: Some(Version(7)),
        received_at: ms(1),
        wait_expired: false,
    };
    assert_eq!(replica.answer(waiting, ms(5)), Ok(Answer::Snapshot));
}

// Guards against a fault upstream that empties the list and takes the whole fleet out of service.
#[test]
fn a_list_that_is_suddenly_empty_or_halved_is_believed_only_when_said_twice() {
    let four = [
        ("a", "ready"),
        ("b", "ready"),
        ("c", "ready"),
        ("d", "ready"),
    ];
    for small in [&[][..], &four[..1]] {
        let mut replica = holding(1, &four);
        let call = replica.next_call();
        let doubted = replica.apply(call, list(2, true, small), ms(0), ms(9));
        let shrunk = RejectedUpdate::Shrunk {
            held: Version(1),
            received: Version(2),
            held_endpoints: 4,
            endpoints: small.len(),
        };
        assert_eq!(doubted, Err(shrunk));
        assert_eq!(
            (replica.endpoint_count(), replica.lease_expires_at()),
            (4, Some(LEASE)),
            "and it renews no lease"
        );
        assert_eq!(
            replica.next_call(),
            UpstreamCall::Snapshot,
            "it is asked for again at once"
        );
        replica
            .apply(UpstreamCall::Snapshot, list(2, true, small), ms(10), ms(10))
            .unwrap();
        assert_eq!(replica.endpoint_count(), small.len());
        let reply = ask(&mut replica, Some(1), ms(10)).unwrap();
        assert_eq!(
            told(&replica, reply).2.len(),
            4 - small.len(),
            "those that are gone"
        );
    }
    let mut replica = holding(1, &four);
    let half = replica.apply(watch(1), list(2, true, &four[..2]), ms(0), ms(0));
    assert!(half.is_ok(), "half of them is no doubt: {half:?}");
    // A doubt of one upstream is no reason to believe another one.
    let mut replica = holding(1, &four);
    replica
        .apply(watch(1), list(2, true, &[]), ms(0), ms(0))
        .unwrap_err();
    replica.upstream_changed();
    assert_eq!(replica.next_call(), watch(1));
    replica
        .apply(watch(1), list(2, true, &[]), ms(0), ms(0))
        .unwrap_err();
}

// Guards against an upstream that names new servers without end.
#[test]
fn a_list_past_its_bound_is_not_taken_and_what_goes_makes_room() {
    let padding = "x".repeat(MAX_LIST_BYTES / 8);
    let host = |number: u64| format!("{number}-{padding}");
    let mut replica = holding(1, &THREE);
    let mut version = 1;
    let last = loop {
        let added = list(version + 1, false, &[(&host(version), "ready")]);
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
        "it renews no lease"
    );
    let again = list(
        version + 1,
        false,
        &[(&host(1), "draining"), (&host(2), "gone")],
    );
    replica.apply(watch(version), again, ms(0), ms(0)).unwrap();
    let added = list(version + 2, false, &[(&host(version), "ready")]);
    replica
        .apply(watch(version + 1), added, ms(0), ms(0))
        .unwrap();
}

// Guards against two entries of one server at a caller, where the order of reading would decide.
#[test]
fn of_duplicate_entries_the_later_one_stands() {
    let mut replica = Replica::new(LEASE);
    let twice = [("a", "ready"), ("b", "ready"), ("a", "draining")];
    let applied = replica
        .apply(UpstreamCall::Snapshot, list(1, true, &twice), ms(0), ms(0))
        .unwrap();
    assert_eq!((applied.duplicates, replica.endpoint_count()), (1, 2));
    assert_eq!(
        told(&replica, Answer::Snapshot).2,
        pairs(&[("a", "draining"), ("b", "ready")])
    );
    let delta = list(2, false, &[("b", "draining"), ("b", "gone")]);
    let applied = replica.apply(watch(1), delta, ms(0), ms(0)).unwrap();
    assert_eq!((applied.duplicates, replica.endpoint_count()), (1, 1));
    let reply = ask(&mut replica, Some(1), ms(0)).unwrap();
    assert_eq!(told(&replica, reply).2, pairs(&[("b", "gone")]));
}

// Guards against an older list for a caller that moved here from a source that was ahead, and against a caller that is failed
// for ever because upstream has lost its versions.
#[test]
fn a_caller_that_is_newer_is_answered_once_upstream_has_been_asked_for_its_version() {
    let mut behind = holding(5, &THREE);
    assert_eq!(ask(&mut behind, Some(9), ms(10)), Ok(Answer::Confirm));
    let call = behind.next_call();
    assert_eq!(call, UpstreamCall::Confirm(Version(9)));
    // Upstream knows it: this one was behind, and asks for what it lacks.
    let other = behind.apply(call, list(9, false, &[]), ms(11), ms(12));
    assert_eq!(
        other,
        Err(RejectedUpdate::BaseMismatch {
            received: Version(9)
        })
    );
    assert_eq!(
        ask(&mut behind, Some(9), ms(12)),
        Ok(Answer::Confirm),
        "also while it asks again"
    );
    assert_eq!(behind.next_call(), watch(5));
    behind
        .apply(watch(5), list(9, false, &[("a", "gone")]), ms(13), ms(14))
        .unwrap();
    assert_eq!(
        ask(&mut behind, Some(9), ms(14)),
        Ok(Answer::DeltaSince(Version(9)))
    );

    let mut restarted = holding(5, &THREE);
    assert_eq!(ask(&mut restarted, Some(9), ms(10)), Ok(Answer::Confirm));
    // The answer to a call that was made before says nothing about it.
    restarted
        .apply(watch(5), list(5, false, &[]), ms(9), ms(11))
        .unwrap();
    assert_eq!(ask(&mut restarted, Some(9), ms(11)), Ok(Answer::Confirm));
    let call = restarted.next_call();
    restarted
        .apply(call, list(5, true, &THREE), ms(12), ms(13))
        .unwrap();
    let received_at = |ms_after| ListQuery {
        after: Some(Version(9)),
        received_at: ms(ms_after),
        wait_expired: false,
    };
    assert_eq!(
        restarted.answer(received_at(10), ms(13)),
        Ok(Answer::Snapshot),
        "upstream does not know that version"
    );
    assert_eq!(
        restarted.answer(received_at(13), ms(13)),
        Ok(Answer::Confirm),
        "it came after that call"
    );
}

// Guards against callers that wait for ever where upstream answers an unknown version by a delta.
#[test]
fn an_upstream_that_answers_a_newer_version_by_an_older_delta_is_asked_for_the_whole_list() {
    let mut replica = holding(5, &THREE);
    assert_eq!(ask(&mut replica, Some(9), ms(1)), Ok(Answer::Confirm));
    let call = replica.next_call();
    replica
        .apply(call, list(5, false, &[]), ms(2), ms(2))
        .unwrap_err();
    assert_eq!(replica.next_call(), UpstreamCall::Snapshot);
    replica
        .apply(UpstreamCall::Snapshot, list(5, true, &THREE), ms(3), ms(3))
        .unwrap();
    let query = ListQuery {
        after: Some(Version(9)),
        received_at: ms(1),
        wait_expired: false,
    };
    assert_eq!(replica.answer(query, ms(3)), Ok(Answer::Snapshot));
}
