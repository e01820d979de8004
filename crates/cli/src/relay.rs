//! `slatelink relay`: forwards the endpoint list from discovery or other relays to nodes.

use crate::exit::CommandResult;
use crate::log_format::LogFormat;
use crate::runtime::single_threaded_runtime;
use clap::Args;
use slatelink_config::relay::{RelaySettings, DEFAULT_LEASE_MS};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;

#[derive(Args)]
pub struct Command {
    /// Settings in TOML instead of the arguments below: upstream, listen, lease_ms, callers
    #[arg(long, value_name = "FILE", conflicts_with_all = ["upstream", "listen", "lease_ms", "callers"])]
    config: Option<PathBuf>,
    /// Addresses of discovery or other relays; after a failure the relay uses the next address
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required_unless_present = "config")]
    upstream: Vec<SocketAddr>,
    /// Address on which the relay serves nodes and other relays
    #[arg(long, value_name = "ADDRESS", required_unless_present = "config")]
    listen: Option<SocketAddr>,
    /// Calls are rejected if upstream has not answered for this time
    #[arg(long, value_name = "MILLISECONDS", default_value_t = DEFAULT_LEASE_MS)]
    lease_ms: u64,
    /// Maximum number of downstream connections; by default as many as the limit on descriptors
    /// allows
    #[arg(long, value_name = "N")]
    callers: Option<usize>,
    /// Format of the log on standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
}

impl Command {
    /// Runs the relay until SIGTERM.
    pub fn run(self) -> CommandResult {
        let format = self.log_format;
        let settings = self.settings()?;
        LocalSet::new().block_on(
            &single_threaded_runtime()?,
            slatelink_node::relay::run(settings, format.into()),
        )?;
        Ok(ExitCode::SUCCESS)
    }

    fn settings(self) -> Result<RelaySettings, Box<dyn Error>> {
        if let Some(path) = self.config {
            return Ok(RelaySettings::load(&path)?);
        }
        let listen = self.listen.ok_or("--listen is missing")?;
        let Self {
            upstream,
            lease_ms,
            callers,
            ..
        } = self;
        let settings = RelaySettings {
            upstream,
            listen,
            lease_ms,
            max_connections: callers,
        };
        settings.validate()?;
        Ok(settings)
    }
}
