//! A report as text for a terminal.

use super::{Figures, Report};

/// Breaches printed in full.
const MAX_PRINTED_BREACHES: usize = 5;

impl Report {
    /// The report for a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |what: String| text.extend([what.as_str(), "\n"]);
        let verdict = if self.holds { "holds" } else { "DOES NOT HOLD" };
        line(format!("{}: {verdict} (seed {})", self.scenario, self.seed));
        line(format!(
            "  {} requests in {:.1} s, {} attempts at servers, {} calls at the database; worth in time:",
            self.all.asked, self.seconds, self.attempts, self.fetches
        ));
        for (name, figures) in &self.classes {
            line(class_line(name, figures));
        }
        line(class_line("all", &self.all));
        line(self.ends_line());
        for (rule, count) in &self.broken {
            line(format!("  rule broken {count} times: {rule}"));
        }
        for breach in self.breaches.iter().take(MAX_PRINTED_BREACHES) {
            line(format!("    {}", breach.what));
        }
        for unmet in &self.unmet {
            line(format!("  not as expected: {unmet}"));
        }
        if let Some(doubt) = &self.doubt {
            line(format!("  doubt: {doubt}"));
        }
        text
    }

    fn ends_line(&self) -> String {
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
