//! Two cache servers of which one leaves, and how a test sees that it is sent nothing more.

use super::{wait_for, CacheServer, Node};
use serde_json::{json, Value};

/// Two servers, of which the first one leaves; their answers tell them apart.
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

    /// Their entries, the first one in this state.
    pub fn entries(&self, health: &str) -> [Value; 2] {
        [
            self.leaving.entry("s-1", health),
            self.staying.entry("s-2", "ready"),
        ]
    }

    /// Waits until requests have reached both.
    pub fn wait_for_both(&self, node: &Node) {
        let before = self.leaving.count();
        wait_for("both", || {
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.count() > before && self.staying.count() > 0
        });
    }

    /// Waits until the node sends the first one no more.
    pub fn wait_until_unused(&self, node: &Node) {
        wait_for("the drain's heeding", || {
            let before = self.leaving.count();
            (1..20).for_each(|key| drop(node.read("read", key)));
            self.leaving.count() == before
        });
    }

    /// All requests go to the one that stays.
    pub fn assert_unused(&self, node: &Node) {
        let before = self.leaving.count();
        let answers: Vec<_> = (20..60).map(|key| node.read("read", key)).collect();
        assert_eq!(
            self.leaving.count(),
            before,
            "requests went to a server after its drain was told"
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
