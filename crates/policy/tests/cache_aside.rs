//! Cache-aside mode, in which the balancer fetches misses from the origin.

mod common;
use common::*;
use slatelink_policy::*;

fn node() -> Node {
    let (settings, origin) = cache_aside();
    let mut node = Node::new(settings, 1);
    node.list_snapshot(vec![Endpoint::new("a"), Endpoint::new("b"), origin]);
    node
}

#[test]
fn a_miss_is_sent_to_the_origin_and_a_hit_is_not() {
    let mut node = node();
    let id = node.request(0, 7, ms(400));
    assert_ne!(
        node.in_flight(&id).expect("the request is sent").1.as_str(),
        "zz-origin"
    );
    node.end_attempt_in_flight(&id, Status::Miss);
    assert_eq!(
        node.in_flight(&id)
            .expect("the request is retried")
            .1
            .as_str(),
        "zz-origin"
    );
    node.end_attempt_in_flight(&id, Status::Ok);
    assert!(node.requests[&id].answered);
}

#[test]
fn the_first_attempt_of_a_write_is_sent_to_the_origin() {
    let mut node = node();
    let request = Request {
        class: Some(ClassId(1)),
        write: true,
        ..Request::new("w", node.now + ms(400))
    };
    let id = node.submit(request);
    assert_eq!(
        node.in_flight(&id).expect("the request is sent").1.as_str(),
        "zz-origin"
    );
}

#[test]
fn an_open_breaker_of_the_origin_sheds_misses_and_writes_with_a_retry_after() {
    let mut node = node();
    for i in 0..3 {
        let request = Request {
            class: Some(ClassId(0)),
            write: true,
            ..Request::new(&format!("w{i}"), node.now + ms(400))
        };
        let id = node.submit(request);
        node.end_attempt_in_flight(&id, Status::Failed);
    }
    let miss = node.request(0, 7, ms(400));
    let shed = node.end_attempt_in_flight(&miss, Status::Miss);
    assert!(
        matches!(&shed[..], [Action::Shed { retry_after, .. }] if *retry_after == ms(1000)),
        "{shed:?}"
    );
    assert!(
        node.read(8, Status::Ok).is_some(),
        "hits are served while the breaker is open"
    );
}
