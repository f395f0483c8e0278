//! The burn report as plain text and as JSON.

use std::fmt::Write;

use daisyyard_core::burn::{Count, OBJECTIVE, Verdict};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::report::{Report, Row};
use crate::snapshot;

/// Names and values of the quantiles shown for latencies.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// Names of the burn rate windows, in the order of
/// [`daisyyard_core::burn::Summary::burn_rates`].
const WINDOW_NAMES: [&str; 4] = ["5m", "1h", "30m", "6h"];

/// Returns the verdicts that burned the budget with their requests, most frequent first.
pub(crate) fn causes(count: &Count) -> Vec<(&'static str, u64)> {
    let missed = Verdict::ALL.iter().zip(count.verdicts).skip(1);
    let mut causes: Vec<_> = missed
        .filter(|(_, requests)| *requests > 0)
        .map(|(verdict, requests)| (verdict.name(), requests))
        .collect();
    causes.sort_by_key(|(_, requests)| std::cmp::Reverse(*requests));
    causes
}

/// Formats the verdicts that burned the budget.
pub(crate) fn burned_by(count: &Count) -> String {
    let causes = causes(count).into_iter();
    let causes: Vec<String> = causes
        .map(|(name, requests)| format!("{name} {requests}"))
        .collect();
    if causes.is_empty() {
        "-".to_owned()
    } else {
        causes.join(", ")
    }
}

/// Formats the report as plain text.
pub(crate) fn text(report: &Report, rows: &[Row<'_>]) -> String {
    let mut text = format!(
        "{} nodes; burn rate 1.0 spends the budget evenly\n",
        report.nodes
    );
    if rows.is_empty() {
        text.push_str("no requests in the last 6 hours\n");
        return text;
    }
    let _ = writeln!(
        text,
        "{:<16} {:<10} {:<6} {:>8} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:<6} burned by",
        "service",
        "rank",
        "class",
        "requests",
        "target",
        "attained",
        "left",
        "5m",
        "1h",
        "30m",
        "6h",
        "alert",
    );
    for row in rows {
        let summary = &row.summary;
        let [five, hour, half, six] = summary.burn_rates;
        let _ = writeln!(
            text,
            "{:<16} {:<10} {:<6} {:>8} {:>5.1}% {:>7.2}% {:>7.0}% {five:>6.2} {hour:>6.2} \
             {half:>6.2} {six:>6.2} {:<6} {}",
            row.service.name,
            row.rank.name(),
            row.class(),
            summary.count.total(),
            OBJECTIVE * 100.0,
            summary.count.attainment() * 100.0,
            summary.budget_left * 100.0,
            summary.alert.name(),
            burned_by(&summary.count),
        );
    }
    text.push_str("\nlatencies since the nodes started, in milliseconds\n");
    for ((service, rank), times) in &report.times {
        let Some(service) = report.services.get(service) else {
            continue;
        };
        let kinds = [
            ("first token", &times.first_token_us, service.first_token_us),
            ("token gap", &times.token_gap_us, service.token_gap_us),
        ];
        for (kind, histogram, targets) in kinds {
            let _ = write!(
                text,
                "{:<16} {:<10} {kind:<11} target {:>8.1}",
                service.name,
                rank.name(),
                targets[*rank as usize] as f64 / 1e3,
            );
            for (name, quantile) in QUANTILES {
                let value = histogram.value_at_quantile(quantile) as f64 / 1e3;
                let _ = write!(text, "  {name} {value:>8.1}");
            }
            let _ = writeln!(text, "  of {}", histogram.len());
        }
    }
    text
}

/// Formats the report as JSON.
pub(crate) fn json(report: &Report, rows: &[Row<'_>]) -> Value {
    let rows: Vec<Value> = rows.iter().map(row_json).collect();
    let times = report.times.iter().filter_map(|((service, rank), times)| {
        let service = report.services.get(service)?;
        Some(json!({
            "service": service.name,
            "rank": rank.name(),
            "first_token_ms": quantiles(&times.first_token_us, service.first_token_us[*rank as usize]),
            "token_gap_ms": quantiles(&times.token_gap_us, service.token_gap_us[*rank as usize]),
        }))
    });
    let times: Vec<Value> = times.collect();
    let taken = snapshot::unix_millis(report.now);
    json!({"nodes": report.nodes, "taken_ms": taken, "rows": rows, "times": times})
}

/// Formats a row as JSON.
fn row_json(row: &Row<'_>) -> Value {
    let summary = &row.summary;
    let rates = WINDOW_NAMES.iter().zip(summary.burn_rates);
    let verdicts = Verdict::ALL.iter().zip(summary.count.verdicts);
    let causes: Vec<&str> = causes(&summary.count)
        .iter()
        .map(|(name, _)| *name)
        .collect();
    json!({
        "service": row.service.name,
        "rank": row.rank.name(),
        "class": row.class(),
        "requests": summary.count.total(),
        "objective": OBJECTIVE,
        "attainment": summary.count.attainment(),
        "budget_left": summary.budget_left,
        "burn": rates.map(|(name, rate)| ((*name).to_owned(), json!(rate)))
            .collect::<serde_json::Map<_, _>>(),
        "alert": summary.alert.name(),
        "verdicts": verdicts.map(|(verdict, requests)| (verdict.name().to_owned(), json!(requests)))
            .collect::<serde_json::Map<_, _>>(),
        "burned_by": causes,
    })
}

/// Formats the count, target and quantiles of a latency as JSON, in milliseconds.
fn quantiles(histogram: &Histogram<u64>, target: u64) -> Value {
    let mut map = serde_json::Map::new();
    map.insert("count".to_owned(), json!(histogram.len()));
    map.insert("target".to_owned(), json!(target as f64 / 1e3));
    for (name, quantile) in QUANTILES {
        let value = histogram.value_at_quantile(quantile) as f64 / 1e3;
        map.insert(name.to_owned(), json!(value));
    }
    Value::Object(map)
}
