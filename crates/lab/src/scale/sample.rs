//! What the members of a fleet used up to a moment, and what that comes to for each between two moments.

use crate::scale::counts::ControlCounts;
use crate::scale::error::ScaleError;
use crate::scale::fleet::Fleet;
use crate::scale::options::Options;
use crate::scale::processes::Usage;
use crate::scale::relays::RelayProcess;
use crate::scale::report::{Counts, Discovery, Node, RelayTier, Traffic};
use crate::scale::service::ServiceFigures;
use crate::scale::workers::Worker;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// What the relays of a tier counted and used so far.
#[derive(Clone, Copy, Debug, Default)]
struct TierSample {
    callers: ControlCounts,
    upstream_failed: u64,
    usage: Usage,
    open: usize,
}

impl TierSample {
    async fn take(relays: &[RelayProcess]) -> Result<Self, ScaleError> {
        let mut sample = Self::default();
        for relay in relays {
            let status = relay.status().await?;
            sample.callers = sample.callers + status.downstream.into();
            sample.upstream_failed += status.upstream.failed_calls;
            // The run's own are no callers: the one that follows its state, and the one that asked now.
            sample.open += status.open_connections.saturating_sub(2);
            let usage = relay.pid().map(Usage::of).transpose()?;
            sample.usage = [sample.usage, usage.unwrap_or_default()].into_iter().sum();
        }
        Ok(sample)
    }
}

/// What all members used so far.
#[derive(Debug)]
pub struct Sample {
    at: Instant,
    /// What discovery counted and used.
    pub service: ServiceFigures,
    /// What relays counted and used, by tier.
    relays: Vec<TierSample>,
    run: Usage,
    /// By process: a restarted node has another one.
    real: BTreeMap<i32, Usage>,
    workers: Usage,
    requests: u64,
    sent: u64,
    request_processor: Duration,
    /// Calls of simulated nodes that failed.
    pub failed_calls: u64,
}

impl Sample {
    /// Of this moment; workers have answered what they counted.
    pub async fn take(fleet: &Fleet<'_>) -> Result<Self, ScaleError> {
        let state = &fleet.state;
        let real = state
            .pids
            .iter()
            .flatten()
            .map(|&pid| Ok((pid, Usage::of(pid)?)));
        let counted = || state.counted.iter().flatten();
        let request_processor_ns = counted().map(|counts| counts.request_processor_ns).sum();
        let mut relays = Vec::with_capacity(fleet.relays.tiers.len());
        for tier in &fleet.relays.tiers {
            relays.push(TierSample::take(tier).await?);
        }
        Ok(Self {
            at: Instant::now(),
            service: fleet.service.figures().await?,
            relays,
            run: Usage::of(nix::unistd::getpid().as_raw())?,
            real: real.collect::<io::Result<_>>()?,
            workers: workers_usage(&fleet.workers)?,
            requests: counted().map(|counts| counts.requests).sum(),
            sent: counted().map(|counts| counts.sent).sum(),
            request_processor: Duration::from_nanos(request_processor_ns),
            failed_calls: counted().map(|counts| counts.failed_calls).sum(),
        })
    }

    /// Control with simulated nodes: they call at the last relays, or at discovery.
    fn simulated(&self) -> ControlCounts {
        self.relays
            .last()
            .map_or(self.service.simulated, |last| last.callers)
    }
}

/// What all workers use.
pub fn workers_usage(workers: &[Worker]) -> io::Result<Usage> {
    workers.iter().filter_map(Worker::pid).map(Usage::of).sum()
}

/// What was used between two moments.
#[derive(Debug)]
pub struct Period<'a> {
    /// What was asked for.
    pub options: &'a Options,
    /// What the workers used before they had nodes.
    pub empty_workers: Usage,
    /// The first moment.
    pub before: Sample,
    /// The second one.
    pub after: Sample,
}

