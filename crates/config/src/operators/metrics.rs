//! Section `figures`: format and destination of the metrics.

use super::bounded::BoundedInteger;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Interval between two flushes, in milliseconds.
type FlushMs = BoundedInteger<10, 3_600_000>;
/// Maximum size of a batch, in bytes: at least the length of the longest line and at most the
/// payload of a UDP datagram.
type MaxBatchBytes = BoundedInteger<512, 65_507>;

/// Default interval between two flushes, in milliseconds.
const DEFAULT_FLUSH_MS: FlushMs = FlushMs::from_constant(1000);
/// Default maximum size of a batch, in bytes: with the UDP and IP headers it fits an Ethernet
/// frame.
const DEFAULT_MAX_BATCH_BYTES: MaxBatchBytes = MaxBatchBytes::from_constant(1400);

/// Section `figures`. Every key has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Format of a line.
    pub format: MetricsFormat,
    /// Destination of the batches of lines.
    pub target: MetricsTarget,
    flush_ms: FlushMs,
    max_batch_bytes: MaxBatchBytes,
}

impl MetricsSettings {
    /// Returns the interval between two flushes.
    pub fn flush_interval(&self) -> Duration {
        Duration::from_millis(self.flush_ms.get() as u64)
    }

    /// Returns the maximum size of a batch in bytes.
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

/// Format of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MetricsFormat {
    /// StatsD, with tags in the format of DogStatsD.
    Statsd,
    /// InfluxDB's line protocol.
    Influx,
}

/// Destination of the batches: `stderr`, `file:<path>` or `udp:<addr:port>`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub enum MetricsTarget {
    /// Standard error.
    Stderr,
    /// A file or FIFO that batches are appended to.
    File(PathBuf),
    /// A receiver of datagrams; each datagram holds one batch.
    Udp(SocketAddr),
}

/// Reason why a text is not a metrics target.
#[derive(Debug, Error)]
pub enum InvalidTarget {
    /// The text after `udp:` is not an address with a port.
    #[error("target udp:{0:?} is not an address and port")]
    Address(String),
    /// The text has none of the forms of a target.
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
