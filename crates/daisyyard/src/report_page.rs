//! The burn report as an HTML page with plots.

use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::anyhow;
use daisyyard_core::burn::{self, Count, KEPT_SLOTS, OBJECTIVE, Subject};
use hdrhistogram::Histogram;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::report::{Report, Row};
use crate::report_table::burned_by;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (460, 260);
/// Colour of axes, legible on a light and on a dark page.
const AXIS_COLOUR: RGBColor = RGBColor(128, 128, 128);
/// Colour of measured values.
const MEASURED_COLOUR: RGBColor = RGBColor(46, 134, 222);
/// Colour of targets.
const TARGET_COLOUR: RGBColor = RGBColor(224, 108, 50);
/// Style sheet of the page; text in plots has the colour of the page's text.
const STYLE: &str = "\
:root{color-scheme:light dark;--text:#1c1c1c;--page:#fff;--line:#ccc}\
@media(prefers-color-scheme:dark){:root{--text:#e6e6e6;--page:#16181c;--line:#444}}\
body{color:var(--text);background:var(--page);font:15px sans-serif;margin:2em}\
table{border-collapse:collapse}th,td{padding:.3em .7em;border-bottom:1px solid var(--line);\
text-align:right}th:nth-child(-n+3),td:nth-child(-n+3),th:nth-last-child(-n+2),\
td:nth-last-child(-n+2){text-align:left}.wide{overflow-x:auto}\
svg{max-width:100%;height:auto}svg text{fill:var(--text)}\
.page{color:#fff;background:#b3261e}.ticket{color:#000;background:#f2b134}";

