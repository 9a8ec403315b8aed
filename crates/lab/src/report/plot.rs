//! Plot of an experiment with two panels: the share of reads served by replicas, and the acknowledged writes.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::experiment;
use crate::report::mark;

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 640);
/// Font sizes of titles and of other text in pixels.
const FONT_SIZES: (u32, u32) = (18, 13);
/// Width of the area for the labels of the vertical axis in pixels; that of the horizontal axis follows from it.
const LABEL_AREA: u32 = 56;
/// Margin around a panel in pixels.
const MARGIN: u32 = 12;
/// Top of the vertical axis as a multiple of the highest value, which leaves room for the labels of marks.
const HEADROOM_FACTOR: f64 = 1.25;

/// Error of drawing the plot.
#[derive(Debug, thiserror::Error)]
#[error("drawing the plot failed: {0}")]
pub struct Error(Box<str>);

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Panel<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A line over time in its panel.
struct Series<'a> {
    title: &'a str,
    unit: &'a str,
    /// Seconds since the start of the measurement, and values.
    points: Vec<(f64, f64)>,
    /// Highest value.
    max: f64,
    color: RGBColor,
}

fn plot_error(error: impl std::fmt::Display) -> Error {
    Error(error.to_string().into())
}

/// Returns the plot as SVG.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn plot(report: &experiment::Report, faults: &[experiment::Fault]) -> Result<String, Error> {
    let marks: Vec<mark::Mark> = faults.iter().map(mark::Mark::from_fault).collect();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let (upper, lower) = root.split_vertically(PLOT_SIZE.1 / 2);
        draw_panel(&upper, &replica_shares(report), &marks)?;
        draw_panel(&lower, &acknowledged_writes(report), &marks)?;
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Returns the share of reads served by replicas, with no point for seconds without reads.
fn replica_shares(report: &experiment::Report) -> Series<'_> {
    let seconds = report.seconds.iter().enumerate();
    let seconds_with_reads = seconds.filter(|(_, second)| second.reads > 0);
    let share = |second: &experiment::Second| second.by_replicas as f64 / second.reads as f64;
    Series {
        title: "Share of reads served by replicas, by second",
        unit: "share",
        points: seconds_with_reads
            .map(|(at, second)| (at as f64, share(second)))
            .collect(),
        max: 1.0,
        color: BLUE,
    }
}

/// Returns the acknowledged writes of each second.
fn acknowledged_writes(report: &experiment::Report) -> Series<'_> {
    let seconds = report.seconds.iter().enumerate();
    let points: Vec<(f64, f64)> = seconds
        .map(|(at, second)| (at as f64, second.writes as f64))
        .collect();
    let max = points.iter().map(|(_, writes)| *writes).fold(1.0, f64::max);
    Series {
        title: "Writes acknowledged, by second",
        unit: "writes/s",
        points,
        max,
        color: RED,
    }
}

/// Draws a panel with its axes, the marks and the line.
fn draw_panel(area: &Area<'_>, series: &Series<'_>, marks: &[mark::Mark]) -> Result<(), Error> {
    let end = series.points.last().map_or(1.0, |(at, _)| at + 1.0);
    let top = series.max * HEADROOM_FACTOR;
    let mut panel = ChartBuilder::on(area)
        .caption(series.title, ("sans-serif", FONT_SIZES.0))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2 + MARGIN)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(plot_error)?;
    panel
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(series.unit)
        .label_style(("sans-serif", FONT_SIZES.1))
        .light_line_style(TRANSPARENT)
        .draw()
        .map_err(plot_error)?;
    for (index, mark) in marks.iter().enumerate() {
        draw_mark(&mut panel, mark, (end, top), index)?;
    }
    let points = series.points.iter().copied();
    let line = LineSeries::new(points, series.color.stroke_width(2));
    panel.draw_series(line).map_err(plot_error)?;
    Ok(())
}

/// Draws a mark: a line at its start and, for a time window, a shaded area. The label of each mark is placed below that
/// of the mark before, so that labels do not overlap.
fn draw_mark(
    panel: &mut Panel<'_, '_>,
    mark: &mark::Mark,
    (end, top): (f64, f64),
    index: usize,
) -> Result<(), Error> {
    let until = mark.until_s.unwrap_or(mark.from_s).min(end);
    let shade = Rectangle::new([(mark.from_s, 0.0), (until, top)], BLACK.mix(0.08).filled());
    panel.draw_series([shade]).map_err(plot_error)?;
    let line = PathElement::new([(mark.from_s, 0.0), (mark.from_s, top)], BLACK.mix(0.6));
    panel.draw_series([line]).map_err(plot_error)?;
    let height = top * (0.99 - 0.07 * index as f64);
    let position = (mark.from_s + end * 0.005, height);
    let label = Text::new(mark.label.clone(), position, ("sans-serif", FONT_SIZES.1));
    panel.draw_series([label]).map_err(plot_error)?;
    Ok(())
}
