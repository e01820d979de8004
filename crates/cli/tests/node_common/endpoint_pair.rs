//! Two cache servers, one of which is drained or removed, and checks that the leaving server
//! receives no further requests.

use super::{wait_for, CacheServer, Node};
use serde_json::{json, Value};

/// A server that is drained or removed and a server that stays, with different response bodies.
pub struct EndpointPair {
    pub leaving: CacheServer,
    pub staying: CacheServer,
}

impl EndpointPair {
    pub fn start() -> Self {
        Self {
            leaving: CacheServer::serving("leaving"),
            staying: CacheServer::serving("staying"),
        }
    }

    /// List entries of both servers; the leaving server has this health.
    pub fn entries(&self, health: &str) -> [Value; 2] {
        [
            self.leaving.entry("s-1", health),
            self.staying.entry("s-2", "ready"),
        ]
    }

    /// Sends reads until the node uses both servers.
    pub fn wait_until_both_used(&self, node: &Node) {
        let before = self.leaving.request_count();
        wait_for("requests to both servers", || {
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.request_count() > before && self.staying.request_count() > 0
        });
    }

    /// Sends reads until the node sends none of them to the leaving server.
    pub fn wait_until_leaving_server_unused(&self, node: &Node) {
        wait_for("the end of requests to the leaving server", || {
            let before = self.leaving.request_count();
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.request_count() == before
        });
    }

    /// Sends reads and asserts that the staying server serves all of them.
    pub fn assert_leaving_server_unused(&self, node: &Node) {
        let before = self.leaving.request_count();
        let responses: Vec<_> = (20..60).map(|key| node.read("read", key)).collect();
        assert_eq!(
            self.leaving.request_count(),
            before,
            "the leaving server received requests after its drain was published"
        );
        assert!(
            responses.iter().all(|response| response.body == b"staying"),
            "{responses:?}"
        );
    }
}

/// Returns the entry with this start time of its server.
pub fn with_start_time(mut entry: Value, at_ms: u64) -> Value {
    entry["born_ms"] = json!(at_ms);
    entry
}
