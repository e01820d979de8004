//! Peers that flood a node beside its proper clients: with requests sent without a pause, requests
//! that arrive slowly or never become complete, and bytes behind requests whose sender leaves.
//!
//! All peers of a flood run on one thread of their own. Each connects again when the node closes
//! its connection. A flood ends when it is stopped, and at the latest after [`MAX_DURATION`].

mod message;
mod peer;

pub use message::FloodMessage;

use peer::{run_peer, PeerCounts};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::timeout;

/// Longest duration of a flood.
pub const MAX_DURATION: Duration = Duration::from_secs(120);

/// How the peers of a flood send their messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloodPacing {
    /// One message after the other, without waiting for responses.
    Pipelined,
    /// The next message after the response to the last.
    ClosedLoop,
    /// A small piece of the message at a time, with a pause after each.
    Slow,
    /// Half of a message, and nothing more.
    Stopped,
    /// A message with many bytes behind it, after which the peer closes the connection.
    Leaving,
    /// No message: the peer connects and closes.
    ConnectOnly,
}

/// A flood of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Flood {
    /// What the peers send.
    pub message: FloodMessage,
    /// How they send it.
    pub pacing: FloodPacing,
    /// Number of peers, each with one connection.
    pub peers: usize,
    /// Class that requests name.
    pub class: String,
    /// First number of the names and ids in the messages; floods at one node use separate ranges.
    pub first_number: u64,
}

/// Counts of a flood that has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloodCounts {
    /// Connections that were established.
    pub connections: u64,
    /// Bytes written.
    pub bytes_written: u64,
    /// Bytes of responses.
    pub bytes_read: u64,
}

/// A flood that is running; it ends when this is dropped.
pub struct RunningFlood {
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<io::Result<FloodCounts>>>,
}

impl Flood {
    /// Starts the peers, which connect to `node`.
    pub fn start(&self, node: SocketAddr) -> io::Result<RunningFlood> {
        let (stop, stopped) = watch::channel(false);
        let flood = self.clone();
        let thread = thread::Builder::new()
            .name("flood".to_owned())
            .spawn(move || flood.run(node, stopped))?;
        Ok(RunningFlood {
            stop,
            thread: Some(thread),
        })
    }

    /// Runs the peers on this thread until `stopped` is set.
    fn run(&self, node: SocketAddr, mut stopped: watch::Receiver<bool>) -> io::Result<FloodCounts> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let counts = Rc::new(PeerCounts::default());
        let peers = async {
            let mut running = JoinSet::new();
            for peer in 0..self.peers {
                running.spawn_local(run_peer(self.clone(), peer, node, counts.clone()));
            }
            // Ends with an error if the sender is gone, and with it the owner of the flood.
            let _ = timeout(MAX_DURATION, stopped.wait_for(|stopped| *stopped)).await;
            running.shutdown().await;
        };
        LocalSet::new().block_on(&runtime, peers);
        Ok(counts.total())
    }
}

impl RunningFlood {
    /// Ends the flood and returns its counts.
    pub fn stop(mut self) -> io::Result<FloodCounts> {
        self.end().unwrap_or_else(|| Ok(FloodCounts::default()))
    }

    fn end(&mut self) -> Option<io::Result<FloodCounts>> {
        self.stop.send_replace(true);
        let ended = self.thread.take()?.join();
        Some(ended.unwrap_or_else(|_| Err(io::Error::other("the thread of the flood panicked"))))
    }
}

impl Drop for RunningFlood {
    fn drop(&mut self) {
        // The counts of a flood that nobody asks for are not needed.
        let _ = self.end();
    }
}