impl Period<'_> {
    /// How long it was.
    pub fn seconds(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }

    /// Messages and bytes.
    pub fn counts(&self, list_changes: u64, configurations: u64) -> Counts {
        let (before, after) = (&self.before, &self.after);
        Counts {
            list_changes,
            configurations,
            real: after.service.real,
            simulated: after.simulated(),
            discovery: after.service.control(),
            real_measured: after.service.real - before.service.real,
            simulated_measured: after.simulated() - before.simulated(),
            discovery_measured: after.service.control() - before.service.control(),
        }
    }

    /// Discovery.
    pub fn discovery(&self) -> Discovery {
        let (before, after) = (&self.before.service, &self.after.service);
        let processor = after.processor.saturating_sub(before.processor);
        let busy = after.busy.saturating_sub(before.busy);
        Discovery {
            traffic: Traffic::of(&(after.control() - before.control()), self.seconds(), 1),
            processor_us_per_s: micros(processor) / self.seconds(),
            busy_share: busy.as_secs_f64() / self.seconds(),
            resident_kib: self.after.run.resident_kib,
            connections: after.open,
            most_connections: after.most_open,
        }
    }

    /// The relays, by tier.
    pub fn relays(&self) -> Vec<RelayTier> {
        let tiers = self
            .options
            .relays
            .iter()
            .zip(self.before.relays.iter().zip(&self.after.relays));
        let tier = |(&relays, (before, after)): (&usize, (&TierSample, &TierSample))| {
            let each = |whole: f64| whole / relays as f64;
            let processor = after.usage.processor.saturating_sub(before.usage.processor);
            let measured = after.callers - before.callers;
            RelayTier {
                relays,
                traffic: Traffic::of(&measured, self.seconds(), relays),
                callers: after.callers,
                callers_measured: measured,
                upstream_failed: after.upstream_failed,
                processor_us_per_s: each(micros(processor) / self.seconds()),
                resident_kib: each(after.usage.resident_kib as f64),
                connections: each(after.open as f64),
            }
        };
        tiers.map(tier).collect()
    }

    /// A real node; `None` where there is none.
    pub fn real_node(&self) -> Option<Node> {
        let counts = self.after.service.real - self.before.service.real;
        let all = self.after.real.len() as f64;
        let used: Usage = self.after.real.values().copied().sum();
        let stayed = |(pid, after): (&i32, &Usage)| {
            Some(after.processor - self.before.real.get(pid)?.processor)
        };
        let processors: Vec<_> = self.after.real.iter().filter_map(stayed).collect();
        let processor =
            micros(processors.iter().sum()) / self.seconds() / processors.len().max(1) as f64;
        (self.options.real > 0).then(|| Node {
            traffic: Traffic::of(&counts, self.seconds(), self.options.real),
            processor_us_per_s: processor,
            control_processor_us_per_s: (self.options.requests == 0.0).then_some(processor),
            resident_kib: used.resident_kib as f64 / all,
            connections: used.sockets as f64 / all,
            requests_per_s: None,
            sent_per_s: None,
        })
    }

    /// A simulated node; `None` where there is none.
    pub fn simulated_node(&self) -> Option<Node> {
        let (before, after) = (&self.before, &self.after);
        let nodes = self.options.simulated as f64;
        let counts = after.simulated() - before.simulated();
        let processor = after
            .workers
            .processor
            .saturating_sub(before.workers.processor);
        let requests = after
            .request_processor
            .saturating_sub(before.request_processor);
        let each = |time: Duration| micros(time) / self.seconds() / nodes;
        let rate = |count: u64| count as f64 / self.seconds() / nodes;
        let own = |after: u64, empty: u64| after.saturating_sub(empty) as f64 / nodes;
        (self.options.simulated > 0).then(|| Node {
            traffic: Traffic::of(&counts, self.seconds(), self.options.simulated),
            processor_us_per_s: each(processor),
            control_processor_us_per_s: Some(each(processor.saturating_sub(requests))),
            resident_kib: own(after.workers.resident_kib, self.empty_workers.resident_kib),
            connections: own(after.workers.sockets, self.empty_workers.sockets),
            requests_per_s: Some(rate(after.requests - before.requests)),
            sent_per_s: Some(rate(after.sent - before.sent)),
        })
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
