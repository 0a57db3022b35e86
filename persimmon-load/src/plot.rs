//! SVG plots of a load run.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE,
};

use crate::result::Table;

const SIZE_PX: (u32, u32) = (900, 400);
const LABEL_AREA_PX: u32 = 50;

/// Plots the median and 99th percentile of the latency by second of arrival.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn latency(table: &Table, file: &Path) -> anyhow::Result<()> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", file.display());
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let highest = table.seconds.iter().map(|row| row.quantile(0.99)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .margin(10)
        .build_cartesian_2d(0..table.seconds.len(), 0.0..highest)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("second of arrival")
        .y_desc("latency in ms: median blue, 99th percentile red")
        .axis_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    for (quantile, colour) in [(0.5, &BLUE), (0.99, &RED)] {
        let points = table.seconds.iter().enumerate();
        let points = points.map(|(second, row)| (second, row.quantile(quantile)));
        chart.draw_series(LineSeries::new(points, colour)).map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
