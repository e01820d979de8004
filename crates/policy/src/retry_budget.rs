//! Retry budget: a token bucket that is drained by retries and filled by other attempts, not by
//! time.
//!
//! The budget bounds the load that retries add to failing or overloaded endpoints. A read from the
//! origin after a cache miss is not a retry.

/// Tokens added per attempt that is not a retry.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Maximum balance, which is also the initial balance.
const MAX_BALANCE: f64 = 10.0;
/// Tokens taken by a retry.
pub(crate) const RETRY_COST: f64 = 1.0;
/// Tokens taken by a retry after a rejection in a large deployment. Lower, because a single node of
/// very many cannot prevent an endpoint's short queue from being full, and a rejection costs an
/// endpoint little.
pub(crate) const RETRY_COST_AFTER_REJECTION: f64 = 0.25;

/// Tokens available for retries.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }

    /// Checks whether the balance covers a retry of this cost.
    pub(crate) fn affords(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Takes the cost of a retry from the balance.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Records the send of an attempt that is not a retry.
    pub(crate) fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }
}
