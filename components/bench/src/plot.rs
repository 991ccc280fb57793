//! Plots time to first token by prompt length, one line per policy.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, IntoLogRange, LineSeries, PathElement, RGBColor,
    SVGBackend, WHITE,
};

use crate::{BenchError, BenchReport, PolicyReport};

/// Width and height of the plot, in pixels.
const PICTURE_SIZE: (u32, u32) = (900, 540);
/// Colours of the lines, in the order of the policies.
const COLOURS: [RGBColor; 4] = [
    RGBColor(150, 150, 150),
    RGBColor(220, 120, 40),
    RGBColor(30, 90, 180),
    RGBColor(90, 160, 90),
];
/// Lower bound of the time axis, in milliseconds.
const FLOOR_MS: f64 = 10.0;

/// Draws the 95th percentiles of the time to first token as an SVG file.
///
/// # Errors
/// `BenchError::Output` when the file can't be written.
pub fn plot_report(report: &BenchReport, file: &Path) -> Result<(), BenchError> {
    draw(report, file).map_err(|cause| BenchError::Output {
        step: "plot".to_owned(),
        peer: file.display().to_string(),
        cause,
    })
}

fn draw(report: &BenchReport, file: &Path) -> Result<(), String> {
    let lines: Vec<PlotLine> = report
        .policies
        .keys()
        .filter_map(|name| Some(PlotLine::new(name, &report.policy(name)?)))
        .collect();
    let buckets = lines
        .first()
        .map_or_else(Vec::new, |line| line.buckets.clone());
    let most = lines.iter().flat_map(|line| &line.points);
    let most = most.map(|point| point.1).fold(FLOOR_MS * 10.0, f64::max);
    let area = SVGBackend::new(file, PICTURE_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let last = f64::from(u32::try_from(buckets.len()).unwrap_or(1));
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!(
                "{} seed {}: time to first token, p95",
                report.scenario, report.seed
            ),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(-0.5..last - 0.5, (FLOOR_MS..most * 1.5).log_scale())
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_labels(buckets.len() * 2 + 1)
        .x_label_formatter(&|position| bucket_label(&buckets, *position))
        .x_desc("prompt length, up to")
        .y_desc("milliseconds")
        .draw()
        .map_err(|error| error.to_string())?;
    for (line, colour) in lines.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(line.points.clone(), colour.stroke_width(2)))
            .map_err(|error| error.to_string())?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart
            .draw_series(
                line.points
                    .iter()
                    .map(|point| Circle::new(*point, 3, colour.filled())),
            )
            .map_err(|error| error.to_string())?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(COLOURS[0])
        .draw()
        .map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}

/// The line of one policy: p95 by bucket.
struct PlotLine {
    name: String,
    buckets: Vec<String>,
    points: Vec<(f64, f64)>,
}

impl PlotLine {
    fn new(name: &str, policy: &PolicyReport) -> Self {
        let buckets: Vec<String> = policy.ttft_ms.keys().cloned().collect();
        let points = buckets
            .iter()
            .zip(0_u32..)
            .filter_map(|(bucket, position)| {
                let times = policy.bucket(bucket).filter(|times| times.count > 0)?;
                Some((f64::from(position), times.p95.max(FLOOR_MS)))
            })
            .collect();
        Self {
            name: name.to_owned(),
            buckets,
            points,
        }
    }
}

fn bucket_label(buckets: &[String], position: f64) -> String {
    if (position - position.round()).abs() > 0.01 {
        return String::new();
    }
    let near = |index: usize| {
        let index = f64::from(u32::try_from(index).unwrap_or(0));
        (index - position).abs() < 0.01
    };
    let found = buckets.iter().enumerate().find(|(index, _)| near(*index));
    found.map_or_else(String::new, |(_, name)| name.clone())
}
