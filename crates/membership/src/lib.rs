//! A relay's replica of the endpoint list, between upstream and downstream clients.
//!
//! Owns the versioned copy of the list: applies upstream's snapshots and deltas, answers clients with what changed since
//! their version, and tells by a lease how long the copy may be served. It does no I/O and reads no clock: time is passed
//! in as the duration since an arbitrary origin, the same one for all calls on a replica.

mod history;
mod message;
mod record;
mod replica;

pub use history::{MAX_HISTORY_BYTES, MAX_HISTORY_VERSIONS};
pub use message::{ListUpdate, MessageError, Version};
pub use record::EndpointRecord;
pub use replica::{
    Answer, ApplyOutcome, ListQuery, RejectedUpdate, Replica, Unavailable, UpstreamCall,
    EPOCH_AMBIGUITY_WINDOW, MAX_LIST_BYTES, UNCONFIRMED_SHRINK_FACTOR,
};
