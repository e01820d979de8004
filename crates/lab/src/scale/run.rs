//! A complete scale run, from the start of its first process to its report.

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::error::ScaleError;
use crate::scale::fleet::{Fleet, Programs};
use crate::scale::options::Options;
use crate::scale::progress::Progress;
use crate::scale::report::Report;
use crate::scale::schedule_runner::ScheduleRunner;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::interval;

/// Interval at which the stop flag is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the measurement until it is complete or `stop` is set. All processes of the run have ended
/// when this function returns.
pub fn run(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
    progress: &Progress,
) -> Result<Report, ScaleError> {
    options.check()?;
    let (estimate, limits) = (Estimate::of(options), Limits::read()?);
    estimate.check(&limits)?;
    let local_runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&local_runtime, async {
        progress.set_line("starting".to_owned());
        let mut fleet = Fleet::start(options, programs).await?;
        let result = tokio::select! {
            report = ScheduleRunner::new(&mut fleet, progress).measure(estimate, limits) => report,
            () = wait_for_stop(stop) => Err(ScaleError::Stopped),
        };
        progress.set_line("ending".to_owned());
        let clients = fleet.end().await;
        Ok(Report { clients, ..result? })
    })
}

async fn wait_for_stop(stop: &AtomicBool) {
    let mut ticks = interval(STOP_POLL_INTERVAL);
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
    }
}
