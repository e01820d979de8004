//! Handles SIGHUP: the node reads its configuration file again, and accepts or rejects it as a
//! whole.
//!
//! From an accepted file the node applies the settings and the address of discovery. What a process
//! is started with stays: its name, address, limits, seed and the list of known endpoints.
//! `LB_DISCOVERY` is ignored, because a process keeps the environment that it started with and the
//! address in the file is newer. If the file is rejected, the reason is logged and the node keeps
//! all of its settings and its current address.

use crate::node::Node;
use crate::upstream::is_local_resource_error;
use slatelink_config::platform::{self, Config, ConfigError, ReloadBaseline};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// Delay before another attempt when the file cannot be read because the node lacks descriptors or
/// memory. The attempt must be repeated: the platform signals a change only once, and the old
/// discovery ends soon after.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reloads the configuration of a node.
pub struct Reloader {
    /// The node that the settings are applied to.
    pub node: Rc<Node>,
    /// Address of discovery, as the discovery client receives it.
    pub discovery: watch::Sender<SocketAddr>,
    /// The file in force.
    pub baseline: ReloadBaseline,
}

impl Reloader {
    /// Reloads the configuration at each SIGHUP, for as long as the node runs.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload().await;
        }
    }

    async fn reload(&mut self) {
        loop {
            match self.baseline.reload(reload_variable) {
                Ok((config, baseline)) => {
                    self.baseline = baseline;
                    return self.apply(config);
                }
                Err(error) => {
                    let text = format!("configuration rejected: {error}");
                    self.node.telemetry.log.rate_limited("reload", &text);
                    if !is_transient(&error) {
                        return;
                    }
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn apply(&self, config: Config) {
        let telemetry = &self.node.telemetry;
        let classes: Vec<_> = config
            .settings
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        telemetry.log.line(&format!(
            "configuration reloaded: discovery at {}, classes {}",
            config.discovery,
            classes.join(", ")
        ));
        telemetry.config_loaded(&config.path, &config.contents);
        self.node.apply_settings(config.settings);
        // An unchanged address is not sent, so the open watch continues.
        self.discovery.send_if_modified(|address| {
            std::mem::replace(address, config.discovery) != config.discovery
        });
    }
}

/// Returns the environment variables that apply at a reload.
fn reload_variable(name: &str) -> Option<String> {
    let value = std::env::var(name).ok();
    value.filter(|_| name != platform::DISCOVERY_VARIABLE)
}

/// Returns whether the file may become readable soon without a change to it.
fn is_transient(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable { error, .. } if is_local_resource_error(error))
}
