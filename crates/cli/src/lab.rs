//! `slatelink lab`: plays scenarios, compares nodes, lists what there is to play.

use crate::exit::{success_if, unusable, CommandResult, BROKEN, UNUSABLE};
use crate::node_arguments::{node_program, NodeArguments};
use crate::scale;
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use slatelink_lab::compare::{self, Measured};
use slatelink_lab::idle;
use slatelink_lab::nodes::Program;
use slatelink_lab::report::Report;
use slatelink_lab::run::{play, Options};
use slatelink_lab::scenario::Scenario;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Command {
    /// Play scenarios and check the rules; exit 0 if all hold, 1 if one does not, 2 if one cannot be played
    Run(Run),
    /// Compare two reports, or two node binaries in turn over the same seeds
    Compare(Compare),
    /// Measure what idle client connections cost a node, and how it bears all of them speaking at once
    Idle {
        /// Connections to hold; each takes two descriptors of this machine
        #[arg(long, visible_alias = "count", default_value_t = 5_000,
            value_parser = clap::value_parser!(u32).range(1..=200_000))]
        connections: u32,
        /// Make so many at a time, half a second apart
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(1..=200_000))]
        batch: u32,
        #[command(flatten)]
        node: NodeArguments,
    },
    /// Measure control at scale: real nodes and many simulated ones against one discovery
    Scale(Box<scale::Command>),
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

#[derive(Args)]
pub struct Run {
    /// Scenarios, in TOML
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// The first seed; the scenario's own where none is named
    #[arg(long)]
    seed: Option<u64>,
    /// Play each so many times, with seeds that follow one another
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    repeat: u64,
    /// First tries a second, in place of the scenario's
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=200_000))]
    rate: Option<u32>,
    /// Send the load straight to the cache servers, with no node between: what the rig itself can do
    #[arg(long, conflicts_with_all = ["node", "features"])]
    direct: bool,
    /// Write a report of each run there, as JSON and as a page
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print the reports as JSON lines
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    node: NodeArguments,
}

#[derive(Args)]
pub struct Compare {
    /// A report in JSON, or a node's binary
    a: PathBuf,
    /// The same of the other
    b: PathBuf,
    /// Scenarios to play with both binaries
    #[arg(long = "scenario", value_name = "FILE")]
    scenarios: Vec<PathBuf>,
    /// Seeds that each is played with
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=1_000))]
    seeds: u64,
    /// The operators' file of each node
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
}

impl Command {
    pub fn run(self) -> CommandResult {
        match self {
            Self::Run(run) => run.run(),
            Self::Compare(compare) => compare.run(),
            Self::Idle {
                connections,
                batch,
                node,
            } => {
                node.start_log();
                if node.names_features() {
                    return unusable(
                        "lab idle writes the node's section front itself: --features must go",
                    );
                }
                let most = connections as usize;
                let sizes: Vec<_> = [0, 1_000, 10_000]
                    .into_iter()
                    .filter(|&size| size < most)
                    .chain([most])
                    .collect();
                let it = idle::measure(node.program()?, &sizes, batch as usize)?;
                let mut out = io::stdout().lock();
                writeln!(
                    out,
                    "{:>8} {:>10} {:>11} {:>14} {:>14}",
                    "idle", "KiB", "bytes each", "look-up p50 ms", "p99 ms"
                )?;
                for crowd in &it.crowds {
                    let idle::Crowd {
                        held,
                        resident_kib,
                        bytes_each,
                        p50_ms,
                        p99_ms,
                    } = crowd;
                    writeln!(
                        out,
                        "{held:>8} {resident_kib:>10} {bytes_each:>11.0} {p50_ms:>14.2} {p99_ms:>14.2}"
                    )?;
                }
                writeln!(
                    out,
                    "{} were closed by the node with their first answer",
                    it.closed
                )?;
                writeln!(
                    out,
                    "all spoke at once: {} answered, the last after {:.0} ms; the node took {} KiB at most",
                    it.answered, it.burst_ms, it.peak_kib
                )?;
                writeln!(
                    out,
                    "SIGTERM with {} of them idle: {} closed, the last after {:.0} ms (500 ms are for the front to notice)",
                    it.answered, it.stopped, it.stop_ms
                )?;
                Ok(ExitCode::SUCCESS)
            }
            Self::Scale(command) => command.run(),
            Self::ScaleWorker => scale::work(),
            Self::List { folder } => list(&folder),
        }
    }
}

