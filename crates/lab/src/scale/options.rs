//! What a scale run is asked for, and whether that makes sense.

use serde::Serialize;
use slatelink_config::relay::DEFAULT_LEASE_MS;
use std::time::Duration;
use thiserror::Error;

/// Kinds of faults that a scale run plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Discovery is away and comes back.
    DiscoveryDown,
    /// A tenth of the nodes is restarted at once.
    RestartTenth,
    /// The servers of one zone are gone and come back.
    ZoneLost,
    /// Half of the fleet is cut off from discovery for a while.
    #[serde(rename = "split")]
    Partition,
}

/// One fault on the time line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When, in seconds after the fleet was up to date first.
    pub at_s: f64,
    /// For how many seconds; a restart takes none.
    pub for_s: f64,
}

/// What a scale run is asked for.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Options {
    /// Nodes that are processes of their own.
    pub real: usize,
    /// Nodes that share processes.
    pub simulated: usize,
    /// Processes that simulated nodes share.
    pub workers: usize,
    /// Cache servers in the list.
    pub servers: usize,
    /// Zones that they are dealt out over.
    pub zones: usize,
    /// Requests a second of each node.
    pub requests: f64,
    /// Changes of the list a second.
    pub list_changes: f64,
    /// New configurations a second, each of the whole fleet.
    pub configurations: f64,
    /// How long changes are made, in seconds.
    pub length_s: f64,
    /// Of all that is drawn.
    pub seed: u64,
    /// Whether a change waits until the one before it is in force everywhere.
    pub step_wise: bool,
    /// Discovery's time for a call, in microseconds.
    pub call_cost_us: u64,
    /// Discovery's time for an entry that it writes, in microseconds.
    pub entry_cost_us: u64,
    /// Relays between discovery and the nodes, by tier; the first tier has discovery upstream.
    pub relays: Vec<usize>,
    /// How long relays answer after upstream's last word, in milliseconds.
    pub relay_lease_ms: u64,
    /// What goes wrong.
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

/// Why options make no sense.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OptionsError {
    /// A figure is out of its range.
    #[error("{name} is {value}: a number from {least} to {most} is wanted")]
    Range {
        /// Which.
        name: &'static str,
        /// What was read.
        value: f64,
        /// The least it may be.
        least: f64,
        /// The most it may be.
        most: f64,
    },
    /// No nodes.
    #[error("there are no nodes: --real or --simulated has to be at least 1")]
    NoNodes,
    /// More zones than servers.
    #[error("{servers} servers cannot be dealt out over {zones} zones: each zone needs one")]
    EmptyZone {
        /// Servers there are.
        servers: usize,
        /// Zones there are.
        zones: usize,
    },
    /// A zone is to be lost and there is no other.
    #[error("a zone is to be lost: that takes at least 2 zones")]
    OnlyZone,
    /// Fault that begins or ends after the run.
    #[error("trouble from second {at_s} for {for_s} s does not end within the run's {length_s} s")]
    TroubleTooLate {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
        /// How long the run is.
        length_s: f64,
    },
    /// Real nodes behind relays: what they have in force shows only to whom they call.
    #[error(
        "{0} real nodes are asked for with relays: they cannot be followed there, so --real has to be 0"
    )]
    RealBehindRelays(usize),
    /// More tiers than there are.
    #[error(
        "{0} tiers of relays are asked for: at most {MOST_TIERS} can stand between discovery and the nodes"
    )]
    TooManyTiers(usize),
    /// A cut is between discovery and nodes, where relays stand.
    #[error(
        "a split cuts nodes off from discovery: with relays between them there is none to play"
    )]
    SplitWithRelays,
    /// More changes than can be followed.
    #[error("{changes} changes are planned: at most {MOST_CHANGES} can be followed in a run")]
    TooManyChanges {
        /// So many.
        changes: usize,
    },
}

/// The most nodes of a kind, and servers: what the bounds on memory and processes allow is far less.
const MOST: f64 = 100_000.0;
/// Changes that are followed in a run.
pub const MOST_CHANGES: usize = 100_000;
const MOST_SECONDS: f64 = 86_400.0;
const MOST_RATE: f64 = 10_000.0;
const MOST_COST_US: f64 = 1_000_000.0;
const MOST_TIERS: usize = 2;
/// What a relay takes for its lease.
const LEASE_MS: [f64; 2] = [300.0, 3_600_000.0];

