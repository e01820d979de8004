//! `slatelink relay`: stands between discovery, or other relays, and nodes.

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
    /// Settings in TOML, in place of the arguments below: upstream, listen, lease_ms, callers
    #[arg(long, value_name = "FILE", conflicts_with_all = ["upstream", "listen", "lease_ms", "callers"])]
    config: Option<PathBuf>,
    /// Discovery, or other relays; the next one is tried when one fails
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required_unless_present = "config")]
    upstream: Vec<SocketAddr>,
    /// Where callers are answered
    #[arg(long, value_name = "ADDRESS", required_unless_present = "config")]
    listen: Option<SocketAddr>,
    /// Callers are failed once nothing was heard from upstream for so long
    #[arg(long, value_name = "MILLISECONDS", default_value_t = DEFAULT_LEASE_MS)]
    lease_ms: u64,
    /// Connections of callers, at most; what the limit on descriptors allows where nothing is said
    #[arg(long, value_name = "N")]
    callers: Option<usize>,
    /// How the log is written to standard error
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
