//! The simulator's wire: a text format in which the simulator sends events to many balancers and
//! reads their actions.
//!
//! Owns the format: parses lines into [`Message`]s, settings and load reports into the types of the
//! decision module, and writes actions as lines. It makes no decisions and does no I/O; the binary
//! of this crate, the simulator adapter, runs the decision module on standard input and output.
//!
//! A line is a word followed by `name=value` pairs, separated by single spaces. Unknown words and
//! names are skipped, so that a newer simulator can send additional data. Times and durations are
//! in microseconds.

#![warn(missing_docs)]

mod error;
mod fields;
mod load;
mod parser;
mod reply;
mod settings;

pub use error::WireError;
pub use load::read_load;
pub use parser::{InstanceId, Message, Parser};
pub use reply::{end_reply, write_action, write_failure};
pub use settings::read_settings;
