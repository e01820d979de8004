//! Divides a node's descriptors and memory among connections, from the limits of the process and
//! the operators' settings.

use crate::body::MAX_BODY_BYTES;
use crate::connections::MAX_INBOUND_BYTES;
use crate::list_client::MAX_LIST_BYTES;
use crate::multiget::MultiGet;
use crate::server::MAX_HEAD_BYTES;
use slatelink_admission::{Budget, ConnectionKind, ConnectionLimits, LargeMessageLimit, Quota};
use slatelink_config::operators::{AdmissionSettings, Settings};
use slatelink_policy::Name;
use slatelink_telemetry::Telemetry;
use thiserror::Error;

/// Descriptors held outside connections: by the runtime, the listener, discovery and the standard
/// streams.
const RUNTIME_DESCRIPTORS: usize = 24;

/// Memory of an active client connection: hyper's parser and task, its read buffer with a request
/// head of the maximum length, and the bytes held.
const ACTIVE_CONNECTION_BYTES: usize = (8 << 10) + MAX_HEAD_BYTES + MAX_INBOUND_BYTES;
/// Memory of a parked connection, which holds only its socket.
const PARKED_CONNECTION_BYTES: usize = 1 << 10;
/// Memory of a connection to an endpoint: a read buffer of the maximum size, its task and its
/// socket.
const UPSTREAM_CONNECTION_BYTES: usize = 24 << 10;
/// Memory of the program without connections.
const PROGRAM_BYTES: u64 = 6 << 20;
/// Number of active client connections that the budget allows even with little memory.
const MIN_ACTIVE_CONNECTIONS: usize = 32;
/// One in this many of the clients' descriptors is kept free for clients that are not connected
/// yet. If fewer are free, connections are closed after their response.
const FREE_CLIENT_DESCRIPTORS_DIVISOR: usize = 5;

/// One in this many of the process's descriptors is reserved for clients: as many as clients use
/// without other settings. The reserves for endpoints and the multi-get port take precedence.
const CLIENT_RESERVE_DIVISOR: usize = 3;
/// At most one in this many of the descriptors available to connections is reserved for clients.
const MAX_CLIENT_RESERVE_DIVISOR: usize = 2;
/// One part in this many of the memory is left for the allocator's fragmentation.
const FRAGMENTATION_DIVISOR: u64 = 4;
/// One part in this many of the connections' memory is for connections to endpoints.
const UPSTREAM_MEMORY_DIVISOR: usize = 4;
/// One part in this many of the connections' memory is for the bodies of responses.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Bodies of requests up to this length, in bytes, may take all of the clients' memory.
const SMALL_MESSAGE_BYTES: usize = 4 << 10;
/// One part in this many of the clients' memory is for the longer bodies of requests. Each of them
/// also keeps the memory of its connection in use while it arrives.
const LARGE_MESSAGES_DIVISOR: usize = 3;
/// Number of response bodies of the maximum length that the budget allows even with little memory.
const MIN_RESPONSE_BODIES: usize = 8;
/// One part in this many of the process's memory is the limit on an endpoint list's length.
const LIST_MEMORY_DIVISOR: u64 = 16;
/// Limit on an endpoint list's length that the budget allows even with little memory.
const MIN_LIST_LIMIT_BYTES: usize = 1 << 20;

/// Reason why the limits and settings allow no budget.
#[derive(Debug, Error)]
pub enum BudgetError {
    /// The reserves for connections to endpoints and the multi-get port exceed the available
    /// descriptors or leave none for clients.
    #[error(
        "a limit of {limit} sockets leaves {available} for connections: too few for {upstream} connections to servers \
         (front.servers_floor), {multi_get} connections on the multi-get port and any client connections"
    )]
    Descriptors {
        /// Number of descriptors that the process may hold.
        limit: usize,
        /// Number of descriptors available to connections.
        available: usize,
        /// Number of descriptors reserved for connections to endpoints.
        upstream: usize,
        /// Number of descriptors reserved for the multi-get port.
        multi_get: usize,
    },
    /// The settings limit a request class that the platform does not define.
    #[error("front.per_class has an unknown class {name:?}; expected one of: {}", .known.join(", "))]
    UnknownClass {
        /// Class name in the settings.
        name: String,
        /// Names of the existing classes.
        known: Vec<String>,
    },
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Number of descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory; `None` if unlimited.
    pub memory_bytes: Option<u64>,
}

