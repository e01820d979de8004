//! Timing of an operation in batches.

use std::time::{Duration, Instant};

/// Batches of a case in one pass.
const BATCHES: usize = 15;
/// Aimed length of a batch.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// A case begins no further batch in a pass after this.
const CASE_TIME: Duration = Duration::from_secs(1);
/// Most operations in a batch.
const BATCH_OPERATIONS: u32 = 20_000;

/// One operation's time in each batch of a case, in nanoseconds, and how many operations that were.
#[derive(Default)]
pub struct Cost {
    batches: Vec<f64>,
    pub operations: u64,
}

impl Cost {
    /// Takes in the batches of a further pass.
    pub fn add(&mut self, pass: Self) {
        self.batches.extend(pass.batches);
        self.batches.sort_unstable_by(f64::total_cmp);
        self.operations += pass.operations;
    }

    /// The batch that so large a part of all batches is faster than; zero gives the fastest.
    pub fn quantile(&self, part: f64) -> f64 {
        let last = self.batches.len().saturating_sub(1);
        self.batches
            .get((part * last as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// Times an operation in batches, after one that is not counted and tells how many fit into a batch.
pub fn time(mut operation: impl FnMut()) -> Cost {
    let began = Instant::now();
    let mut warm_up = 0_u32;
    while warm_up == 0 || (warm_up < BATCH_OPERATIONS && began.elapsed() < BATCH_TIME) {
        operation();
        warm_up += 1;
    }
    let each = began.elapsed() / warm_up;
    let operations = (BATCH_TIME.as_nanos() / each.as_nanos().max(1))
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
