//! Readiness in virtual time.

use super::*;
use tokio::time::advance;

fn readiness(awaits_first_list: bool) -> (Readiness, Rc<Cell<bool>>) {
    let ready = Rc::new(Cell::new(false));
    (Readiness::new(ready.clone(), awaits_first_list), ready)
}

#[tokio::test(start_paused = true)]
async fn a_node_is_ready_with_its_first_ready_endpoint_and_stays_so() {
    let (mut readiness, ready) = readiness(false);
    readiness.on_list_applied(false);
    assert!(!ready.get());
    readiness.on_list_applied(true);
    assert!(ready.get());
    readiness.on_list_applied(false);
    assert!(ready.get());
}

#[tokio::test(start_paused = true)]
async fn where_lists_are_pushed_a_node_is_not_ready_before_its_first_list() {
    let (mut readiness, ready) = readiness(true);
    readiness.on_list_applied(true);
    assert!(!ready.get(), "by the endpoints that it knew last alone");
    readiness.on_list_received();
    readiness.on_list_applied(false);
    assert!(ready.get());
}

#[tokio::test(start_paused = true)]
async fn a_first_list_is_waited_for_while_discovery_fails_but_not_past_its_timeout() {
    let (mut readiness, ready) = readiness(true);
    readiness.on_list_applied(true);
    advance(FIRST_LIST_TIMEOUT - Duration::from_millis(1)).await;
    readiness.on_discovery_failed();
    assert!(!ready.get());
    advance(Duration::from_millis(1)).await;
    readiness.on_discovery_failed();
    assert!(ready.get());
}

#[tokio::test(start_paused = true)]
async fn without_a_ready_endpoint_a_node_is_not_ready_whatever_discovery_does() {
    let (mut readiness, ready) = readiness(true);
    readiness.on_list_received();
    readiness.on_list_applied(false);
    advance(2 * FIRST_LIST_TIMEOUT).await;
    readiness.on_discovery_failed();
    assert!(!ready.get());
}
