//! Handles SIGHUP: the node reloads its configuration file and applies the address of discovery.
//!
//! All other settings stay as they were at the start of the process. `LB_DISCOVERY` is ignored,
//! because a process keeps the environment that it started with and the address in the file is
//! newer. If the file cannot be used, the error is logged and the node keeps its current address.

use crate::upstream::is_local_resource_error;
use slatelink_config::platform::{self, Config, ConfigError};
use slatelink_telemetry::Telemetry;
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

/// Reloads the configuration at each SIGHUP, for as long as the node runs.
pub async fn reload_on_hangup(
    mut hangup: Signal,
    discovery: watch::Sender<SocketAddr>,
    telemetry: Rc<Telemetry>,
) {
    while hangup.recv().await.is_some() {
        reload(&discovery, &telemetry).await;
    }
}

async fn reload(discovery: &watch::Sender<SocketAddr>, telemetry: &Telemetry) {
    loop {
        match load_file() {
            Ok(config) => return apply(&config, discovery, telemetry),
            Err(error) => {
                let text = format!("configuration rejected: {error}");
                telemetry.log.rate_limited("reload", &text);
                if !is_transient(&error) {
                    return;
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn load_file() -> Result<Config, ConfigError> {
    platform::load(|name| {
        let value = std::env::var(name).ok();
        value.filter(|_| name != platform::DISCOVERY_VARIABLE)
    })
}

fn apply(config: &Config, discovery: &watch::Sender<SocketAddr>, telemetry: &Telemetry) {
    telemetry.log.line(&format!(
        "configuration reloaded: discovery at {}",
        config.discovery
    ));
    telemetry.config_loaded(&config.path, &config.contents);
    // An unchanged address is not sent, so the open watch continues.
    discovery.send_if_modified(|address| {
        std::mem::replace(address, config.discovery) != config.discovery
    });
}

/// Returns whether the file may become readable soon without a change to it.
fn is_transient(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable { error, .. } if is_local_resource_error(error))
}
