//! A relay of the endpoint list as a process, between a stand-in for discovery and callers, some of them real nodes, over
//! loopback sockets.

#[path = "../node_common/mod.rs"]
mod node_common;

mod answers;
mod connections;
mod fleet;
mod relay_process;
mod settings;
mod upstream_faults;
mod versioned_discovery;

/// Value of `--lease-ms` that expires in no test: longer than any of their waits.
const LONG_LEASE_MS: &str = "60000";
/// Value of `--lease-ms` for tests that wait until the lease has expired.
const SHORT_LEASE_MS: &str = "1500";
