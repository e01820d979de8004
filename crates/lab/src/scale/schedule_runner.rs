//! Runs the schedule on a fleet and measures the start, list changes, configurations and a fault.

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::convergence::{ChangeCause, PropagationTimes, TimeSummary};
use crate::scale::counts::ControlCounts;
use crate::scale::error::ScaleError;
use crate::scale::fleet::Fleet;
use crate::scale::options::FaultKind;
use crate::scale::processes::Usage;
use crate::scale::progress::Progress;
use crate::scale::protocol::WorkerCommand;
use crate::scale::report::{self, ChangeTimes, Report, StartTimes};
use crate::scale::sample::{workers_usage, Period, Sample};
use crate::scale::schedule::{ChangeGenerator, FaultStep, Schedule, Step};
use crate::scale::traffic::TrafficCounts;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

/// Interval of the checks for due steps.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time for the real nodes to start, and then for the whole fleet to get up to date. Waiting longer
/// does not help a fleet that is not up to date by then.
const FLEET_START_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for the fleet to get up to date after the end of the planned run.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for all workers to be set up, or to answer a count command.
const WORKER_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the schedule on a fleet.
pub struct ScheduleRunner<'a, 'b> {
    fleet: &'b mut Fleet<'a>,
    progress: &'b Progress,
    generator: ChangeGenerator,
    /// Fault that has begun, with the traffic counts of discovery before it.
    fault: Option<(FaultKind, ControlCounts)>,
}

impl<'a, 'b> ScheduleRunner<'a, 'b> {
    /// Creates a runner for a fleet whose processes are started.
    pub fn new(fleet: &'b mut Fleet<'a>, progress: &'b Progress) -> Self {
        let generator = ChangeGenerator::new(fleet.options);
        Self {
            fleet,
            progress,
            generator,
            fault: None,
        }
    }

    /// Starts all nodes, runs the schedule and measures. The client counts in the report are zero:
    /// they are known only when the fleet has ended.
    pub async fn measure(
        mut self,
        estimate: Estimate,
        limits: Limits,
    ) -> Result<Report, ScaleError> {
        let empty_workers = self.wait_for_workers().await?;
        let start = self.start_nodes().await?;
        let before = self.sample().await?;
        self.follow_schedule().await?;
        let after = self.sample().await?;
        let period = Period {
            options: self.fleet.options,
            empty_workers,
            before,
            after,
        };
        self.report(start, &period, estimate, limits)
    }

