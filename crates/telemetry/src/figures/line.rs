//! One figure as a line of text, in the format of StatsD or of InfluxDB.

use super::{Figures, State};
use slatelink_config::operators::MetricsFormat;
use slatelink_policy::Status;
use std::borrow::Cow;
use std::fmt::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

/// A longer name of a class or host is cut.
pub(super) const MAX_TAG_BYTES: usize = 64;

pub(super) const fn outcome_tag(status: Status) -> &'static str {
    match status {
        Status::Ok => "ok",
        Status::Failed => "failed",
        Status::Rejected => "full",
        Status::TimedOut => "timeout",
        Status::ConnectError => "connect",
        Status::Reset => "reset",
        Status::Canceled => "canceled",
        Status::NotSent => "unsent",
        Status::Miss => "miss",
    }
}

#[derive(Clone, Copy)]
pub(super) enum MetricKind {
    Counter,
    Gauge,
    Timer,
}

impl Figures {
    pub(super) fn format_line(
        &self,
        state: &mut State,
        name: &str,
        tags: &[(&str, &str)],
        value: u64,
        metric_kind: MetricKind,
    ) -> String {
        let mut line = format!("slatelink.{name}");
        // Writing to a string does not fail.
        let _ = match self.format {
            MetricsFormat::Statsd => {
                let unit = match metric_kind {
                    MetricKind::Counter => "c",
                    MetricKind::Gauge => "g",
                    MetricKind::Timer => "ms",
                };
                let _ = write!(line, ":{value}|{unit}");
                for (index, (name, value)) in tags.iter().enumerate() {
                    let _ = write!(
                        line,
                        "{}{name}:{value}",
                        if index == 0 { "|#" } else { "," }
                    );
                }
                writeln!(line)
            }
            MetricsFormat::Influx => {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default()
                    .as_nanos();
                state.last_timestamp = now.max(state.last_timestamp + 1);
                for (name, value) in tags {
                    let _ = write!(line, ",{name}={value}");
                }
                writeln!(line, " value={value}i {}", state.last_timestamp)
            }
        };
        line
    }
}

/// A tag's value as the format takes it. StatsD has no escapes: what it would read otherwise is replaced.
pub(super) fn escape_tag(format: MetricsFormat, text: &str) -> Cow<'_, str> {
    let truncated = &text[..text.floor_char_boundary(MAX_TAG_BYTES)];
    if truncated.is_empty() {
        return "_".into();
    }
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if truncated.chars().all(plain) {
        return truncated.into();
    }
    let mut value = String::with_capacity(2 * truncated.len());
    for c in truncated.chars() {
        match (format, c) {
            (_, c) if c.is_control() || c == '\\' => value.push('_'),
            (MetricsFormat::Influx, ',' | '=' | ' ') => value.extend(['\\', c]),
            (MetricsFormat::Statsd, ',' | ':' | '|' | '#' | '@') => value.push('_'),
            (_, c) if c.is_whitespace() => value.push('_'),
            (_, c) => value.push(c),
        }
    }
    value.into()
}
