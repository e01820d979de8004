//! `slatelink lab scale`: real nodes and many simulated ones against a stand-in for discovery, measured.

use crate::exit::{success_if, unusable, CommandResult, BROKEN, UNUSABLE};
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

/// The progress line is written anew this often.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Arguments of the hidden command that makes a process of this binary a worker.
const WORKER_ARGUMENTS: [&str; 2] = ["lab", "scale-worker"];

#[derive(Args)]
pub struct Scale {
    /// Nodes that are processes of their own
    #[arg(long, value_name = "N", default_value_t = 1)]
    real: usize,
    /// Nodes that share a few processes: discovery's client and decision module of a real one
    #[arg(long, value_name = "N", default_value_t = 50)]
    simulated: usize,
    /// Processes that simulated nodes share
    #[arg(long, value_name = "N", default_value_t = 4)]
    workers: usize,
    /// Cache servers in the list
    #[arg(long, value_name = "N", default_value_t = 50)]
    servers: usize,
    /// Zones that they are dealt out over
    #[arg(long, value_name = "N", default_value_t = 3)]
    zones: usize,
    /// Requests a second of each node
    #[arg(long, value_name = "RATE", default_value_t = 0.0)]
    requests: f64,
    /// Changes of the list a second
    #[arg(long, value_name = "RATE", default_value_t = 1.0)]
    list_changes: f64,
    /// New configurations a second, each for the whole fleet
    #[arg(long, value_name = "RATE", default_value_t = 0.0)]
    configurations: f64,
    /// How long changes are made
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    length: f64,
    /// Of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Make a change only once the one before is in force everywhere, and all nodes watch again
    #[arg(long)]
    step_wise: bool,
    /// Discovery's time for a call
    #[arg(long, value_name = "MICROSECONDS", default_value_t = 250)]
    call_cost: u64,
    /// Discovery's time for an entry that it writes
    #[arg(long, value_name = "MICROSECONDS", default_value_t = 5)]
    entry_cost: u64,
    /// Relays between discovery and simulated nodes: the first tier's number, and the second one's
    #[arg(long, value_name = "N[,M]", value_delimiter = ',')]
    relays: Vec<usize>,
    /// How long relays answer after upstream's last word
    #[arg(long, value_name = "MILLISECONDS", default_value_t = DEFAULT_LEASE_MS)]
    relay_lease_ms: u64,
    /// What goes wrong
    #[arg(long, value_enum)]
    trouble: Option<TroubleName>,
    /// When it does
    #[arg(
        long,
        value_name = "SECONDS",
        default_value_t = 5.0,
        requires = "trouble"
    )]
    trouble_at: f64,
    /// For how long; a restart takes none
    #[arg(
        long,
        value_name = "SECONDS",
        default_value_t = 10.0,
        requires = "trouble"
    )]
    trouble_for: f64,
    /// Write the report there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    #[command(flatten)]
    node: NodeArguments,
}

#[derive(Clone, Copy, ValueEnum)]
enum TroubleName {
    /// Discovery is away and comes back
    DiscoveryDown,
    /// A tenth of the nodes is restarted at once
    RestartTenth,
    /// The servers of one zone are gone and come back
    ZoneLost,
    /// Half of the fleet is cut off from discovery for a while
    Split,
}

impl From<TroubleName> for FaultKind {
    fn from(name: TroubleName) -> Self {
        match name {
            TroubleName::DiscoveryDown => Self::DiscoveryDown,
            TroubleName::RestartTenth => Self::RestartTenth,
            TroubleName::ZoneLost => Self::ZoneLost,
            TroubleName::Split => Self::Partition,
        }
    }
}

impl Scale {
    /// Runs it and prints its report.
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
        if let Err(error) = announce(&options) {
            return failed(&error);
        }
        // A path that cannot be written is an error before the run, not after it.
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
            Err(error) => failed(&error),
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

/// Runs simulated nodes for a run that has started this process.
pub fn work() -> CommandResult {
    scale::run_worker()?;
    Ok(ExitCode::SUCCESS)
}

/// Says what the run is estimated to take, before anything is started; refuses what is too much.
fn announce(options: &Options) -> Result<(), ScaleError> {
    options.check()?;
    let (estimate, limits) = (Estimate::of(options), Limits::read()?);
    estimate.check(&limits)?;
    let allowed = limits.memory_kib >> 10;
    eprintln!("estimated: {estimate}; half of this machine's memory is {allowed} MiB");
    Ok(())
}

fn failed(error: &ScaleError) -> CommandResult {
    eprintln!("slatelink: {error}");
    let unusable = matches!(error, ScaleError::Options(_) | ScaleError::Bounds(_));
    Ok(ExitCode::from(if unusable { UNUSABLE } else { BROKEN }))
}

/// Runs it with a progress line, which is not drawn where no terminal is.
fn run_with_progress(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
) -> Result<Result<Report, ScaleError>, Box<dyn Error>> {
    let progress = Progress::default();
    let line = ProgressBar::new_spinner();
    let style = ProgressStyle::with_template("{elapsed} {msg}");
    line.set_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()));
    let ran = thread::scope(|scope| {
        let running = scope.spawn(|| scale::run(options, programs, stop, &progress));
        while !running.is_finished() {
            line.set_message(progress.line());
            line.tick();
            thread::sleep(PROGRESS_INTERVAL);
        }
        running.join()
    });
    line.finish_and_clear();
    ran.map_err(|_| "the run ended in a panic".into())
}
