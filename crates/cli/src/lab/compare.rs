//! `slatelink lab compare`: compares two reports, or two node binaries that run the same
//! scenarios and seeds alternately.

use super::scenario_run::{run_with_progress_bar, scenario_name};
use crate::exit::{unusable, CommandResult, EXIT_FAILURE};
use crate::node_arguments::node_program;
use clap::Args;
use slatelink_lab::compare::{self, Measured};
use slatelink_lab::scenario::Scenario;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Args)]
pub struct Compare {
    /// Report A in JSON, or binary A of a node
    a: PathBuf,
    /// Report B, or binary B
    b: PathBuf,
    /// Scenarios to run with both binaries
    #[arg(long = "scenario", value_name = "FILE")]
    scenarios: Vec<PathBuf>,
    /// Number of seeds with which each scenario is run
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=1_000))]
    seeds: u64,
    /// Settings of the operators' features for each node, in TOML
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
}

/// Results of both binaries, one pair per seed.
type Pairs = Vec<(Measured, Measured)>;

impl Compare {
    /// Runs the comparison and prints the differences.
    pub fn run(self) -> CommandResult {
        match (is_report(&self.a), is_report(&self.b)) {
            (true, true) => self.compare_reports(),
            (false, false) => self.compare_binaries(),
            _ => unusable(
                "a report cannot be compared with a binary: name two reports or two binaries",
            ),
        }
    }

    fn compare_reports(&self) -> CommandResult {
        match (read_report(&self.a), read_report(&self.b)) {
            (Ok(a), Ok(b)) => {
                print!("{}", compare::compare_runs(&a, &b));
                Ok(ExitCode::SUCCESS)
            }
            (Err(error), _) | (_, Err(error)) => unusable(error),
        }
    }

    fn compare_binaries(&self) -> CommandResult {
        if self.scenarios.is_empty() {
            return unusable("a comparison of two binaries needs at least one --scenario");
        }
        let stop = crate::signals::stop_at_interrupt()?;
        for file in &self.scenarios {
            let scenario = match Scenario::load(file) {
                Ok(scenario) => scenario,
                Err(error) => return unusable(error),
            };
            let name = scenario_name(file);
            let Some(pairs) = self.run_pairs(&name, &scenario, &stop)? else {
                eprintln!("slatelink: stopped");
                return Ok(ExitCode::from(EXIT_FAILURE));
            };
            print!("{}", compare::compare_paired_runs(&name, &pairs));
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Runs a scenario with both binaries over all seeds. Returns `None` if the run was stopped.
    fn run_pairs(
        &self,
        name: &str,
        scenario: &Scenario,
        stop: &Arc<AtomicBool>,
    ) -> Result<Option<Pairs>, Box<dyn Error>> {
        let mut pairs = Pairs::new();
        for offset in 0..self.seeds {
            let seed = scenario.seed.wrapping_add(offset);
            let measure = |binary: &Path| {
                let program = node_program(binary.to_owned(), self.features.as_deref());
                run_with_progress_bar(name, scenario, program, seed, stop)
            };
            // The order alternates, so that other load on the machine affects both binaries alike.
            let (a, b) = if offset % 2 == 0 {
                let a = measure(&self.a)?;
                (a, measure(&self.b)?)
            } else {
                let b = measure(&self.b)?;
                (measure(&self.a)?, b)
            };
            let (Some(a), Some(b)) = (a, b) else {
                return Ok(None);
            };
            pairs.push((Measured::of(&a), Measured::of(&b)));
        }
        Ok(Some(pairs))
    }
}

/// Checks whether a path names a report rather than a node's binary.
fn is_report(path: &Path) -> bool {
    path.extension().is_some_and(|suffix| suffix == "json")
}

fn read_report(path: &Path) -> Result<Measured, String> {
    let text =
        std::fs::read(path).map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    serde_json::from_slice(&text)
        .map_err(|error| format!("{} is not a valid report: {error}", path.display()))
}
