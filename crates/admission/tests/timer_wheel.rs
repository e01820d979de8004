//! The timer wheel, compared with a map of timers.

use slatelink_admission::TimerWheel;
use std::collections::HashMap;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against timers that are lost or fire early, twice or late, with any delay and any number
// of steps per call.
#[test]
fn each_timer_fires_once_and_within_two_ticks() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut wheel = TimerWheel::default();
        let mut model: HashMap<u32, Duration> = HashMap::new();
        let mut now = Duration::ZERO;
        for _ in 0..3_000 {
            let id = random.u32(0..64);
            match random.u8(0..8) {
                0..=3 => {
                    let max_delay_ms = [100, 5_000, 60_000, 10_000_000][random.usize(0..4)];
                    let at = now + ms(random.u64(0..max_delay_ms));
                    wheel.set(id, at);
                    model.insert(id, at);
                }
                4 => assert_eq!(wheel.cancel(id), model.remove(&id).is_some(), "seed {seed}"),
                _ => {
                    let max_delay_ms = [20, 2_000, 100_000, 4_000_000][random.usize(0..4)];
                    now += ms(random.u64(0..max_delay_ms));
                    let mut fired = Vec::new();
                    while !wheel.advance(now, random.usize(1..9), &mut fired) {}
                    for id in fired {
                        let at = model
                            .remove(&id)
                            .expect("a fired timer was set and has not fired before");
                        assert!(
                            at <= now,
                            "seed {seed}: the timer for {at:?} fired early, at {now:?}"
                        );
                    }
                    assert!(
                        model.values().all(|at| *at + ms(20) > now),
                        "seed {seed}: a timer has not fired in time at {now:?}"
                    );
                }
            }
            assert_eq!(wheel.len(), model.len(), "seed {seed}");
        }
    }
}
