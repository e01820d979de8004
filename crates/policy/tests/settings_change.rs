//! Tests of changed settings: what requests under way keep, and what state classes keep.

mod common;
use common::*;
use slatelink_policy::*;
use std::time::Duration;

/// Position of the keyed class in the test settings.
const KEYED: usize = 1;
/// Position of the non-idempotent class in the test settings.
const NON_IDEMPOTENT: usize = 2;

/// Returns the test settings, in which the keyed class now has this effect.
fn with_effect(idempotency: Idempotency) -> Settings {
    let mut changed = settings();
    changed.classes[KEYED].idempotency = idempotency;
    changed
}

// Guards against a class that appears with a stricter effect and is still sent again after an error
// that may have followed its execution.
#[test]
fn a_request_that_arrives_after_the_change_has_the_changed_effect() {
    let mut node = Node::with_endpoints(settings(), 3);
    node.change_settings(with_effect(Idempotency::NonIdempotent));
    let id = node.request(KEYED, 7, ms(400));
    let actions = node.end_attempt_in_flight(&id, Status::Failed);
    assert_eq!(actions, [Action::Fail { id }], "it may have run");
}

// Guards against a request under way that loses or gains a right to be sent again.
#[test]
fn a_request_under_way_keeps_the_effect_of_its_arrival() {
    let mut node = Node::with_endpoints(settings(), 3);
    let keyed = node.request(KEYED, 7, ms(400));
    let non_idempotent = node.request(NON_IDEMPOTENT, 8, ms(400));
    let mut changed = with_effect(Idempotency::NonIdempotent);
    changed.classes[NON_IDEMPOTENT].idempotency = Idempotency::Idempotent;
    node.change_settings(changed);
    node.end_attempt_in_flight(&keyed, Status::Failed);
    assert!(
        node.in_flight(&keyed).is_some(),
        "a keyed request is retried"
    );
    node.end_attempt_in_flight(&keyed, Status::Ok);
    let actions = node.end_attempt_in_flight(&non_idempotent, Status::Failed);
    assert_eq!(actions, [Action::Fail { id: non_idempotent }]);
}

// Guards against the effect of the settings in force being applied to a request whose client's
// message was read before the change.
#[test]
fn terms_in_the_request_take_precedence_over_the_settings() {
    let mut node = Node::with_endpoints(settings(), 3);
    node.change_settings(with_effect(Idempotency::Idempotent));
    let request = Request {
        class: Some(ClassId(KEYED)),
        class_terms: Some(ClassTerms {
            idempotency: Idempotency::NonIdempotent,
            latency_objective: ms(150),
        }),
        ..Request::new("read before the change", node.now + ms(400))
    };
    let id = node.submit(request);
    let actions = node.end_attempt_in_flight(&id, Status::Failed);
    assert_eq!(actions, [Action::Fail { id }]);
}

// Guards against more attempts than the settings allow, for requests under way and new ones.
#[test]
fn fewer_attempts_apply_to_new_requests_and_to_requests_under_way() {
    let fewer = Settings {
        max_attempts: 2,
        ..settings()
    };
    let mut node = Node::with_endpoints(settings(), 6);
    let under_way = node.request(0, 7, ms(400));
    node.end_attempt_in_flight(&under_way, Status::Rejected);
    node.change_settings(fewer.clone());
    node.end_attempt_in_flight(&under_way, Status::Rejected);
    assert!(node.requests[&under_way].answered, "it had two attempts");
    let new = node.request(0, 8, ms(400));
    node.end_attempt_in_flight(&new, Status::Rejected);
    node.end_attempt_in_flight(&new, Status::Rejected);
    assert!(node.requests[&new].answered, "it had two attempts");
}

// Guards against a request that gets more attempts than the settings of its arrival allowed.
#[test]
fn more_attempts_apply_only_to_new_requests() {
    let fewer = Settings {
        max_attempts: 2,
        ..settings()
    };
    let mut node = Node::with_endpoints(fewer, 6);
    let under_way = node.request(0, 7, ms(400));
    node.change_settings(settings());
    node.end_attempt_in_flight(&under_way, Status::Rejected);
    node.end_attempt_in_flight(&under_way, Status::Rejected);
    assert!(node.requests[&under_way].answered, "it had two attempts");
    let new = node.request(0, 8, ms(400));
    node.end_attempt_in_flight(&new, Status::Rejected);
    node.end_attempt_in_flight(&new, Status::Rejected);
    assert!(node.in_flight(&new).is_some(), "it gets a third attempt");
}

/// Rejects requests of a class at one endpoint, which has no queue, until the breaker of the class
/// opens there. Returns the endpoint.
fn open_class_breaker(node: &mut Node, class: usize) -> EndpointId {
    node.load = LoadReport {
        queue_length: Some(0.0),
        ..LoadReport::default()
    };
    let rejecting = EndpointId::from("a");
    for key in 0..400 {
        let id = node.request(class, key, ms(400));
        while let Some((attempt, endpoint)) = node.in_flight(&id) {
            let status = if endpoint == rejecting {
                Status::Rejected
            } else {
                Status::Ok
            };
            node.end_attempt(&id, attempt, status);
        }
        node.advance(ms(1));
        if class_breaker_opened(node, class) {
            return rejecting;
        }
    }
    panic!("the breaker of the class has not opened");
}

