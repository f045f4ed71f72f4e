//! Plot of the fairness gap against the number of routers.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, GREEN, IntoDrawingArea, IntoLogRange, LineSeries, RED,
    RGBColor, SVGBackend, WHITE,
};
use plotters::style::Color;

use crate::output;
use crate::settings::Policy;
use crate::suite::ResultRow;

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (800, 480);
/// Range of the x axis, in routers.
const ROUTER_RANGE: std::ops::Range<f64> = 6.0..500.0;
/// Range of the y axis, in largest requests.
const GAP_RANGE: std::ops::Range<f64> = 0.1..5_000.0;

/// Draws the gap of each policy against the number of routers, as an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written or the plot can't be drawn.
pub fn draw(path: &Path, rows: &[ResultRow]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(ROUTER_RANGE.log_scale(), GAP_RANGE.log_scale())?;
    chart.configure_mesh().x_desc("routers").y_desc("gap in largest requests").draw()?;
    for (policy, colour) in
        [(Policy::Dispatch, GREEN), (Policy::RouterAlone, BLUE), (Policy::FirstCome, RED)]
    {
        let points = points(rows, policy);
        chart
            .draw_series(LineSeries::new(points.clone(), &colour))?
            .label(policy.name())
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
        chart.draw_series(dots(&points, colour))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}

fn dots(points: &[(f64, f64)], colour: RGBColor) -> Vec<Circle<(f64, f64), i32>> {
    points.iter().map(|point| Circle::new(*point, 4, colour.filled())).collect()
}

/// Number of routers and largest gap over all seeds; runs of one policy.
fn points(rows: &[ResultRow], policy: Policy) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = Vec::new();
    let of_policy = rows.iter().filter(|row| row.section == output::ROUTERS);
    for row in of_policy.filter(|row| row.settings.policy == policy) {
        let (routers, gap) = (row.settings.router_count as f64, row.outcome.gap);
        match points.last_mut().filter(|last| last.0 == routers) {
            Some(last) => last.1 = last.1.max(gap),
            None => points.push((routers, gap)),
        }
    }
    points
}
