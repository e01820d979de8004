//! `slatelink lab`: runs scenarios, compares nodes, measures idle connections and the control
//! plane at scale, lists scenarios.

mod compare;
mod idle;
mod list;
mod run;
mod scale;
mod scenario_run;

use crate::exit::CommandResult;
use clap::Subcommand;
use compare::Compare;
use idle::Idle;
use list::list;
use run::Run;
use scale::Scale;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Command {
    /// Run scenarios and check the rules; exit with 0 if all rules hold, 1 if one is broken, 2 if
    /// a scenario cannot be run
    Run(Run),
    /// Compare two reports, or two node binaries, run alternately over the same seeds
    Compare(Compare),
    /// Measure a node's memory and latency with idle client connections, and with a burst of
    /// requests on all these connections
    Idle(Idle),
    /// Measure the control plane at scale: real and many simulated nodes with one discovery
    Scale(Box<Scale>),
    /// Run simulated nodes as a worker process of `lab scale`
    #[command(hide = true)]
    ScaleWorker,
    /// List the scenarios in a folder
    List {
        /// The folder
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> CommandResult {
        match self {
            Self::Run(run) => run.run(),
            Self::Compare(compare) => compare.run(),
            Self::Idle(idle) => idle.run(),
            Self::Scale(scale) => scale.run(),
            Self::ScaleWorker => scale::run_worker(),
            Self::List { folder } => list(&folder),
        }
    }
}
