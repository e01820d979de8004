//! How a node divides its descriptors and its memory among connections, from the limits of its process and the
//! operators' settings.

use crate::connections::MAX_READ_AHEAD_BYTES;
use crate::multiget::MultiGet;
use crate::server::MAX_HEAD_BYTES;
use slatelink_admission::{Budget, ConnectionKind, ConnectionLimits, Quota};
use slatelink_config::operators::{AdmissionSettings, Settings};
use slatelink_policy::Name;
use slatelink_telemetry::Telemetry;
use thiserror::Error;

/// Descriptors that are no connections': the runtime's, the listener's, discovery's and the standard streams'.
const RUNTIME_DESCRIPTORS: usize = 24;

/// Bytes of a client's connection in use: hyper's read buffer, parser and task as measured, a head of the longest, and
/// what is read ahead of it.
const ACTIVE_CONNECTION_BYTES: usize = (16 << 10) + MAX_HEAD_BYTES + MAX_READ_AHEAD_BYTES;
/// Bytes of a parked connection, which holds nothing but its socket.
const PARKED_CONNECTION_BYTES: usize = 1 << 10;
/// Bytes of a connection to an endpoint: a read buffer and what is around it.
const UPSTREAM_CONNECTION_BYTES: usize = 10 << 10;
/// Bytes of the program itself, without connections.
const PROGRAM_BYTES: u64 = 6 << 20;
/// Even with little memory the budget has room for this many clients' connections in use.
const MIN_ACTIVE_CONNECTIONS: usize = 32;
/// Of the clients' descriptors, one in this many is kept free for clients that are not connected yet: with fewer free,
/// connections are closed after their response.
const UNCONNECTED_CLIENTS_DIVISOR: usize = 5;

/// Of the process's descriptors, one in this many is reserved for clients: as many as they use where nothing else is set.
/// What is reserved for endpoints and the side port goes before.
const CLIENT_RESERVE_DIVISOR: usize = 3;
/// No more than one in this many of the descriptors that connections may use is reserved for clients.
const MAX_CLIENT_RESERVE_DIVISOR: usize = 2;
/// Of the memory, one in this many parts is left to the allocator's fragmentation.
const FRAGMENTATION_DIVISOR: u64 = 4;
/// Of the connections' memory, one in this many parts is for connections to endpoints.
const UPSTREAM_MEMORY_DIVISOR: usize = 3;

/// Why no budget can be made.
#[derive(Debug, Error)]
pub enum BudgetError {
    /// What is reserved for connections to endpoints and the side port leaves none for clients, or is not there.
    #[error(
        "a limit of {limit} sockets leaves {available} beside the features: not enough for {upstream} to servers \
         (front.servers_floor), {side_port} of the side port, and clients"
    )]
    Descriptors {
        /// Descriptors that the process may hold.
        limit: usize,
        /// Those of them that connections may use.
        available: usize,
        /// Those reserved for connections to endpoints.
        upstream: usize,
        /// Those reserved for the side port.
        side_port: usize,
    },
    /// The settings limit a class of requests that the platform does not name.
    #[error("front.per_class names {name:?}: the classes are {}", .known.join(", "))]
    UnknownClass {
        /// What the settings say.
        name: String,
        /// The names of the classes that there are.
        known: Vec<String>,
    },
}

/// What the process may use.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Descriptors that it may hold.
    pub descriptors: usize,
    /// Bytes of memory; `None` if that has no limit.
    pub memory_bytes: Option<u64>,
}

/// What the connections of a node may use.
pub struct ConnectionBudget {
    /// Descriptors and bytes, which all connections share.
    pub shared: Budget,
    /// The limits of clients' connections.
    pub client_limits: ConnectionLimits,
}

impl ConnectionBudget {
    /// The budget of a process with these limits, for the classes of requests in their order. An error if it leaves
    /// nothing for clients, or nothing for endpoints, or if the settings limit a class that there is not.
    pub fn new(
        settings: &Settings,
        classes: &[Name],
        limits: ResourceLimits,
    ) -> Result<Self, BudgetError> {
        let admission = &settings.admission;
        let shared = shared_budget(settings, limits)?;
        let client_limits = client_limits(admission, classes, &shared, limits.descriptors)?;
        Ok(Self {
            shared,
            client_limits,
        })
    }

    /// The limits of multi-get connections. All of them may well come from one address, and a multi-get request belongs
    /// to no class: only its items do.
    pub fn side_port_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            keep_alive_limit: usize::MAX,
            per_address: None,
            per_class: Vec::new(),
            ..self.client_limits.clone()
        }
    }
}