fn class_breaker_opened(node: &Node, class: usize) -> bool {
    node.actions.iter().any(|action| {
        matches!(action, Action::BreakerOpened(BreakerScope::EndpointClass { class: opened, .. })
            if *opened == class)
    })
}

/// Returns the number of 60 requests of a class, each with another key, whose first attempt is at
/// this endpoint.
fn first_attempts_at(node: &mut Node, class: usize, endpoint: &EndpointId) -> usize {
    let mut count = 0;
    for key in 1_000..1_060 {
        let id = node.request(class, key, ms(400));
        let (attempt, first) = node.in_flight(&id).expect("an attempt");
        count += usize::from(first == *endpoint);
        node.end_attempt(&id, attempt, Status::Ok);
    }
    count
}

// Guards against the open breaker of a class that moves to another class, or is lost, when classes
// are added or a position is given to another class.
#[test]
fn a_breaker_stays_with_its_class_and_is_discarded_with_it() {
    let mut node = Node::with_endpoints(settings(), 3);
    let endpoint = open_class_breaker(&mut node, NON_IDEMPOTENT);
    let mut extended = settings();
    extended.classes.push(Class {
        name: "added".into(),
        ..settings().classes[0].clone()
    });
    node.change_settings(extended.clone());
    assert_eq!(first_attempts_at(&mut node, NON_IDEMPOTENT, &endpoint), 0);
    assert!(first_attempts_at(&mut node, 0, &endpoint) > 5);
    assert!(
        first_attempts_at(&mut node, 3, &endpoint) > 5,
        "the added class"
    );
    extended.classes[NON_IDEMPOTENT].name = "another".into();
    node.change_settings(extended);
    assert!(first_attempts_at(&mut node, NON_IDEMPOTENT, &endpoint) > 5);
}

// Guards against state of requests without a class that is taken over by an added class.
#[test]
fn requests_without_a_class_keep_their_breakers_when_classes_are_added_and_removed() {
    let mut node = Node::with_endpoints(settings(), 3);
    let without_class = settings().classes.len();
    let submit = |node: &mut Node, name: &str| {
        let request = Request::new(name, node.now + ms(400));
        node.submit(request)
    };
    let before = submit(&mut node, "before");
    let mut extended = settings();
    extended.classes.extend(settings().classes);
    node.change_settings(extended);
    node.end_attempt_in_flight(&before, Status::Ok);
    let extended_position = submit(&mut node, "extended");
    let mut reduced = settings();
    reduced.classes.truncate(1);
    node.change_settings(reduced);
    node.end_attempt_in_flight(&extended_position, Status::Failed);
    assert!(
        node.requests[&extended_position].answered,
        "a request without a class is not sent again"
    );
    // A request whose class is gone from the settings does not fail the balancer.
    let request = Request {
        class: Some(ClassId(without_class)),
        ..Request::new("gone", node.now + ms(400))
    };
    node.requests.clear();
    node.balancer
        .handle(node.now, Event::Request(request), &mut Vec::new());
}

// Guards against queued requests, breakers or budgets that refer to classes which no longer exist:
// random changes between requests, retries, timeouts and cancellations.
#[test]
fn random_changes_keep_the_rules_and_every_request_is_answered() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut node = Node::with_endpoints(settings(), 4);
        let mut open = Vec::new();
        for _ in 0..300 {
            match random.u8(0..8) {
                0 => node.change_settings(random_settings(&mut random, &node.settings.classes)),
                1..=3 => {
                    let class = random.usize(0..node.settings.classes.len());
                    open.push(node.request(class, random.u64(0..30), ms(400)));
                }
                4..=6 if !open.is_empty() => {
                    let id = open.swap_remove(random.usize(0..open.len()));
                    let statuses = [Status::Ok, Status::Failed, Status::Rejected, Status::Reset];
                    if node.in_flight(&id).is_some() {
                        node.end_attempt_in_flight(&id, statuses[random.usize(0..4)]);
                    }
                    if !node.requests[&id].answered {
                        open.push(id);
                    }
                }
                _ => node.advance(Duration::from_millis(random.u64(1..40))),
            }
        }
        node.advance(ms(1_000));
    }
}

/// Returns changed settings: classes change their effect or are added, and the number of nodes, of
/// attempts and the windows change. Positions keep their names, since requests may be open.
fn random_settings(random: &mut fastrand::Rng, classes: &[Class]) -> Settings {
    let mut classes = classes.to_vec();
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: ms(100),
        },
    ];
    let changed = random.usize(0..classes.len());
    classes[changed].idempotency = effects[random.usize(0..3)];
    if classes.len() < 8 && random.bool() {
        classes.push(Class {
            name: format!("class {}", classes.len()).as_str().into(),
            ..classes[0].clone()
        });
    }
    Settings {
        classes,
        nodes: [1, 3, 40][random.usize(0..3)],
        max_attempts: random.u32(1..7),
        slow_start_overload_window: ms(random.u64(200..2_000)),
        ..settings()
    }
}
