//! Generator of event sequences for property tests, shared by the tests of the policy, of admission
//! and of the node.
#![allow(dead_code)]

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use slatelink_policy::{CacheResult, Status};

/// Number of cache servers that discovery can list.
pub const SERVERS: usize = 5;

/// One event of a generated sequence. `index` modulo the number of candidates selects a candidate,
/// counted from the oldest.
#[derive(Clone, Debug)]
pub enum Step {
    /// A client sends a request with a deadline after `timeout_ms`.
    SendRequest {
        class: usize,
        key: u64,
        timeout_ms: u64,
        write: bool,
        over_quota: bool,
    },
    /// An attempt in flight ends with this status.
    EndAttempt {
        index: usize,
        status: Status,
        cache_result: Option<CacheResult>,
    },
    /// The node reports an outcome that belongs to no attempt in flight.
    UnknownOutcome { index: usize, status: Status },
    /// A client disconnects before the final response.
    Disconnect { index: usize },
    /// Discovery sends a delta with a change to one cache server.
    ChangeServer { server: usize, change: ServerChange },
    /// Discovery sends a snapshot without the cache servers whose bit is set in `omitted`.
    SendSnapshot { omitted: u8 },
    /// A call to discovery fails.
    DiscoveryFailure,
    /// The time advances by `ms`, which may be 0.
    Advance { ms: u64 },
}

/// Change to a cache server, as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    Ready,
    Draining,
    Removed,
    /// The server restarted with the same id.
    Restarted,
    /// The server listens on another address.
    Moved,
}

fn status_strategy() -> impl Strategy<Value = Status> {
    use Status::*;
    let other_statuses = vec![
        Failed,
        Rejected,
        TimedOut,
        ConnectError,
        Reset,
        Canceled,
        NotSent,
        Miss,
    ];
    prop_oneof![1 => Just(Ok), 2 => proptest::sample::select(other_statuses)]
}

fn step_strategy() -> impl Strategy<Value = Step> {
    use ServerChange::*;
    let server_change = proptest::sample::select(vec![Ready, Draining, Removed, Restarted, Moved]);
    let cache_result =
        proptest::sample::select(vec![None, Some(CacheResult::Hit), Some(CacheResult::Miss)]);
    let request = (0..4usize, 0..8u64, 0..600u64, any::<bool>(), 0..20u8);
    prop_oneof![
        8 => request.prop_map(|(class, key, timeout_ms, write, quota_draw)| {
            Step::SendRequest { class, key, timeout_ms, write, over_quota: quota_draw == 0 }
        }),
        8 => (any::<usize>(), status_strategy(), cache_result)
            .prop_map(|(index, status, cache_result)| Step::EndAttempt {
                index, status, cache_result
            }),
        1 => (any::<usize>(), status_strategy())
            .prop_map(|(index, status)| Step::UnknownOutcome { index, status }),
        1 => any::<usize>().prop_map(|index| Step::Disconnect { index }),
        2 => (0..SERVERS, server_change)
            .prop_map(|(server, change)| Step::ChangeServer { server, change }),
        1 => any::<u8>().prop_map(|omitted| Step::SendSnapshot { omitted }),
        1 => Just(Step::DiscoveryFailure),
        4 => prop_oneof![1 => Just(0), 6 => 1..60u64, 1 => 400..3_000u64]
            .prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Checks a property with one sequence of `length` steps per seed and does not shrink a failing
/// sequence, for tests in which shrinking would take too long. `assert_property` is called with the
/// seed and the sequence and panics if the property does not hold.
pub fn check_without_shrinking(
    seeds: std::ops::Range<u8>,
    length: usize,
    assert_property: impl Fn(u64, &[Step]),
) {
    for seed in seeds {
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), random);
        let steps = vec(step_strategy(), length)
            .new_tree(&mut runner)
            .expect("generates a sequence")
            .current();
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            assert_property(seed.into(), &steps)
        }));
        if let Err(panic) = result {
            eprintln!("seed {seed}: {steps:#?}");
            std::panic::resume_unwind(panic);
        }
    }
}

/// Checks a property with `cases` sequences of fewer than `length` steps per seed.
/// `assert_property` is called with the seed and a sequence and panics if the property does not
/// hold. A failure prints the seed and the shortest failing sequence found.
pub fn check(
    seeds: std::ops::Range<u8>,
    cases: u32,
    length: usize,
    assert_property: impl Fn(u64, &[Step]),
) {
    for seed in seeds {
        let config = Config {
            cases,
            failure_persistence: None,
            max_shrink_iters: 2_000,
            ..Config::default()
        };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let result = TestRunner::new_with_rng(config, random).run(
            &vec(step_strategy(), 1..length),
            |steps| {
                assert_property(seed.into(), &steps);
                Ok(())
            },
        );
        match result {
            Ok(()) => {}
            Err(TestError::Fail(reason, steps)) => panic!("seed {seed}: {reason}\n{steps:#?}"),
            Err(TestError::Abort(reason)) => panic!("seed {seed}: {reason}"),
        }
    }
}
