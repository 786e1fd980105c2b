//! Table of the request path, with the result for its target.

use std::fmt::Write;

use serde::Serialize;

use super::PathTotals;

/// Share by which latency may exceed that of the bare path, the relay without any checks.
const TOLERANCE: f64 = 0.25;

/// Results of one path with one number of callers.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the path.
    pub path: String,
    /// Number of callers that send requests at once.
    pub callers: usize,
    /// Median latency of a request, in microseconds.
    pub p50: f64,
    /// 99th percentile of the latency, in microseconds.
    pub p99: f64,
    /// Completed requests per second of all callers together.
    pub rate: f64,
    /// Processor time of the whole process for each request, in microseconds. Includes the callers
    /// and the backend server.
    pub cpu: f64,
}

impl Row {
    pub(super) fn new(path: &str, callers: usize, totals: &PathTotals) -> Self {
        let count = totals.requests.max(1) as f64;
        Self {
            path: path.to_owned(),
            callers,
            p50: totals.latency.value_at_quantile(0.5) as f64,
            p99: totals.latency.value_at_quantile(0.99) as f64,
            rate: count / totals.elapsed.as_secs_f64(),
            cpu: totals.cpu.as_secs_f64() * 1e6 / count,
        }
    }
}

/// Formats the table, with ratios to the direct and to the bare path of the same run.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<29} {:>7} {:>8} {:>8} {:>9} {:>8} {:>9} {:>7} {:>7} {:>7} {:>7}",
        "path",
        "callers",
        "p50 us",
        "p99 us",
        "req/s",
        "cpu us",
        "req/s/cpu",
        "p50/dir",
        "p99/dir",
        "p50/bar",
        "p99/bar"
    );
    for row in rows {
        let find_row = |name: &str| {
            rows.iter()
                .find(|r| r.path == name && r.callers == row.callers)
        };
        let (Some(direct), Some(bare)) = (find_row("direct"), find_row("bare")) else {
            continue;
        };
        let _ = writeln!(
            text,
            "{:<29} {:>7} {:>8.0} {:>8.0} {:>9.0} {:>8.1} {:>9.0} {:>7.2} {:>7.2} {:>7.2} {:>7.2}",
            row.path,
            row.callers,
            row.p50,
            row.p99,
            row.rate,
            row.cpu,
            1e6 / row.cpu,
            row.p50 / direct.p50,
            row.p99 / direct.p99,
            row.p50 / bare.p50,
            row.p99 / bare.p99
        );
    }
    text.push_str("\ntarget: at most 1.25 x the bare path\n");
    for row in rows.iter().filter(|row| row.path.starts_with("entry")) {
        let find_row = |name: &str| {
            rows.iter()
                .find(|r| r.path == name && r.callers == row.callers)
        };
        let Some(bare) = find_row("bare") else {
            continue;
        };
        let verdict = |ratio: f64| match ratio <= 1.0 + TOLERANCE {
            true => "reached",
            false => "MISSED",
        };
        let _ = writeln!(
            text,
            "{:<29} {:>3} callers  p50 {:.2}: {}  p99 {:.2}: {}  cpu {:.2}",
            row.path,
            row.callers,
            row.p50 / bare.p50,
            verdict(row.p50 / bare.p50),
            row.p99 / bare.p99,
            verdict(row.p99 / bare.p99),
            row.cpu / bare.cpu
        );
    }
    text
}
