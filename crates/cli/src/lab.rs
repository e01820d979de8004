//! `slatelink lab`: plays scenarios, compares nodes, measures idle connections and control at scale, lists scenarios.

mod compare;
mod idle;
mod list;
mod play;
mod run;
mod scale;

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
    /// Play scenarios and check the rules; exit 0 if all hold, 1 if one does not, 2 if one cannot be played
    Run(Run),
    /// Compare two reports, or two node binaries in turn over the same seeds
    Compare(Compare),
    /// Measure what idle client connections cost a node, and how it bears all of them speaking at once
    Idle(Idle),
    /// Measure control at scale: real nodes and many simulated ones against one discovery
    Scale(Box<Scale>),
    /// Run simulated nodes for `lab scale`, which starts this
    #[command(hide = true)]
    ScaleWorker,
    /// List the scenarios of a folder
    List {
        /// The folder
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
}

impl Command {
    /// Runs it.
    pub fn run(self) -> CommandResult {
        match self {
            Self::Run(run) => run.run(),
            Self::Compare(compare) => compare.run(),
            Self::Idle(idle) => idle.run(),
            Self::Scale(scale) => scale.run(),
            Self::ScaleWorker => scale::work(),
            Self::List { folder } => list(&folder),
        }
    }
}
