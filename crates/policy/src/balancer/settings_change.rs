//! Application of changed settings to each mechanism that has state derived from them.

use super::{add_default_class, Balancer};
use crate::api::{Settings, Timestamp};
use crate::concurrency_limit::ConcurrencyBounds;
use crate::slow_start;

impl Balancer {
    /// Replaces the settings. Pending requests keep the terms that they arrived with.
    pub(super) fn replace_settings(&mut self, mut settings: Settings, now: Timestamp) {
        add_default_class(&mut settings);
        let before = std::mem::replace(&mut self.settings, settings);
        let after = &self.settings;
        self.endpoints
            .replace_classes(&before.classes, &after.classes, now);
        self.latencies
            .replace_classes(&before.classes, &after.classes);
        if before.nodes != after.nodes {
            self.replace_node_count(now);
        }
        if before.slow_start_overload_window != self.settings.slow_start_overload_window {
            let slot = slow_start::slot_at(&self.settings, now);
            self.endpoints.restart_slow_start_slots(slot);
        }
    }

    /// Applies a changed number of nodes. The current concurrency limits of the endpoints stay, and
    /// adapt to the load.
    fn replace_node_count(&mut self, now: Timestamp) {
        self.concurrency = ConcurrencyBounds::new(self.settings.nodes);
        self.origin.set_nodes(self.settings.nodes, self.concurrency);
        if !self.is_large_deployment() {
            return self.zones.clear();
        }
        for state in self.endpoints.iter() {
            self.zones.add_zone_of(&state.endpoint, now);
        }
    }
}
