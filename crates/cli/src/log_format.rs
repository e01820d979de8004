//! The argument that says how a log is written.

use clap::ValueEnum;

/// How a log is written to standard error.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Lines of words
    Text,
    /// A JSON object a line
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
