//! SVG charts of the HTML page: lines over the seconds of a run, with faults as bands.

use crate::report::{FaultSpan, Report};
use plotters::prelude::*;
use thiserror::Error;

/// Width and height of a chart, in pixels of its SVG.
const CHART_SIZE: (u32, u32) = (960, 240);
/// The minimum width of a fault band is the chart width divided by this number, so that an
/// instantaneous fault is visible.
const MIN_BAND_DIVISOR: f64 = 300.0;
/// Minimum upper end of the vertical axis; a chart of zeros needs a range.
const MIN_TOP: f64 = 1e-3;

/// Error of drawing a chart of the page.
#[derive(Debug, Error)]
#[error("the chart {chart:?} cannot be drawn: {error}")]
pub struct PageError {
    /// Name of the chart.
    chart: &'static str,
    /// Error of the drawing library.
    error: DrawError,
}

/// Error of drawing into a string.
type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// Drawing plane of a chart: seconds on the horizontal axis, the unit of the lines on the vertical.
type Plane<'a, 'b> = ChartContext<
    'a,
    SVGBackend<'b>,
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
>;

/// Line of a chart.
pub(super) struct Line {
    /// Name in the legend.
    pub(super) name: String,
    /// One value per second.
    pub(super) points: Vec<f64>,
}

impl Report {
    /// Returns a chart as SVG. The vertical axis ends at `top`, or above the highest point without
    /// a `top`.
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
        // A chart with a fixed top has a single line, which its heading names.
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
            let to = to.max(from + end / MIN_BAND_DIVISOR);
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
        // The value of a second is drawn at the middle of the second.
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
