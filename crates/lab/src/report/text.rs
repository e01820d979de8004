//! Formats a report as text for a terminal.

use super::{Figures, Report};

/// Maximum number of breaches printed in full.
const MAX_PRINTED_BREACHES: usize = 5;

impl Report {
    /// Returns the report as text for a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut push_line = |text_line: String| text.extend([text_line.as_str(), "\n"]);
        let verdict = if self.holds { "holds" } else { "DOES NOT HOLD" };
        push_line(format!("{}: {verdict} (seed {})", self.scenario, self.seed));
        push_line(format!(
            "  {} requests in {:.1} s, {} attempts at servers, {} calls at the database; worth in time:",
            self.all.asked, self.seconds, self.attempts, self.fetches
        ));
        for (name, figures) in &self.classes {
            push_line(class_line(name, figures));
        }
        push_line(class_line("all", &self.all));
        push_line(self.outcome_line());
        for (rule, count) in &self.broken {
            push_line(format!("  rule broken {count} times: {rule}"));
        }
        for breach in self.breaches.iter().take(MAX_PRINTED_BREACHES) {
            push_line(format!("    {}", breach.what));
        }
        for unmet in &self.unmet {
            push_line(format!("  not as expected: {unmet}"));
        }
        if let Some(warning) = &self.warning {
            push_line(format!("  warning: {warning}"));
        }
        text
    }

    fn outcome_line(&self) -> String {
        let ends: Vec<_> = self
            .ends
            .iter()
            .map(|(end, count)| format!("{} {count}", end.replace('_', " ")))
            .collect();
        let worst = self.worst_second * 100.0;
        format!("  tries: {}; worst second {worst:.1} %", ends.join(", "))
    }
}

fn class_line(name: &str, figures: &Figures) -> String {
    format!(
        "  {name:<12}{:>7} asked {:>5.1} % in time {:>5} late {:>5} unserved, p50 {:>6.1} p99 {:>6.1} ms",
        figures.asked,
        figures.served * 100.0,
        figures.late,
        figures.unserved,
        figures.p50_ms,
        figures.p99_ms
    )
}
