//! Assigns simulated nodes to workers, discovery addresses to callers, and nodes to the two sides
//! of a partition. No I/O.

use crate::scale::discovery::{Caller, Peer};
use crate::scale::options::Options;
use std::net::SocketAddr;
use std::ops::Range;

/// Distribution of the simulated nodes over the workers. Nodes are numbered from 0, with the real
/// nodes first.
#[derive(Clone, Debug)]
pub struct Assignment {
    real: usize,
    /// Number of relays that call discovery directly.
    relays: usize,
    /// First node of each worker, followed by the number of all nodes.
    bounds: Vec<usize>,
}

impl Assignment {
    /// Assigns the nodes of a run. Node counts of workers differ by at most one.
    pub fn new(options: &Options) -> Self {
        let workers = options.used_workers();
        let bound = |index: usize| options.real + options.simulated * index / workers.max(1);
        let relays = options.relays.first().copied().unwrap_or(0);
        Self {
            real: options.real,
            relays,
            bounds: (0..=workers).map(bound).collect(),
        }
    }

    /// Returns the number of workers.
    pub fn workers(&self) -> usize {
        self.bounds.len() - 1
    }

    /// Returns the nodes of a worker.
    pub fn nodes(&self, worker: usize) -> Range<usize> {
        self.bounds[worker]..self.bounds[worker + 1]
    }

    /// Returns the caller expected at each of discovery's addresses, in this order: two addresses
    /// for each real node, two for each worker and side of a partition, and one for each relay.
    pub fn peers(&self) -> Vec<Peer> {
        let both_addresses = |caller, beyond_partition| {
            (0..2).map(move |address| Peer {
                caller,
                address,
                beyond_partition,
            })
        };
        let real = (0..self.real)
            .flat_map(|node| both_addresses(Caller::RealNode(node), is_beyond_partition(node)));
        let simulated = |beyond_partition| both_addresses(Caller::SimulatedNodes, beyond_partition);
        let simulated_groups =
            (0..self.workers()).flat_map(|_| simulated(false).chain(simulated(true)));
        let relay = Peer {
            caller: Caller::Relay,
            address: 0,
            beyond_partition: false,
        };
        real.chain(simulated_groups)
            .chain((0..self.relays).map(|_| relay))
            .collect()
    }

    /// Returns the relays' addresses, given the addresses of all [`peers`](Self::peers).
    pub fn relay_addresses<'a>(&self, addresses: &'a [SocketAddr]) -> &'a [SocketAddr] {
        &addresses[addresses.len() - self.relays..]
    }

    /// Returns a real node's two addresses, given the addresses of all [`peers`](Self::peers).
    pub fn real_node_addresses(&self, node: usize, addresses: &[SocketAddr]) -> [SocketAddr; 2] {
        address_pair(addresses, node)
    }

    /// Returns a simulated node's two addresses, given the addresses of all
    /// [`peers`](Self::peers).
    pub fn simulated_node_addresses(
        &self,
        worker: usize,
        node: usize,
        addresses: &[SocketAddr],
    ) -> [SocketAddr; 2] {
        address_pair(
            addresses,
            self.real + 2 * worker + usize::from(is_beyond_partition(node)),
        )
    }
}

/// Checks whether a partition cuts the node off; true for every second node.
fn is_beyond_partition(node: usize) -> bool {
    node % 2 == 1
}

fn address_pair(addresses: &[SocketAddr], index: usize) -> [SocketAddr; 2] {
    [addresses[2 * index], addresses[2 * index + 1]]
}

#[cfg(test)]
mod tests;
