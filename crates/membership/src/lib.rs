//! The server list as a relay holds it between discovery and its callers.
//!
//! Owns the versioned copy of the list: it applies upstream's lists and deltas, answers callers with what changed since
//! their version, and knows by a lease for how long its word is good. It does no I/O and reads no clock: time comes in as
//! an argument, counted from any origin.

mod history;
mod message;
mod replica;

pub use history::{MAX_HISTORY_BYTES, MAX_HISTORY_VERSIONS};
pub use message::{EndpointRecord, ListUpdate, MessageError, Version};
pub use replica::{
    Answer, ApplyOutcome, ListQuery, RejectedUpdate, Replica, Unavailable, UpstreamCall,
    EPOCH_AMBIGUITY_WINDOW, MAX_LIST_BYTES, UNCONFIRMED_SHRINK_FACTOR,
};
