//! The timer wheel, against a map of timers.

use slatelink_admission::TimerWheel;
use std::collections::HashMap;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against timers that are lost, early, doubled or late, however far ahead and in however many parts they fire.
#[test]
fn the_wheel_fires_each_timer_once_and_within_two_ticks() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut wheel = TimerWheel::default();
        let mut model: HashMap<u32, Duration> = HashMap::new();
        let mut now = Duration::ZERO;
        for _ in 0..3_000 {
            let id = random.u32(0..64);
            match random.u8(0..8) {
                0..=3 => {
                    let ahead = [100, 5_000, 60_000, 10_000_000][random.usize(0..4)];
                    let at = now + ms(random.u64(0..ahead));
                    wheel.set(id, at);
                    model.insert(id, at);
                }
                4 => assert_eq!(wheel.cancel(id), model.remove(&id).is_some(), "seed {seed}"),
                _ => {
                    let ahead = [20, 2_000, 100_000, 4_000_000][random.usize(0..4)];
                    now += ms(random.u64(0..ahead));
                    let mut fired = Vec::new();
                    while !wheel.advance(now, random.usize(1..9), &mut fired) {}
                    for id in fired {
                        let at = model.remove(&id).expect("was set, and fires once");
                        assert!(at <= now, "seed {seed}: {at:?} fired early, at {now:?}");
                    }
                    assert!(
                        model.values().all(|at| *at + ms(20) > now),
                        "seed {seed}: late at {now:?}"
                    );
                }
            }
            assert_eq!(wheel.len(), model.len(), "seed {seed}");
        }
    }
}
