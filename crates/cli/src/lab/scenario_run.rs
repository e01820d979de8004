//! Runs one scenario with a progress bar on the terminal.

use indicatif::{ProgressBar, ProgressStyle};
use slatelink_lab::client::LiveCounters;
use slatelink_lab::nodes::Program;
use slatelink_lab::report::Report;
use slatelink_lab::run::{run_scenario, Options};
use slatelink_lab::scenario::Scenario;
use std::error::Error;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which the bar is updated.
const BAR_INTERVAL: Duration = Duration::from_millis(50);
/// Steps of the bar per second of the scenario.
const STEPS_PER_SECOND: f64 = 10.0;

/// Returns the name of a scenario: its file name without the extension.
pub fn scenario_name(path: &Path) -> String {
    path.file_stem().map_or_else(
        || path.display().to_string(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

/// Runs a scenario with a progress bar, which is hidden without a terminal. Returns `None` if
/// `stop` has ended the run.
pub fn run_with_progress_bar(
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
    let bar = bar(name, scenario, seed);
    let result = thread::scope(|scope| {
        let run_thread = scope.spawn(|| run_scenario(scenario, &options));
        while !run_thread.is_finished() {
            thread::sleep(BAR_INTERVAL);
            update_bar(&bar, scenario, &options.live);
        }
        run_thread.join()
    });
    bar.finish_and_clear();
    let completed_run = result.map_err(|_| "the run ended in a panic")??;
    let stopped = options.stop.load(Ordering::Relaxed);
    Ok((!stopped).then(|| Report::new(name, scenario, seed, &completed_run)))
}

fn bar(name: &str, scenario: &Scenario, seed: u64) -> ProgressBar {
    let bar = ProgressBar::new((scenario.seconds.get() * STEPS_PER_SECOND) as u64);
    let style = ProgressStyle::with_template("{prefix} {bar:30} {percent:>3} %  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(format!("{name} seed {seed}"));
    bar
}

fn update_bar(bar: &ProgressBar, scenario: &Scenario, live: &LiveCounters) {
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (requests_started, in_time) = (count(&live.started), count(&live.in_time));
    if requests_started == 0 {
        return;
    }
    let elapsed_s = requests_started as f64 / scenario.load.rate.get();
    bar.set_position((elapsed_s * STEPS_PER_SECOND) as u64);
    bar.set_message(format!(
        "{requests_started} requests, {in_time} in time, {} refused",
        count(&live.refused)
    ));
}
