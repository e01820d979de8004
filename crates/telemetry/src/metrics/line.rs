//! Formatting of one metric as a line of text, in the format of StatsD or InfluxDB.

use slatelink_config::operators::MetricsFormat;
use std::borrow::Cow;
use std::time::{SystemTime, UNIX_EPOCH};

/// Common prefix of all metric names.
const PREFIX: &str = "slatelink.";
/// Maximum length of a tag value; longer names of classes and endpoints are truncated.
pub(super) const MAX_TAG_BYTES: usize = 64;

/// Type of a metric's value.
#[derive(Clone, Copy)]
pub(super) enum MetricKind {
    /// Increase since the previous emission.
    Counter,
    /// Current number.
    Gauge,
    /// Duration in milliseconds.
    Timer,
}

impl MetricKind {
    const fn statsd_type(self) -> &'static str {
        match self {
            Self::Counter => "c",
            Self::Gauge => "g",
            Self::Timer => "ms",
        }
    }
}

/// A metric with its value.
pub(super) struct Metric<'a> {
    name: &'a str,
    tags: &'a [(&'a str, &'a str)],
    value: u64,
    kind: MetricKind,
}

impl<'a> Metric<'a> {
    /// Creates a metric. `name` is without the common prefix; tag values must be escaped by
    /// [`escape_tag`].
    pub(super) const fn new(
        name: &'a str,
        tags: &'a [(&'a str, &'a str)],
        value: u64,
        kind: MetricKind,
    ) -> Self {
        Self {
            name,
            tags,
            value,
            kind,
        }
    }

    /// Creates a counter; see [`Metric::new`].
    pub(super) const fn counter(name: &'a str, tags: &'a [(&'a str, &'a str)], value: u64) -> Self {
        Self::new(name, tags, value, MetricKind::Counter)
    }

    /// Creates a gauge; see [`Metric::new`].
    pub(super) const fn gauge(name: &'a str, tags: &'a [(&'a str, &'a str)], value: u64) -> Self {
        Self::new(name, tags, value, MetricKind::Gauge)
    }

    fn statsd_line(&self) -> String {
        let mut line = format!(
            "{PREFIX}{}:{}|{}",
            self.name,
            self.value,
            self.kind.statsd_type()
        );
        for (index, (name, value)) in self.tags.iter().enumerate() {
            line.push_str(if index == 0 { "|#" } else { "," });
            line.extend([name, ":", value]);
        }
        line.push('\n');
        line
    }

    fn influx_line(&self, timestamp_ns: u128) -> String {
        let mut line = format!("{PREFIX}{}", self.name);
        for (name, value) in self.tags {
            line.extend([",", name, "=", value]);
        }
        line.push_str(&format!(" value={}i {timestamp_ns}\n", self.value));
        line
    }
}

/// Formats metrics as lines.
pub(super) struct LineFormatter {
    format: MetricsFormat,
    /// Timestamp of the last line in nanoseconds of Unix time.
    last_timestamp: u128,
}

impl LineFormatter {
    /// Creates a formatter that has written no line.
    pub(super) const fn new(format: MetricsFormat) -> Self {
        Self {
            format,
            last_timestamp: 0,
        }
    }

    /// Returns the metric's line, including its line feed.
    pub(super) fn format(&mut self, metric: &Metric) -> String {
        match self.format {
            MetricsFormat::Statsd => metric.statsd_line(),
            MetricsFormat::Influx => metric.influx_line(self.next_timestamp()),
        }
    }

    /// Returns the current time, or a later time if needed to be unique: InfluxDB replaces a point
    /// with another point of the same timestamp and tags.
    fn next_timestamp(&mut self) -> u128 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        self.last_timestamp = now.max(self.last_timestamp + 1);
        self.last_timestamp
    }
}

/// Returns a tag value truncated to [`MAX_TAG_BYTES`] and escaped for the format. StatsD has no
/// escapes, so characters reserved by the format are replaced.
pub(super) fn escape_tag(format: MetricsFormat, text: &str) -> Cow<'_, str> {
    let truncated = &text[..text.floor_char_boundary(MAX_TAG_BYTES)];
    if truncated.is_empty() {
        return "_".into();
    }
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if truncated.chars().all(is_plain) {
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
