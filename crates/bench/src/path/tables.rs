//! The table of the request path and its target.

use std::fmt::Write;

use serde::Serialize;

use super::Sum;

/// Part that the decisions may cost over the bare path.
const TOLERANCE: f64 = 0.25;

/// What one path cost with one number of callers.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Path.
    pub path: String,
    /// Callers.
    pub callers: usize,
    /// Median latency, in microseconds.
    pub p50: f64,
    /// 99th percentile, in microseconds.
    pub p99: f64,
    /// Requests a second.
    pub rate: f64,
    /// Processor time of the whole process per request, in microseconds: callers, path and
    /// backend server.
    pub cpu: f64,
}

impl Row {
    pub(super) fn new(path: &str, callers: usize, sum: &Sum) -> Self {
        let count = sum.requests.max(1) as f64;
        Self {
            path: path.to_owned(),
            callers,
            p50: sum.latency.value_at_quantile(0.5) as f64,
            p99: sum.latency.value_at_quantile(0.99) as f64,
            rate: count / sum.time.as_secs_f64(),
            cpu: sum.cpu.as_secs_f64() * 1e6 / count,
        }
    }
}

/// Writes the table, with ratios to the direct and to the bare path of the same run.
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
        let of = |name: &str| {
            rows.iter()
                .find(|r| r.path == name && r.callers == row.callers)
        };
        let (Some(direct), Some(bare)) = (of("direct"), of("bare")) else {
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
        let of = |name: &str| {
            rows.iter()
                .find(|r| r.path == name && r.callers == row.callers)
        };
        let Some(bare) = of("bare") else {
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
