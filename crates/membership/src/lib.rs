//! A relay's replica of the endpoint list: receives updates from upstream and serves downstream
//! clients.
//!
//! Owns the versioned copy of the list: applies upstream's snapshots and deltas, answers clients
//! with the changes since their version, and limits by a lease how long the copy may be served. The
//! crate does no I/O and reads no clock: the current time is an argument, as the duration since an
//! arbitrary origin that all calls on a replica share.

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
