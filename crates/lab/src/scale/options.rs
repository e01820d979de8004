//! Options of a scale run, and their validation.

use serde::Serialize;
use slatelink_config::relay::DEFAULT_LEASE_MS;
use std::time::Duration;
use thiserror::Error;

/// Kind of fault that a scale run can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Discovery is unavailable for the duration of the fault.
    DiscoveryDown,
    /// A tenth of the nodes restart at once.
    RestartTenth,
    /// The servers of one zone are absent from the endpoint list for the duration of the fault.
    ZoneLost,
    /// Half of the nodes cannot reach discovery for the duration of the fault.
    #[serde(rename = "split")]
    Partition,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds after the whole fleet was first up to date.
    pub at_s: f64,
    /// Duration in seconds; 0 for a restart.
    pub for_s: f64,
}

/// Options of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Options {
    /// Number of real nodes, each in its own process.
    pub real: usize,
    /// Number of simulated nodes, which share the worker processes.
    pub simulated: usize,
    /// Maximum number of worker processes for the simulated nodes.
    pub workers: usize,
    /// Cache servers in the endpoint list.
    pub servers: usize,
    /// Zones over which the cache servers are distributed.
    pub zones: usize,
    /// Requests per second of each node.
    pub requests: f64,
    /// Changes of the endpoint list per second.
    pub list_changes: f64,
    /// New configurations per second, each for the whole fleet.
    pub configurations: f64,
    /// Duration of the phase in which changes are made, in seconds.
    pub length_s: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether a change waits until the previous change is in force on all nodes and all nodes
    /// watch again.
    pub step_wise: bool,
    /// Time that discovery takes per call, in microseconds.
    pub call_cost_us: u64,
    /// Time that discovery takes per entry written, in microseconds.
    pub entry_cost_us: u64,
    /// Number of relays in each tier between discovery and the nodes. Discovery is upstream of the
    /// first tier.
    pub relays: Vec<usize>,
    /// Lease of the relays in milliseconds: time for which a relay serves calls after the last
    /// response from upstream.
    pub relay_lease_ms: u64,
    /// Fault to inject.
    #[serde(rename = "trouble")]
    pub fault: Option<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            real: 1,
            simulated: 50,
            workers: 4,
            servers: 50,
            zones: 3,
            requests: 0.0,
            list_changes: 1.0,
            configurations: 0.0,
            length_s: 30.0,
            seed: 1,
            step_wise: false,
            call_cost_us: 250,
            entry_cost_us: 5,
            relays: Vec::new(),
            relay_lease_ms: DEFAULT_LEASE_MS,
            fault: None,
        }
    }
}

/// Reason for which options are rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OptionsError {
    /// An option is out of its range.
    #[error("{name} is {value}: expected a number from {minimum} to {maximum}")]
    Range {
        /// Name of the option.
        name: &'static str,
        /// Value of the option.
        value: f64,
        /// Smallest permitted value.
        minimum: f64,
        /// Largest permitted value.
        maximum: f64,
    },
    /// The fleet has no nodes.
    #[error("no nodes: --real or --simulated must be at least 1")]
    NoNodes,
    /// There are more zones than servers.
    #[error(
        "{servers} servers cannot be distributed over {zones} zones: each zone needs a server"
    )]
    EmptyZone {
        /// Number of servers.
        servers: usize,
        /// Number of zones.
        zones: usize,
    },
    /// The only zone would be lost.
    #[error("--trouble=zone-lost needs at least 2 zones, but --zones is 1")]
    OnlyZone,
    /// The fault does not end within the run.
    #[error("a fault at {at_s} s for {for_s} s does not end within the run's {length_s} s")]
    FaultTooLate {
        /// Start of the fault, in seconds.
        at_s: f64,
        /// Duration of the fault, in seconds.
        for_s: f64,
        /// Duration of the change phase, in seconds.
        length_s: f64,
    },
    /// Real nodes are combined with relays. The version that a real node has in force is visible
    /// only to the source that the node calls, so behind a relay the run cannot observe it.
    #[error(
        "{0} real nodes requested with relays: behind relays their state is not visible, so --real must be 0"
    )]
    RealBehindRelays(usize),
    /// There are more tiers of relays than supported.
    #[error(
        "{0} tiers of relays requested: at most {MAX_TIERS} are supported between discovery and the nodes"
    )]
    TooManyTiers(usize),
    /// A partition is combined with relays: it separates nodes from discovery, but with relays no
    /// node calls discovery.
    #[error(
        "--trouble=split cannot be combined with --relays: nodes behind relays do not call discovery"
    )]
    PartitionWithRelays,
    /// There are more planned changes than a run can track.
    #[error("{changes} changes are planned: at most {MAX_CHANGES} can be tracked in a run")]
    TooManyChanges {
        /// Number of planned changes.
        changes: usize,
    },
}

