//! Load reports of endpoints.

use slatelink_policy::LoadReport;
use std::time::Duration;

/// Parses a load report: comma-separated pairs of name and value, with `separator` between name and
/// value.
///
/// The names are those of the simulator's wire and those of the endpoints' HTTP header, which have
/// the same meaning. A value that is not a finite number of at least 0 counts as absent; unknown
/// names are skipped.
pub fn read_load(text: &str, separator: char) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text
        .split(',')
        .filter_map(|part| part.split_once(separator))
    {
        let value = read_value(value);
        match name.trim() {
            "avg_ms" | "latency_ms" => report.service_time = value.map(duration_from_millis),
            "cpu" | "util" => report.utilization = value,
            "waiting" | "queue" => report.queue_length = value,
            _ => {}
        }
    }
    report
}

fn read_value(text: &str) -> Option<f64> {
    let value = text.trim().parse::<f64>().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

fn duration_from_millis(millis: f64) -> Duration {
    Duration::from_micros((millis * 1000.0) as u64)
}
