//! `slatelink lab scale`: measures the control plane with real and many simulated nodes and a
//! simulated discovery.

use crate::exit::{success_if, unusable, CommandResult, EXIT_FAILURE, EXIT_UNUSABLE};
use crate::node_arguments::NodeArguments;
use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use slatelink_config::relay::DEFAULT_LEASE_MS;
use slatelink_lab::scale::bounds::{Estimate, Limits};
use slatelink_lab::scale::{
    self, Fault, FaultKind, Options, Programs, Progress, Report, ScaleError, WorkerProgram,
};
use std::error::Error;
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which the progress line is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Arguments with which this binary runs as a worker process: the hidden `lab scale-worker`.
const WORKER_ARGUMENTS: [&str; 2] = ["lab", "scale-worker"];

#[derive(Args)]
pub struct Scale {
    /// Real nodes, each in its own process
    #[arg(long, value_name = "N", default_value_t = 1)]
    real: usize,
    /// Simulated nodes, which share a few processes; each runs the discovery client and the
    /// decision module of a node
    #[arg(long, value_name = "N", default_value_t = 50)]
    simulated: usize,
    /// Processes in which simulated nodes run
    #[arg(long, value_name = "N", default_value_t = 4)]
    workers: usize,
    /// Cache servers in the endpoint list
    #[arg(long, value_name = "N", default_value_t = 50)]
    servers: usize,
    /// Zones among which the cache servers are distributed
    #[arg(long, value_name = "N", default_value_t = 3)]
    zones: usize,
    /// Requests per second of each node
    #[arg(long, value_name = "RATE", default_value_t = 0.0)]
    requests: f64,
    /// Changes of the endpoint list per second
    #[arg(long, value_name = "RATE", default_value_t = 1.0)]
    list_changes: f64,
    /// New configurations per second, each for the whole fleet
    #[arg(long, value_name = "RATE", default_value_t = 0.0)]
    configurations: f64,
    /// Duration of the phase in which changes are made
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    length: f64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Make a change only when the previous change is in force on all nodes and all nodes watch
    /// again
    #[arg(long)]
    step_wise: bool,
    /// Time that discovery takes per call
    #[arg(long, value_name = "MICROSECONDS", default_value_t = 250)]
    call_cost: u64,
    /// Time that discovery takes per entry written
    #[arg(long, value_name = "MICROSECONDS", default_value_t = 5)]
    entry_cost: u64,
    /// Number of relays between discovery and the simulated nodes, in the first and in the second
    /// tier
    #[arg(long, value_name = "N[,M]", value_delimiter = ',')]
    relays: Vec<usize>,
    /// Lease of the relays: time for which a relay serves calls after the last response from
    /// upstream
    #[arg(long, value_name = "MILLISECONDS", default_value_t = DEFAULT_LEASE_MS)]
    relay_lease_ms: u64,
    /// Fault to inject
    #[arg(long, value_enum)]
    trouble: Option<FaultArgument>,
    /// Start of the fault
    #[arg(
        long,
        value_name = "SECONDS",
        default_value_t = 5.0,
        requires = "trouble"
    )]
    trouble_at: f64,
    /// Duration of the fault; ignored for a restart
    #[arg(
        long,
        value_name = "SECONDS",
        default_value_t = 10.0,
        requires = "trouble"
    )]
    trouble_for: f64,
    /// File to which the report is written, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    #[command(flatten)]
    node: NodeArguments,
}

#[derive(Clone, Copy, ValueEnum)]
enum FaultArgument {
    /// Discovery is unavailable for the duration of the fault
    DiscoveryDown,
    /// A tenth of the nodes restart at once
    RestartTenth,
    /// The servers of one zone are removed from the endpoint list for the duration of the fault
    ZoneLost,
    /// Half of the nodes cannot reach discovery for the duration of the fault
    Split,
}

impl From<FaultArgument> for FaultKind {
    fn from(argument: FaultArgument) -> Self {
        match argument {
            FaultArgument::DiscoveryDown => Self::DiscoveryDown,
            FaultArgument::RestartTenth => Self::RestartTenth,
            FaultArgument::ZoneLost => Self::ZoneLost,
            FaultArgument::Split => Self::Partition,
        }
    }
}

