//! A node on sockets: executes the actions of the decision module and reports events to it.
//!
//! Owns the sockets, tasks and signals of one node. It chooses no endpoint, retries nothing and
//! sheds nothing by itself: events go to the decision module, and its actions are executed in
//! order. Events are also reported to telemetry through an `Observer`.
//!
//! A request passes from `server` (client connections) to `driver` (open requests and the decision
//! module, run by `policy_runner`) and to `upstream` (connections to endpoints); the results return
//! as events. `discovery` receives endpoint lists. `node` connects these parts and `startup` runs
//! them. `body` reads message bodies within a limit on the bytes held, and `budget` sets the resources
//! that connections may use; `shutdown` and `reload` handle
//! signals.

mod body;
mod budget;
mod classes;
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
