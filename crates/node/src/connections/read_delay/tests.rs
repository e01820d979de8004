//! Tests of the delay of unread requests.

use super::ReadDelay;
use std::time::Duration;
use tokio::time::Instant;

// Guards against a wait for memory that does not count towards a request's deadline, or that counts
// for the next request too.
#[test]
fn delay_is_the_sum_of_both_waits_and_ends_with_the_request() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let delay = ReadDelay::new(Duration::from_millis(30));
    delay.begin_wait(at(0));
    delay.begin_wait(at(50));
    delay.end_wait(at(200));
    delay.end_wait(at(900));
    assert_eq!(delay.take(), Duration::from_millis(230));
    assert_eq!(delay.take(), Duration::ZERO);
    delay.begin_wait(at(1_000));
    delay.reset();
    delay.end_wait(at(1_500));
    assert_eq!(
        delay.take(),
        Duration::ZERO,
        "no byte of a request had arrived"
    );
}
