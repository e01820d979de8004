//! Section `figures`: in which format metrics are written, and where to.

use super::bounded::BoundedInteger;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Milliseconds between two flushes.
type FlushMs = BoundedInteger<10, 3_600_000>;
/// Bytes of a batch: from what the longest line needs to what a UDP datagram holds.
type MaxBatchBytes = BoundedInteger<512, 65_507>;

/// Milliseconds between two flushes unless the settings say otherwise.
const DEFAULT_FLUSH_MS: FlushMs = FlushMs::from_constant(1000);
/// Bytes of a batch unless the settings say otherwise: with the headers of UDP and IP they fit an Ethernet frame.
const DEFAULT_MAX_BATCH_BYTES: MaxBatchBytes = MaxBatchBytes::from_constant(1400);

/// Section `figures`. All of it has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// How a line is written.
    pub format: MetricsFormat,
    /// Where batches of lines go.
    pub target: MetricsTarget,
    flush_ms: FlushMs,
    max_batch_bytes: MaxBatchBytes,
}

impl MetricsSettings {
    /// What was counted goes out this often.
    pub fn flush_interval(&self) -> Duration {
        Duration::from_millis(self.flush_ms.get() as u64)
    }

    /// A batch is no longer than this.
    pub fn max_batch_bytes(&self) -> usize {
        self.max_batch_bytes.get()
    }
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            format: MetricsFormat::Statsd,
            target: MetricsTarget::Stderr,
            flush_ms: DEFAULT_FLUSH_MS,
            max_batch_bytes: DEFAULT_MAX_BATCH_BYTES,
        }
    }
}

/// How a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MetricsFormat {
    /// StatsD, with tags as DogStatsD has them.
    Statsd,
    /// InfluxDB's line protocol.
    Influx,
}

/// Where batches go: `stderr`, `file:<path>` or `udp:<addr:port>`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub enum MetricsTarget {
    /// Standard error.
    Stderr,
    /// A file or FIFO, which they are appended to.
    File(PathBuf),
    /// A receiver of datagrams, one a batch.
    Udp(SocketAddr),
}

/// Why a text names no target of metrics.
#[derive(Debug, Error)]
pub enum InvalidTarget {
    /// What follows `udp:` is no address with a port.
    #[error("target udp:{0:?} is not an address and port")]
    Address(String),
    /// It begins as no target does.
    #[error("target {0:?} is not stderr, file:<path> or udp:<addr:port>")]
    Form(String),
}

impl TryFrom<String> for MetricsTarget {
    type Error = InvalidTarget;

    fn try_from(text: String) -> Result<Self, InvalidTarget> {
        match text.split_once(':') {
            None if text == "stderr" => Ok(Self::Stderr),
            Some(("file", path)) if !path.is_empty() => Ok(Self::File(path.into())),
            Some(("udp", address)) => match address.parse::<SocketAddr>() {
                Ok(address) if address.port() > 0 => Ok(Self::Udp(address)),
                _ => Err(InvalidTarget::Address(address.to_owned())),
            },
            _ => Err(InvalidTarget::Form(text)),
        }
    }
}
