//! The client of discovery: keeps the node's endpoint list up to date.
//!
//! While the client holds a list it keeps a *watch* open: a long poll that discovery answers with
//! the next change. It *renews* the watch at intervals, because a stalled watch, which no longer
//! delivers changes, looks like a watch without changes. Without a list it *polls* for the complete
//! list. After a failed call it waits for the decision module's request to poll, which follows the
//! decision module's backoff, and for the client's own backoff where the failure requires one. The
//! next watch is *verified* by a poll, and calls after late failures are *hedged*. The open watches
//! are also verified after any other call that ends unanswered, among them the watches that the
//! client closes itself.
//!
//! | module | concern |
//! | --- | --- |
//! | `notified` | when discovery counts a node as notified; the basis of the other modules |
//! | `timing` | timeouts, intervals and backoffs |
//! | `client` | the client's state, its call loop and its backoff after failures |
//! | `lists` | acceptance of received lists and their forwarding to the driver |
//! | `watch`, `renewal` | lifetime of a watch; its verification and renewal |
//! | `poll` | polls and their hedged calls |
//! | `call`, `in_flight`, `watches` | a single call; all calls in flight; the open watches |
//! | `stale_lists` | lists that arrive after newer lists |

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
use slatelink_policy::Settings;
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Times of the settings that determine when the node counts as notified of a change.
#[derive(Clone, Copy, Debug)]
pub struct ListTimings {
    /// Grace period after the notification that an endpoint is draining or removed. Once it is
    /// over, the node sends nothing to the endpoint.
    pub drain_grace: Duration,
    /// Time without a call after which the node counts as notified of all changes.
    pub max_poll_interval: Duration,
}

impl ListTimings {
    /// Returns the times of these settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            drain_grace: settings.drain_grace,
            max_poll_interval: settings.max_poll_interval,
        }
    }
}

/// Initial state, settings and channels of the client.
pub struct DiscoveryOptions {
    /// Discovery's address. A change supersedes all calls to the previous address.
    pub address: tokio::sync::watch::Receiver<SocketAddr>,
    /// Version of the endpoint list that the node holds; `None` if it holds no list.
    pub version: Option<u64>,
    /// Whether lists are pushed to a discovery agent that serves only this node. The client then
    /// always keeps a watch open at the agent, without a request to poll.
    pub pushed: bool,
    /// Times of the settings, which may change.
    pub timings: Rc<Cell<ListTimings>>,
    /// Longest answer that is read, in bytes; a longer one is a failed call.
    pub max_list_bytes: usize,
    /// Source of jitter.
    pub random: fastrand::Rng,
    /// Channel to the driver for the lists, and for an event after each failure that requires the
    /// decision module to request a poll.
    pub events: UnboundedSender<DriverEvent>,
    /// Log of failures and stale lists; its lines are rate-limited.
    pub log: Log,
}

/// Keeps the endpoint list up to date until the receiver of the events or the sender of the address
/// is dropped.
///
/// `poll_requested` starts the first call, and the next call after a failure. A change of the
/// address immediately starts a poll for the complete list at the new address, because versions of
/// the old discovery are meaningless there. The node keeps its current list until the new list
/// arrives.
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
        client.prepare_for_address_change();
        address_changed_at = Some(Instant::now());
    }
}

#[cfg(test)]
mod tests;
