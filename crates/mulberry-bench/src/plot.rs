//! Draws the course of a run.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::report::{Report, Second};

const SIZE: (u32, u32) = (1_000, 700);

/// Name, colour and points of a line.
type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Writes an SVG file with the completions and the times to the first token in each second.
///
/// # Errors
/// The file cannot be written.
pub fn plot(report: &Report, file: &Path) -> Result<()> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(describe)?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let line = |value: fn(&Second) -> Option<f64>| -> Vec<(f64, f64)> {
        let points = report.series.iter();
        points.filter_map(|second| Some((second.second as f64, value(second)?))).collect()
    };
    let counts = [
        ("completed", BLACK, line(|second| Some(second.completed as f64))),
        ("right", GREEN, line(|second| Some(second.right as f64))),
    ];
    let times = [
        ("all", BLACK, line(|second| second.p95_first_token_ms)),
        ("up to 2k tokens", BLUE, line(|second| second.p95_short_first_token_ms)),
    ];
    draw(&upper, report, &format!("{}: requests per second", report.name), &counts)?;
    draw(&lower, report, "p95 of the time to the first token, ms", &times)?;
    root.present().map_err(describe)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &Report,
    title: &str,
    lines: &[Line],
) -> Result<()> {
    let top = lines.iter().flat_map(|(_, _, points)| points).map(|(_, y)| *y).fold(1.0, f64::max);
    let end = report.series.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)
        .map_err(describe)?;
    chart.configure_mesh().x_desc("s").draw().map_err(describe)?;
    for (name, colour, points) in lines {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &colour))
            .map_err(describe)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    for action in &report.actions {
        let at = action.at_ms as f64 / 1e3;
        let mark = PathElement::new([(at, 0.0), (at, top)], RED);
        chart.draw_series([mark]).map_err(describe)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(describe)
}

fn describe(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("cannot draw: {error}; check that the file can be written")
}
