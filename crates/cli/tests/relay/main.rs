//! End-to-end tests of the relay process between a simulated discovery and clients, some of which
//! are real nodes. They use loopback sockets.

#[path = "../node_common/mod.rs"]
mod node_common;

mod answers;
mod connections;
mod fleet;
mod relay_process;
mod settings;
mod upstream_faults;
mod versioned_discovery;

/// Value of `--lease-ms` for tests in which the lease must not expire; longer than any wait of
/// these tests.
const LONG_LEASE_MS: &str = "60000";
/// Value of `--lease-ms` for tests that wait for the lease to expire.
const SHORT_LEASE_MS: &str = "1500";
