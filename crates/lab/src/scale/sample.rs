//! Samples of the counters and resource usage of a fleet, and the averages per member between two
//! samples.

use crate::scale::counts::ControlCounts;
use crate::scale::discovery::ServiceStats;
use crate::scale::error::ScaleError;
use crate::scale::fleet::Fleet;
use crate::scale::options::Options;
use crate::scale::processes::Usage;
use crate::scale::relays::RelayProcess;
use crate::scale::report::{Counts, Discovery, Node, RelayTier, Traffic};
use crate::scale::workers::Worker;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Counters and resource usage of one tier of relays, summed over its relays.
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
            // The run's own two connections are excluded: the connection that polls the relay's
            // status, and the connection of the status request above.
            sample.open += status.open_connections.saturating_sub(2);
            let usage = relay.pid().map(Usage::of).transpose()?;
            sample.usage = [sample.usage, usage.unwrap_or_default()].into_iter().sum();
        }
        Ok(sample)
    }
}

/// Counters and resource usage of all members at one time.
#[derive(Debug)]
pub struct Sample {
    at: Instant,
    /// Counters and resource usage of discovery.
    pub discovery_stats: ServiceStats,
    /// Counters and resource usage of the relays, by tier.
    relays: Vec<TierSample>,
    run: Usage,
    /// Usage of the real nodes by process id; a restarted node has a new process.
    real: BTreeMap<i32, Usage>,
    workers: Usage,
    requests: u64,
    sent: u64,
    request_processor: Duration,
    /// Failed calls of simulated nodes to discovery or relays.
    pub failed_calls: u64,
}

impl Sample {
    /// Takes a sample. All workers must have answered the latest count command before.
    pub async fn take(fleet: &Fleet<'_>) -> Result<Self, ScaleError> {
        let state = &fleet.state;
        let real = state
            .pids
            .iter()
            .flatten()
            .map(|&pid| Ok((pid, Usage::of(pid)?)));
        let worker_counts = || state.counted.iter().flatten();
        let request_processor_ns = worker_counts()
            .map(|counts| counts.request_processor_ns)
            .sum();
        let mut relays = Vec::with_capacity(fleet.relays.tiers.len());
        for tier in &fleet.relays.tiers {
            relays.push(TierSample::take(tier).await?);
        }
        Ok(Self {
            at: Instant::now(),
            discovery_stats: fleet.discovery.stats().await?,
            relays,
            run: Usage::of(nix::unistd::getpid().as_raw())?,
            real: real.collect::<io::Result<_>>()?,
            workers: workers_usage(&fleet.workers)?,
            requests: worker_counts().map(|counts| counts.requests).sum(),
            sent: worker_counts().map(|counts| counts.sent).sum(),
            request_processor: Duration::from_nanos(request_processor_ns),
            failed_calls: worker_counts().map(|counts| counts.failed_calls).sum(),
        })
    }

    /// Returns the control-plane traffic with simulated nodes, which call the last tier of relays,
    /// or discovery if there are no relays.
    fn simulated(&self) -> ControlCounts {
        self.relays
            .last()
            .map_or(self.discovery_stats.simulated, |last_tier| {
                last_tier.callers
            })
    }
}

/// Returns the summed resource usage of all workers.
pub fn workers_usage(workers: &[Worker]) -> io::Result<Usage> {
    workers.iter().filter_map(Worker::pid).map(Usage::of).sum()
}

/// Measurement period between two samples.
#[derive(Debug)]
pub struct Period<'a> {
    /// Options of the run.
    pub options: &'a Options,
    /// Usage of the workers before they started any node.
    pub empty_workers: Usage,
    /// Sample at the start of the period.
    pub before: Sample,
    /// Sample at the end of the period.
    pub after: Sample,
}

impl Period<'_> {
    /// Returns the length of the period in seconds.
    pub fn seconds(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }

    /// Returns the counts of messages and bytes, for the whole run and for the period.
    pub fn counts(&self, list_changes: u64, configurations: u64) -> Counts {
        let (before, after) = (&self.before, &self.after);
        Counts {
            list_changes,
            configurations,
            real: after.discovery_stats.real,
            simulated: after.simulated(),
            discovery: after.discovery_stats.control(),
            real_measured: after.discovery_stats.real - before.discovery_stats.real,
            simulated_measured: after.simulated() - before.simulated(),
            discovery_measured: after.discovery_stats.control() - before.discovery_stats.control(),
        }
    }

    /// Returns the load of discovery.
    pub fn discovery(&self) -> Discovery {
        let (before, after) = (&self.before.discovery_stats, &self.after.discovery_stats);
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

    /// Returns the average load per relay, by tier.
    pub fn relays(&self) -> Vec<RelayTier> {
        let tiers = self
            .options
            .relays
            .iter()
            .zip(self.before.relays.iter().zip(&self.after.relays));
        let tier = |(&relays, (before, after)): (&usize, (&TierSample, &TierSample))| {
            let per_relay = |total: f64| total / relays as f64;
            let processor = after.usage.processor.saturating_sub(before.usage.processor);
            let measured = after.callers - before.callers;
            RelayTier {
                relays,
                traffic: Traffic::of(&measured, self.seconds(), relays),
                callers: after.callers,
                callers_measured: measured,
                upstream_failed: after.upstream_failed,
                processor_us_per_s: per_relay(micros(processor) / self.seconds()),
                resident_kib: per_relay(after.usage.resident_kib as f64),
                connections: per_relay(after.open as f64),
            }
        };
        tiers.map(tier).collect()
    }

    /// Returns the average load per real node, or `None` if the run has none.
    pub fn real_node(&self) -> Option<Node> {
        let counts = self.after.discovery_stats.real - self.before.discovery_stats.real;
        let processes = self.after.real.len() as f64;
        let total: Usage = self.after.real.values().copied().sum();
        // Only processes that ran at both samples count.
        let processor_time_in_period = |(pid, after): (&i32, &Usage)| {
            Some(after.processor - self.before.real.get(pid)?.processor)
        };
        let processor_times: Vec<_> = self
            .after
            .real
            .iter()
            .filter_map(processor_time_in_period)
            .collect();
        let processor = micros(processor_times.iter().sum())
            / self.seconds()
            / processor_times.len().max(1) as f64;
        (self.options.real > 0).then(|| Node {
            traffic: Traffic::of(&counts, self.seconds(), self.options.real),
            processor_us_per_s: processor,
            control_processor_us_per_s: (self.options.requests == 0.0).then_some(processor),
            resident_kib: total.resident_kib as f64 / processes,
            connections: total.sockets as f64 / processes,
            requests_per_s: None,
            sent_per_s: None,
        })
    }

    /// Returns the average load per simulated node, or `None` if the run has none.
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
        let per_node = |time: Duration| micros(time) / self.seconds() / nodes;
        let rate = |count: u64| count as f64 / self.seconds() / nodes;
        let growth_per_node = |after: u64, empty: u64| after.saturating_sub(empty) as f64 / nodes;
        (self.options.simulated > 0).then(|| Node {
            traffic: Traffic::of(&counts, self.seconds(), self.options.simulated),
            processor_us_per_s: per_node(processor),
            control_processor_us_per_s: Some(per_node(processor.saturating_sub(requests))),
            resident_kib: growth_per_node(
                after.workers.resident_kib,
                self.empty_workers.resident_kib,
            ),
            connections: growth_per_node(after.workers.sockets, self.empty_workers.sockets),
            requests_per_s: Some(rate(after.requests - before.requests)),
            sent_per_s: Some(rate(after.sent - before.sent)),
        })
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