impl Scale {
    /// Runs the measurement and prints the report.
    pub fn run(self) -> CommandResult {
        self.node.start_log();
        let options = self.options();
        let programs = Programs {
            node: self.node.program()?,
            worker: WorkerProgram {
                path: std::env::current_exe()?,
                arguments: WORKER_ARGUMENTS.map(str::to_owned).to_vec(),
            },
            relay: std::env::current_exe()?,
        };
        if let Err(error) = check_and_print_estimate(&options) {
            return print_failure(&error);
        }
        // The file is created before the run, so that an unwritable path is reported at once.
        let json = match self.json.as_ref().map(|path| (path, File::create(path))) {
            None => None,
            Some((_, Ok(file))) => Some(file),
            Some((path, Err(error))) => {
                return unusable(format!("cannot write {}: {error}", path.display()));
            }
        };
        let stop = crate::signals::stop_at_interrupt()?;
        match run_with_progress(&options, &programs, &stop)? {
            Ok(report) => {
                if let Some(file) = json {
                    serde_json::to_writer_pretty(file, &report)?;
                }
                write!(io::stdout().lock(), "{report}")?;
                Ok(success_if(report.behind_at_end == 0))
            }
            Err(error) => print_failure(&error),
        }
    }

    fn options(&self) -> Options {
        let fault = self.trouble.map(|name| {
            let kind = FaultKind::from(name);
            let for_s = if kind == FaultKind::RestartTenth {
                0.0
            } else {
                self.trouble_for
            };
            Fault {
                kind,
                at_s: self.trouble_at,
                for_s,
            }
        });
        Options {
            real: self.real,
            simulated: self.simulated,
            workers: self.workers,
            servers: self.servers,
            zones: self.zones,
            requests: self.requests,
            list_changes: self.list_changes,
            configurations: self.configurations,
            length_s: self.length,
            seed: self.seed,
            step_wise: self.step_wise,
            call_cost_us: self.call_cost,
            entry_cost_us: self.entry_cost,
            relays: self.relays.clone(),
            relay_lease_ms: self.relay_lease_ms,
            fault,
        }
    }
}

/// Runs simulated nodes in this process, as a worker of `lab scale`.
pub fn run_worker() -> CommandResult {
    scale::run_worker()?;
    Ok(ExitCode::SUCCESS)
}

/// Checks the options and prints the estimated resources of the run before it starts. Returns an
/// error if they exceed the limits of this machine.
fn check_and_print_estimate(options: &Options) -> Result<(), ScaleError> {
    options.check()?;
    let (estimate, limits) = (Estimate::of(options), Limits::read()?);
    estimate.check(&limits)?;
    let allowed = limits.memory_kib >> 10;
    eprintln!("estimated: {estimate}; half of this machine's memory is {allowed} MiB");
    Ok(())
}

/// Prints the error of a run and returns its exit code.
fn print_failure(error: &ScaleError) -> CommandResult {
    eprintln!("slatelink: {error}");
    let options_unusable = matches!(error, ScaleError::Options(_) | ScaleError::Bounds(_));
    Ok(ExitCode::from(if options_unusable {
        EXIT_UNUSABLE
    } else {
        EXIT_FAILURE
    }))
}

/// Runs the measurement with a progress line, which is hidden without a terminal.
fn run_with_progress(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
) -> Result<Result<Report, ScaleError>, Box<dyn Error>> {
    let progress = Progress::default();
    let line = ProgressBar::new_spinner();
    let style = ProgressStyle::with_template("{elapsed} {msg}");
    line.set_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()));
    let result = thread::scope(|scope| {
        let running = scope.spawn(|| scale::run(options, programs, stop, &progress));
        while !running.is_finished() {
            line.set_message(progress.line());
            line.tick();
            thread::sleep(PROGRESS_INTERVAL);
        }
        running.join()
    });
    line.finish_and_clear();
    result.map_err(|_| "the run ended in a panic".into())
}
