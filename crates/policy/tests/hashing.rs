//! How keys spread over servers, and what moves when the list changes.

mod common;
use common::*;
use slatelink_policy::*;
use std::collections::BTreeMap;

fn owners(node: &mut Node) -> BTreeMap<u64, EndpointId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.call(key, Status::Ok).expect("served"));
        node.requests.clear();
        node.pass(ms(10));
    }
    owners
}

fn share(owners: &BTreeMap<u64, EndpointId>, server: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == server).count() as f64 / owners.len() as f64
}

#[test]
fn a_leaver_moves_its_own_keys_only_and_a_return_brings_them_back() {
    let mut node = Node::with_servers(settings(), 8);
    let before = owners(&mut node);
    let gone = Endpoint {
        availability: Availability::Removed,
        ..Endpoint::new("d")
    };
    node.changes(vec![gone]);
    let without = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&without[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share(&without, other) > share(&before, other),
            "the leaver's keys spread over all the others"
        );
    }
    node.changes(vec![Endpoint::new("d")]);
    assert_eq!(owners(&mut node), before);
}

#[test]
fn shares_follow_weights() {
    let mut node = Node::new(settings(), 1);
    let weighted = |id: &str, weight| Endpoint {
        weight,
        ..Endpoint::new(id)
    };
    node.full_list(vec![
        weighted("a", 1.0),
        weighted("b", 1.0),
        weighted("c", 2.0),
    ]);
    let owners = owners(&mut node);
    assert!((share(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share(&owners, "c") - 0.5).abs() < 0.04);
}

#[test]
fn nodes_with_other_seeds_and_lists_in_other_order_agree() {
    let mut one = Node::with_servers(settings(), 5);
    let mut two = Node::new(settings(), 99);
    two.full_list(["e", "c", "a", "b", "d"].map(Endpoint::new).to_vec());
    assert_eq!(owners(&mut one), owners(&mut two));
}

// Guards against a cold server that gets as many keys as a warm one: what it may be sent is bounded elsewhere, but the
// keys past that bound would miss at the servers that they spill to.
#[test]
fn a_cold_server_is_the_first_choice_for_its_present_part_of_the_keys() {
    // So much may be sent to a cold server that nothing but the order keeps keys from it.
    let mut node = Node::with_servers(
        Settings {
            slow_start_overload_factor: 1e6,
            ..settings()
        },
        4,
    );
    (0..500).for_each(|key| drop(node.call(key, Status::Ok)));
    let first = |node: &mut Node| {
        let to_cold = |key: &u64| node.call(*key, Status::Ok) == Some("a".into());
        (1_000..3_000).filter(to_cold).count()
    };
    let warm = first(&mut node);
    let started = Some(node.now);
    node.changes(vec![Endpoint {
        started,
        ..Endpoint::new("a")
    }]);
    // What it got in the present slot of time is spent.
    node.pass(ms(1_000));
    let cold = first(&mut node);
    // Warm, a quarter; a second after its start at 0.37 of itself, 0.37 of 3.37 parts.
    assert!(
        (400..600).contains(&warm),
        "{warm} of 2000 while it is warm"
    );
    assert!(
        (150..300).contains(&cold),
        "{cold} of 2000 while it is cold"
    );
}
