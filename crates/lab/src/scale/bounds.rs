//! What a run will take, estimated before it starts, and refused where that is too much.

use crate::scale::options::Options;
use crate::scale::processes::{descriptor_limit, machine_memory_kib};
use serde::Serialize;
use std::fmt;
use std::io;
use thiserror::Error;

/// A run takes no more processes than this.
const MAX_PROCESSES: u64 = 300;

/// The run's own process, with discovery, servers and clients, in KiB.
const RUN_KIB: u64 = 24 << 10;
/// Of it, for each node: two connections and their tasks.
const RUN_NODE_KIB: u64 = 48;
/// A real node's process without servers, in KiB.
const REAL_NODE_KIB: u64 = 16 << 10;
/// A worker without nodes, in KiB.
const WORKER_KIB: u64 = 16 << 10;
/// A simulated node without servers, in KiB.
const SIMULATED_NODE_KIB: u64 = 96;
/// A relay's process without servers and callers, in KiB.
const RELAY_KIB: u64 = 16 << 10;
/// Of it, for each caller: two connections and their tasks.
const RELAY_CALLER_KIB: u64 = 48;
/// An entry at a node, with the message it came in, in bytes.
const ENTRY_BYTES: u64 = 1 << 10;

/// A node's connections to discovery at once: the watch, the one that takes its place, and one that goes.
const NODE_CONNECTIONS: u64 = 3;
/// Addresses of discovery for one group of nodes.
const GROUP_LISTENERS: u64 = 2;
/// Groups of nodes of one worker: one on each side of a cut.
const WORKER_GROUPS: u64 = 2;
/// At the run for each relay: its pipe, its address of discovery, its calls there, and the question for its status.
const RELAY_DESCRIPTORS: u64 = 1 + 1 + NODE_CONNECTIONS + 1;
/// Pipes to a process.
const PROCESS_PIPES: u64 = 3;
/// Descriptors of a process besides.
const SPARE_DESCRIPTORS: u64 = 64;
/// Descriptors of a real node: the limit in its configuration.
pub const REAL_NODE_SOCKETS: usize = 1024;
/// Connections of clients to a real node.
pub const CLIENT_CONNECTIONS: usize = 4;

/// What a run will take at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Estimate {
    /// Processes, the run's own with them.
    pub processes: u64,
    /// Memory of all of them, in KiB.
    pub memory_kib: u64,
    /// Descriptors of the process that holds most.
    pub descriptors: u64,
}

/// What this machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Half of its memory, in KiB.
    pub memory_kib: u64,
    /// Descriptors of a process.
    pub descriptors: u64,
}

/// Why a run is refused.
#[derive(Debug, Error)]
pub enum BoundsError {
    /// Too much memory.
    #[error("the run would take {needed} MiB of memory: half of this machine's is {allowed} MiB")]
    Memory {
        /// MiB it would take.
        needed: u64,
        /// MiB it may take.
        allowed: u64,
    },
    /// Too many processes.
    #[error("the run would take {0} processes: {MAX_PROCESSES} are the most")]
    Processes(u64),
    /// Too many descriptors.
    #[error(
        "a process of the run would take {needed} descriptors: its limit is {allowed} (ulimit -n)"
    )]
    Descriptors {
        /// So many.
        needed: u64,
        /// So many it may have.
        allowed: u64,
    },
    /// The machine does not say what it has.
    #[error("cannot read this machine's limits: {0}")]
    Unknown(#[from] io::Error),
}

impl Estimate {
    /// Of a run.
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
            most_of_relay(options)
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

    /// Refuses a run that takes more than there is.
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

/// Relays, and callers of all of them.
fn relays(options: &Options) -> (u64, u64) {
    let tiers = 0..options.relays.len();
    let callers: usize = tiers.map(|tier| options.callers_of_tier(tier)).sum();
    (options.relays.iter().sum::<usize>() as u64, callers as u64)
}

/// Descriptors of the relay that has most callers.
fn most_of_relay(options: &Options) -> u64 {
    let callers =
        |(tier, relays): (usize, &usize)| options.callers_of_tier(tier).div_ceil((*relays).max(1));
    let most = options
        .relays
        .iter()
        .enumerate()
        .map(callers)
        .max()
        .unwrap_or(0);
    SPARE_DESCRIPTORS + most as u64 * NODE_CONNECTIONS
}

impl Limits {
    /// Of this machine and this process.
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
            "{processes} processes, {} MiB of memory and {descriptors} descriptors in one process at the most",
            memory_kib >> 10
        )
    }
}

#[cfg(test)]
mod tests;
