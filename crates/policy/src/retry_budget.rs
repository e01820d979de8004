//! Retry budget: retries are paid from what first attempts earn, a token bucket filled by requests
//! and not by time.
//!
//! It bounds the load that retries add to endpoints in trouble. A read of the origin after a cache
//! miss is no retry.

/// What each first attempt earns, in retries.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries that may be saved up, which is also what a node starts with.
const MAX_BALANCE: f64 = 10.0;
/// What a retry costs.
pub(crate) const RETRY_COST: f64 = 1.0;
/// What a retry costs after a rejection in a large deployment: none of very many nodes can keep an
/// endpoint's queue of a few places from being full, and an endpoint rejects at little cost.
pub(crate) const RETRY_COST_AFTER_REJECTION: f64 = 0.25;

/// What retries may still spend.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }

    /// Whether a retry of this cost may be made.
    pub(crate) fn affords(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Pays for a retry.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Takes in that an attempt was sent that is no retry.
    pub(crate) fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }
}