impl Options {
    /// Nodes of both kinds.
    pub fn nodes(&self) -> usize {
        self.real + self.simulated
    }

    /// Processes that simulated nodes share: none of them is empty.
    pub fn used_workers(&self) -> usize {
        self.workers.min(self.simulated)
    }

    /// Callers of a tier's relays: those of the next tier, or the simulated nodes.
    pub fn callers_of_tier(&self, tier: usize) -> usize {
        self.relays.get(tier + 1).copied().unwrap_or(self.simulated)
    }

    /// How long changes are made.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }

    /// Changes of the list that are planned, without those of a fault.
    pub fn planned_list_changes(&self) -> usize {
        planned(self.list_changes, self.length_s)
    }

    /// New configurations that are planned.
    pub fn planned_configurations(&self) -> usize {
        planned(self.configurations, self.length_s)
    }

    /// The name of a zone.
    pub fn zone(place: usize) -> String {
        format!("zone-{place}")
    }

    /// Refuses what makes no sense.
    pub fn check(&self) -> Result<(), OptionsError> {
        range("--real", self.real as f64, 0.0, MOST)?;
        range("--simulated", self.simulated as f64, 0.0, MOST)?;
        range("--workers", self.workers as f64, 1.0, MOST)?;
        range("--servers", self.servers as f64, 1.0, MOST)?;
        range("--zones", self.zones as f64, 1.0, MOST)?;
        range("--requests", self.requests, 0.0, MOST_RATE)?;
        range("--list-changes", self.list_changes, 0.0, MOST_RATE)?;
        range("--configurations", self.configurations, 0.0, MOST_RATE)?;
        range("--length", self.length_s, 1.0, MOST_SECONDS)?;
        range("--call-cost", self.call_cost_us as f64, 0.0, MOST_COST_US)?;
        range("--entry-cost", self.entry_cost_us as f64, 0.0, MOST_COST_US)?;
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
        if changes > MOST_CHANGES {
            return Err(OptionsError::TooManyChanges { changes });
        }
        self.check_relays()?;
        self.fault.map_or(Ok(()), |fault| self.check_fault(fault))
    }

    fn check_relays(&self) -> Result<(), OptionsError> {
        for relays in &self.relays {
            range("--relays", *relays as f64, 1.0, MOST)?;
        }
        range(
            "--relay-lease-ms",
            self.relay_lease_ms as f64,
            LEASE_MS[0],
            LEASE_MS[1],
        )?;
        if self.relays.len() > MOST_TIERS {
            return Err(OptionsError::TooManyTiers(self.relays.len()));
        }
        if !self.relays.is_empty() && self.real > 0 {
            return Err(OptionsError::RealBehindRelays(self.real));
        }
        Ok(())
    }

    fn check_fault(&self, fault: Fault) -> Result<(), OptionsError> {
        let Fault { kind, at_s, for_s } = fault;
        range("--trouble-at", at_s, 0.0, MOST_SECONDS)?;
        range("--trouble-for", for_s, 0.0, MOST_SECONDS)?;
        if kind == FaultKind::Partition && !self.relays.is_empty() {
            return Err(OptionsError::SplitWithRelays);
        }
        if kind == FaultKind::ZoneLost && self.zones < 2 {
            return Err(OptionsError::OnlyZone);
        }
        if at_s + for_s > self.length_s {
            return Err(OptionsError::TroubleTooLate {
                at_s,
                for_s,
                length_s: self.length_s,
            });
        }
        Ok(())
    }
}

fn planned(rate: f64, seconds: f64) -> usize {
    (rate * seconds).floor() as usize
}

fn range(name: &'static str, value: f64, least: f64, most: f64) -> Result<(), OptionsError> {
    // Not a number is in no range.
    if value >= least && value <= most {
        Ok(())
    } else {
        Err(OptionsError::Range {
            name,
            value,
            least,
            most,
        })
    }
}
