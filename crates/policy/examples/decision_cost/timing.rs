//! Timing of an operation in batches.

use std::time::{Duration, Instant};

/// Number of batches of a case in one pass.
const BATCHES: usize = 15;
/// Target duration of a batch.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Time after which a case starts no further batch in a pass.
const CASE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of operations in a batch.
const BATCH_OPERATIONS: u32 = 20_000;

/// Mean time of one operation in each batch of a case, in nanoseconds, and the number of timed
/// operations.
#[derive(Default)]
pub struct Cost {
    batches: Vec<f64>,
    pub operations: u64,
}

impl Cost {
    /// Adds the batches of another pass.
    pub fn add(&mut self, pass: Self) {
        self.batches.extend(pass.batches);
        self.batches.sort_unstable_by(f64::total_cmp);
        self.operations += pass.operations;
    }

    /// Returns the time at this quantile of the batches, from 0 to 1; 0 gives the fastest batch.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let last = self.batches.len().saturating_sub(1);
        self.batches
            .get((fraction * last as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// Times an operation in batches, after a warm-up batch that determines the number of operations
/// per batch.
pub fn time(mut operation: impl FnMut()) -> Cost {
    let began = Instant::now();
    let mut warm_up = 0_u32;
    while warm_up == 0 || (warm_up < BATCH_OPERATIONS && began.elapsed() < BATCH_TIME) {
        operation();
        warm_up += 1;
    }
    let time_per_operation = began.elapsed() / warm_up;
    let operations = (BATCH_TIME.as_nanos() / time_per_operation.as_nanos().max(1))
        .clamp(1, u128::from(BATCH_OPERATIONS)) as u32;
    let (began, mut batches) = (Instant::now(), Vec::new());
    while batches.is_empty() || (batches.len() < BATCHES && began.elapsed() < CASE_TIME) {
        let began = Instant::now();
        for _ in 0..operations {
            operation();
        }
        batches.push(began.elapsed().as_nanos() as f64 / f64::from(operations));
    }
    let operations = u64::from(operations) * batches.len() as u64;
    Cost {
        batches,
        operations,
    }
}