/// One budget for all connections, with a reserve for each kind.
fn shared_budget(settings: &Settings, limits: ResourceLimits) -> Result<Budget, BudgetError> {
    let available = connection_descriptors(settings, limits.descriptors);
    let memory = connection_memory(limits.memory_bytes);
    let upstream = upstream_quota(&settings.admission, available, memory.upstream);
    let side_port = side_port_quota(settings);
    let unreserved = available.saturating_sub(upstream.reserved + side_port.reserved);
    let clients = Quota {
        reserved: (limits.descriptors / CLIENT_RESERVE_DIVISOR)
            .min(available / MAX_CLIENT_RESERVE_DIVISOR)
            .min(unreserved),
        limit: available,
    };
    let quotas = [clients, upstream, side_port];
    Budget::new(available, quotas, memory.clients)
        .filter(is_usable)
        .ok_or(BudgetError::Descriptors {
            limit: limits.descriptors,
            available,
            upstream: upstream.reserved,
            side_port: side_port.reserved,
        })
}

/// Descriptors that are left for connections beside what the runtime and the features hold.
fn connection_descriptors(settings: &Settings, limit: usize) -> usize {
    let side_port = settings
        .multiget_port()
        .map_or(0, |_| MultiGet::DESCRIPTORS);
    limit.saturating_sub(RUNTIME_DESCRIPTORS + Telemetry::descriptor_count(settings) + side_port)
}

/// Bytes that connections may use.
struct ConnectionMemory {
    /// Connections of clients and of the side port.
    clients: usize,
    /// Connections to endpoints.
    upstream: usize,
}

/// Divides what the program itself and the allocator's fragmentation leave of the memory.
fn connection_memory(memory_bytes: Option<u64>) -> ConnectionMemory {
    let total = memory_bytes.map_or(usize::MAX, |memory| {
        usize::try_from(
            (memory / FRAGMENTATION_DIVISOR * (FRAGMENTATION_DIVISOR - 1))
                .saturating_sub(PROGRAM_BYTES),
        )
        .unwrap_or(usize::MAX)
        .max(ACTIVE_CONNECTION_BYTES * MIN_ACTIVE_CONNECTIONS)
    });
    ConnectionMemory {
        clients: total / UPSTREAM_MEMORY_DIVISOR * (UPSTREAM_MEMORY_DIVISOR - 1),
        upstream: total / UPSTREAM_MEMORY_DIVISOR,
    }
}

/// Descriptors of connections to endpoints: no more than their part of the memory allows.
fn upstream_quota(admission: &AdmissionSettings, available: usize, memory_bytes: usize) -> Quota {
    let limit = available.min(memory_bytes / UPSTREAM_CONNECTION_BYTES);
    Quota {
        reserved: admission.upstream_reservation(available).min(limit),
        limit,
    }
}

/// Descriptors of multi-get connections: all of them are reserved.
fn side_port_quota(settings: &Settings) -> Quota {
    let connections = settings
        .multiget_port()
        .map_or(0, |_| MultiGet::CONNECTIONS);
    Quota {
        reserved: connections,
        limit: connections,
    }
}

fn is_usable(budget: &Budget) -> bool {
    budget.max_descriptors(ConnectionKind::Client) > 0
        && budget.max_descriptors(ConnectionKind::Upstream) > 0
}

fn client_limits(
    admission: &AdmissionSettings,
    classes: &[Name],
    budget: &Budget,
    descriptor_limit: usize,
) -> Result<ConnectionLimits, BudgetError> {
    check_class_names(admission, classes)?;
    let usable = budget
        .max_descriptors(ConnectionKind::Client)
        .min(admission.client_limit(descriptor_limit));
    let class_limit = |class: &Name| {
        admission
            .percent_per_class
            .get(class.as_str())
            .map(|percent| (usable * percent.get() / 100).max(1))
    };
    Ok(ConnectionLimits {
        keep_alive_limit: (usable - usable / UNCONNECTED_CLIENTS_DIVISOR).max(1),
        idle_timeout: admission.idle_timeout(),
        per_address: admission.connections_per_address(),
        per_class: classes.iter().map(class_limit).collect(),
        active_bytes: ACTIVE_CONNECTION_BYTES,
        parked_bytes: PARKED_CONNECTION_BYTES,
    })
}

/// Every class that the settings limit must be one of the platform's.
fn check_class_names(admission: &AdmissionSettings, classes: &[Name]) -> Result<(), BudgetError> {
    let is_known = |name: &String| classes.iter().any(|class| class.as_str() == name);
    let unknown = admission
        .percent_per_class
        .keys()
        .find(|name| !is_known(name));
    match unknown {
        None => Ok(()),
        Some(name) => Err(BudgetError::UnknownClass {
            name: name.clone(),
            known: classes
                .iter()
                .map(|class| class.as_str().to_owned())
                .collect(),
        }),
    }
}
