//! A scale run from its first process to its report.

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::error::ScaleError;
use crate::scale::fleet::{Fleet, Programs};
use crate::scale::options::Options;
use crate::scale::play::Player;
use crate::scale::progress::Progress;
use crate::scale::report::Report;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::interval;

/// Interval of the checks whether the run is to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs it, until it is over or `stop` is raised. Nothing that it started is left then.
pub fn run(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
    progress: &Progress,
) -> Result<Report, ScaleError> {
    options.check()?;
    let (estimate, limits) = (Estimate::of(options), Limits::read()?);
    estimate.check(&limits)?;
    let one = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&one, async {
        progress.say("starting".to_owned());
        let mut fleet = Fleet::start(options, programs).await?;
        let played = tokio::select! {
            played = Player::new(&mut fleet, progress).play(estimate, limits) => played,
            () = stopped(stop) => Err(ScaleError::Stopped),
        };
        progress.say("ending".to_owned());
        let clients = fleet.end().await;
        Ok(Report { clients, ..played? })
    })
}

async fn stopped(stop: &AtomicBool) {
    let mut looks = interval(STOP_POLL_INTERVAL);
    while !stop.load(Ordering::Relaxed) {
        looks.tick().await;
    }
}
