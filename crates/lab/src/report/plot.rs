//! The plot: share of reads served by replicas above, acknowledged writes below.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::experiment;
use crate::report::mark;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 640);
/// Size of titles and of other text in pixels.
const TEXT: (u32, u32) = (18, 13);
/// Room for the labels of the axes in pixels.
const LABEL_AREA: u32 = 56;
/// Room around a panel in pixels.
const MARGIN: u32 = 12;
/// Room above the highest value, as a factor.
const HEADROOM: f64 = 1.25;

/// The plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot: {0}")]
pub struct Error(Box<str>);

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Panel<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// One line over time.
struct Series<'a> {
    title: &'a str,
    unit: &'a str,
    points: Vec<(f64, f64)>,
    top: f64,
    color: RGBColor,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error(error.to_string().into())
}

/// Returns the plot as SVG.
///
/// # Errors
///
/// Returns an error when the plot cannot be drawn.
pub fn plot(report: &experiment::Report, faults: &[experiment::Fault]) -> Result<String, Error> {
    let marks: Vec<mark::Mark> = faults.iter().map(mark::Mark::of).collect();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let (upper, lower) = root.split_vertically(SIZE.1 / 2);
        draw(&upper, &shares(report), &marks)?;
        draw(&lower, &writes(report), &marks)?;
        root.present().map_err(failed)?;
    }
    Ok(svg)
}

/// Seconds without reads have no share and no point.
fn shares(report: &experiment::Report) -> Series<'_> {
    let seconds = report.seconds.iter().enumerate();
    let read = seconds.filter(|(_, second)| second.reads > 0);
    let share = |second: &experiment::Second| second.by_replicas as f64 / second.reads as f64;
    Series {
        title: "Share of reads served by replicas, by second",
        unit: "share",
        points: read
            .map(|(at, second)| (at as f64, share(second)))
            .collect(),
        top: 1.0,
        color: BLUE,
    }
}

fn writes(report: &experiment::Report) -> Series<'_> {
    let seconds = report.seconds.iter().enumerate();
    let points: Vec<(f64, f64)> = seconds
        .map(|(at, second)| (at as f64, second.writes as f64))
        .collect();
    let top = points.iter().map(|(_, writes)| *writes).fold(1.0, f64::max);
    Series {
        title: "Writes acknowledged, by second",
        unit: "writes/s",
        points,
        top,
        color: RED,
    }
}

fn draw(area: &Area<'_>, series: &Series<'_>, marks: &[mark::Mark]) -> Result<(), Error> {
    let last = series.points.last().map_or(1.0, |(at, _)| at + 1.0);
    let top = series.top * HEADROOM;
    let mut panel = ChartBuilder::on(area)
        .caption(series.title, ("sans-serif", TEXT.0))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2 + MARGIN)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..last, 0.0..top)
        .map_err(failed)?;
    panel
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(series.unit)
        .label_style(("sans-serif", TEXT.1))
        .light_line_style(TRANSPARENT)
        .draw()
        .map_err(failed)?;
    for (index, mark) in marks.iter().enumerate() {
        draw_mark(&mut panel, mark, (last, top), index)?;
    }
    let points = series.points.iter().copied();
    let line = LineSeries::new(points, series.color.stroke_width(2));
    panel.draw_series(line).map_err(failed)?;
    Ok(())
}

/// A window is shaded, an instant is a line; labels take turns in height so that they don't overlap.
fn draw_mark(
    panel: &mut Panel<'_, '_>,
    mark: &mark::Mark,
    (last, top): (f64, f64),
    index: usize,
) -> Result<(), Error> {
    let until = mark.until_s.unwrap_or(mark.from_s).min(last);
    let shade = Rectangle::new([(mark.from_s, 0.0), (until, top)], BLACK.mix(0.08).filled());
    panel.draw_series([shade]).map_err(failed)?;
    let line = PathElement::new([(mark.from_s, 0.0), (mark.from_s, top)], BLACK.mix(0.6));
    panel.draw_series([line]).map_err(failed)?;
    let height = top * (0.99 - 0.07 * index as f64);
    let place = (mark.from_s + last * 0.005, height);
    let label = Text::new(mark.label.clone(), place, ("sans-serif", TEXT.1));
    panel.draw_series([label]).map_err(failed)?;
    Ok(())
}
