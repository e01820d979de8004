//! When discovery counts this node as notified of a change of the endpoint list.
//!
//! Discovery doesn't wait for an acknowledgement. From what it sees of a node's calls it concludes that the node knows a
//! change, and it counts that node as *notified* from then on. Once a node is notified that an endpoint is draining or
//! removed, it may send nothing to that endpoint after the grace period of the settings (`drain_grace`). The client's
//! timing (`timing`) follows from these rules:
//!
//! - **Written answer**: the node is notified of everything in an answer as soon as discovery has written it, whether
//!   or not the node reads it. So no call is dropped while an answer may be on its way, and the answers to superseded
//!   calls are read (`in_flight`).
//! - **Open long poll**: after an answer the node must call again within [`WATCH_CONTINUITY_GAP`], or it is notified of
//!   what changes in that gap at once.
//! - **Unanswered long poll**: the node is notified of what it missed [`NOTIFIED_AFTER_WATCH_WAIT`] after the wait that
//!   the call asked for is over. A watch that has fallen silent looks like one without changes until then, which is why
//!   watches are renewed.
//! - **Failed call**: after a call that was refused, reset, or closed by the node before its answer, the node is notified
//!   of each change [`NOTIFIED_AFTER_FAILED_CALL`] after discovery had that change and could be reached.
//! - **No call**: a node that neither called nor kept a watch for the polling interval of the settings
//!   (`max_poll_interval`) is notified of all changes.
//! - **Changed address**: a node that was configured to use another discovery is notified of the whole list there
//!   [`NOTIFIED_AFTER_ADDRESS_CHANGE`] later. Until then the old discovery's written answers count.
//! - **Pushed lists**: where an agent beside the node receives the lists, the node is notified of what the agent has at
//!   once, with or without a call.
//!
//! Discovery handles calls one after the other. A call waits in its queue for [`QUEUE_LIMIT`] at most; one that would
//! wait longer is refused with status 503.

use std::time::Duration;

/// Bound on the time that a call stands in discovery's queue before its turn.
pub const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Calls that follow an answer within this time continue the watch.
pub const WATCH_CONTINUITY_GAP: Duration = Duration::from_millis(200);
/// Time from the end of a long poll's wait until the node is notified of what the poll should have brought.
pub const NOTIFIED_AFTER_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time from a change until a node whose call has failed is notified of it.
pub const NOTIFIED_AFTER_FAILED_CALL: Duration = Duration::from_secs(6);
/// Time from a change of discovery's address until the node is notified of the list at the new one.
pub const NOTIFIED_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
