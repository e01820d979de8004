//! Two cache servers, one of which is drained or removed, and checks that it receives no further
//! requests.

use super::{wait_for, CacheServer, Node};
use serde_json::{json, Value};

/// A server that is drained or removed and one that stays, with different response bodies.
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

    /// Waits until the node uses both servers.
    pub fn wait_for_both(&self, node: &Node) {
        let before = self.leaving.count();
        wait_for("requests to both servers", || {
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.count() > before && self.staying.count() > 0
        });
    }

    /// Waits until the node sends the leaving server no further request.
    pub fn wait_until_unused(&self, node: &Node) {
        wait_for("the end of requests to the leaving server", || {
            let before = self.leaving.count();
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.count() == before
        });
    }

    /// Asserts that all requests go to the staying server.
    pub fn assert_unused(&self, node: &Node) {
        let before = self.leaving.count();
        let answers: Vec<_> = (20..60).map(|key| node.read("read", key)).collect();
        assert_eq!(
            self.leaving.count(),
            before,
            "the leaving server received requests after its drain was published"
        );
        assert!(
            answers.iter().all(|answer| answer.body == b"staying"),
            "{answers:?}"
        );
    }
}

pub fn started_at(mut entry: Value, at_ms: u64) -> Value {
    entry["born_ms"] = json!(at_ms);
    entry
}
