//! Plays the time line on a fleet and measures it: the start, changes, configurations, a fault.

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::convergence::{ChangeCause, TimeSummary, Times};
use crate::scale::counts::ControlCounts;
use crate::scale::error::ScaleError;
use crate::scale::fleet::Fleet;
use crate::scale::options::FaultKind;
use crate::scale::processes::Usage;
use crate::scale::progress::Progress;
use crate::scale::protocol::Order;
use crate::scale::report::{self, ChangeTimes, Report, StartTimes};
use crate::scale::sample::{workers_usage, Period, Sample};
use crate::scale::schedule::{ChangeGenerator, FaultStep, Schedule, Step};
use crate::scale::traffic::TrafficCounts;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

/// Interval of the checks for what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// A fleet that is not up to date by then does not get there.
const FLEET_START_TIMEOUT: Duration = Duration::from_secs(120);
/// After the last change the fleet has this long to be up to date.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A worker answers within this.
const WORKER_TIMEOUT: Duration = Duration::from_secs(20);

/// Plays on a fleet.
pub struct Player<'a, 'b> {
    fleet: &'b mut Fleet<'a>,
    progress: &'b Progress,
    generator: ChangeGenerator,
    /// The fault that has begun, and all messages before it.
    fault: Option<(FaultKind, ControlCounts)>,
}

impl<'a, 'b> Player<'a, 'b> {
    /// On a fleet whose processes are started.
    pub fn new(fleet: &'b mut Fleet<'a>, progress: &'b Progress) -> Self {
        let generator = ChangeGenerator::new(fleet.options);
        Self {
            fleet,
            progress,
            generator,
            fault: None,
        }
    }

