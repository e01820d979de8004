//! One figure as a line of text, in the format of StatsD or of InfluxDB.

use super::{Figures, State};
use slatelink_config::operators::Format;
use slatelink_decide::Status;
use std::borrow::Cow;
use std::fmt::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

/// A longer name of a class or host is cut.
pub(super) const LONGEST_TAG: usize = 64;

pub(super) const fn outcome(status: Status) -> &'static str {
    match status {
        Status::Ok => "ok",
        Status::Failed => "failed",
        Status::QueueFull => "full",
        Status::TimedOut => "timeout",
        Status::ConnectError => "connect",
        Status::Reset => "reset",
        Status::Canceled => "canceled",
        Status::Ignored => "unsent",
        Status::Miss => "miss",
    }
}

#[derive(Clone, Copy)]
pub(super) enum Measure {
    Counter,
    Gauge,
    Timer,
}

impl Figures {
    pub(super) fn line(
        &self,
        state: &mut State,
        name: &str,
        tags: &[(&str, &str)],
        value: u64,
        measure: Measure,
    ) -> String {
        let mut line = format!("slatelink.{name}");
        // Writing to a string does not fail.
        let _ = match self.format {
            Format::Statsd => {
                let unit = match measure {
                    Measure::Counter => "c",
                    Measure::Gauge => "g",
                    Measure::Timer => "ms",
                };
                let _ = write!(line, ":{value}|{unit}");
                for (i, (name, value)) in tags.iter().enumerate() {
                    let _ = write!(line, "{}{name}:{value}", if i == 0 { "|#" } else { "," });
                }
                writeln!(line)
            }
            Format::Influx => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
                state.stamp = now.max(state.stamp + 1);
                for (name, value) in tags {
                    let _ = write!(line, ",{name}={value}");
                }
                writeln!(line, " value={value}i {}", state.stamp)
            }
        };
        line
    }
}

/// A tag's value as the format takes it. StatsD has no escapes: what it would read otherwise is replaced.
pub(super) fn tag(format: Format, text: &str) -> Cow<'_, str> {
    let cut = &text[..text.floor_char_boundary(LONGEST_TAG)];
    if cut.is_empty() {
        return "_".into();
    }
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if cut.chars().all(plain) {
        return cut.into();
    }
    let mut value = String::with_capacity(2 * cut.len());
    for c in cut.chars() {
        match (format, c) {
            (_, c) if c.is_control() || c == '\\' => value.push('_'),
            (Format::Influx, ',' | '=' | ' ') => value.extend(['\\', c]),
            (Format::Statsd, ',' | ':' | '|' | '#' | '@') => value.push('_'),
            (_, c) if c.is_whitespace() => value.push('_'),
            (_, c) => value.push(c),
        }
    }
    value.into()
}
