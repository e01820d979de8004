//! `slatelink up`: a whole fleet on this machine, with light traffic, to look at and to ask.

use crate::exit::{success_if, CommandResult};
use crate::node_arguments::NodeArguments;
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use slatelink_lab::client::Live;
use slatelink_lab::report::Report;
use slatelink_lab::run::{play, Options};
use slatelink_lab::scenario::Scenario;
use std::io::{self, IsTerminal, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Without `--for` a fleet ends by itself after so long: its load is drawn ahead.
const LONGEST: Duration = Duration::from_secs(3600);

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
    pub fn run(self) -> CommandResult {
        let long = self.long.unwrap_or(LONGEST);
        let text = format!(
            "about = \"a fleet to look at\"\nseconds = {}\n[fleet]\nnodes = {}\nservers = {}\n[load]\nrate = {}\n",
            long.as_secs(), self.nodes, self.servers, self.rate
        );
        let scenario = Scenario::parse(&text, "up".as_ref())?;
        self.node.start_log();
        let (ready, told) = mpsc::channel();
        let stop = crate::stop_at_interrupt()?;
        let options = Options {
            by_hand: true,
            ready: Some(ready),
            stop,
            ..Options::new(self.node.program()?, 1)
        };
        let live = options.live.clone();
        let playing = {
            let scenario = scenario.clone();
            thread::spawn(move || play(&scenario, &options))
        };
        // The sender goes with the run, also where its nodes do not start.
        if let Ok(nodes) = told.recv() {
            let mut out = io::stdout().lock();
            for (place, (address, pid)) in nodes.iter().enumerate() {
                let pid = pid.map_or_else(String::new, |pid| format!(", process {pid}"));
                writeln!(out, "node n{place} answers at http://{address}{pid}")?;
            }
            if let Some((address, _)) = nodes.first() {
                writeln!(out, "ask it yourself:\n  curl -i -H 'Req-Id: by-hand-1' -H 'Req-Kind: lookup' -H 'Req-Deadline-Ms: 500' http://{address}/api/7f3a9c21e0b4d655")?;
            }
            writeln!(
                out,
                "{} cache servers, {} requests a second; Ctrl-C ends it",
                self.servers, self.rate
            )?;
            out.flush()?;
        }
        watch(&live, || playing.is_finished());
        let played = playing.join().map_err(|_| "the run ended in a panic")??;
        let report = Report::new("up", &scenario, 1, &played);
        print!("{}", report.text());
        Ok(success_if(report.holds))
    }
}

/// A table that is drawn anew each second where a terminal is there, and a line a second where not.
fn watch(live: &Live, over: impl Fn() -> bool) {
    let terminal = io::stdout().is_terminal();
    let target = if terminal {
        ProgressDrawTarget::stdout()
    } else {
        ProgressDrawTarget::hidden()
    };
    let table = ProgressBar::with_draw_target(None, target);
    table.set_style(
        ProgressStyle::with_template("{msg}").unwrap_or_else(|_| ProgressStyle::default_spinner()),
    );
    let count = |of: &std::sync::atomic::AtomicU64| of.load(Ordering::Relaxed);
    let (mut before, mut at) = ([0; 3], Instant::now());
    while !over() {
        thread::sleep(Duration::from_millis(50));
        if at.elapsed() < Duration::from_secs(1) {
            continue;
        }
        let now = [
            count(&live.begun),
            count(&live.in_time),
            count(&live.refused),
        ];
        let rate = |i: usize| (now[i] - before[i]) as f64 / at.elapsed().as_secs_f64();
        let (p50, p99) = live.percentiles();
        let tripped = live.tripped_within(Duration::from_secs(6));
        let failed = count(&live.failed);
        if terminal {
            table.set_message(format!(
                "requests/s {:>8.1}\nin time/s  {:>8.1}\nrefused/s  {:>8.1}\nunserved   {failed:>8}\np50 ms     {p50:>8.1}\np99 ms     {p99:>8.1}\nbreakers tripped in the last 6 s {tripped}",
                rate(0), rate(1), rate(2)
            ));
        } else {
            // Where nobody reads any more the run goes on to its end.
            let _ = writeln!(
                io::stdout(),
                "{:.1} requests/s, {:.1} in time/s, {:.1} refused/s, {failed} unserved, p50 {p50:.1} ms, p99 {p99:.1} ms, {tripped} breakers tripped in the last 6 s",
                rate(0), rate(1), rate(2)
            );
        }
        (before, at) = (now, Instant::now());
    }
    table.finish_and_clear();
}
