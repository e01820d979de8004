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
        let both = |caller, far| {
            (0..2).map(move |address| Peer {
                caller,
                address,
                far,
            })
        };
        let real = (0..self.real).flat_map(|node| both(Caller::RealNode(node), is_far(node)));
        let simulated = |far| both(Caller::SimulatedNodes, far);
        let shared = (0..self.workers()).flat_map(|_| simulated(false).chain(simulated(true)));
        let relay = Peer {
            caller: Caller::Relay,
            address: 0,
            far: false,
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
            self.real + 2 * worker + usize::from(is_far(node)),
        )
    }
}

/// Every second node is cut off by a split.
fn is_far(node: usize) -> bool {
    node % 2 == 1
}

fn pair(addresses: &[SocketAddr], place: usize) -> [SocketAddr; 2] {
    [addresses[2 * place], addresses[2 * place + 1]]
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a node that two workers run, or none, and against one that calls at another's address.
    #[test]
    fn each_node_has_one_worker_and_addresses_of_its_side() {
        let options = Options {
            real: 3,
            simulated: 8,
            workers: 3,
            relays: vec![2, 4],
            ..Options::default()
        };
        let assignment = Assignment::new(&options);
        let dealt: Vec<_> = (0..assignment.workers())
            .flat_map(|worker| assignment.nodes(worker))
            .collect();
        assert_eq!(dealt, (3..11).collect::<Vec<_>>());
        let peers = assignment.peers();
        let addresses: Vec<_> = (0..peers.len())
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)))
            .collect();
        let at = |address: SocketAddr| peers[usize::from(address.port())];
        let relay = Peer {
            caller: Caller::Relay,
            address: 0,
            far: false,
        };
        assert!(assignment
            .of_relays(&addresses)
            .iter()
            .map(|address| at(*address))
            .eq([relay; 2]));
        for node in 0..3 {
            let pair = assignment.of_real(node, &addresses).map(at);
            let peer = |address| Peer {
                caller: Caller::RealNode(node),
                address,
                far: is_far(node),
            };
            assert_eq!(pair, [peer(0), peer(1)]);
        }
        for (worker, node) in
            (0..3).flat_map(|worker| assignment.nodes(worker).map(move |node| (worker, node)))
        {
            let pair = assignment.of_simulated(worker, node, &addresses).map(at);
            let peer = |address| Peer {
                caller: Caller::SimulatedNodes,
                address,
                far: is_far(node),
            };
            assert_eq!(pair, [peer(0), peer(1)]);
        }
    }
}
