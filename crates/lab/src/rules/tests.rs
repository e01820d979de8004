use super::*;
use crate::record::{AvailabilityNotice, Overload};
use crate::scenario::default_classes;

const ID: TryId = TryId {
    arrival: 7,
    number: 0,
};

fn client_try(end: TryOutcome) -> Try {
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

fn broken_rules(
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

// Guards against a checker that accepts every run, and against breaches reported for allowed
// behaviour.
#[test]
fn lost_duplicate_and_unmatched_responses_are_breaches_and_failed_tries_are_not() {
    let ran = || vec![attempt(1, 2_000, AttemptOutcome::Ran)];
    let connection_lost = |partial| vec![client_try(TryOutcome::ConnectionLost { partial })];
    assert_eq!(
        broken_rules(0, connection_lost(false), ran(), vec![]),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(0, connection_lost(true), vec![], vec![]),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(0, connection_lost(false), vec![], vec![]),
        [],
        "the close crossed the request"
    );
    assert_eq!(
        broken_rules(
            0,
            vec![client_try(TryOutcome::DuplicateResponse)],
            ran(),
            vec![]
        ),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(
            0,
            vec![client_try(TryOutcome::UnmatchedBody)],
            ran(),
            vec![]
        ),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(0, vec![client_try(TryOutcome::TimedOut)], ran(), vec![]),
        []
    );
    let killed = NodeEvent {
        node: 0,
        event: ProcessEvent::Killed,
        at: 50_000,
        detail: String::new(),
    };
    let node_events = vec![killed];
    let record = Record {
        tries: connection_lost(true),
        attempts: ran(),
        node_events,
        ..Record::default()
    };
    assert_eq!(
        check(&record, &default_classes(), |_| 0),
        [],
        "the node was killed"
    );
}

/// Returns two attempts of one try, the first with `outcome`, the second received at `later`.
fn attempted_twice(outcome: AttemptOutcome, later: u64) -> Vec<Attempt> {
    vec![
        attempt(1, 2_000, outcome),
        attempt(2, later, AttemptOutcome::Ran),
    ]
}

/// Returns the rules broken by a try of `class` that was served after `attempts`.
fn broken_by_attempts(class: usize, attempts: Vec<Attempt>) -> Vec<Rule> {
    broken_rules(
        class,
        vec![client_try(TryOutcome::Served)],
        attempts,
        vec![],
    )
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
        let tries = vec![client_try(TryOutcome::Refused { retry_after: None })];
        broken_rules(class, tries, vec![attempt(1, 2_000, outcome)], vec![])
    };
    assert_eq!(broken_by_refusal(2, AttemptOutcome::Ran), [Rule::Refusals]);
    assert_eq!(broken_by_refusal(2, AttemptOutcome::Declined), []);
    assert_eq!(broken_by_refusal(0, AttemptOutcome::Ran), []);
}

#[test]
fn sends_after_a_drain_notice_are_breaches_once_the_grace_period_is_over() {
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
    assert_eq!(broken_rules(0, vec![], at(390_000), notices()), []);
    assert_eq!(
        broken_rules(0, vec![], at(410_000), notices()),
        [Rule::Drains]
    );
    let ready_again = [notices(), vec![notice(300_000, true)]].concat();
    assert_eq!(broken_rules(0, vec![], at(410_000), ready_again), []);
    assert_eq!(
        broken_rules(
            0,
            vec![],
            vec![attempt(2, 410_000, AttemptOutcome::Ran)],
            notices()
        ),
        [],
        "another server"
    );
    // A node that requests no list counts as informed after the longest delay of a notice.
    let change = |ready, at| AvailabilityChange {
        server: 1,
        ready,
        at,
    };
    let breaches_without_notice = |at, availability_changes| {
        let attempts = vec![attempt(1, at, AttemptOutcome::Ran)];
        let record = Record {
            attempts,
            availability_changes,
            ..Record::default()
        };
        check(&record, &default_classes(), |_| 0).len()
    };
    assert_eq!(
        breaches_without_notice(6_200_000, vec![change(false, 0)]),
        0
    );
    assert_eq!(
        breaches_without_notice(6_400_000, vec![change(false, 0)]),
        1
    );
    assert_eq!(
        breaches_without_notice(6_400_000, vec![change(false, 0), change(true, 5_000_000)]),
        0
    );
}

#[test]
fn only_overloads_that_the_nodes_could_have_avoided_are_breaches() {
    let overload = |server, cold_share| Overload {
        server,
        at: 1,
        sent: 9.0,
        capacity: 3.0,
        cold_share,
    };
    let breach_count = |overload| {
        let record = Record {
            overloads: vec![overload],
            ..Record::default()
        };
        check(&record, &default_classes(), |_| 0).len()
    };
    assert_eq!(
        (
            breach_count(overload(Some(1), 1.0)),
            breach_count(overload(None, 0.5)),
            breach_count(overload(None, 0.1))
        ),
        (1, 1, 0)
    );
}
