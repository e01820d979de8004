//! Estimates the resources of a run before it starts, and rejects a run whose estimate exceeds a
//! limit.

use crate::scale::options::Options;
use crate::scale::processes::{descriptor_limit, machine_memory_kib};
use serde::Serialize;
use std::fmt;
use std::io;
use thiserror::Error;

/// Maximum number of processes of a run.
const MAX_PROCESSES: u64 = 300;

/// Memory of the run's own process, with discovery, servers and clients, in KiB.
const RUN_KIB: u64 = 24 << 10;
/// Memory of the run's own process per node, in KiB: two connections and their tasks.
const RUN_NODE_KIB: u64 = 48;
/// Memory of a real node's process without servers, in KiB.
const REAL_NODE_KIB: u64 = 16 << 10;
/// Memory of a worker without nodes, in KiB.
const WORKER_KIB: u64 = 16 << 10;
/// Memory of a simulated node without servers, in KiB.
const SIMULATED_NODE_KIB: u64 = 96;
/// Memory of a relay's process without servers and callers, in KiB.
const RELAY_KIB: u64 = 16 << 10;
/// Memory of a relay's process per caller, in KiB: two connections and their tasks.
const RELAY_CALLER_KIB: u64 = 48;
/// Memory of an endpoint list entry on a node, with the message that carried it, in bytes.
const ENTRY_BYTES: u64 = 1 << 10;

/// Maximum number of simultaneous connections of a node to discovery: the watch, its replacement,
/// and a connection that is being closed.
const NODE_CONNECTIONS: u64 = 3;
/// Discovery addresses per group of nodes.
const GROUP_LISTENERS: u64 = 2;
/// Groups of nodes per worker: one on each side of a partition.
const WORKER_GROUPS: u64 = 2;
/// Descriptors of the run's own process per relay: the relay's pipe, its discovery address, its
/// calls to that address, and the connection for its status.
const RELAY_DESCRIPTORS: u64 = 1 + 1 + NODE_CONNECTIONS + 1;
/// Pipes per child process.
const PROCESS_PIPES: u64 = 3;
/// Descriptors of a process for all other purposes.
const SPARE_DESCRIPTORS: u64 = 64;
/// Maximum number of descriptors of a real node: the limit in its configuration.
pub const REAL_NODE_SOCKETS: usize = 1024;
/// Client connections per real node.
pub const CLIENT_CONNECTIONS: usize = 4;

/// Maximum resources that a run is expected to need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Estimate {
    /// Number of processes, including the run's own.
    pub processes: u64,
    /// Memory of all processes, in KiB.
    pub memory_kib: u64,
    /// Descriptors of the process that needs the most.
    pub descriptors: u64,
}

/// Limits of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Half of the machine's memory, in KiB.
    pub memory_kib: u64,
    /// Descriptors that one process may hold.
    pub descriptors: u64,
}

/// Reason for which a run is rejected.
#[derive(Debug, Error)]
pub enum BoundsError {
    /// The run would need too much memory.
    #[error("the run would need {needed} MiB of memory, but half of this machine's memory is {allowed} MiB")]
    Memory {
        /// Estimated memory, in MiB.
        needed: u64,
        /// Half of the machine's memory, in MiB.
        allowed: u64,
    },
    /// The run would need too many processes.
    #[error("the run would need {0} processes, but the limit is {MAX_PROCESSES}")]
    Processes(u64),
    /// A process of the run would need too many descriptors.
    #[error(
        "a process of the run would need {needed} descriptors, but its limit is {allowed} (ulimit -n)"
    )]
    Descriptors {
        /// Estimated number of descriptors.
        needed: u64,
        /// Descriptors that one process may hold.
        allowed: u64,
    },
    /// The limits of the machine cannot be read.
    #[error("cannot read this machine's limits: {0}")]
    Unknown(#[from] io::Error),
}

impl Estimate {
    /// Estimates the resources of a run.
    pub fn of(options: &Options) -> Self {
        let (real, simulated) = (options.real as u64, options.simulated as u64);
        let (workers, nodes) = (options.used_workers() as u64, options.nodes() as u64);
        let entries_kib = (options.servers as u64 * ENTRY_BYTES).div_ceil(1 << 10);
        let memory_kib = RUN_KIB
            + nodes * RUN_NODE_KIB
            + entries_kib
            + real * (REAL_NODE_KIB + entries_kib)
            + workers * WORKER_KIB
            + simulated * (SIMULATED_NODE_KIB + entries_kib);
        let (relays, relay_callers) = relays(options);
        let memory_kib =
            memory_kib + relays * (RELAY_KIB + entries_kib) + relay_callers * RELAY_CALLER_KIB;
        let clients = if options.requests > 0.0 {
            real * 2 * CLIENT_CONNECTIONS as u64
        } else {
            0
        };
        let run = SPARE_DESCRIPTORS
            + nodes * NODE_CONNECTIONS
            + real * (GROUP_LISTENERS + PROCESS_PIPES)
            + workers * (WORKER_GROUPS * GROUP_LISTENERS + PROCESS_PIPES)
            + relays * RELAY_DESCRIPTORS
            + clients;
        let worker = SPARE_DESCRIPTORS + simulated.div_ceil(workers.max(1)) * NODE_CONNECTIONS;
        let node = if real > 0 {
            REAL_NODE_SOCKETS as u64
        } else {
            0
        };
        let relay = if relays > 0 {
            max_relay_descriptors(options)
        } else {
            0
        };
        let descriptors = run.max(worker).max(node).max(relay);
        Self {
            processes: 1 + real + workers + relays,
            memory_kib,
            descriptors,
        }
    }

    /// Checks that the estimate is within the limits.
    pub fn check(&self, limits: &Limits) -> Result<(), BoundsError> {
        if self.processes > MAX_PROCESSES {
            return Err(BoundsError::Processes(self.processes));
        }
        if self.memory_kib > limits.memory_kib {
            let (needed, allowed) = (self.memory_kib >> 10, limits.memory_kib >> 10);
            return Err(BoundsError::Memory { needed, allowed });
        }
        if self.descriptors > limits.descriptors {
            let (needed, allowed) = (self.descriptors, limits.descriptors);
            return Err(BoundsError::Descriptors { needed, allowed });
        }
        Ok(())
    }
}

/// Returns the number of relays and the number of callers of all relays.
fn relays(options: &Options) -> (u64, u64) {
    let tiers = 0..options.relays.len();
    let callers: usize = tiers.map(|tier| options.callers_of_tier(tier)).sum();
    (options.relays.iter().sum::<usize>() as u64, callers as u64)
}

/// Returns the descriptors of the relay with the most callers.
fn max_relay_descriptors(options: &Options) -> u64 {
    let callers_per_relay =
        |(tier, relays): (usize, &usize)| options.callers_of_tier(tier).div_ceil((*relays).max(1));
    let max_callers = options
        .relays
        .iter()
        .enumerate()
        .map(callers_per_relay)
        .max()
        .unwrap_or(0);
    SPARE_DESCRIPTORS + max_callers as u64 * NODE_CONNECTIONS
}

impl Limits {
    /// Reads the limits of this machine and this process.
    pub fn read() -> Result<Self, BoundsError> {
        let descriptors = descriptor_limit().map_err(io::Error::from)?;
        Ok(Self {
            memory_kib: machine_memory_kib()? / 2,
            descriptors,
        })
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            processes,
            memory_kib,
            descriptors,
        } = self;
        write!(
            f,
            "{processes} processes, {} MiB of memory and at most {descriptors} descriptors in one process",
            memory_kib >> 10
        )
    }
}

#[cfg(test)]
mod tests;