    /// Handles events until `condition` holds or `limit` has elapsed; returns whether it holds.
    async fn wait_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Fleet<'a>) -> bool,
    ) -> Result<bool, ScaleError> {
        let end = Instant::now() + limit;
        let mut ticks = ticks();
        while !condition(self.fleet) {
            if Instant::now() > end {
                return Ok(false);
            }
            self.handle_next(&mut ticks, "waiting").await?;
        }
        Ok(true)
    }

    /// Handles one event, or reports progress at a tick, whichever comes first.
    async fn handle_next(
        &mut self,
        ticks: &mut Interval,
        activity: &str,
    ) -> Result<(), ScaleError> {
        tokio::select! {
            event = self.fleet.inbox.next() => self.fleet.state.handle(event)?,
            _ = ticks.tick() => self.report_progress(activity),
        }
        Ok(())
    }

    fn report_progress(&self, activity: &str) {
        let (state, nodes) = (&self.fleet.state, self.fleet.options.nodes());
        self.progress.set_line(format!(
            "{activity}: {} of {nodes} nodes up to date, {} list changes, {} configurations",
            nodes - state.convergence.outdated_nodes(),
            state.list_changes,
            state.configuration
        ));
    }

    /// Waits until all workers are set up; returns their resource usage without nodes.
    async fn wait_for_workers(&mut self) -> Result<Usage, ScaleError> {
        let workers = self.fleet.workers.len();
        if !self
            .wait_until(WORKER_TIMEOUT, |fleet| fleet.state.ready_workers == workers)
            .await?
        {
            return Err(ScaleError::WorkerTimeout);
        }
        Ok(workers_usage(&self.fleet.workers)?)
    }

    /// Waits until the real nodes are ready and then starts the simulated ones, so that the mass
    /// start of simulated nodes does not affect the start times of real ones.
    async fn start_nodes(&mut self) -> Result<StartTimes, ScaleError> {
        let mut has_started = self
            .wait_until(FLEET_START_TIMEOUT, |fleet| fleet.state.real_nodes_ready())
            .await?;
        self.fleet.start_all_simulated().await?;
        has_started &= self
            .wait_until(FLEET_START_TIMEOUT, Fleet::is_settled)
            .await?;
        if !has_started {
            let (behind, nodes) = (
                self.fleet.state.convergence.outdated_nodes(),
                self.fleet.options.nodes(),
            );
            return Err(ScaleError::StartTimeout {
                behind,
                nodes,
                waited: FLEET_START_TIMEOUT,
            });
        }
        self.start_times()
    }

    /// Returns the start times of the nodes that started since the previous call.
    fn start_times(&mut self) -> Result<StartTimes, ScaleError> {
        let first_simulated = self.fleet.options.real;
        let started = self.fleet.state.convergence.take_start_times();
        let (real, simulated): (Vec<_>, Vec<_>) = started
            .into_iter()
            .partition(|(node, _)| *node < first_simulated);
        let summarize = |started: Vec<(usize, u64)>| {
            TimeSummary::of_each(started.into_iter().map(|(_, time)| time))
        };
        Ok(StartTimes {
            real: summarize(real)?,
            simulated: summarize(simulated)?,
        })
    }

    /// Executes steps as they become due. Returns after the planned length as soon as all steps are
    /// executed and the fleet is settled, or when [`SETTLE_TIMEOUT`] has expired.
    async fn follow_schedule(&mut self) -> Result<(), ScaleError> {
        let mut schedule = Schedule::new(self.fleet.options);
        let (run_start, length) = (Instant::now(), self.fleet.options.length());
        let mut ticks = ticks();
        loop {
            let now = run_start.elapsed();
            while let Some(step) = schedule.next_fault(now) {
                self.execute_fault_step(step).await?;
            }
            while !self.fleet.options.step_wise || self.fleet.is_settled() {
                let Some(step) = schedule.next_step(now) else {
                    break;
                };
                self.execute_step(step).await?;
            }
            let run_is_complete =
                now >= length && schedule.is_finished() && self.fleet.is_settled();
            if run_is_complete || now >= length + SETTLE_TIMEOUT {
                return Ok(());
            }
            let activity = format!("{:.0} of {:.0} s", now.as_secs_f64(), length.as_secs_f64());
            self.handle_next(&mut ticks, &activity).await?;
        }
    }

    async fn execute_step(&mut self, step: Step) -> Result<(), ScaleError> {
        match step {
            Step::ListChange => {
                let changes = self.generator.list_change();
                self.fleet.change_list(changes, ChangeCause::Planned).await
            }
            Step::Configuration => self.fleet.configure().await,
        }
    }

    async fn execute_fault_step(&mut self, step: FaultStep) -> Result<(), ScaleError> {
        match step {
            FaultStep::Begin(kind) => {
                let stats = self.fleet.discovery.stats().await?;
                self.fault = Some((kind, stats.control()));
                self.begin_fault(kind).await
            }
            FaultStep::End(kind) => self.end_fault(kind).await,
        }
    }

    async fn begin_fault(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        match kind {
            FaultKind::DiscoveryDown => Ok(self.fleet.discovery.set_down(true)?),
            FaultKind::Partition => Ok(self.fleet.discovery.set_partitioned(true)?),
            FaultKind::RestartTenth => {
                let nodes = self.generator.nodes_to_restart();
                self.fleet.restart(nodes).await
            }
            FaultKind::ZoneLost => {
                let removed = self.generator.remove_zone();
                self.fleet
                    .change_list(removed, ChangeCause::FaultBegins)
                    .await
            }
        }
    }

    /// Ends a fault with a list change, whose propagation time shows when the fleet is up to date
    /// again.
    async fn end_fault(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        let changes = match kind {
            FaultKind::DiscoveryDown => {
                self.fleet.discovery.set_down(false)?;
                self.generator.list_change()
            }
            FaultKind::Partition => {
                self.fleet.discovery.set_partitioned(false)?;
                self.generator.list_change()
            }
            FaultKind::ZoneLost => self.generator.restore_zone(unix_ms()),
            // A restart ends by itself when the nodes have started.
            FaultKind::RestartTenth => return Ok(()),
        };
        self.fleet
            .change_list(changes, ChangeCause::FaultEnds)
            .await
    }

    /// Requests the counters of all workers and takes a sample of the whole fleet.
    async fn sample(&mut self) -> Result<Sample, ScaleError> {
        self.fleet
            .state
            .counted
            .iter_mut()
            .for_each(|counted| *counted = None);
        for worker in &mut self.fleet.workers {
            worker.send_command(&WorkerCommand::Count).await?;
        }
        let have_all_answered = |fleet: &Fleet<'a>| fleet.state.counted.iter().all(Option::is_some);
        if !self.wait_until(WORKER_TIMEOUT, have_all_answered).await? {
            return Err(ScaleError::WorkerTimeout);
        }
        Sample::take(self.fleet).await
    }

    fn report(
        mut self,
        start: StartTimes,
        period: &Period,
        estimate: Estimate,
        limits: Limits,
    ) -> Result<Report, ScaleError> {
        let fault = self.fault_report(period)?;
        let state = &self.fleet.state;
        Ok(Report {
            options: self.fleet.options.clone(),
            estimate,
            limits,
            measured_s: period.seconds(),
            behind_at_end: state.convergence.outdated_nodes(),
            counts: period.counts(state.list_changes, state.configuration),
            discovery: period.discovery(),
            real_node: period.real_node(),
            simulated_node: period.simulated_node(),
            relays: period.relays(),
            empty_worker_kib: period.empty_workers.resident_kib
                / self.fleet.workers.len().max(1) as u64,
            list_change: change_times(state.convergence.list_times()),
            configuration: change_times(state.convergence.configuration_times()),
            start,
            fault,
            clients: TrafficCounts::default(),
        })
    }

    fn fault_report(&mut self, period: &Period) -> Result<Option<report::Fault>, ScaleError> {
        let Some((kind, counts_before)) = self.fault else {
            return Ok(None);
        };
        let restarted = self.start_times()?;
        let convergence = &self.fleet.state.convergence;
        let ms = |cause| convergence.fault_time(cause).map(|us| us as f64 / 1e3);
        Ok(Some(report::Fault {
            kind,
            to_last_node_ms: ms(ChangeCause::FaultBegins),
            recovered_ms: ms(ChangeCause::FaultEnds),
            restarted: (kind == FaultKind::RestartTenth).then_some(restarted),
            counts: period.after.discovery_stats.control() - counts_before,
            failed_calls: period.after.failed_calls - period.before.failed_calls,
        }))
    }
}

fn change_times(times: &PropagationTimes) -> ChangeTimes {
    ChangeTimes {
        to_last_node: TimeSummary::of(&times.until_last_node),
        to_each_node: TimeSummary::of(&times.until_each_node),
    }
}

fn ticks() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
