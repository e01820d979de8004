//! The client of discovery: keeps the node's endpoint list up to date.
//!
//! While the client holds a list it has a *watch* open, a long poll that discovery answers with the next change. It
//! *renews* the watch at intervals, because one that has fallen silent looks like one without changes. Without a list it
//! *polls* for the complete one. After a failed call it waits: for the policy's request to poll, which comes with the
//! policy's backoff, and for a backoff of its own where discovery's state calls for one. The watch that it then opens is
//! *verified* by a poll, and calls after late failures are *hedged*.
//!
//! | module | concern |
//! | --- | --- |
//! | `notified` | the rules by which discovery counts a node as notified, from which the rest follows |
//! | `timing` | timeouts, intervals and backoffs |
//! | `client` | the client's state, its loop of calls, its backoff after failures |
//! | `lists` | what happens with a list that was received |
//! | `watch`, `renewal` | a watch from its opening to its answer; its verification and renewal |
//! | `poll` | polls, with their hedged calls |
//! | `call`, `in_flight`, `watches` | one call; all calls in flight; the open watches among them |
//! | `stale_lists` | lists that arrive after newer ones |

mod call;
mod client;
mod in_flight;
mod lists;
mod notified;
mod poll;
mod renewal;
mod stale_lists;
mod timing;
mod watch;
mod watches;

use crate::driver::DriverEvent;
use client::DiscoveryClient;
use slatelink_telemetry::Log;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the client of discovery begins with.
pub struct DiscoveryOptions {
    /// Discovery's address. A change supersedes all calls to the old address.
    pub address: tokio::sync::watch::Receiver<SocketAddr>,
    /// Version of the endpoint list that the node holds, if it holds one.
    pub version: Option<u64>,
    /// Whether an agent beside the node receives the lists. A watch is always open there then, without a request to poll.
    pub pushed: bool,
    /// The node sends nothing to an endpoint later than this after it was notified that the endpoint is draining or removed.
    pub drain_grace: Duration,
    /// A node that hasn't called for so long is notified of all changes.
    pub max_poll_interval: Duration,
    /// Source of jitter.
    pub random: fastrand::Rng,
    /// Receives the lists, and an event for each failure after which the policy is to request a poll.
    pub events: UnboundedSender<DriverEvent>,
    /// Receives a line, at a limited rate, for each failure and each stale list.
    pub log: Log,
}

/// Keeps the endpoint list up to date until the receiver of the events, or the sender of the address, is dropped.
///
/// `poll_requested` starts the first call, and the next one after a failure. A change of the address starts a poll for the
/// complete list there at once: versions of the old discovery mean nothing at the new one. Until that list has come the
/// node keeps the one that it has.
pub async fn run(options: DiscoveryOptions, poll_requested: Rc<Notify>) {
    let mut address = options.address.clone();
    let mut client = DiscoveryClient::new(options);
    let mut address_changed_at = None;
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            _driver_stopped = client.run_at_address(current, &poll_requested, address_changed_at) => return,
            changed = address.changed() => if changed.is_err() { return },
        }
        client.leave_address();
        address_changed_at = Some(Instant::now());
    }
}

#[cfg(test)]
mod tests;