fn name(path: &Path) -> String {
    path.file_stem().map_or_else(
        || path.display().to_string(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

impl Run {
    fn run(self) -> CommandResult {
        // All are read before the first is played: a typing error in the last one is told at once.
        let mut scenarios = Vec::new();
        for file in &self.files {
            match Scenario::load(file) {
                Ok(mut scenario) => {
                    if let Some(rate) = self.rate.and_then(|rate| f64::from(rate).try_into().ok()) {
                        scenario.load.rate = rate;
                    }
                    scenarios.push((name(file), scenario));
                }
                Err(error) => return unusable(error),
            }
        }
        if let Some(out) = &self.out {
            if let Err(error) = std::fs::create_dir_all(out) {
                return unusable(format!("cannot make {}: {error}", out.display()));
            }
        }
        self.node.start_log();
        let program = if self.direct {
            Program::Nothing
        } else {
            self.node.program()?
        };
        let stop = crate::stop_at_interrupt()?;
        let mut hold = true;
        for (name, scenario) in &scenarios {
            let first = self.seed.unwrap_or(scenario.seed);
            for seed in (0..self.repeat).map(|i| first.wrapping_add(i)) {
                let Some(report) = one(name, scenario, program.clone(), seed, &stop)? else {
                    eprintln!("slatelink: stopped");
                    return Ok(ExitCode::from(BROKEN));
                };
                hold &= report.holds;
                if let Some(out) = &self.out {
                    let path = out.join(format!("{name}-{seed}"));
                    std::fs::write(
                        path.with_extension("json"),
                        serde_json::to_vec_pretty(&report)?,
                    )?;
                    std::fs::write(path.with_extension("html"), report.html()?)?;
                }
                let mut out = io::stdout().lock();
                match self.json {
                    true => writeln!(out, "{}", serde_json::to_string(&report)?)?,
                    false => write!(out, "{}", report.text())?,
                }
            }
        }
        Ok(success_if(hold))
    }
}

/// Plays one with a bar; `None` where Ctrl-C ended it.
fn one(
    name: &str,
    scenario: &Scenario,
    program: Program,
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> Result<Option<Report>, Box<dyn Error>> {
    let options = Options {
        stop: stop.clone(),
        ..Options::new(program, seed)
    };
    let seconds = scenario.seconds.get();
    // Where no terminal is there the bar draws nothing.
    let bar = ProgressBar::new((seconds * 10.0) as u64);
    let style = ProgressStyle::with_template("{prefix} {bar:30} {percent:>3} %  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(format!("{name} seed {seed}"));
    let played = thread::scope(|scope| {
        let playing = scope.spawn(|| play(scenario, &options));
        while !playing.is_finished() {
            thread::sleep(Duration::from_millis(50));
            let count = |of: &std::sync::atomic::AtomicU64| of.load(Ordering::Relaxed);
            let (begun, well) = (count(&options.live.begun), count(&options.live.in_time));
            if begun > 0 {
                bar.set_position((begun as f64 / (scenario.load.rate.get()) * 10.0) as u64);
                bar.set_message(format!(
                    "{begun} asked, {well} in time, {} refused",
                    count(&options.live.refused)
                ));
            }
        }
        playing.join()
    });
    bar.finish_and_clear();
    let played = played.map_err(|_| "the run ended in a panic")??;
    let stopped = options.stop.load(Ordering::Relaxed);
    Ok((!stopped).then(|| Report::new(name, scenario, seed, &played)))
}

impl Compare {
    fn run(self) -> CommandResult {
        let report = |path: &Path| path.extension().is_some_and(|end| end == "json");
        if report(&self.a) != report(&self.b) {
            return unusable(
                "one is a report and the other is not: compare two reports, or two binaries",
            );
        }
        if report(&self.a) {
            let read = |path: &Path| -> Result<Measured, String> {
                let text = std::fs::read(path)
                    .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
                serde_json::from_slice(&text)
                    .map_err(|error| format!("{} is no report: {error}", path.display()))
            };
            return match (read(&self.a), read(&self.b)) {
                (Ok(a), Ok(b)) => {
                    print!("{}", compare::pair(&a, &b));
                    Ok(ExitCode::SUCCESS)
                }
                (Err(error), _) | (_, Err(error)) => unusable(error),
            };
        }
        if self.scenarios.is_empty() {
            return unusable("two binaries need a --scenario to play");
        }
        let stop = crate::stop_at_interrupt()?;
        for file in &self.scenarios {
            let scenario = match Scenario::load(file) {
                Ok(scenario) => scenario,
                Err(error) => return unusable(error),
            };
            let name = name(file);
            let mut pairs = Vec::new();
            for i in 0..self.seeds {
                let seed = scenario.seed.wrapping_add(i);
                let measure = |binary: &Path| {
                    one(
                        &name,
                        &scenario,
                        node_program(binary.to_owned(), self.features.as_deref()),
                        seed,
                        &stop,
                    )
                };
                // In turn, so that what the machine does besides falls on both.
                let both = if i % 2 == 0 {
                    let a = measure(&self.a)?;
                    (a, measure(&self.b)?)
                } else {
                    let b = measure(&self.b)?;
                    (measure(&self.a)?, b)
                };
                let (Some(a), Some(b)) = both else {
                    eprintln!("slatelink: stopped");
                    return Ok(ExitCode::from(BROKEN));
                };
                pairs.push((Measured::of(&a), Measured::of(&b)));
            }
            print!("{}", compare::paired(&name, &pairs));
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn list(folder: &Path) -> CommandResult {
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) => return unusable(format!("cannot read {}: {error}", folder.display())),
    };
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    files.sort();
    let mut well = true;
    let mut out = io::stdout().lock();
    for file in files {
        match Scenario::load(&file) {
            Ok(it) => {
                let Scenario {
                    about,
                    fleet,
                    load,
                    seconds,
                    ..
                } = it;
                writeln!(
                    out,
                    "{:<22} {:>3.0} s, {} nodes, {} servers, {:.0} requests/s: {about}",
                    name(&file),
                    seconds.get(),
                    fleet.nodes,
                    fleet.servers,
                    load.rate.get()
                )?;
            }
            Err(error) => {
                well = false;
                eprintln!("slatelink: {error}");
            }
        }
    }
    Ok(if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(UNUSABLE)
    })
}
