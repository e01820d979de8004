//! The argument that selects the format of a log.

use clap::ValueEnum;

/// Format of a log on standard error.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Plain text
    Text,
    /// One JSON object per line
    Json,
}

impl From<LogFormat> for slatelink_telemetry::LogFormat {
    fn from(format: LogFormat) -> Self {
        match format {
            LogFormat::Text => Self::Text,
            LogFormat::Json => Self::Json,
        }
    }
}
