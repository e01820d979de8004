//! The simulator's wire: a text format in which the simulator tells many balancers of events and reads their actions.
//!
//! Owns the format: reads lines into [`Message`]s, settings and load reports into the types of the decision module, and
//! writes actions as lines. It decides nothing and does no I/O; the binary of this crate hosts the decision module on
//! standard input and output.
//!
//! A line is a word and `name=value` pairs, all set apart by one space. Unknown words and names are skipped, so that a
//! newer simulator can say more. Points in time and durations are microseconds.

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
