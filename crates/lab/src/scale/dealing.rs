//! Which worker has which nodes, which address of discovery is for whom, and which side of a split a node is on. No I/O.

use crate::scale::options::Options;
use crate::scale::service::Peer;
use std::net::SocketAddr;
use std::ops::Range;

/// How nodes are dealt out over workers. Nodes are numbered from 0, the real ones first.
#[derive(Clone, Debug)]
pub struct Dealing {
    real: usize,
    /// The first node of each worker, and the end.
    bounds: Vec<usize>,
}

impl Dealing {
    /// Of a run: workers differ by one node at most.
    pub fn new(options: &Options) -> Self {
        let workers = options.used_workers();
        let bound = |place: usize| options.real + options.simulated * place / workers.max(1);
        Self { real: options.real, bounds: (0..=workers).map(bound).collect() }
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
    /// each side of a split.
    pub fn peers(&self) -> Vec<Peer> {
        let both = |real, far| (0..2).map(move |address| Peer { real, address, far });
        let real = (0..self.real).flat_map(|node| both(Some(node), is_far(node)));
        let shared = (0..self.workers()).flat_map(|_| both(None, false).chain(both(None, true)));
        real.chain(shared).collect()
    }

    /// A real node's two addresses, of those listed for the peers.
    pub fn of_real(&self, node: usize, addresses: &[SocketAddr]) -> [SocketAddr; 2] {
        pair(addresses, node)
    }

    /// A simulated node's two addresses, of those listed for the peers.
    pub fn of_simulated(&self, worker: usize, node: usize, addresses: &[SocketAddr]) -> [SocketAddr; 2] {
        pair(addresses, self.real + 2 * worker + usize::from(is_far(node)))
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
        let options = Options { real: 3, simulated: 8, workers: 3, ..Options::default() };
        let dealing = Dealing::new(&options);
        let dealt: Vec<_> = (0..dealing.workers()).flat_map(|worker| dealing.nodes(worker)).collect();
        assert_eq!(dealt, (3..11).collect::<Vec<_>>());
        let peers = dealing.peers();
        let addresses: Vec<_> =
            (0..peers.len()).map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16))).collect();
        let at = |address: SocketAddr| peers[usize::from(address.port())];
        for node in 0..3 {
            let pair = dealing.of_real(node, &addresses).map(at);
            let peer = |address| Peer { real: Some(node), address, far: is_far(node) };
            assert_eq!(pair, [peer(0), peer(1)]);
        }
        for (worker, node) in (0..3).flat_map(|worker| dealing.nodes(worker).map(move |node| (worker, node)))
        {
            let pair = dealing.of_simulated(worker, node, &addresses).map(at);
            let peer = |address| Peer { real: None, address, far: is_far(node) };
            assert_eq!(pair, [peer(0), peer(1)]);
        }
    }
}
