//! The server list as a relay holds it between discovery and its callers.
//!
//! Owns the versioned copy of the list: it applies upstream's lists and deltas, answers callers with what changed since
//! their version, and knows by a lease for how long its word is good. It does no I/O and reads no clock: time comes in as
//! an argument, counted from any origin.

mod history;
mod message;
mod replica;

pub use history::{CHANGES_BYTES, MAX_VERSIONS};
pub use message::{Entry, List, MessageError, Version};
pub use replica::{
    Applied, Call, Question, RejectedList, Replica, Reply, Unavailable, EPOCH_OVERLAP, LIST_BYTES,
    SHRINK_FACTOR,
};