/// Resources that the connections of a node may use.
pub struct ConnectionBudget {
    /// Descriptors and bytes shared by all connections.
    pub shared: Budget,
    /// Limits of client connections.
    pub client_limits: ConnectionLimits,
    /// Memory for the bodies of responses, in bytes.
    pub response_bytes: usize,
    /// Longest endpoint list that is read, in bytes.
    pub max_list_bytes: usize,
    /// Settings of the class limits.
    admission: AdmissionSettings,
    /// Number of connections that clients may use.
    usable_client_descriptors: usize,
}

impl ConnectionBudget {
    /// Computes the budget of a process with these limits. `classes` are the request classes in the
    /// order of their ids.
    ///
    /// Returns an error if the budget leaves nothing for clients or for endpoints, or if the
    /// settings limit an unknown class.
    pub fn new(
        settings: &Settings,
        classes: &[Name],
        limits: ResourceLimits,
    ) -> Result<Self, BudgetError> {
        let admission = &settings.admission;
        let memory = connection_memory(settings, limits.memory_bytes);
        let shared = shared_budget(settings, limits, &memory)?;
        let client_limits = client_limits(admission, classes, &shared, limits.descriptors)?;
        let usable_client_descriptors =
            usable_client_descriptors(admission, &shared, limits.descriptors);
        Ok(Self {
            shared,
            client_limits,
            response_bytes: memory.responses,
            max_list_bytes: max_list_bytes(limits.memory_bytes),
            admission: admission.clone(),
            usable_client_descriptors,
        })
    }

    /// Returns the maximum number of requests in flight of each of these classes. A limited class
    /// that is not among them has no effect.
    pub fn class_limits(&self, classes: &[Name]) -> Vec<Option<usize>> {
        class_limits(&self.admission, classes, self.usable_client_descriptors)
    }

    /// Returns the limits of multi-get connections. There is no limit per address, because all
    /// multi-get connections may come from one address, and no limit per class, because only the
    /// items of a multi-get request belong to a class.
    pub fn multiget_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            keep_alive_limit: usize::MAX,
            per_address: None,
            per_class: Vec::new(),
            ..self.client_limits.clone()
        }
    }
}

/// Computes the budget shared by all connections, with a reserve for each kind.
fn shared_budget(
    settings: &Settings,
    limits: ResourceLimits,
    memory: &ConnectionMemory,
) -> Result<Budget, BudgetError> {
    let available = connection_descriptors(settings, limits.descriptors);
    let upstream = upstream_quota(&settings.admission, available, memory.upstream);
    let multi_get = multiget_quota(settings);
    let unreserved = available.saturating_sub(upstream.reserved + multi_get.reserved);
    let clients = Quota {
        reserved: (limits.descriptors / CLIENT_RESERVE_DIVISOR)
            .min(available / MAX_CLIENT_RESERVE_DIVISOR)
            .min(unreserved),
        limit: available,
    };
    let quotas = [clients, upstream, multi_get];
    let budget = Budget::new(available, quotas, memory.clients)
        .filter(is_usable)
        .ok_or(BudgetError::Descriptors {
            limit: limits.descriptors,
            available,
            upstream: upstream.reserved,
            multi_get: multi_get.reserved,
        })?;
    budget.limit_large_messages(LargeMessageLimit {
        above_bytes: SMALL_MESSAGE_BYTES,
        max_bytes: memory.clients / LARGE_MESSAGES_DIVISOR,
    });
    Ok(budget)
}

/// Returns the number of descriptors left for connections after the descriptors of the runtime and
/// the features.
fn connection_descriptors(settings: &Settings, limit: usize) -> usize {
    let multi_get = settings
        .multiget_port()
        .map_or(0, |_| MultiGet::DESCRIPTORS);
    limit.saturating_sub(RUNTIME_DESCRIPTORS + Telemetry::descriptor_count(settings) + multi_get)
}