    /// Starts all nodes, plays, and measures; the report lacks what is known only at the fleet's end.
    pub async fn play(mut self, estimate: Estimate, limits: Limits) -> Result<Report, ScaleError> {
        let empty_workers = self.set_up().await?;
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

    /// Takes events in until something holds, or for so long; whether it holds.
    async fn until(
        &mut self,
        most: Duration,
        holds: impl Fn(&Fleet<'a>) -> bool,
    ) -> Result<bool, ScaleError> {
        let end = Instant::now() + most;
        let mut ticks = ticks();
        while !holds(self.fleet) {
            if Instant::now() > end {
                return Ok(false);
            }
            self.listen(&mut ticks, "waiting").await?;
        }
        Ok(true)
    }

    /// Takes one event in, or waits for a tick.
    async fn listen(&mut self, ticks: &mut Interval, doing: &str) -> Result<(), ScaleError> {
        tokio::select! {
            event = self.fleet.inbox.next() => self.fleet.state.take(event)?,
            _ = ticks.tick() => self.say(doing),
        }
        Ok(())
    }

    fn say(&self, doing: &str) {
        let (state, nodes) = (&self.fleet.state, self.fleet.options.nodes());
        self.progress.set_line(format!(
            "{doing}: {} of {nodes} nodes up to date, {} list changes, {} configurations",
            nodes - state.convergence.behind(),
            state.list_changes,
            state.configuration
        ));
    }

    /// Waits for the workers; what they use without nodes.
    async fn set_up(&mut self) -> Result<Usage, ScaleError> {
        let workers = self.fleet.workers.len();
        if !self
            .until(WORKER_TIMEOUT, |fleet| fleet.state.ready_workers == workers)
            .await?
        {
            return Err(ScaleError::Silent);
        }
        Ok(workers_usage(&self.fleet.workers)?)
    }

    /// Waits for the real nodes, and then starts the simulated ones: the real ones' start has no herd beside it.
    async fn start_nodes(&mut self) -> Result<StartTimes, ScaleError> {
        let mut well = self
            .until(FLEET_START_TIMEOUT, |fleet| fleet.state.real_nodes_ready())
            .await?;
        self.fleet.start_all_simulated().await?;
        well &= self.until(FLEET_START_TIMEOUT, Fleet::is_settled).await?;
        if !well {
            let (behind, nodes) = (
                self.fleet.state.convergence.behind(),
                self.fleet.options.nodes(),
            );
            return Err(ScaleError::NoStart {
                behind,
                nodes,
                waited: FLEET_START_TIMEOUT,
            });
        }
        self.start_times()
    }

    /// Times of the nodes that were started since the last time.
    fn start_times(&mut self) -> Result<StartTimes, ScaleError> {
        let first_simulated = self.fleet.options.real;
        let started = self.fleet.state.convergence.take_started();
        let (real, simulated): (Vec<_>, Vec<_>) = started
            .into_iter()
            .partition(|(node, _)| *node < first_simulated);
        let spread = |started: Vec<(usize, u64)>| {
            TimeSummary::of_each(started.into_iter().map(|(_, time)| time))
        };
        Ok(StartTimes {
            real: spread(real)?,
            simulated: spread(simulated)?,
        })
    }

    /// Makes what is due, until all of it is made and the fleet is up to date, or has had the time for that.
    async fn follow_schedule(&mut self) -> Result<(), ScaleError> {
        let mut schedule = Schedule::new(self.fleet.options);
        let (begun, length) = (Instant::now(), self.fleet.options.length());
        let mut ticks = ticks();
        loop {
            let now = begun.elapsed();
            while let Some(step) = schedule.next_fault(now) {
                self.make_fault_step(step).await?;
            }
            while !self.fleet.options.step_wise || self.fleet.is_settled() {
                let Some(step) = schedule.next_step(now) else {
                    break;
                };
                self.make(step).await?;
            }
            let over = now >= length && schedule.is_over() && self.fleet.is_settled();
            if over || now >= length + SETTLE_TIMEOUT {
                return Ok(());
            }
            let doing = format!("{:.0} of {:.0} s", now.as_secs_f64(), length.as_secs_f64());
            self.listen(&mut ticks, &doing).await?;
        }
    }

    async fn make(&mut self, step: Step) -> Result<(), ScaleError> {
        match step {
            Step::ListChange => {
                let changes = self.generator.list_change();
                self.fleet.change_list(changes, ChangeCause::Planned).await
            }
            Step::Configuration => self.fleet.configure().await,
        }
    }

    async fn make_fault_step(&mut self, step: FaultStep) -> Result<(), ScaleError> {
        match step {
            FaultStep::Begin(kind) => {
                let figures = self.fleet.service.figures().await?;
                self.fault = Some((kind, figures.control()));
                self.begin(kind).await
            }
            FaultStep::End(kind) => self.end(kind).await,
        }
    }

    async fn begin(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        match kind {
            FaultKind::DiscoveryDown => Ok(self.fleet.service.set_down(true)?),
            FaultKind::Partition => Ok(self.fleet.service.set_partitioned(true)?),
            FaultKind::RestartTenth => {
                let nodes = self.generator.tenth();
                self.fleet.restart(nodes).await
            }
            FaultKind::ZoneLost => {
                let lost = self.generator.lose_zone();
                self.fleet.change_list(lost, ChangeCause::FaultBegins).await
            }
        }
    }

    /// Ends a fault with a change of the list: that shows when the fleet is up to date again.
    async fn end(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        let changes = match kind {
            FaultKind::DiscoveryDown => {
                self.fleet.service.set_down(false)?;
                self.generator.list_change()
            }
            FaultKind::Partition => {
                self.fleet.service.set_partitioned(false)?;
                self.generator.list_change()
            }
            FaultKind::ZoneLost => self.generator.return_zone(unix_ms()),
            // It is over when the nodes are back.
            FaultKind::RestartTenth => return Ok(()),
        };
        self.fleet
            .change_list(changes, ChangeCause::FaultEnds)
            .await
    }

    /// What all members used so far.
    async fn sample(&mut self) -> Result<Sample, ScaleError> {
        self.fleet
            .state
            .counted
            .iter_mut()
            .for_each(|counted| *counted = None);
        for worker in &mut self.fleet.workers {
            worker.order(&Order::Count).await?;
        }
        let counted = |fleet: &Fleet<'a>| fleet.state.counted.iter().all(Option::is_some);
        if !self.until(WORKER_TIMEOUT, counted).await? {
            return Err(ScaleError::Silent);
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
            behind_at_end: state.convergence.behind(),
            counts: period.counts(state.list_changes, state.configuration),
            discovery: period.discovery(),
            real_node: period.real_node(),
            simulated_node: period.simulated_node(),
            relays: period.relays(),
            empty_worker_kib: period.empty_workers.resident_kib
                / self.fleet.workers.len().max(1) as u64,
            list_change: change_times(state.convergence.lists()),
            configuration: change_times(state.convergence.configurations()),
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
            counts: period.after.service.control() - counts_before,
            failed_calls: period.after.failed_calls - period.before.failed_calls,
        }))
    }
}

fn change_times(times: &Times) -> ChangeTimes {
    ChangeTimes {
        to_last_node: TimeSummary::of(&times.to_last),
        to_each_node: TimeSummary::of(&times.to_each),
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
