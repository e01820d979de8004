//! The rules by which discovery counts this node as notified of a change of the endpoint list.
//!
//! Discovery doesn't wait for an acknowledgement. It infers from a node's calls that the node has
//! received a change, and counts the node as *notified* of the change from then on. Once a node is
//! notified that an endpoint is draining or removed, it must not send anything to the endpoint
//! after the configured grace period (`drain_grace`). The client's timing (`timing`) follows from
//! these rules:
//!
//! - **Written answer**: the node is notified of the whole content of an answer as soon as
//!   discovery has written it, whether or not the node reads it. Therefore no call is dropped while
//!   an answer may be in transit, and the answers to superseded calls are read (`in_flight`).
//! - **Open long poll**: after an answer the node must call again within [`WATCH_CONTINUITY_GAP`].
//!   Otherwise it is immediately notified of changes made in that gap.
//! - **Unanswered long poll**: the node is notified of the missed changes
//!   [`NOTIFIED_AFTER_WATCH_WAIT`] after the end of the wait that the call requested. Until then a
//!   stalled watch looks like a watch without changes, which is why watches are renewed.
//! - **Failed call**: after a call that was refused, reset, or closed by the node before its
//!   answer, the node is notified of each change [`NOTIFIED_AFTER_FAILED_CALL`] after discovery had
//!   the change and was reachable, until another call is answered.
//! - **No call**: a node that neither called nor kept a watch open for the configured polling
//!   interval (`max_poll_interval`) is notified of all changes.
//! - **Changed address**: a node that was reconfigured to use another discovery is notified of the
//!   whole list of the new discovery [`NOTIFIED_AFTER_ADDRESS_CHANGE`] later. Until then the node
//!   is also notified of the answers that the old discovery writes.
//! - **Pushed lists**: where discovery pushes lists to an agent that serves only this node, the
//!   node is immediately notified of the agent's list, with or without a call.
//!
//! Discovery handles calls one after the other. A call waits in discovery's queue for
//! [`QUEUE_LIMIT`] at most; a call that would wait longer is refused with status 503.

use std::time::Duration;

/// Upper bound of a call's waiting time in discovery's queue.
pub const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Time after an answer within which the next call continues the watch.
pub const WATCH_CONTINUITY_GAP: Duration = Duration::from_millis(200);
/// Time from the end of a long poll's wait until the node is notified of the changes that the poll
/// should have delivered.
pub const NOTIFIED_AFTER_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time from a change until a node whose call has failed is notified of the change.
pub const NOTIFIED_AFTER_FAILED_CALL: Duration = Duration::from_secs(6);
/// Time from a change of discovery's address until the node is notified of the new discovery's
/// list.
pub const NOTIFIED_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
