//! The scale run: measures the control plane with a simulated discovery service, a few real node
//! processes and many simulated nodes.
//!
//! A simulated node consists of the discovery client and the decision module of a real node,
//! without a listener, connections to cache servers, or clients. Many simulated nodes share a
//! process. Messages and bytes are counted by the simulated discovery; in a step-wise run the same
//! seed gives the same counts. Times and memory are measured and depend on the machine.

pub mod assignment;
pub mod bounds;
pub mod convergence;
pub mod counts;
pub mod discovery;
pub mod endpoint_list;
pub mod error;
pub mod fleet;
pub mod options;
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
pub mod schedule_runner;
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
