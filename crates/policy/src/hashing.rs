//! Hash functions and weighted rendezvous hashing (highest random weight).
//!
//! Each key ranks all endpoints by a pseudo-random distance that shrinks with an endpoint's
//! capacity. An endpoint that leaves moves only the keys it came first for, and each endpoint comes
//! first for a part of the keys in proportion to its capacity. Unlike a hash ring there is no table
//! to keep: nodes that know the same endpoints rank them alike.

use crate::api::{EndpointId, Request};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Spreads nearby numbers (the finaliser of splitmix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number between 0 and 1, both excluded, so that its logarithm is finite.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The hash by which an endpoint is ranked; the same at every node.
pub(crate) fn endpoint_hash(id: &EndpointId) -> u64 {
    mix(hash_text(id.as_str()))
}

/// The request's key; a hash of its id where it has none, which spreads such requests over all
/// endpoints.
pub(crate) fn routing_key(request: &Request) -> u64 {
    request
        .key
        .unwrap_or_else(|| hash_text(request.id.as_str()))
}

/// The distance between a key and an endpoint of this capacity (over 0), in a form that sorts as
/// the distance does.
pub(crate) fn rendezvous_distance(key: u64, endpoint_hash: u64, capacity: f64) -> u64 {
    let distance = -unit_interval(mix(key ^ endpoint_hash)).ln() / capacity;
    // The bits of positive numbers sort as the numbers do.
    distance.to_bits()
}

/// FNV-1a.
fn hash_text(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