/// Bytes that connections may use.
struct ConnectionMemory {
    /// For connections of clients and of the multi-get port.
    clients: usize,
    /// For connections to endpoints.
    upstream: usize,
    /// For the bodies of responses.
    responses: usize,
}

/// Divides the memory left by the program itself, the allocator's fragmentation and the features.
fn connection_memory(settings: &Settings, memory_bytes: Option<u64>) -> ConnectionMemory {
    let total = memory_bytes.map_or(usize::MAX, |memory| {
        usize::try_from(
            (memory / FRAGMENTATION_DIVISOR * (FRAGMENTATION_DIVISOR - 1))
                .saturating_sub(PROGRAM_BYTES),
        )
        .unwrap_or(usize::MAX)
        .saturating_sub(multiget_bytes(settings))
        .max(ACTIVE_CONNECTION_BYTES * MIN_ACTIVE_CONNECTIONS)
    });
    let upstream = total / UPSTREAM_MEMORY_DIVISOR;
    let responses = (total / RESPONSE_MEMORY_DIVISOR).max(MAX_BODY_BYTES * MIN_RESPONSE_BODIES);
    ConnectionMemory {
        clients: total.saturating_sub(upstream + responses),
        upstream,
        responses,
    }
}

/// Returns the memory for the lines that multi-get connections are writing.
fn multiget_bytes(settings: &Settings) -> usize {
    settings.multiget_port().map_or(0, |_| MultiGet::LINE_BYTES)
}

/// Returns the limit on the length of an endpoint list.
fn max_list_bytes(memory_bytes: Option<u64>) -> usize {
    memory_bytes.map_or(MAX_LIST_BYTES, |memory| {
        usize::try_from(memory / LIST_MEMORY_DIVISOR)
            .unwrap_or(MAX_LIST_BYTES)
            .clamp(MIN_LIST_LIMIT_BYTES, MAX_LIST_BYTES)
    })
}

/// Returns the quota of connections to endpoints, limited by their part of the memory.
fn upstream_quota(admission: &AdmissionSettings, available: usize, memory_bytes: usize) -> Quota {
    let limit = available.min(memory_bytes / UPSTREAM_CONNECTION_BYTES);
    Quota {
        reserved: admission.upstream_reservation(available).min(limit),
        limit,
    }
}

/// Returns the quota of multi-get connections, all of which are reserved.
fn multiget_quota(settings: &Settings) -> Quota {
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

/// Returns the number of connections that clients may use.
fn usable_client_descriptors(
    admission: &AdmissionSettings,
    budget: &Budget,
    descriptor_limit: usize,
) -> usize {
    budget
        .max_descriptors(ConnectionKind::Client)
        .min(admission.client_limit(descriptor_limit))
}

fn client_limits(
    admission: &AdmissionSettings,
    classes: &[Name],
    budget: &Budget,
    descriptor_limit: usize,
) -> Result<ConnectionLimits, BudgetError> {
    check_class_names(admission, classes)?;
    let usable = usable_client_descriptors(admission, budget, descriptor_limit);
    Ok(ConnectionLimits {
        keep_alive_limit: (usable - usable / FREE_CLIENT_DESCRIPTORS_DIVISOR).max(1),
        idle_timeout: admission.idle_timeout(),
        per_address: admission.connections_per_address(),
        per_class: class_limits(admission, classes, usable),
        active_bytes: ACTIVE_CONNECTION_BYTES,
        parked_bytes: PARKED_CONNECTION_BYTES,
    })
}

/// Returns the maximum number of requests in flight of each class, of `usable` connections.
fn class_limits(
    admission: &AdmissionSettings,
    classes: &[Name],
    usable: usize,
) -> Vec<Option<usize>> {
    let limit = |class: &Name| {
        let percent = admission.percent_per_class.get(class.as_str())?;
        Some((usable * percent.get() / 100).max(1))
    };
    classes.iter().map(limit).collect()
}

/// Checks that every class that the settings limit is one of the platform's classes.
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

#[cfg(test)]
mod tests;
