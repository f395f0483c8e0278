//! Growth of processor time and memory with the size of the system, for `docs/CAPACITY.md`.

use std::io::{self, Write};

use daisyyard_derive::record;
use serde::Serialize;

use crate::fit::Fit;
use crate::probe::REPEATS;
use crate::{scale_call, scale_entry, scale_home, scale_member};

/// One quantity measured at several sizes.
#[record]
#[derive(Serialize)]
pub struct Series {
    /// Quantity that was measured.
    pub name: &'static str,
    /// Items that the size counts.
    pub axis: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Each size with the median of its measurements.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points, if at least two sizes differ.
    pub fit: Option<Fit>,
}

/// Measured series with the number of repeats.
#[record]
#[derive(Serialize)]
pub struct Report {
    /// Measurements of which each value is the median.
    pub repeats: usize,
    /// Series in the order of their measurement.
    pub series: Vec<Series>,
}

impl Series {
    /// Measures a quantity at each size and fits a line to the results.
    pub fn measure(
        name: &'static str,
        axis: &'static str,
        unit: &'static str,
        sizes: &[u64],
        mut value: impl FnMut(u64) -> anyhow::Result<f64>,
    ) -> anyhow::Result<Self> {
        let mut points = Vec::new();
        for size in sizes {
            points.push((*size as f64, value(*size)?));
        }
        let fit = Fit::new(&points);
        Ok(Self {
            name,
            axis,
            unit,
            points,
            fit,
        })
    }
}

/// Measures all series of `daisyyard_core`.
///
/// Memory comes first: later allocations would reuse freed pages, and the resident memory would not
/// grow by them.
pub fn measure() -> anyhow::Result<Report> {
    let mut series = scale_entry::measure_memory()?;
    series.extend(scale_home::measure_memory()?);
    series.extend(scale_call::measure_memory()?);
    series.extend(scale_member::measure_memory()?);
    series.extend(scale_entry::measure_time()?);
    series.extend(scale_home::measure_time()?);
    series.extend(scale_call::measure_time()?);
    series.extend(scale_member::measure_time()?);
    Ok(Report {
        repeats: REPEATS,
        series,
    })
}

/// Prints a report as a Markdown table.
pub fn print(report: &Report, mut out: impl Write) -> io::Result<()> {
    writeln!(
        out,
        "| quantity | unit | axis | size: value | slope | intercept | residual |"
    )?;
    writeln!(out, "|---|---|---|---|---:|---:|---:|")?;
    for series in &report.series {
        let points = series.points.iter();
        let points: Vec<String> = points
            .map(|(size, value)| format!("{size}: {value:.0}"))
            .collect();
        let fit_columns = series.fit.map_or_else(
            || "- | - | -".to_owned(),
            |fit| {
                format!(
                    "{:.3} | {:.0} | {:.0}",
                    fit.slope, fit.intercept, fit.residual
                )
            },
        );
        writeln!(
            out,
            "| {} | {} | {} | {} | {fit_columns} |",
            series.name,
            series.unit,
            series.axis,
            points.join(", ")
        )?;
    }
    Ok(())
}