/// Maximum of each number of nodes, workers, servers, zones and relays. The bounds on memory and
/// processes allow far fewer.
const MAX_COUNT: f64 = 100_000.0;
/// Maximum number of changes that a run can track.
pub const MAX_CHANGES: usize = 100_000;
const MAX_SECONDS: f64 = 86_400.0;
const MAX_RATE: f64 = 10_000.0;
const MAX_COST_US: f64 = 1_000_000.0;
const MAX_TIERS: usize = 2;
/// Smallest and largest lease that a relay accepts, in milliseconds.
const LEASE_MS_RANGE: [f64; 2] = [300.0, 3_600_000.0];

impl Options {
    /// Returns the number of nodes of both kinds.
    pub fn nodes(&self) -> usize {
        self.real + self.simulated
    }

    /// Returns the number of worker processes to start, each with at least one node.
    pub fn used_workers(&self) -> usize {
        self.workers.min(self.simulated)
    }

    /// Returns the number of callers of the relays in a tier: the relays of the next tier, or the
    /// simulated nodes.
    pub fn callers_of_tier(&self, tier: usize) -> usize {
        self.relays.get(tier + 1).copied().unwrap_or(self.simulated)
    }

    /// Returns the duration of the phase in which changes are made.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }

    /// Returns the number of planned changes of the endpoint list, without the changes of a fault.
    pub fn planned_list_changes(&self) -> usize {
        planned_count(self.list_changes, self.length_s)
    }

    /// Returns the number of planned configurations.
    pub fn planned_configurations(&self) -> usize {
        planned_count(self.configurations, self.length_s)
    }

    /// Returns the name of the zone with this index.
    pub fn zone(index: usize) -> String {
        format!("zone-{index}")
    }

    /// Checks that all options are in range and can be combined.
    pub fn check(&self) -> Result<(), OptionsError> {
        check_range("--real", self.real as f64, 0.0, MAX_COUNT)?;
        check_range("--simulated", self.simulated as f64, 0.0, MAX_COUNT)?;
        check_range("--workers", self.workers as f64, 1.0, MAX_COUNT)?;
        check_range("--servers", self.servers as f64, 1.0, MAX_COUNT)?;
        check_range("--zones", self.zones as f64, 1.0, MAX_COUNT)?;
        check_range("--requests", self.requests, 0.0, MAX_RATE)?;
        check_range("--list-changes", self.list_changes, 0.0, MAX_RATE)?;
        check_range("--configurations", self.configurations, 0.0, MAX_RATE)?;
        check_range("--length", self.length_s, 1.0, MAX_SECONDS)?;
        check_range("--call-cost", self.call_cost_us as f64, 0.0, MAX_COST_US)?;
        check_range("--entry-cost", self.entry_cost_us as f64, 0.0, MAX_COST_US)?;
        if self.nodes() == 0 {
            return Err(OptionsError::NoNodes);
        }
        if self.zones > self.servers {
            return Err(OptionsError::EmptyZone {
                servers: self.servers,
                zones: self.zones,
            });
        }
        let changes = self.planned_list_changes() + self.planned_configurations();
        if changes > MAX_CHANGES {
            return Err(OptionsError::TooManyChanges { changes });
        }
        self.check_relays()?;
        self.fault.map_or(Ok(()), |fault| self.check_fault(fault))
    }

    fn check_relays(&self) -> Result<(), OptionsError> {
        for relays in &self.relays {
            check_range("--relays", *relays as f64, 1.0, MAX_COUNT)?;
        }
        check_range(
            "--relay-lease-ms",
            self.relay_lease_ms as f64,
            LEASE_MS_RANGE[0],
            LEASE_MS_RANGE[1],
        )?;
        if self.relays.len() > MAX_TIERS {
            return Err(OptionsError::TooManyTiers(self.relays.len()));
        }
        if !self.relays.is_empty() && self.real > 0 {
            return Err(OptionsError::RealBehindRelays(self.real));
        }
        Ok(())
    }

    fn check_fault(&self, fault: Fault) -> Result<(), OptionsError> {
        let Fault { kind, at_s, for_s } = fault;
        check_range("--trouble-at", at_s, 0.0, MAX_SECONDS)?;
        check_range("--trouble-for", for_s, 0.0, MAX_SECONDS)?;
        if kind == FaultKind::Partition && !self.relays.is_empty() {
            return Err(OptionsError::PartitionWithRelays);
        }
        if kind == FaultKind::ZoneLost && self.zones < 2 {
            return Err(OptionsError::OnlyZone);
        }
        if at_s + for_s > self.length_s {
            return Err(OptionsError::FaultTooLate {
                at_s,
                for_s,
                length_s: self.length_s,
            });
        }
        Ok(())
    }
}

fn planned_count(rate: f64, seconds: f64) -> usize {
    (rate * seconds).floor() as usize
}

fn check_range(
    name: &'static str,
    value: f64,
    minimum: f64,
    maximum: f64,
) -> Result<(), OptionsError> {
    // Comparisons with NaN are false, so NaN is rejected.
    if value >= minimum && value <= maximum {
        Ok(())
    } else {
        Err(OptionsError::Range {
            name,
            value,
            minimum,
            maximum,
        })
    }
}
