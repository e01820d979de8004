//! Generated sequences of events for property tests, shared by the tests of the policy, of admission and of the node.
#![allow(dead_code)]

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use slatelink_policy::{CacheResult, Status};

/// Number of cache servers that discovery may list.
pub const SERVERS: usize = 5;

/// One thing that happens. Where it picks one of several, `which` modulo their number is the index from the oldest on.
#[derive(Clone, Debug)]
pub enum Step {
    /// A client sends a request and gives it up after `patience_ms`.
    Ask {
        class: usize,
        key: u64,
        patience_ms: u64,
        write: bool,
        over_quota: bool,
    },
    /// An attempt in flight ends with this status.
    End {
        which: usize,
        how: Status,
        cache_result: Option<CacheResult>,
    },
    /// An outcome is reported that belongs to no attempt in flight.
    Stray { which: usize, how: Status },
    /// A client disconnects before its answer.
    Leave { which: usize },
    /// Discovery reports a change of one cache server.
    Change { server: usize, to: Change },
    /// Discovery sends a complete list without the cache servers whose bit is set in `lacks`.
    Whole { lacks: u8 },
    /// A call to discovery failed.
    NoList,
    /// Time passes, or none.
    Pass { ms: u64 },
}

/// What discovery reports of a cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Ready,
    Draining,
    Gone,
    /// It has started anew under its id.
    Restarted,
    /// It listens elsewhere.
    Moved,
}

fn status() -> impl Strategy<Value = Status> {
    use Status::*;
    let bad = vec![
        Failed,
        Rejected,
        TimedOut,
        ConnectError,
        Reset,
        Canceled,
        NotSent,
        Miss,
    ];
    prop_oneof![1 => Just(Ok), 2 => proptest::sample::select(bad)]
}

fn step() -> impl Strategy<Value = Step> {
    use Change::*;
    let change = proptest::sample::select(vec![Ready, Draining, Gone, Restarted, Moved]);
    let cache_result =
        proptest::sample::select(vec![None, Some(CacheResult::Hit), Some(CacheResult::Miss)]);
    let ask = (0..4usize, 0..8u64, 0..600u64, any::<bool>(), 0..20u8);
    prop_oneof![
        8 => ask.prop_map(|(class, key, patience_ms, write, over)| {
            Step::Ask { class, key, patience_ms, write, over_quota: over == 0 }
        }),
        8 => (any::<usize>(), status(), cache_result).prop_map(|(which, how, cache_result)| Step::End { which, how, cache_result }),
        1 => (any::<usize>(), status()).prop_map(|(which, how)| Step::Stray { which, how }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (0..SERVERS, change).prop_map(|(server, to)| Step::Change { server, to }),
        1 => any::<u8>().prop_map(|lacks| Step::Whole { lacks }),
        1 => Just(Step::NoList),
        4 => prop_oneof![1 => Just(0), 6 => 1..60u64, 1 => 400..3_000u64].prop_map(|ms| Step::Pass { ms }),
    ]
}

/// Plays one sequence of this length from each fixed seed, where finding a shorter one would take too long.
pub fn check_once(seeds: std::ops::Range<u8>, length: usize, holds: impl Fn(u64, &[Step])) {
    for seed in seeds {
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), random);
        let steps = vec(step(), length)
            .new_tree(&mut runner)
            .expect("a sequence")
            .current();
        let played =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| holds(seed.into(), &steps)));
        if let Err(panic) = played {
            eprintln!("seed {seed}: {steps:#?}");
            std::panic::resume_unwind(panic);
        }
    }
}

/// Plays sequences of up to `length` steps, `cases` from each fixed seed, against a property: `holds` gets the seed and
/// panics where it does not hold. A failure prints the seed and the shortest sequence that was found to fail.
pub fn check(seeds: std::ops::Range<u8>, cases: u32, length: usize, holds: impl Fn(u64, &[Step])) {
    for seed in seeds {
        let config = Config {
            cases,
            failure_persistence: None,
            max_shrink_iters: 2_000,
            ..Config::default()
        };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let played =
            TestRunner::new_with_rng(config, random).run(&vec(step(), 1..length), |steps| {
                holds(seed.into(), &steps);
                Ok(())
            });
        match played {
            Ok(()) => {}
            Err(TestError::Fail(why, steps)) => panic!("seed {seed}: {why}\n{steps:#?}"),
            Err(TestError::Abort(why)) => panic!("seed {seed}: {why}"),
        }
    }
}
