//! Report: one JSON object with the rows and the fits.

use crate::cases::{Case, CASES, KEYS, NODES, SEED, ZONES};
use crate::fit::{Fit, Growth};
use crate::timing::Cost;
use std::fmt::Write as _;

/// Number of endpoints of the row that is held back from the fits, to measure their error.
const HELD_BACK: usize = 2_000;
/// Smallest number of endpoints in the fits. Below this number the fixed cost of a call hides the
/// cost per endpoint.
const FITTED_FROM: usize = 100;

/// Measurements at one number of endpoints, with costs in the order of `CASES`.
pub struct Row {
    pub endpoints: usize,
    pub bytes: f64,
    pub costs: [Cost; CASES.len()],
}

/// Returns the fit of a figure as JSON, with the worst error at the fitted rows and the error at
/// the held-back row.
fn fit(rows: &[Row], growth: Growth, figure: impl Fn(&Row) -> f64) -> String {
    let point = |row: &Row| (row.endpoints as f64, figure(row));
    let points: Vec<_> = rows
        .iter()
        .filter(|row| row.endpoints >= FITTED_FROM && row.endpoints != HELD_BACK)
        .map(point)
        .collect();
    let fit = Fit::new(growth, &points);
    let errors = points.iter().map(|point| fit.error(*point));
    let worst = errors
        .max_by(|a, b| a.abs().total_cmp(&b.abs()))
        .unwrap_or(f64::NAN);
    let held_back = rows.iter().find(|row| row.endpoints == HELD_BACK);
    let held_back = held_back.map_or(f64::NAN, |row| fit.error(point(row)));
    let (a, b) = fit.factors;
    format!(
        "{{\"form\":\"{}\",\"a\":{a:.3},\"b\":{b:.5},\"worst_error_percent\":{worst:.1},\
         \"held_back_error_percent\":{held_back:.1}}}",
        growth.name()
    )
}

pub fn report(rows: &[Row]) -> String {
    let mut text = format!(
        "{{\"program\":\"decision_cost\",\"seed\":{SEED},\"nodes\":{NODES},\"zones\":{ZONES},\"keys\":{KEYS},\
         \"held_back_servers\":{HELD_BACK},\n\"rows\":[\n"
    );
    for (i, row) in rows.iter().enumerate() {
        let _ = write!(
            text,
            "{{\"servers\":{},\"resident_bytes\":{:.0}",
            row.endpoints, row.bytes
        );
        for (Case { name, .. }, cost) in CASES.iter().zip(&row.costs) {
            let (least, median, most) =
                (cost.quantile(0.0), cost.quantile(0.5), cost.quantile(1.0));
            let _ = write!(
                text,
                ",\n \"{name}\":{{\"least_ns\":{least:.0},\"median_ns\":{median:.0},\"most_ns\":{most:.0},\
                 \"operations\":{}}}",
                cost.operations
            );
        }
        text.push_str(if i + 1 < rows.len() { "},\n" } else { "}\n" });
    }
    let bytes = fit(rows, Growth::Linear, |row| row.bytes);
    let _ = write!(text, "],\n\"fits\":{{\n \"resident_bytes\":{bytes}");
    for (index, Case { name, growth, .. }) in CASES.iter().enumerate() {
        let fit = fit(rows, *growth, |row| row.costs[index].quantile(0.0));
        let _ = write!(text, ",\n \"{name}\":{fit}");
    }
    text.push_str("\n}}");
    text
}
