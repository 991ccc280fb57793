//! Prints reports as text tables.

use std::fmt::Write;

use crate::{BenchReport, DecisionReport, PolicyReport};

/// Width of the first column, in characters.
const LABEL_WIDTH: usize = 28;
/// Width of the other columns, in characters.
const VALUE_WIDTH: usize = 20;

struct TableRow {
    label: String,
    value: fn(&PolicyReport, &str) -> String,
    key: String,
}

/// Formats a report as a table with one column per policy.
#[must_use]
pub fn report_table(report: &BenchReport) -> String {
    let names: Vec<&String> = report.policies.keys().collect();
    let policies: Vec<PolicyReport> = names
        .iter()
        .filter_map(|name| report.policy(name))
        .collect();
    let mut table = format!(
        "scenario {} seed {} requests {}\n",
        report.scenario, report.seed, report.requests
    );
    write_row(&mut table, "", names.iter().map(|name| (*name).clone()));
    for row in rows(&policies) {
        let values = policies.iter().map(|policy| (row.value)(policy, &row.key));
        write_row(&mut table, &row.label, values);
    }
    table
}

fn rows(policies: &[PolicyReport]) -> Vec<TableRow> {
    let mut rows = Vec::new();
    let Some(first) = policies.first() else {
        return rows;
    };
    for bucket in first.ttft_ms.keys() {
        rows.push(TableRow {
            label: format!("ttft ms {bucket} p50/p95/p99"),
            value: bucket_cell,
            key: bucket.clone(),
        });
    }
    for plan in first.by_plan.keys() {
        rows.push(TableRow {
            label: format!("ttft ms {plan} p50/p95"),
            value: plan_cell,
            key: plan.clone(),
        });
    }
    for (label, value) in FIXED_ROWS {
        rows.push(TableRow {
            label: label.to_owned(),
            value,
            key: String::new(),
        });
    }
    rows
}

type CellWriter = fn(&PolicyReport, &str) -> String;

const FIXED_ROWS: [(&str, CellWriter); 8] = [
    ("short slowdown p50/p99", |policy, _| {
        let slowdown = policy.short_slowdown;
        format!("{:.2}/{:.2}", slowdown.p50, slowdown.p99)
    }),
    ("between tokens ms p50/p95", |policy, _| {
        format!("{:.1}/{:.1}", policy.itl_ms.p50, policy.itl_ms.p95)
    }),
    ("finished", |policy, _| policy.finished.to_string()),
    ("refused", |policy, _| policy.refused.to_string()),
    ("failed", |policy, _| policy.failed.to_string()),
    ("lost", |policy, _| policy.lost.to_string()),
    ("doubled", |policy, _| policy.doubled.to_string()),
    ("goodput tokens/s", |policy, _| {
        policy.goodput_tokens_s.to_string()
    }),
];

fn bucket_cell(policy: &PolicyReport, bucket: &str) -> String {
    match policy.bucket(bucket) {
        Some(times) if times.count > 0 => {
            format!("{:.0}/{:.0}/{:.0}", times.p50, times.p95, times.p99)
        }
        _ => "-".to_owned(),
    }
}

fn plan_cell(policy: &PolicyReport, plan: &str) -> String {
    policy.plan(plan).map_or_else(String::new, |report| {
        format!("{:.0}/{:.0}", report.ttft_ms.p50, report.ttft_ms.p95)
    })
}

fn write_row(table: &mut String, label: &str, values: impl Iterator<Item = String>) {
    write!(table, "{label:LABEL_WIDTH$}").ok();
    for value in values {
        write!(table, " {value:>VALUE_WIDTH$}").ok();
    }
    table.push('\n');
}

/// Formats decision times and their growth as a table.
#[must_use]
pub fn decision_table(report: &DecisionReport) -> String {
    let mut table = String::new();
    for point in &report.points {
        writeln!(
            table,
            "{:16} {:>8} {:>8} queued {:>12.0} ns a prompt",
            point.varied, point.size, point.queued, point.nanoseconds
        )
        .ok();
    }
    for slope in &report.slopes {
        writeln!(
            table,
            "{:16} {:.0} ns + {:.4} ns each, grows as size^{:.2}",
            slope.varied, slope.base_ns, slope.each_ns, slope.exponent
        )
        .ok();
    }
    table
}
