//! Tests of timers in virtual time.

use super::*;
use std::time::Duration;
use tokio::time::timeout;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn timers_expire_in_time_order_and_never_early() {
    let start = Instant::now();
    let mut timers = TimerQueue::new();
    timers.schedule(start + 2 * SECOND, 'b');
    timers.schedule(start + SECOND, 'a');
    timers.schedule(start + 3 * SECOND, 'c');
    assert_eq!(timers.pop_expired(start), None);
    timers.next_expiry().await;
    assert_eq!(Instant::now(), start + SECOND);
    assert_eq!(timers.pop_expired(start + 2 * SECOND), Some('a'));
    assert_eq!(timers.pop_expired(start + 2 * SECOND), Some('b'));
    assert_eq!(timers.pop_expired(start + 2 * SECOND), None);
}

#[tokio::test(start_paused = true)]
async fn canceled_timer_does_not_expire_but_others_at_the_same_time_do() {
    let start = Instant::now();
    let mut timers = TimerQueue::new();
    timers.schedule(start, 'a');
    timers.schedule(start, 'b');
    timers.cancel(start, 'a');
    assert_eq!(timers.pop_expired(start), Some('b'));
    assert_eq!(timers.pop_expired(start), None);
}

#[tokio::test(start_paused = true)]
async fn timer_set_twice_for_the_same_time_expires_once() {
    let start = Instant::now();
    let mut timers = TimerQueue::new();
    timers.schedule(start, 'a');
    timers.schedule(start, 'a');
    assert_eq!(timers.pop_expired(start), Some('a'));
    assert_eq!(timers.pop_expired(start), None);
}

#[tokio::test(start_paused = true)]
async fn next_expiry_never_completes_without_timers() {
    let timers = TimerQueue::<char>::new();
    let waited = timeout(3600 * SECOND, timers.next_expiry()).await;
    assert!(waited.is_err());
}
