use super::*;
use crate::record::{AvailabilityNotice, Overload};
use crate::scenario::default_classes;

const ID: TryId = TryId {
    arrival: 7,
    number: 0,
};

fn asked(end: End) -> Try {
    Try {
        id: ID,
        node: 0,
        due: 0,
        sent: 1_000,
        ended: 90_000,
        first_on_connection: false,
        end,
    }
}

fn attempt(server: usize, at: u64, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        id: ID,
        node: 0,
        server,
        first_byte_at: at,
        received_at: at,
        outcome,
    }
}

fn broken(
    class: usize,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    notices: Vec<AvailabilityNotice>,
) -> Vec<Rule> {
    let record = Record {
        tries,
        attempts,
        notices,
        ..Record::default()
    };
    check(&record, &default_classes(), |_| class)
        .into_iter()
        .map(|breach| breach.rule)
        .collect()
}

// Guards against a checker that cannot fail, and against one that blames a node for what it may do.
#[test]
fn answers_that_are_lost_doubled_or_foreign_are_told_from_those_that_failed() {
    let ran = || vec![attempt(1, 2_000, AttemptOutcome::Ran)];
    let broke = |begun| vec![asked(End::ConnectionLost { begun })];
    assert_eq!(broken(0, broke(false), ran(), vec![]), [Rule::OneAnswer]);
    assert_eq!(broken(0, broke(true), vec![], vec![]), [Rule::OneAnswer]);
    assert_eq!(
        broken(0, broke(false), vec![], vec![]),
        [],
        "a close that crossed the request"
    );
    assert_eq!(
        broken(0, vec![asked(End::DuplicateResponse)], ran(), vec![]),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken(0, vec![asked(End::UnmatchedBody)], ran(), vec![]),
        [Rule::OneAnswer]
    );
    assert_eq!(broken(0, vec![asked(End::TimedOut)], ran(), vec![]), []);
    let killed = NodeEvent {
        node: 0,
        event: ProcessEvent::Killed,
        at: 50_000,
        detail: String::new(),
    };
    let node_events = vec![killed];
    let record = Record {
        tries: broke(true),
        attempts: ran(),
        node_events,
        ..Record::default()
    };
    assert_eq!(
        check(&record, &default_classes(), |_| 0),
        [],
        "its node was killed"
    );
}

/// Two attempts of one try, the first of them with this outcome.
fn attempted_twice(outcome: AttemptOutcome, later: u64) -> Vec<Attempt> {
    vec![
        attempt(1, 2_000, outcome),
        attempt(2, later, AttemptOutcome::Ran),
    ]
}

/// The rules broken by a try of this class that was served after these attempts.
fn broken_by_attempts(class: usize, attempts: Vec<Attempt>) -> Vec<Rule> {
    broken(class, vec![asked(End::Served)], attempts, vec![])
}

#[test]
fn an_attempt_is_repeated_only_as_its_class_allows() {
    use AttemptOutcome::{Declined, Dropped, Ran};
    assert_eq!(broken_by_attempts(0, attempted_twice(Ran, 9_000)), []);
    assert_eq!(broken_by_attempts(1, attempted_twice(Ran, 9_000)), []);
    assert_eq!(
        broken_by_attempts(1, attempted_twice(Ran, 4_100_000)),
        [Rule::Repeats]
    );
    assert_eq!(
        broken_by_attempts(2, attempted_twice(Ran, 9_000)),
        [Rule::Repeats]
    );
    assert_eq!(
        broken_by_attempts(2, attempted_twice(Dropped, 9_000)),
        [Rule::Repeats]
    );
    assert_eq!(broken_by_attempts(2, attempted_twice(Declined, 9_000)), []);
}

#[test]
fn a_try_has_at_most_six_attempts() {
    let attempts = (0..7)
        .map(|i| attempt(i, 2_000 + i as u64, AttemptOutcome::Ran))
        .collect();
    assert_eq!(broken_by_attempts(0, attempts), [Rule::Repeats]);
}

#[test]
fn a_non_idempotent_request_that_ran_is_not_shed() {
    let broken_by_refusal = |class, outcome| {
        let tries = vec![asked(End::Refused { retry_after: None })];
        broken(class, tries, vec![attempt(1, 2_000, outcome)], vec![])
    };
    assert_eq!(broken_by_refusal(2, AttemptOutcome::Ran), [Rule::Refusals]);
    assert_eq!(broken_by_refusal(2, AttemptOutcome::Declined), []);
    assert_eq!(broken_by_refusal(0, AttemptOutcome::Ran), []);
}

#[test]
fn sends_after_a_drain_count_from_when_it_was_told() {
    let notice = |at, ready| AvailabilityNotice {
        node: 0,
        server: 1,
        ready,
        at,
    };
    let at = |at| vec![attempt(1, at, AttemptOutcome::Ran)];
    let notices = || {
        vec![
            notice(0, true),
            notice(100_000, false),
            notice(200_000, false),
        ]
    };
    assert_eq!(broken(0, vec![], at(390_000), notices()), []);
    assert_eq!(broken(0, vec![], at(410_000), notices()), [Rule::Drains]);
    let back = [notices(), vec![notice(300_000, true)]].concat();
    assert_eq!(broken(0, vec![], at(410_000), back), []);
    assert_eq!(
        broken(
            0,
            vec![],
            vec![attempt(2, 410_000, AttemptOutcome::Ran)],
            notices()
        ),
        [],
        "another server"
    );
    // A node that does not ask counts as informed all the same.
    let change = |ready, at| AvailabilityChange {
        server: 1,
        ready,
        at,
    };
    let unheard = |at, availability_changes| {
        let attempts = vec![attempt(1, at, AttemptOutcome::Ran)];
        let record = Record {
            attempts,
            availability_changes,
            ..Record::default()
        };
        check(&record, &default_classes(), |_| 0).len()
    };
    assert_eq!(unheard(6_200_000, vec![change(false, 0)]), 0);
    assert_eq!(unheard(6_400_000, vec![change(false, 0)]), 1);
    assert_eq!(
        unheard(6_400_000, vec![change(false, 0), change(true, 5_000_000)]),
        0
    );
}

#[test]
fn what_falls_over_counts_where_the_nodes_could_know() {
    let overload = |server, cold_share| Overload {
        server,
        at: 1,
        sent: 9.0,
        capacity: 3.0,
        cold_share,
    };
    let rules = |overload| {
        let record = Record {
            overloads: vec![overload],
            ..Record::default()
        };
        check(&record, &default_classes(), |_| 0).len()
    };
    assert_eq!(
        (
            rules(overload(Some(1), 1.0)),
            rules(overload(None, 0.5)),
            rules(overload(None, 0.1))
        ),
        (1, 1, 0)
    );
}
