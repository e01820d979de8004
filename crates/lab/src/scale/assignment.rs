//! Which worker has which nodes, which address of discovery is for whom, and which side of a split a node is on. No I/O.

use crate::scale::options::Options;
use crate::scale::service::{Caller, Peer};
use std::net::SocketAddr;
use std::ops::Range;

/// How nodes are dealt out over workers. Nodes are numbered from 0, the real ones first.
#[derive(Clone, Debug)]
pub struct Assignment {
    real: usize,
    /// Relays that have discovery upstream.
    relays: usize,
    /// The first node of each worker, and the end.
    bounds: Vec<usize>,
}

impl Assignment {
    /// Of a run: workers differ by one node at most.
    pub fn new(options: &Options) -> Self {
        let workers = options.used_workers();
        let bound = |place: usize| options.real + options.simulated * place / workers.max(1);
        let relays = options.relays.first().copied().unwrap_or(0);
        Self {
            real: options.real,
            relays,
            bounds: (0..=workers).map(bound).collect(),
        }
    }

    /// Workers there are.
    pub fn workers(&self) -> usize {
        self.bounds.len() - 1
    }

    /// The nodes of a worker.
    pub fn nodes(&self, worker: usize) -> Range<usize> {
        self.bounds[worker]..self.bounds[worker + 1]
    }

    /// Who calls at discovery's addresses: two follow one another for each real node, and two for each worker's nodes on
    /// each side of a split. At the end there is one for each relay.
    pub fn peers(&self) -> Vec<Peer> {
        let both = |caller, beyond_partition| {
            (0..2).map(move |address| Peer {
                caller,
                address,
                beyond_partition,
            })
        };
        let real =
            (0..self.real).flat_map(|node| both(Caller::RealNode(node), is_beyond_partition(node)));
        let simulated = |beyond_partition| both(Caller::SimulatedNodes, beyond_partition);
        let shared = (0..self.workers()).flat_map(|_| simulated(false).chain(simulated(true)));
        let relay = Peer {
            caller: Caller::Relay,
            address: 0,
            beyond_partition: false,
        };
        real.chain(shared)
            .chain((0..self.relays).map(|_| relay))
            .collect()
    }

    /// The relays' addresses, of those listed for the peers.
    pub fn of_relays<'a>(&self, addresses: &'a [SocketAddr]) -> &'a [SocketAddr] {
        &addresses[addresses.len() - self.relays..]
    }

    /// A real node's two addresses, of those listed for the peers.
    pub fn of_real(&self, node: usize, addresses: &[SocketAddr]) -> [SocketAddr; 2] {
        pair(addresses, node)
    }

    /// A simulated node's two addresses, of those listed for the peers.
    pub fn of_simulated(
        &self,
        worker: usize,
        node: usize,
        addresses: &[SocketAddr],
    ) -> [SocketAddr; 2] {
        pair(
            addresses,
            self.real + 2 * worker + usize::from(is_beyond_partition(node)),
        )
    }
}

/// Every second node is cut off by a split.
fn is_beyond_partition(node: usize) -> bool {
    node % 2 == 1
}

fn pair(addresses: &[SocketAddr], place: usize) -> [SocketAddr; 2] {
    [addresses[2 * place], addresses[2 * place + 1]]
}

#[cfg(test)]
mod tests;
