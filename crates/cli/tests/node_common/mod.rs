//! What a test needs around a node, on loopback: cache servers and discovery that answer as the test says, and clients.
// Each test binary has its own part of it.
#![allow(dead_code, unused_imports)]

mod cache_server;
mod discovery;
mod http;
pub mod manual_discovery;
mod node;
pub mod pair;
mod slow_server;
mod waiting;

pub use cache_server::{host, CacheServer, Does};
pub use discovery::Discovery;
pub use http::{answer, read, Client, Message};
pub use node::{command, config, write_config, Node};
pub use slow_server::SlowServer;
pub use waiting::{wait_for, Gate, PATIENCE};