/// Drawing area of one plot.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Renders the report as a page that needs no other files.
pub(crate) fn page(report: &Report, rows: &[Row<'_>]) -> anyhow::Result<String> {
    let minutes = report.now.duration_since(UNIX_EPOCH)?.as_secs() / 60;
    let (hour, minute) = (minutes / 60 % 24, minutes % 60);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>daisyyard burn report</title><style>{STYLE}</style></head><body>\n\
         <h1>Burn report</h1>\n<p>{} nodes, the 6 hours until {hour:02}:{minute:02} UTC. \
         A burn rate of 1 spends the error budget evenly.</p>\n",
        report.nodes
    );
    append_table(&mut page, rows);
    for row in rows.iter().filter(|row| row.class.is_none()) {
        let service = escape(&row.service.name);
        let _ = writeln!(page, "<h2>{service}, {}</h2>", row.rank.name());
        let key = (row.service.id, row.rank);
        page.push_str(&render_svg(|area| draw_attainment(area, report, row))?);
        if let Some(times) = report.times.get(&key) {
            let first = row.service.first_token_us[row.rank as usize];
            let gap = row.service.token_gap_us[row.rank as usize];
            page.push_str(&render_svg(|area| {
                draw_distribution(area, "First token (ms)", &times.first_token_us, first)
            })?);
            page.push_str(&render_svg(|area| {
                draw_distribution(area, "Time between tokens (ms)", &times.token_gap_us, gap)
            })?);
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Appends the table of all rows.
fn append_table(page: &mut String, rows: &[Row<'_>]) {
    page.push_str(
        "<div class=\"wide\"><table><thead><tr><th>service<th>rank<th>accounts<th>requests\
         <th>target<th>attained<th>budget left<th>5 min<th>1 h<th>30 min<th>6 h<th>alert\
         <th>burned by</tr></thead><tbody>\n",
    );
    for row in rows {
        let summary = &row.summary;
        let [five, hour, half, six] = summary.burn_rates;
        let alert = summary.alert.name();
        let _ = writeln!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{:.1}%<td>{:.2}%<td>{:.0}%<td>{five:.2}\
             <td>{hour:.2}<td>{half:.2}<td>{six:.2}<td class=\"{alert}\">{alert}<td>{}</tr>",
            escape(&row.service.name),
            row.rank.name(),
            row.class(),
            summary.count.total(),
            OBJECTIVE * 100.0,
            summary.count.attainment() * 100.0,
            summary.budget_left * 100.0,
            burned_by(&summary.count),
        );
    }
    page.push_str("</tbody></table></div>\n");
}

/// Renders a plot as SVG without a background, so that the page shows through.
fn render_svg(plot: impl FnOnce(&Area<'_>) -> anyhow::Result<()>) -> anyhow::Result<String> {
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, PLOT_SIZE_PX).into_drawing_area();
    plot(&area)?;
    area.present().map_err(|error| anyhow!("{error}"))?;
    // The backend completes the text when it is dropped.
    drop(area);
    Ok(text)
}

/// Plots two line series; the vertical axis is a percentage.
fn draw_lines(
    area: &Area<'_>,
    title: &str,
    (x_label, x_range): (&str, std::ops::Range<f64>),
    y_label: &str,
    series: [(Vec<(f64, f64)>, RGBColor); 2],
) -> anyhow::Result<()> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(x_range, 0.0..100.0)
        .map_err(|error| anyhow!("{error}"))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(AXIS_COLOUR.mix(0.3))
        .axis_style(AXIS_COLOUR)
        .x_desc(x_label)
        .y_desc(y_label)
        .draw()
        .map_err(|error| anyhow!("{error}"))?;
    for (points, colour) in series {
        // A single point would be invisible as a line.
        let size = if points.len() == 1 { 3 } else { 0 };
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(size);
        chart
            .draw_series(line)
            .map_err(|error| anyhow!("{error}"))?;
    }
    Ok(())
}

/// Plots the share of requests in each time slot that met their targets.
fn draw_attainment(area: &Area<'_>, report: &Report, row: &Row<'_>) -> anyhow::Result<()> {
    let current_slot = burn::slot(report.now);
    let matches_row =
        |subject: &Subject| subject.service == row.service.id && subject.rank == row.rank;
    let mut slots = vec![Count::default(); KEPT_SLOTS as usize];
    for (subject, slot, count) in report.meter.counts() {
        let age = current_slot.saturating_sub(slot) as usize;
        if let Some(sum) = slots.get_mut(age).filter(|_| matches_row(subject)) {
            sum.add(count);
        }
    }
    let hours = burn::SLOT_LENGTH.as_secs_f64() / Duration::from_hours(1).as_secs_f64();
    let points = slots.iter().enumerate().rev();
    let points = points.filter(|(_, count)| count.total() > 0);
    let points = points.map(|(age, count)| (-(age as f64) * hours, count.attainment() * 100.0));
    let target = vec![(-6.0, OBJECTIVE * 100.0), (0.0, OBJECTIVE * 100.0)];
    let series = [(target, TARGET_COLOUR), (points.collect(), MEASURED_COLOUR)];
    let axis = ("hours before the report", -6.0..0.1);
    draw_lines(
        area,
        "Requests that met their targets, per 5 minutes",
        axis,
        "% of requests",
        series,
    )
}

/// Plots the cumulative distribution of a latency, up to 1.2 times its p99 or its target,
/// whichever is greater.
fn draw_distribution(
    area: &Area<'_>,
    title: &str,
    histogram: &Histogram<u64>,
    target: u64,
) -> anyhow::Result<()> {
    let target = target as f64 / 1e3;
    let p99 = histogram.value_at_quantile(0.99) as f64 / 1e3;
    let end = p99.max(target) * 1.2;
    let mut points = vec![(0.0, 0.0)];
    let mut sum = 0;
    for bucket in histogram.iter_recorded() {
        sum += bucket.count_since_last_iteration();
        let at = bucket.value_iterated_to() as f64 / 1e3;
        if at <= end {
            points.push((at, sum as f64 / histogram.len() as f64 * 100.0));
        }
    }
    let series = [
        (vec![(target, 0.0), (target, 100.0)], TARGET_COLOUR),
        (points, MEASURED_COLOUR),
    ];
    draw_lines(
        area,
        title,
        ("ms; the vertical line is the target", 0.0..end),
        "% up to",
        series,
    )
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
