//! `slatelink up`: a whole fleet on this machine, with light traffic, to look at and to ask.

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

/// Without `--for` a fleet ends by itself after so long: its load is drawn ahead.
const LONGEST: Duration = Duration::from_secs(3600);

/// The seed of the run.
const SEED: u64 = 1;
/// Whether the run is over is looked at this often.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The table or line is written anew this often.
const DISPLAY_INTERVAL: Duration = Duration::from_secs(1);
/// Circuit breakers that opened within this are shown.
const BREAKER_SPAN: Duration = Duration::from_secs(6);

#[derive(Args)]
pub struct Up {
    /// Cache servers
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=64))]
    servers: u16,
    /// Nodes
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=8))]
    nodes: u16,
    /// Requests a second
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    rate: u32,
    /// For so long, as 30s or 5m; until Ctrl-C, an hour at most, where nothing stands here
    #[arg(long = "for", value_name = "TIME", value_parser = time)]
    long: Option<Duration>,
    #[command(flatten)]
    node: NodeArguments,
}

fn time(text: &str) -> Result<Duration, String> {
    let read = || {
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
    let in_range = |time: &Duration| (Duration::from_secs(1)..=LONGEST).contains(time);
    read()
        .filter(in_range)
        .ok_or_else(|| "a time from 1s to 1h was expected, as 30s or 5m".to_owned())
}

impl Up {
    /// Runs the fleet until its time is over or Ctrl-C, and prints what it came to.
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
        let playing = {
            let scenario = scenario.clone();
            thread::spawn(move || run_scenario(&scenario, &options))
        };
        // The sender goes with the run, also where its nodes do not start.
        if let Ok(nodes) = ready_nodes.recv() {
            self.introduce(&nodes)?;
        }
        watch(&live, || playing.is_finished());
        let played = playing.join().map_err(|_| "the run ended in a panic")??;
        let report = Report::new("up", &scenario, SEED, &played);
        print!("{}", report.text());
        Ok(success_if(report.holds))
    }

    fn scenario(&self) -> Result<Scenario, ScenarioError> {
        let duration = self.long.unwrap_or(LONGEST);
        let text = format!(
            "about = \"a fleet to look at\"\nseconds = {}\n[fleet]\nnodes = {}\nservers = {}\n[load]\nrate = {}\n",
            duration.as_secs(),
            self.nodes,
            self.servers,
            self.rate
        );
        Scenario::parse(&text, "up".as_ref())
    }

    /// Prints where the nodes answer, and how to ask one.
    fn introduce(&self, nodes: &[StartedNode]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        for (place, StartedNode { address, pid }) in nodes.iter().enumerate() {
            let pid = pid.map_or_else(String::new, |pid| format!(", process {pid}"));
            writeln!(out, "node n{place} answers at http://{address}{pid}")?;
        }
        if let Some(StartedNode { address, .. }) = nodes.first() {
            writeln!(out, "ask it yourself:\n  curl -i -H 'Req-Id: by-hand-1' -H 'Req-Kind: lookup' -H 'Req-Deadline-Ms: 500' http://{address}/api/7f3a9c21e0b4d655")?;
        }
        writeln!(
            out,
            "{} cache servers, {} requests a second; Ctrl-C ends it",
            self.servers, self.rate
        )?;
        out.flush()
    }
}

/// Counts at one moment.
#[derive(Clone, Copy)]
struct Counts {
    begun: u64,
    in_time: u64,
    refused: u64,
}

impl Counts {
    fn of(live: &LiveCounters) -> Self {
        Self {
            begun: load(&live.started),
            in_time: load(&live.in_time),
            refused: load(&live.refused),
        }
    }

    /// What was counted since an earlier moment, a second.
    fn rates_since(&self, earlier: &Self, elapsed: Duration) -> Rates {
        let rate = |now: u64, before: u64| (now - before) as f64 / elapsed.as_secs_f64();
        Rates {
            requests: rate(self.begun, earlier.begun),
            in_time: rate(self.in_time, earlier.in_time),
            refused: rate(self.refused, earlier.refused),
        }
    }
}

/// Counts a second.
struct Rates {
    requests: f64,
    in_time: f64,
    refused: f64,
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// A table that is drawn anew each second where a terminal is there, and a line a second where not.
fn watch(live: &LiveCounters, is_over: impl Fn() -> bool) {
    let terminal = io::stdout().is_terminal();
    let table = table(terminal);
    let (mut before, mut at) = (Counts::of(&LiveCounters::default()), Instant::now());
    while !is_over() {
        thread::sleep(POLL_INTERVAL);
        if at.elapsed() < DISPLAY_INTERVAL {
            continue;
        }
        let now = Counts::of(live);
        let rates = now.rates_since(&before, at.elapsed());
        if terminal {
            table.set_message(table_text(&rates, live));
        } else {
            // Where nobody reads any more the run goes on to its end.
            let _ = writeln!(io::stdout(), "{}", line_text(&rates, live));
        }
        (before, at) = (now, Instant::now());
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
    let tripped = live.breakers_opened_within(BREAKER_SPAN);
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
        BREAKER_SPAN.as_secs()
    )
}

fn line_text(rates: &Rates, live: &LiveCounters) -> String {
    let (p50, p99) = live.percentiles();
    let tripped = live.breakers_opened_within(BREAKER_SPAN);
    let failed = load(&live.failed);
    let Rates {
        requests,
        in_time,
        refused,
    } = rates;
    format!(
        "{requests:.1} requests/s, {in_time:.1} in time/s, {refused:.1} refused/s, {failed} unserved, \
         p50 {p50:.1} ms, p99 {p99:.1} ms, {tripped} breakers tripped in the last {} s",
        BREAKER_SPAN.as_secs()
    )
}
