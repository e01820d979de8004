//! How keys spread over endpoints, and what moves when the list changes.

mod common;
use common::*;
use slatelink_policy::*;
use std::collections::BTreeMap;

fn owners(node: &mut Node) -> BTreeMap<u64, EndpointId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.read(key, Status::Ok).expect("served"));
        node.requests.clear();
        node.advance(ms(10));
    }
    owners
}

fn share(owners: &BTreeMap<u64, EndpointId>, endpoint: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == endpoint).count() as f64 / owners.len() as f64
}

#[test]
fn a_removed_endpoint_moves_only_its_own_keys_and_gets_them_back_on_its_return() {
    let mut node = Node::with_endpoints(settings(), 8);
    let before = owners(&mut node);
    let gone = Endpoint {
        availability: Availability::Removed,
        ..Endpoint::new("d")
    };
    node.list_delta(vec![gone]);
    let without = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&without[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share(&without, other) > share(&before, other),
            "its keys spread over all the others"
        );
    }
    node.list_delta(vec![Endpoint::new("d")]);
    assert_eq!(owners(&mut node), before);
}

#[test]
fn endpoints_get_keys_in_proportion_to_their_weights() {
    let mut node = Node::new(settings(), 1);
    let weighted = |id: &str, weight| Endpoint {
        weight,
        ..Endpoint::new(id)
    };
    node.list_snapshot(vec![
        weighted("a", 1.0),
        weighted("b", 1.0),
        weighted("c", 2.0),
    ]);
    let owners = owners(&mut node);
    assert!((share(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share(&owners, "c") - 0.5).abs() < 0.04);
}

#[test]
fn nodes_rank_endpoints_alike_whatever_their_seed_and_the_order_of_the_list() {
    let mut one = Node::with_endpoints(settings(), 5);
    let mut two = Node::new(settings(), 99);
    two.list_snapshot(["e", "c", "a", "b", "d"].map(Endpoint::new).to_vec());
    assert_eq!(owners(&mut one), owners(&mut two));
}

// Guards against an endpoint that warms up that gets as many keys as one of full capacity: what it may be sent is
// bounded elsewhere, but the keys past that bound would miss at the endpoints that they spill to.
#[test]
fn an_endpoint_that_warms_up_comes_first_for_keys_in_proportion_to_its_present_capacity() {
    // So much may be sent to an endpoint that warms up that nothing but the order keeps keys from it.
    let mut node = Node::with_endpoints(
        Settings {
            slow_start_overload_factor: 1e6,
            ..settings()
        },
        4,
    );
    (0..500).for_each(|key| drop(node.read(key, Status::Ok)));
    let first = |node: &mut Node| {
        let to_starting = |key: &u64| node.read(*key, Status::Ok) == Some("a".into());
        (1_000..3_000).filter(to_starting).count()
    };
    let full = first(&mut node);
    let started = Some(node.now);
    node.list_delta(vec![Endpoint {
        started,
        ..Endpoint::new("a")
    }]);
    // What it got in the present slot of time is spent.
    node.advance(ms(1_000));
    let warming = first(&mut node);
    // At its full capacity, a quarter; a second after its start at 0.37 of itself, 0.37 of 3.37 parts.
    assert!(
        (400..600).contains(&full),
        "{full} of 2000 at its full capacity"
    );
    assert!(
        (150..300).contains(&warming),
        "{warming} of 2000 while it warms up"
    );
}
