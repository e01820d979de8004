//! Charts of a report's page: lines over the seconds of a run, with faults as bands, as SVG.

use crate::report::{FaultSpan, Report};
use plotters::prelude::*;
use thiserror::Error;

/// Width and height of a chart, in pixels of its SVG.
const CHART_SIZE: (u32, u32) = (960, 240);
/// The narrowest band of a fault is the chart's width divided by this: a fault of a moment is to be seen too.
const NARROWEST_BANDS: f64 = 300.0;
/// The vertical axis ends at least here: a chart of zeros needs a range.
const MIN_TOP: f64 = 1e-3;

/// Why a page cannot be drawn.
#[derive(Debug, Error)]
#[error("the chart {chart:?} cannot be drawn: {error}")]
pub struct PageError {
    /// Which chart.
    chart: &'static str,
    /// What the drawing library reports.
    error: DrawError,
}

/// An error of drawing into a string.
type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// The chart's plane: seconds, and the unit of its lines.
type Plane<'a, 'b> = ChartContext<
    'a,
    SVGBackend<'b>,
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
>;

/// A line of a chart.
pub(super) struct Line {
    /// Its name in the legend.
    pub(super) name: String,
    /// A value for each second.
    pub(super) points: Vec<f64>,
}

impl Report {
    /// A chart as SVG. The vertical axis ends at `top`, or above the highest point where there is none.
    pub(super) fn chart(
        &self,
        chart: &'static str,
        unit: &str,
        lines: &[Line],
        top: Option<f64>,
    ) -> Result<String, PageError> {
        let mut svg = String::new();
        self.draw(&mut svg, unit, lines, top)
            .map_err(|error| PageError { chart, error })?;
        Ok(svg)
    }

    fn draw(
        &self,
        svg: &mut String,
        unit: &str,
        lines: &[Line],
        fixed_top: Option<f64>,
    ) -> Result<(), DrawError> {
        let root = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        let top = fixed_top.unwrap_or(highest(lines) * 1.1).max(MIN_TOP);
        let end = (self.by_second.len() as f64).max(1.0);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        self.draw_faults(&mut chart, end, top)?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc(unit)
            .light_line_style(TRANSPARENT)
            .bold_line_style(BLACK.mix(0.08))
            .draw()?;
        draw_lines(&mut chart, lines)?;
        // A chart with a fixed top has one line, which its heading names.
        if lines.len() > 1 || fixed_top.is_none() {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.7))
                .draw()?;
        }
        root.present()
    }

    fn draw_faults(&self, chart: &mut Plane, end: f64, top: f64) -> Result<(), DrawError> {
        let bands = self.faults.iter().map(|FaultSpan { from, to, .. }| {
            let to = to.max(from + end / NARROWEST_BANDS);
            let colour = RGBColor(200, 60, 40).mix(0.10).filled();
            Rectangle::new([(*from, 0.0), (to, top)], colour)
        });
        chart.draw_series(bands)?;
        Ok(())
    }
}

fn draw_lines(chart: &mut Plane, lines: &[Line]) -> Result<(), DrawError> {
    for (index, line) in lines.iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(2);
        // A second's value stands over its middle.
        let points = line
            .points
            .iter()
            .enumerate()
            .map(|(second, point)| (second as f64 + 0.5, *point));
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    Ok(())
}

fn highest(lines: &[Line]) -> f64 {
    lines
        .iter()
        .flat_map(|line| &line.points)
        .fold(0.0, |highest, point| point.max(highest))
}
