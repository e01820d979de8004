//! Distribution of keys over endpoints, and the keys that move when the list changes.

mod common;
use common::*;
use slatelink_policy::*;
use std::collections::BTreeMap;

fn owners(node: &mut Node) -> BTreeMap<u64, EndpointId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.read(key, Status::Ok).expect("the read is served"));
        node.requests.clear();
        node.advance(ms(10));
    }
    owners
}

fn share_of_keys(owners: &BTreeMap<u64, EndpointId>, endpoint: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == endpoint).count() as f64 / owners.len() as f64
}

#[test]
fn removal_of_an_endpoint_moves_only_its_keys_and_its_return_restores_them() {
    let mut node = Node::with_endpoints(settings(), 8);
    let before = owners(&mut node);
    let removed = Endpoint {
        availability: Availability::Removed,
        ..Endpoint::new("d")
    };
    node.list_delta(vec![removed]);
    let after_removal = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&after_removal[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share_of_keys(&after_removal, other) > share_of_keys(&before, other),
            "the keys of d are distributed over all other endpoints"
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
    assert!((share_of_keys(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share_of_keys(&owners, "c") - 0.5).abs() < 0.04);
}

#[test]
fn owners_of_keys_do_not_depend_on_the_seed_of_the_node_or_the_order_of_the_list() {
    let mut first_node = Node::with_endpoints(settings(), 5);
    let mut second_node = Node::new(settings(), 99);
    second_node.list_snapshot(["e", "c", "a", "b", "d"].map(Endpoint::new).to_vec());
    assert_eq!(owners(&mut first_node), owners(&mut second_node));
}

// Guards against a warming endpoint that owns as many keys as an endpoint at full capacity. The
// slow start budget bounds the sends, but the keys beyond the budget would be misses at other
// endpoints.
#[test]
fn a_warming_endpoint_owns_keys_in_proportion_to_its_current_capacity() {
    // The overload factor is so high that only the ranking of endpoints limits the keys sent to the
    // warming endpoint.
    let mut node = Node::with_endpoints(
        Settings {
            slow_start_overload_factor: 1e6,
            ..settings()
        },
        4,
    );
    (0..500).for_each(|key| drop(node.read(key, Status::Ok)));
    let count_owned_keys = |node: &mut Node| {
        let is_sent_to_warming = |key: &u64| node.read(*key, Status::Ok) == Some("a".into());
        (1_000..3_000).filter(is_sent_to_warming).count()
    };
    let owned_at_full_capacity = count_owned_keys(&mut node);
    let started = Some(node.now);
    node.list_delta(vec![Endpoint {
        started,
        ..Endpoint::new("a")
    }]);
    // The endpoint has no budget left in the current slot.
    node.advance(ms(1_000));
    let owned_while_warming = count_owned_keys(&mut node);
    // At full capacity the endpoint owns a quarter of the keys. One second after its start, at 0.37
    // of its capacity, the endpoint owns 0.37 of 3.37 parts.
    assert!(
        (400..600).contains(&owned_at_full_capacity),
        "{owned_at_full_capacity} of 2000 keys at full capacity, expected 400 to 599"
    );
    assert!(
        (150..300).contains(&owned_while_warming),
        "{owned_while_warming} of 2000 keys during slow start, expected 150 to 299"
    );
}
