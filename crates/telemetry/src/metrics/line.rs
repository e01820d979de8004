//! One metric as a line of text, in the format of StatsD or of InfluxDB.

use slatelink_config::operators::MetricsFormat;
use std::borrow::Cow;
use std::time::{SystemTime, UNIX_EPOCH};

/// Stands before the name of each metric.
const PREFIX: &str = "slatelink.";
/// A longer name of a class or endpoint is cut.
pub(super) const MAX_TAG_BYTES: usize = 64;

/// What a metric's value is.
#[derive(Clone, Copy)]
pub(super) enum MetricKind {
    /// How many more than when it was written last.
    Counter,
    /// How many at present.
    Gauge,
    /// A duration in milliseconds.
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
    /// `name` is without the common prefix; the values of `tags` are as [`escape_tag`] leaves them.
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

    /// A counter; see [`Metric::new`].
    pub(super) const fn counter(name: &'a str, tags: &'a [(&'a str, &'a str)], value: u64) -> Self {
        Self::new(name, tags, value, MetricKind::Counter)
    }

    /// A gauge; see [`Metric::new`].
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

/// Turns metrics into lines.
pub(super) struct LineFormatter {
    format: MetricsFormat,
    /// In nanoseconds of Unix time.
    last_timestamp: u128,
}

impl LineFormatter {
    /// A formatter that has written no line.
    pub(super) const fn new(format: MetricsFormat) -> Self {
        Self {
            format,
            last_timestamp: 0,
        }
    }

    /// The metric's line, with its line feed.
    pub(super) fn format(&mut self, metric: &Metric) -> String {
        match self.format {
            MetricsFormat::Statsd => metric.statsd_line(),
            MetricsFormat::Influx => metric.influx_line(self.next_timestamp()),
        }
    }

    /// The present time, or a later one: points of one instant and the same tags would replace each other in InfluxDB.
    fn next_timestamp(&mut self) -> u128 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        self.last_timestamp = now.max(self.last_timestamp + 1);
        self.last_timestamp
    }
}

/// A tag's value as the format takes it, at most [`MAX_TAG_BYTES`] of it. StatsD has no escapes: what it would read
/// otherwise is replaced.
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
