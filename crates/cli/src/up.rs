//! `slatelink up`: runs a fleet with light traffic on this machine, to watch it and to send
//! requests to it by hand.

use crate::exit::{success_if, CommandResult};
use crate::node_arguments::NodeArguments;
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use slatelink_lab::client::LiveCounters;
use slatelink_lab::report::Report;
use slatelink_lab::run::{run_scenario, Options, StartedNode};
use slatelink_lab::scenario::{Scenario, ScenarioError};
use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum duration of a run, and its duration without `--for`. It is bounded because the load is
/// generated in advance.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Seed of the run.
const SEED: u64 = 1;
/// Interval at which the end of the run is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the table or line is updated.
const DISPLAY_INTERVAL: Duration = Duration::from_secs(1);
/// Time window of the displayed number of circuit breakers that opened.
const BREAKER_WINDOW: Duration = Duration::from_secs(6);

#[derive(Args)]
pub struct Up {
    /// Number of cache servers
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=64))]
    servers: u16,
    /// Number of nodes
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=8))]
    nodes: u16,
    /// Requests per second
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    rate: u32,
    /// Duration of the run, such as 30s or 5m; by default until Ctrl-C, but at most an hour
    #[arg(long = "for", value_name = "TIME", value_parser = parse_duration)]
    run_duration: Option<Duration>,
    #[command(flatten)]
    node: NodeArguments,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let try_parse = || {
        let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
        let factor = match unit {
            "s" => 1,
            "m" => 60,
            "h" => 3600,
            _ => return None,
        };
        Some(Duration::from_secs(
            number.parse::<u64>().ok()?.checked_mul(factor)?,
        ))
    };
    let in_range = |parsed: &Duration| (Duration::from_secs(1)..=MAX_DURATION).contains(parsed);
    try_parse()
        .filter(in_range)
        .ok_or_else(|| "expected a duration from 1s to 1h, such as 30s or 5m".to_owned())
}

impl Up {
    /// Runs the fleet for its duration or until Ctrl-C, and prints the report.
    pub fn run(self) -> CommandResult {
        let scenario = self.scenario()?;
        self.node.start_log();
        let (ready, ready_nodes) = mpsc::channel();
        let options = Options {
            manual_requests: true,
            ready: Some(ready),
            stop: crate::signals::stop_at_interrupt()?,
            ..Options::new(self.node.program()?, SEED)
        };
        let live = options.live.clone();
        let run_thread = {
            let scenario = scenario.clone();
            thread::spawn(move || run_scenario(&scenario, &options))
        };
        // The run drops the sender at its end, so `recv` also returns if the nodes do not start.
        if let Ok(nodes) = ready_nodes.recv() {
            self.print_usage(&nodes)?;
        }
        display_counts(&live, || run_thread.is_finished());
        let completed_run = run_thread
            .join()
            .map_err(|_| "the run ended in a panic")??;
        let report = Report::new("up", &scenario, SEED, &completed_run);
        print!("{}", report.text());
        Ok(success_if(report.holds))
    }

    fn scenario(&self) -> Result<Scenario, ScenarioError> {
        let duration = self.run_duration.unwrap_or(MAX_DURATION);
        let text = format!(
            "about = \"a local fleet\"\nseconds = {}\n[fleet]\nnodes = {}\nservers = {}\n[load]\nrate = {}\n",
            duration.as_secs(),
            self.nodes,
            self.servers,
            self.rate
        );
        Scenario::parse(&text, "up".as_ref())
    }

