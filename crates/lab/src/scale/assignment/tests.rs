use super::*;

// Guards against a node that no worker or two workers run, and against a node that calls an address
// of another caller.
#[test]
fn each_node_has_one_worker_and_the_addresses_of_its_partition_side() {
    let options = Options {
        real: 3,
        simulated: 8,
        workers: 3,
        relays: vec![2, 4],
        ..Options::default()
    };
    let assignment = Assignment::new(&options);
    let assigned: Vec<_> = (0..assignment.workers())
        .flat_map(|worker| assignment.nodes(worker))
        .collect();
    assert_eq!(assigned, (3..11).collect::<Vec<_>>());
    let peers = assignment.peers();
    let addresses: Vec<_> = (0..peers.len())
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)))
        .collect();
    let peer_at = |address: SocketAddr| peers[usize::from(address.port())];
    let relay = Peer {
        caller: Caller::Relay,
        address: 0,
        beyond_partition: false,
    };
    assert!(assignment
        .relay_addresses(&addresses)
        .iter()
        .map(|address| peer_at(*address))
        .eq([relay; 2]));
    for node in 0..3 {
        let pair = assignment
            .real_node_addresses(node, &addresses)
            .map(peer_at);
        let expected_peer = |address| Peer {
            caller: Caller::RealNode(node),
            address,
            beyond_partition: is_beyond_partition(node),
        };
        assert_eq!(pair, [expected_peer(0), expected_peer(1)]);
    }
    for (worker, node) in
        (0..3).flat_map(|worker| assignment.nodes(worker).map(move |node| (worker, node)))
    {
        let pair = assignment
            .simulated_node_addresses(worker, node, &addresses)
            .map(peer_at);
        let expected_peer = |address| Peer {
            caller: Caller::SimulatedNodes,
            address,
            beyond_partition: is_beyond_partition(node),
        };
        assert_eq!(pair, [expected_peer(0), expected_peer(1)]);
    }
}
