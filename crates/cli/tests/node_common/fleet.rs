//! A node with limited memory and descriptors, and its cache servers.

use super::cache_server::{start_servers, CacheServer, Reply};
use super::discovery::Discovery;
use super::http::Message;
use super::node::{config, Node};
use serde_json::json;

/// Starts servers with the same reply, and a node with these limits.
pub fn start_limited_fleet(
    servers: usize,
    memory_mb: u64,
    sockets: u32,
    reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
) -> (Vec<CacheServer>, Discovery, Node) {
    let (servers, discovery) = start_servers(servers, reply);
    let mut node_config = config(discovery.address);
    node_config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets});
    let node = Node::ready(&node_config);
    (servers, discovery, node)
}
