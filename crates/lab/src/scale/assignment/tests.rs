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
        beyond_partition: false,
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
            beyond_partition: is_beyond_partition(node),
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
            beyond_partition: is_beyond_partition(node),
        };
        assert_eq!(pair, [peer(0), peer(1)]);
    }
}
