//! What the tests of the connection table share.
#![allow(dead_code)]

use slatelink_admission::{Budget, ConnectionKind, ConnectionLimits, ConnectionTable, Quota};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

/// A table with room for any number of connections, and a budget of 1000 bytes: for nine connections in use.
pub fn table(limits: ConnectionLimits) -> (ConnectionTable, Budget) {
    let share = Quota {
        reserved: 0,
        limit: 1 << 20,
    };
    let budget = Budget::new(1 << 20, [share; 3], 1_000).expect("the quotas fit");
    (
        ConnectionTable::new(ConnectionLimits {
            keep_alive_limit: 1 << 20,
            idle_timeout: ms(10_000),
            active_bytes: 100,
            parked_bytes: 1,
            ..limits
        }),
        budget,
    )
}

/// Adds a client connection from an address that ends in `last`.
pub fn insert(table: &mut ConnectionTable, budget: &Budget, now: Duration, last: u8) -> u32 {
    table.insert(
        now,
        address(last),
        budget
            .lease(ConnectionKind::Client)
            .expect("a descriptor is free"),
    )
}

/// Reads a request from a connection and writes its response.
pub fn exchange(table: &mut ConnectionTable, now: Duration, id: u32) {
    table.on_readable(now, id).expect("there is memory");
    table.on_bytes_read(now, id);
    table.on_request_head(now, id);
    assert!(!table.on_request(now, id, 0));
    table.on_response(now, id);
    table.on_flushed(now, id);
}
