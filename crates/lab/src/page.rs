//! Renders a report as one self-contained HTML page, with figures as tables and time lines as SVG.

mod chart;

use crate::report::{FaultSpan, Figures, Report, Second};
use chart::Line;
pub use chart::PageError;

/// Maximum number of server lines in one chart; the busiest servers are shown.
const MAX_SERVER_LINES: usize = 16;

/// HTML page under construction.
#[derive(Default)]
struct Page(String);

impl Page {
    /// Appends a line with its line break.
    fn push_line(&mut self, text: &str) {
        self.0.extend([text, "\n"]);
    }

    /// Appends text without a line break.
    fn push_text(&mut self, text: &str) {
        self.0.push_str(text);
    }
}

impl Report {
    /// Returns the report as an HTML page.
    pub fn html(&self) -> Result<String, PageError> {
        let mut page = Page::default();
        self.push_header(&mut page);
        if !self.holds {
            self.push_failures(&mut page);
        }
        self.push_classes(&mut page);
        self.push_outcomes(&mut page);
        self.push_charts(&mut page)?;
        if !self.faults.is_empty() {
            self.push_faults(&mut page);
        }
        Ok(page.0)
    }

    fn push_header(&self, page: &mut Page) {
        let verdict = if self.holds { "holds" } else { "does not hold" };
        page.push_line(&format!(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}: {verdict}</title><style>{STYLE}</style>\
             <h1>{name}: <span class=\"{class}\">{verdict}</span></h1><p>{about}</p>\
             <p>Seed {seed}. {asked} requests in {seconds:.1} s ({offered:.0} a second), {attempts} attempts at servers, \
             {fetches} calls at the database. The rig sent first tries {late:.1} ms late at the 99th percentile.</p>",
            name = escape(&self.scenario),
            class = if self.holds { "well" } else { "ill" },
            about = escape(&self.about),
            seed = self.seed,
            asked = self.all.asked,
            seconds = self.seconds,
            offered = self.offered,
            attempts = self.attempts,
            fetches = self.fetches,
            late = self.send_delay_p99_ms,
        ));
        if let Some(warning) = &self.warning {
            page.push_line(&format!("<p class=\"ill\">{}</p>", escape(warning)));
        }
    }

    /// Appends the broken rules and the expectations that are not met.
    fn push_failures(&self, page: &mut Page) {
        page.push_line("<h2>Failed checks</h2><ul>");
        for (rule, count) in &self.broken {
            page.push_line(&format!("<li>Rule broken {count} times: {}", escape(rule)));
        }
        for unmet in &self.unmet {
            page.push_line(&format!("<li>{}", escape(unmet)));
        }
        for breach in &self.breaches {
            page.push_line(&format!("<li class=\"small\">{}", escape(&breach.what)));
        }
        page.push_line("</ul>");
    }

    fn push_classes(&self, page: &mut Page) {
        page.push_line("<h2>By class</h2><table><tr><th>class<th>asked<th>worth in time<th>late<th>unserved<th>p50 ms<th>p90 ms<th>p99 ms<th>max ms");
        for (name, figures) in &self.classes {
            page.push_line(&class_row(name, figures));
        }
        page.push_line(&class_row("all", &self.all));
        page.push_text("</table>");
    }

    fn push_outcomes(&self, page: &mut Page) {
        page.push_line("<h2>Tries by outcome</h2><table><tr>");
        for end in self.ends.keys() {
            page.push_line(&format!("<th>{}", spaced(end)));
        }
        page.push_line("<tr>");
        for count in self.ends.values() {
            page.push_line(&format!("<td>{count}"));
        }
        page.push_line("</table>");
    }

    fn push_charts(&self, page: &mut Page) -> Result<(), PageError> {
        page.push_line(
            "<h2>Share of the worth served in time, by the second in which requests were due</h2>",
        );
        let served = [self.line_by_second("served", |second| second.served)];
        page.push_line(&self.chart("service", "share", &served, Some(1.0))?);
        page.push_line("<h2>Latency in milliseconds, from due time to response</h2>");
        let times = [
            self.line_by_second("p50", |second| second.p50_ms),
            self.line_by_second("p99", |second| second.p99_ms),
        ];
        page.push_line(&self.chart("latency", "ms", &times, None)?);
        page.push_line("<h2>Tries per second that were not served, by outcome</h2>");
        page.push_line(&self.chart("causes", "tries", &self.failure_lines(), None)?);
        page.push_line("<h2>Maximum number of requests held by each server, by second</h2>");
        page.push_line(&self.chart("held", "requests", &self.busiest_server_lines(), None)?);
        page.push_line("<h2>Maximum number of calls held by the database, by second</h2>");
        let calls = self.database.iter().map(|calls| *calls as f64).collect();
        let calls = [Line {
            name: "database".to_owned(),
            points: calls,
        }];
        page.push_line(&self.chart("database", "calls", &calls, None)?);
        Ok(())
    }

    fn push_faults(&self, page: &mut Page) {
        page.push_line("<h2>Faults</h2><table><tr><th>kind<th>target<th>from s<th>to s");
        for FaultSpan {
            kind,
            whom,
            from,
            to,
        } in &self.faults
        {
            let kind = spaced(kind);
            page.push_line(&format!("<tr><td>{kind}<td>{whom}<td>{from:.1}<td>{to:.1}"));
        }
        page.push_line("</table>");
    }

    fn line_by_second(&self, name: &str, figure: fn(&Second) -> f64) -> Line {
        Line {
            name: name.to_owned(),
            points: self.by_second.iter().map(figure).collect(),
        }
    }

    /// Returns a line for each outcome of tries that were not served.
    fn failure_lines(&self) -> Vec<Line> {
        let ends = self.ends.keys().filter(|end| **end != "served");
        let line = |end: &&'static str| {
            let counts = self
                .by_second
                .iter()
                .map(|second| *second.ends.get(end).unwrap_or(&0) as f64);
            Line {
                name: spaced(end),
                points: counts.collect(),
            }
        };
        ends.map(line).collect()
    }

    /// Returns a line for each of the busiest servers.
    fn busiest_server_lines(&self) -> Vec<Line> {
        let count = self.held.first().map_or(0, Vec::len);
        let mut servers: Vec<(usize, Vec<f64>)> = (0..count)
            .map(|server| (server, self.held_by_server(server)))
            .collect();
        servers.sort_by(|a, b| b.1.iter().sum::<f64>().total_cmp(&a.1.iter().sum()));
        servers.truncate(MAX_SERVER_LINES);
        servers.sort_by_key(|(server, _)| *server);
        let line = |(server, points)| Line {
            name: format!("server {server}"),
            points,
        };
        servers.into_iter().map(line).collect()
    }

    fn held_by_server(&self, server: usize) -> Vec<f64> {
        let held = self.held.iter().map(|second| second[server] as f64);
        held.collect()
    }
}

/// Style sheet of the page.
const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.well{color:#176b2c}.ill{color:#a61b1b}.small{font-size:13px}\
    h2{font-size:1.05rem;margin:1.6rem 0 .4rem}svg{max-width:100%;height:auto}";

/// Returns the row of a class in the table of classes.
fn class_row(name: &str, figures: &Figures) -> String {
    format!(
        "<tr><td>{}<td>{}<td>{:.1} %<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.1}<td>{:.1}",
        escape(name),
        figures.asked,
        figures.served * 100.0,
        figures.late,
        figures.unserved,
        figures.p50_ms,
        figures.p90_ms,
        figures.p99_ms,
        figures.most_ms
    )
}

/// Returns a stored name with spaces in place of underscores.
fn spaced(name: &str) -> String {
    name.replace('_', " ")
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
