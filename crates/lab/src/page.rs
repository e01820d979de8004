//! A report as one HTML page that needs nothing beside it: the figures as tables, time lines as SVG.

mod chart;

use crate::report::{FaultSpan, Figures, Report, Second};
use chart::Line;
pub use chart::PageError;

/// Server lines in one chart: the busiest ones.
const MAX_SERVER_LINES: usize = 16;

/// A page as it is put together.
#[derive(Default)]
struct Page(String);

impl Page {
    /// Appends a line.
    fn put(&mut self, text: &str) {
        self.0.extend([text, "\n"]);
    }

    /// Appends text that the next line goes on from.
    fn put_part(&mut self, text: &str) {
        self.0.push_str(text);
    }
}

impl Report {
    /// The page.
    pub fn html(&self) -> Result<String, PageError> {
        let mut page = Page::default();
        self.put_header(&mut page);
        if !self.holds {
            self.put_failures(&mut page);
        }
        self.put_classes(&mut page);
        self.put_ends(&mut page);
        self.put_charts(&mut page)?;
        if !self.faults.is_empty() {
            self.put_faults(&mut page);
        }
        Ok(page.0)
    }

    fn put_header(&self, page: &mut Page) {
        let verdict = if self.holds { "holds" } else { "does not hold" };
        page.put(&format!(
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
            late = self.rig_late_ms,
        ));
        if let Some(doubt) = &self.doubt {
            page.put(&format!("<p class=\"ill\">{}</p>", escape(doubt)));
        }
    }

    /// Rules that were broken and expectations that do not hold.
    fn put_failures(&self, page: &mut Page) {
        page.put("<h2>What does not hold</h2><ul>");
        for (rule, count) in &self.broken {
            page.put(&format!("<li>Rule broken {count} times: {}", escape(rule)));
        }
        for unmet in &self.unmet {
            page.put(&format!("<li>{}", escape(unmet)));
        }
        for breach in &self.breaches {
            page.put(&format!("<li class=\"small\">{}", escape(&breach.what)));
        }
        page.put("</ul>");
    }

    fn put_classes(&self, page: &mut Page) {
        page.put("<h2>By class</h2><table><tr><th>class<th>asked<th>worth in time<th>late<th>unserved<th>p50 ms<th>p90 ms<th>p99 ms<th>most ms");
        for (name, figures) in &self.classes {
            page.put(&row(name, figures));
        }
        page.put(&row("all", &self.all));
        page.put_part("</table>");
    }

    fn put_ends(&self, page: &mut Page) {
        page.put("<h2>Tries by how they ended</h2><table><tr>");
        for end in self.ends.keys() {
            page.put(&format!("<th>{}", words(end)));
        }
        page.put("<tr>");
        for count in self.ends.values() {
            page.put(&format!("<td>{count}"));
        }
        page.put("</table>");
    }

    fn put_charts(&self, page: &mut Page) -> Result<(), PageError> {
        page.put(
            "<h2>Share of the worth served in time, by the second in which requests were due</h2>",
        );
        let served = [self.line("served", |second| second.served)];
        page.put(&self.chart("service", "share", &served, Some(1.0))?);
        page.put("<h2>Milliseconds from due to answered</h2>");
        let times = [
            self.line("p50", |second| second.p50_ms),
            self.line("p99", |second| second.p99_ms),
        ];
        page.put(&self.chart("latency", "ms", &times, None)?);
        page.put("<h2>Tries a second that did not serve, by cause</h2>");
        page.put(&self.chart("causes", "tries", &self.causes(), None)?);
        page.put("<h2>Requests held by each server, at most in each second</h2>");
        page.put(&self.chart("held", "requests", &self.busiest_servers(), None)?);
        page.put("<h2>Calls held by the database, at most in each second</h2>");
        let calls = self.database.iter().map(|calls| *calls as f64).collect();
        let calls = [Line {
            name: "database".to_owned(),
            points: calls,
        }];
        page.put(&self.chart("database", "calls", &calls, None)?);
        Ok(())
    }

    fn put_faults(&self, page: &mut Page) {
        page.put("<h2>Faults</h2><table><tr><th>kind<th>whom<th>from s<th>to s");
        for FaultSpan {
            kind,
            whom,
            from,
            to,
        } in &self.faults
        {
            let kind = words(kind);
            page.put(&format!("<tr><td>{kind}<td>{whom}<td>{from:.1}<td>{to:.1}"));
        }
        page.put("</table>");
    }

    fn line(&self, name: &str, figure: fn(&Second) -> f64) -> Line {
        Line {
            name: name.to_owned(),
            points: self.by_second.iter().map(figure).collect(),
        }
    }

    /// A line for each way in which tries ended without serving.
    fn causes(&self) -> Vec<Line> {
        let ends = self.ends.keys().filter(|end| **end != "served");
        let line = |end: &&'static str| {
            let counts = self
                .by_second
                .iter()
                .map(|second| *second.ends.get(end).unwrap_or(&0) as f64);
            Line {
                name: words(end),
                points: counts.collect(),
            }
        };
        ends.map(line).collect()
    }

    /// A line for each of the busiest servers.
    fn busiest_servers(&self) -> Vec<Line> {
        let count = self.held.first().map_or(0, Vec::len);
        let mut servers: Vec<(usize, Vec<f64>)> = (0..count)
            .map(|server| (server, self.held_by(server)))
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

    fn held_by(&self, server: usize) -> Vec<f64> {
        let held = self.held.iter().map(|second| second[server] as f64);
        held.collect()
    }
}

/// Style sheet of the page.
const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.well{color:#176b2c}.ill{color:#a61b1b}.small{font-size:13px}\
    h2{font-size:1.05rem;margin:1.6rem 0 .4rem}svg{max-width:100%;height:auto}";

/// A class's row of the table of classes.
fn row(name: &str, figures: &Figures) -> String {
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

/// A stored name as words.
fn words(name: &str) -> String {
    name.replace('_', " ")
}

/// Text as HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