    /// Prints the addresses of the nodes and an example request.
    fn print_usage(&self, nodes: &[StartedNode]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        for (index, StartedNode { address, pid }) in nodes.iter().enumerate() {
            let pid = pid.map_or_else(String::new, |pid| format!(", process {pid}"));
            writeln!(
                out,
                "node n{index} serves requests at http://{address}{pid}"
            )?;
        }
        if let Some(StartedNode { address, .. }) = nodes.first() {
            writeln!(out, "example request:\n  curl -i -H 'Req-Id: by-hand-1' -H 'Req-Kind: lookup' -H 'Req-Deadline-Ms: 500' http://{address}/api/7f3a9c21e0b4d655")?;
        }
        writeln!(
            out,
            "{} cache servers, {} requests per second; press Ctrl-C to stop",
            self.servers, self.rate
        )?;
        out.flush()
    }
}

/// Counts since the start of the run, at one moment.
#[derive(Clone, Copy)]
struct Counts {
    requests_started: u64,
    in_time: u64,
    refused: u64,
}

impl Counts {
    fn of(live: &LiveCounters) -> Self {
        Self {
            requests_started: load(&live.started),
            in_time: load(&live.in_time),
            refused: load(&live.refused),
        }
    }

    /// Returns the rates between an earlier moment and this moment.
    fn rates_since(&self, earlier: &Self, elapsed: Duration) -> Rates {
        let rate = |now: u64, before: u64| (now - before) as f64 / elapsed.as_secs_f64();
        Rates {
            requests: rate(self.requests_started, earlier.requests_started),
            in_time: rate(self.in_time, earlier.in_time),
            refused: rate(self.refused, earlier.refused),
        }
    }
}

/// Counts per second.
struct Rates {
    requests: f64,
    in_time: f64,
    refused: f64,
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Displays the counts every second until the run is over: as a table on a terminal, else as lines.
fn display_counts(live: &LiveCounters, is_over: impl Fn() -> bool) {
    let terminal = io::stdout().is_terminal();
    let table = table(terminal);
    let (mut previous, mut displayed_at) = (Counts::of(&LiveCounters::default()), Instant::now());
    while !is_over() {
        thread::sleep(POLL_INTERVAL);
        if displayed_at.elapsed() < DISPLAY_INTERVAL {
            continue;
        }
        let now = Counts::of(live);
        let rates = now.rates_since(&previous, displayed_at.elapsed());
        if terminal {
            table.set_message(table_text(&rates, live));
        } else {
            // The run continues if the reader has closed standard output.
            let _ = writeln!(io::stdout(), "{}", line_text(&rates, live));
        }
        (previous, displayed_at) = (now, Instant::now());
    }
    table.finish_and_clear();
}

fn table(terminal: bool) -> ProgressBar {
    let target = if terminal {
        ProgressDrawTarget::stdout()
    } else {
        ProgressDrawTarget::hidden()
    };
    let table = ProgressBar::with_draw_target(None, target);
    let style = ProgressStyle::with_template("{msg}");
    table.set_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()));
    table
}

fn table_text(rates: &Rates, live: &LiveCounters) -> String {
    let (p50, p99) = live.percentiles();
    let tripped = live.breakers_opened_within(BREAKER_WINDOW);
    let failed = load(&live.failed);
    let Rates {
        requests,
        in_time,
        refused,
    } = rates;
    format!(
        "requests/s {requests:>8.1}\nin time/s  {in_time:>8.1}\nrefused/s  {refused:>8.1}\n\
         unserved   {failed:>8}\np50 ms     {p50:>8.1}\np99 ms     {p99:>8.1}\n\
         breakers tripped in the last {} s {tripped}",
        BREAKER_WINDOW.as_secs()
    )
}

fn line_text(rates: &Rates, live: &LiveCounters) -> String {
    let (p50, p99) = live.percentiles();
    let tripped = live.breakers_opened_within(BREAKER_WINDOW);
    let failed = load(&live.failed);
    let Rates {
        requests,
        in_time,
        refused,
    } = rates;
    format!(
        "{requests:.1} requests/s, {in_time:.1} in time/s, {refused:.1} refused/s, {failed} unserved, \
         p50 {p50:.1} ms, p99 {p99:.1} ms, {tripped} breakers tripped in the last {} s",
        BREAKER_WINDOW.as_secs()
    )
}
