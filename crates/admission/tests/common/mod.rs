//! Helpers shared by the tests of the connection table.
#![allow(dead_code)]

use slatelink_admission::{Budget, ConnectionKind, ConnectionLimits, ConnectionTable, Quota};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(last_octet: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last_octet))
}

/// Creates a table without practical limits on connections, and a budget of 1000 bytes: enough for
/// nine connections in use and 100 connections that hold only a socket.
pub fn table(limits: ConnectionLimits) -> (ConnectionTable, Budget) {
    let quota = Quota {
        reserved: 0,
        limit: 1 << 20,
    };
    let budget = Budget::new(1 << 20, [quota; 3], 1_000).expect("the quotas fit");
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

/// Adds a client connection from an address whose last octet is `last_octet`.
pub fn insert(table: &mut ConnectionTable, budget: &Budget, now: Duration, last_octet: u8) -> u32 {
    table.insert(
        now,
        address(last_octet),
        budget
            .lease(ConnectionKind::Client)
            .expect("a descriptor is free"),
    )
}

/// Reads a request from a connection and writes its response.
pub fn exchange(table: &mut ConnectionTable, now: Duration, id: u32) {
    table.on_readable(now, id).expect("memory is available");
    table.on_bytes_read(now, id);
    table.on_request_head(now, id);
    assert!(!table.on_request(now, id, 0));
    table.on_response(now, id);
    table.on_flushed(now, id);
}
