//! The scale run: a stand-in for discovery, a few real node processes and many simulated nodes, measured together.
//!
//! A simulated node is the client of discovery and the decision module of a real one, without listener, connections to
//! cache servers and clients; many of them share a process. What is counted (messages, bytes) is counted by the stand-in
//! and is the same for a seed where changes go step by step; times and memory are measured and depend on the machine.

pub mod assignment;
pub mod bounds;
pub mod convergence;
pub mod counts;
pub mod directory;
pub mod error;
pub mod fleet;
pub mod options;
pub mod play;
pub mod processes;
pub mod progress;
pub mod protocol;
pub mod queue;
pub mod real;
pub mod relays;
pub mod report;
pub mod run;
pub mod sample;
pub mod schedule;
pub mod service;
pub mod state;
pub mod traffic;
pub mod worker;
pub mod workers;

pub use error::ScaleError;
pub use fleet::Programs;
pub use options::{Fault, FaultKind, Options};
pub use progress::Progress;
pub use report::Report;
pub use run::run;
pub use worker::run_worker;
pub use workers::WorkerProgram;
