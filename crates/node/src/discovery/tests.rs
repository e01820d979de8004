//! Tests of the discovery client in virtual time, against fake discoveries.

mod address_change;
mod concurrent_answers;
mod failures;
mod fake_discovery;
mod fleet;
mod harness;
mod pushed;
mod renewal;
mod unanswered;
mod verification;
