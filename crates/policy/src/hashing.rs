//! Hash functions and weighted rendezvous hashing (highest random weight).
//!
//! Each key ranks all endpoints by a pseudo-random distance that shrinks with an endpoint's
//! capacity. The removal of an endpoint moves only the keys for which the endpoint ranked first.
//! Each endpoint ranks first for a share of the keys proportional to its capacity. Unlike a hash
//! ring, rendezvous hashing needs no table: nodes with the same endpoint list rank endpoints
//! equally.

use crate::api::{EndpointId, Request};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Mixes the bits of a number, so that nearby numbers map to distant ones (finaliser of
/// splitmix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number between 0 and 1, both excluded, so that the number's logarithm is
/// finite.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Returns the hash that ranks an endpoint; equal at all nodes.
pub(crate) fn endpoint_hash(id: &EndpointId) -> u64 {
    mix(hash_text(id.as_str()))
}

/// Returns the request's key, or a hash of its id if it has no key, which spreads requests without
/// a key over all endpoints.
pub(crate) fn routing_key(request: &Request) -> u64 {
    request
        .key
        .unwrap_or_else(|| hash_text(request.id.as_str()))
}

/// Returns the distance between a key and an endpoint of this capacity (greater than 0), as an
/// integer that sorts like the distance.
pub(crate) fn rendezvous_distance(key: u64, endpoint_hash: u64, capacity: f64) -> u64 {
    let distance = -unit_interval(mix(key ^ endpoint_hash)).ln() / capacity;
    // The bit patterns of positive floating-point numbers sort like the numbers.
    distance.to_bits()
}

/// Returns the FNV-1a hash of a text.
fn hash_text(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
