//! Tests of readiness in virtual time.

use super::*;
use tokio::time::advance;

fn readiness(awaits_first_list: bool) -> (Readiness, Rc<Cell<bool>>) {
    let ready = Rc::new(Cell::new(false));
    (Readiness::new(ready.clone(), awaits_first_list), ready)
}

#[tokio::test(start_paused = true)]
async fn node_becomes_ready_with_first_ready_endpoint_and_stays_ready() {
    let (mut readiness, ready) = readiness(false);
    readiness.on_list_applied(false);
    assert!(!ready.get());
    readiness.on_list_applied(true);
    assert!(ready.get());
    readiness.on_list_applied(false);
    assert!(ready.get());
}

#[tokio::test(start_paused = true)]
async fn node_that_awaits_first_list_is_not_ready_before_it() {
    let (mut readiness, ready) = readiness(true);
    readiness.on_list_applied(true);
    assert!(
        !ready.get(),
        "last known endpoints alone must not make the node ready"
    );
    readiness.on_list_received();
    readiness.on_list_applied(false);
    assert!(ready.get());
}

#[tokio::test(start_paused = true)]
async fn wait_for_first_list_ends_at_its_timeout_if_discovery_fails() {
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
async fn node_without_ready_endpoint_is_not_ready() {
    let (mut readiness, ready) = readiness(true);
    readiness.on_list_received();
    readiness.on_list_applied(false);
    advance(2 * FIRST_LIST_TIMEOUT).await;
    readiness.on_discovery_failed();
    assert!(!ready.get());
}
