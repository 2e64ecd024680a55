//! Results as a plot: for each pattern the 99th percentile of time to first token by prompt length,
//! a line for each policy.

use error_stack::{Report, ResultExt};
use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, DrawingArea, IntoDrawingArea, IntoLogRange, LineSeries, SVGBackend,
        SeriesLabelPosition,
    },
    style::{BLACK, Color, RGBColor, WHITE},
};

use super::Export;
use crate::{
    bench::{
        band::Band,
        pattern::Pattern,
        result::{BenchReport, BenchResult},
    },
    error::{CliError, CliResult},
};

const PANEL_WIDTH: u32 = 420;
const PANEL_HEIGHT: u32 = 300;
const COLUMNS: usize = 3;
/// Colours that readers with the common kinds of colour blindness can tell apart.
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 86, 86),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A plot.
pub(crate) struct Svg;

impl Export for Svg {
    fn export(&self, report: &BenchReport) -> CliResult<String> {
        let mut patterns: Vec<Pattern> = report.results.iter().map(|r| r.pattern).collect();
        patterns.dedup();
        let rows = patterns.len().div_ceil(COLUMNS).max(1);
        let size = (PANEL_WIDTH * COLUMNS as u32, PANEL_HEIGHT * rows as u32);
        let mut text = String::new();
        {
            let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
            root.fill(&WHITE).map_err(Report::new).change_context(CliError::Output)?;
            let panels = root.split_evenly((rows, COLUMNS));
            for (pattern, panel) in patterns.iter().zip(&panels) {
                let results = report.results.iter().filter(|r| r.pattern == *pattern);
                draw(panel, *pattern, &results.collect::<Vec<_>>())?;
            }
            root.present().map_err(Report::new).change_context(CliError::Output)?;
        }
        Ok(text)
    }
}

fn draw(panel: &Area<'_>, pattern: Pattern, results: &[&BenchResult]) -> CliResult<()> {
    let failed = || CliError::Other("the plot can't be drawn".to_owned());
    let last = Band::ALL.len() as f64 - 1.0;
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{pattern}: p99 of first token, ms"), ("sans-serif", 15))
        .margin(10)
        .x_label_area_size(25)
        .y_label_area_size(55)
        .build_cartesian_2d(-0.2..last + 0.2, (1.0..100_000.0).log_scale())
        .map_err(Report::new)
        .change_context_lazy(failed)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .x_labels(Band::ALL.len())
        .x_label_formatter(&|x| band_label(*x))
        .draw()
        .map_err(Report::new)
        .change_context_lazy(failed)?;
    for (result, colour) in results.iter().zip(COLOURS.iter().cycle()) {
        let points = Band::ALL.iter().enumerate().filter_map(|(x, band)| {
            let stats = result.bands.get(band).filter(|stats| stats.admitted > 0)?;
            Some((x as f64, stats.p99_ms.max(1.0)))
        });
        let label = match pattern {
            Pattern::WeightsCurve => result.setting.clone(),
            _ => result.policy.to_string(),
        };
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style).point_size(3))
            .map_err(Report::new)
            .change_context_lazy(failed)?
            .label(label)
            .legend(move |(x, y)| {
                plotters::element::PathElement::new(vec![(x, y), (x + 12, y)], style)
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.2))
        .draw()
        .map_err(Report::new)
        .change_context_lazy(failed)
}

/// The name of the band at this place of the axis; nothing between two bands.
fn band_label(x: f64) -> String {
    let near = (x - x.round()).abs() < 0.05 && x > -0.1;
    let band = near.then(|| Band::ALL.get(x.round() as usize)).flatten();
    band.map_or_else(String::new, ToString::to_string)
}
