//! A report as one HTML page that needs nothing beside it: the figures as tables, time lines as SVG.

use crate::report::{FaultSpan, Figures, Report};
use plotters::prelude::*;
use thiserror::Error;

/// Why a page cannot be drawn.
#[derive(Debug, Error)]
#[error("the chart {chart:?} cannot be drawn: {why}")]
pub struct PageError {
    chart: &'static str,
    why: String,
}

const CHART_SIZE: (u32, u32) = (960, 240);
/// Server lines in one chart: the busiest ones.
const MAX_SERVER_LINES: usize = 16;

/// A line of a chart: its name, and its points by second.
type Line = (String, Vec<f64>);

impl Report {
    /// The page.
    pub fn html(&self) -> Result<String, PageError> {
        let mut page = String::new();
        let verdict = if self.holds { "holds" } else { "does not hold" };
        let mut put = |text: String| page.extend([text.as_str(), "\n"]);
        put(format!(
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
            put(format!("<p class=\"ill\">{}</p>", escape(doubt)));
        }
        if !self.holds {
            put("<h2>What does not hold</h2><ul>".into());
            self.broken.iter().for_each(|(rule, count)| {
                put(format!("<li>Rule broken {count} times: {}", escape(rule)))
            });
            self.unmet
                .iter()
                .for_each(|unmet| put(format!("<li>{}", escape(unmet))));
            self.breaches
                .iter()
                .for_each(|breach| put(format!("<li class=\"small\">{}", escape(&breach.what))));
            put("</ul>".into());
        }
        put("<h2>By class</h2><table><tr><th>class<th>asked<th>worth in time<th>late<th>unserved<th>p50 ms<th>p90 ms<th>p99 ms<th>most ms".into());
        let rows = self
            .classes
            .iter()
            .map(|(name, figures)| (name.as_str(), figures));
        rows.chain([("all", &self.all)])
            .for_each(|(name, figures)| put(row(name, figures)));
        put("</table><h2>Tries by how they ended</h2><table><tr>".into());
        self.ends
            .keys()
            .for_each(|end| put(format!("<th>{}", end.replace('_', " "))));
        put("<tr>".into());
        self.ends
            .values()
            .for_each(|count| put(format!("<td>{count}")));
        put("</table>".into());
        let by_second = |figure: fn(&crate::report::Second) -> f64| {
            self.by_second.iter().map(figure).collect::<Vec<_>>()
        };
        put(
            "<h2>Share of the worth served in time, by the second in which requests were due</h2>"
                .into(),
        );
        put(self.chart(
            "service",
            "share",
            &[("served".into(), by_second(|second| second.served))],
            Some(1.0),
        )?);
        put("<h2>Milliseconds from due to answered</h2>".into());
        let times = [
            ("p50".to_owned(), by_second(|second| second.p50_ms)),
            ("p99".to_owned(), by_second(|second| second.p99_ms)),
        ];
        put(self.chart("latency", "ms", &times, None)?);
        put("<h2>Tries a second that did not serve, by cause</h2>".into());
        let causes: Vec<Line> = self
            .ends
            .keys()
            .filter(|end| **end != "served")
            .map(|end| {
                let counts = self
                    .by_second
                    .iter()
                    .map(|second| *second.ends.get(end).unwrap_or(&0) as f64);
                (end.replace('_', " "), counts.collect())
            })
            .collect();
        put(self.chart("causes", "tries", &causes, None)?);
        put("<h2>Requests held by each server, at most in each second</h2>".into());
        put(self.chart("held", "requests", &self.busiest_servers(), None)?);
        put("<h2>Calls held by the database, at most in each second</h2>".into());
        let calls = self.database.iter().map(|calls| *calls as f64).collect();
        put(self.chart("database", "calls", &[("database".into(), calls)], None)?);
        if !self.faults.is_empty() {
            put("<h2>Faults</h2><table><tr><th>kind<th>whom<th>from s<th>to s".into());
            for FaultSpan {
                kind,
                whom,
                from,
                to,
            } in &self.faults
            {
                put(format!(
                    "<tr><td>{}<td>{whom}<td>{from:.1}<td>{to:.1}",
                    kind.replace('_', " ")
                ));
            }
            put("</table>".into());
        }
        Ok(page)
    }

    /// The busiest servers' lines.
    fn busiest_servers(&self) -> Vec<Line> {
        let count = self.held.first().map_or(0, Vec::len);
        let mut all: Vec<(usize, Vec<f64>)> = (0..count)
            .map(|i| (i, self.held.iter().map(|second| second[i] as f64).collect()))
            .collect();
        all.sort_by(|a, b| b.1.iter().sum::<f64>().total_cmp(&a.1.iter().sum()));
        all.truncate(MAX_SERVER_LINES);
        all.sort_by_key(|(i, _)| *i);
        all.into_iter()
            .map(|(i, points)| (format!("server {i}"), points))
            .collect()
    }

    fn chart(
        &self,
        chart: &'static str,
        unit: &str,
        lines: &[Line],
        top: Option<f64>,
    ) -> Result<String, PageError> {
        let mut svg = String::new();
        self.draw(&mut svg, unit, lines, top)
            .map_err(|why| PageError { chart, why })?;
        Ok(svg)
    }

    fn draw(
        &self,
        svg: &mut String,
        unit: &str,
        lines: &[Line],
        top: Option<f64>,
    ) -> Result<(), String> {
        let text_of = |error: &dyn std::fmt::Display| error.to_string();
        let root = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        let highest = lines
            .iter()
            .flat_map(|(_, points)| points)
            .fold(0.0f64, |highest, point| highest.max(*point));
        // A chart with a fixed top has one line, which its heading names.
        let top_is_open = top.is_none();
        let top = top.unwrap_or(highest * 1.1).max(1e-3);
        let end = (self.by_second.len() as f64).max(1.0);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|error| text_of(&error))?;
        let bands = self.faults.iter().map(|FaultSpan { from, to, .. }| {
            // A fault of a moment is still to be seen.
            Rectangle::new(
                [(*from, 0.0), (to.max(from + end / 300.0), top)],
                RGBColor(200, 60, 40).mix(0.10).filled(),
            )
        });
        chart.draw_series(bands).map_err(|error| text_of(&error))?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc(unit)
            .light_line_style(TRANSPARENT)
            .bold_line_style(BLACK.mix(0.08))
            .draw()
            .map_err(|error| text_of(&error))?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            // A second's figure stands over its middle.
            let points = points
                .iter()
                .enumerate()
                .map(|(second, point)| (second as f64 + 0.5, *point));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|error| text_of(&error))?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
                });
        }
        if lines.len() > 1 || top_is_open {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.7))
                .draw()
                .map_err(|error| text_of(&error))?;
        }
        root.present().map_err(|error| text_of(&error))
    }
}

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.well{color:#176b2c}.ill{color:#a61b1b}.small{font-size:13px}\
    h2{font-size:1.05rem;margin:1.6rem 0 .4rem}svg{max-width:100%;height:auto}";

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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
