//! `slatelink lab run`: runs scenarios and checks the rules.

use super::scenario_run::{run_with_progress_bar, scenario_name};
use crate::exit::{success_if, unusable, CommandResult, EXIT_FAILURE};
use crate::node_arguments::NodeArguments;
use clap::Args;
use slatelink_lab::nodes::Program;
use slatelink_lab::report::Report;
use slatelink_lab::scenario::{Scenario, ScenarioError};
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
pub struct Run {
    /// Scenario files, in TOML
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// First seed; by default the scenario's own seed
    #[arg(long)]
    seed: Option<u64>,
    /// Number of runs of each scenario, with consecutive seeds
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    repeat: u64,
    /// Requests per second, not counting retries, instead of the scenario's rate
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=200_000))]
    rate: Option<u32>,
    /// Send the load directly to the cache servers, without nodes, to measure the capacity of the
    /// lab itself
    #[arg(long, conflicts_with_all = ["node", "features"])]
    direct: bool,
    /// Folder to which the report of each run is written, as JSON and as HTML
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print each report as one line of JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    node: NodeArguments,
}

/// A scenario with its name.
struct NamedScenario {
    name: String,
    scenario: Scenario,
}

impl Run {
    /// Runs each scenario with each of its seeds and prints the reports.
    pub fn run(self) -> CommandResult {
        // All scenarios are read before the first one runs, so that an error in the last scenario
        // is reported at once.
        let scenarios: Result<Vec<_>, _> = self.files.iter().map(|file| self.load(file)).collect();
        let scenarios = match scenarios {
            Ok(scenarios) => scenarios,
            Err(error) => return unusable(error),
        };
        if let Some(out) = &self.out {
            if let Err(error) = std::fs::create_dir_all(out) {
                return unusable(format!("cannot create folder {}: {error}", out.display()));
            }
        }
        self.node.start_log();
        let program = if self.direct {
            Program::NoNode
        } else {
            self.node.program()?
        };
        let stop = crate::signals::stop_at_interrupt()?;
        let mut all_hold = true;
        for NamedScenario { name, scenario } in &scenarios {
            let first = self.seed.unwrap_or(scenario.seed);
            for seed in (0..self.repeat).map(|offset| first.wrapping_add(offset)) {
                let result = run_with_progress_bar(name, scenario, program.clone(), seed, &stop)?;
                let Some(report) = result else {
                    eprintln!("slatelink: stopped");
                    return Ok(ExitCode::from(EXIT_FAILURE));
                };
                all_hold &= report.holds;
                self.write_files(name, seed, &report)?;
                self.print(&report)?;
            }
        }
        Ok(success_if(all_hold))
    }

    /// Reads a scenario and replaces its rate if `--rate` is given.
    fn load(&self, file: &Path) -> Result<NamedScenario, ScenarioError> {
        let mut scenario = Scenario::load(file)?;
        if let Some(rate) = self.rate.and_then(|rate| f64::from(rate).try_into().ok()) {
            scenario.load.rate = rate;
        }
        Ok(NamedScenario {
            name: scenario_name(file),
            scenario,
        })
    }

    /// Writes a report as JSON and as HTML if `--out` is given.
    fn write_files(&self, name: &str, seed: u64, report: &Report) -> Result<(), Box<dyn Error>> {
        if let Some(out) = &self.out {
            let path = out.join(format!("{name}-{seed}"));
            let json = serde_json::to_vec_pretty(report)?;
            std::fs::write(path.with_extension("json"), json)?;
            std::fs::write(path.with_extension("html"), report.html()?)?;
        }
        Ok(())
    }

    fn print(&self, report: &Report) -> Result<(), Box<dyn Error>> {
        let mut out = io::stdout().lock();
        if self.json {
            writeln!(out, "{}", serde_json::to_string(report)?)?;
        } else {
            write!(out, "{}", report.text())?;
        }
        Ok(())
    }
}
