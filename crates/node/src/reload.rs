//! What a SIGHUP does: the node reads its configuration again and takes over the address of discovery.
//!
//! All else in the file holds from the start of the process. `LB_DISCOVERY` is ignored, since a process keeps the
//! environment that it started with: the address in the file is the newer one. A file that cannot be used is logged, and
//! the node goes on with the address that it has.

use crate::upstream::is_local_resource_error;
use slatelink_config::platform::{self, Config, ConfigError};
use slatelink_telemetry::Telemetry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that could not be read for want of the node's own descriptors or memory is read again after this time: the
/// platform signals a change once, and the old discovery ends soon after.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the configuration again at each SIGHUP, for as long as the node runs.
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
                let text = format!("configuration not taken: {error}");
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
        "configuration read again: discovery at {}",
        config.discovery
    ));
    telemetry.config_loaded(&config.path, &config.contents);
    // The same address is no change: the watch that is open there goes on.
    discovery.send_if_modified(|address| {
        std::mem::replace(address, config.discovery) != config.discovery
    });
}

/// Whether the file may be readable soon, without any change to it.
fn is_transient(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable { error, .. } if is_local_resource_error(error))
}
