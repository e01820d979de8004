//! A node on sockets: carries out what the decision module says, and reports to it what happens.
//!
//! Owns the sockets, tasks and signals of one node. It chooses no endpoint, retries nothing and sheds nothing by itself:
//! events go to the decision module, and its actions are carried out in order. Events are reported to telemetry through an `Observer`.
//!
//! A request's way leads from `server` (client connections) to `driver` (open requests and the decision module, run by
//! `policy_runner`) and `upstream` (connections to endpoints), and back as events. `discovery` brings endpoint lists.
//! `node` wires these parts to each other and `startup` runs them, with `budget` for what connections may use; `shutdown`
//! and `reload` say what signals do.

mod budget;
mod connections;
pub mod control;
mod discovery;
mod driver;
mod error;
mod list_client;
mod multiget;
mod node;
mod policy_runner;
pub mod relay;
mod reload;
mod server;
mod shutdown;
mod startup;
mod timer_queue;
mod upstream;

pub use budget::BudgetError;
pub use error::NodeError;
pub use startup::run;
