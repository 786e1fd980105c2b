//! Table of the policy measurement, with the result for each target.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::new_histogram;
use super::{Measured, Policy, Scenario};

/// Share by which the tail latency may exceed that of strict separation, and by which the batch
/// work may fall short of that of first fit.
const TOLERANCE: f64 = 0.10;

/// Results of one policy in one scenario over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the user whose services ran.
    pub user: String,
    /// Name of the scenario in lower case.
    pub scenario: String,
    /// Name of the policy in lower case.
    pub policy: String,
    /// Median latency of the latency-critical service, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999: f64,
    /// Number of requests without a running instance, summed over all seeds.
    pub unserved: u64,
    /// Mean batch work of a run, in core-seconds.
    pub work: f64,
    /// Mean number of batch jobs finished in a run.
    pub finished: f64,
    /// Mean number of batch tasks evicted in a run.
    pub evictions: f64,
    /// Mean batch work during the outage and the recovery of a domain, in core-seconds.
    #[serde(rename = "away")]
    pub away_work: f64,
    /// Number of jobs that finished twice, summed over all seeds.
    #[serde(rename = "twice")]
    pub finished_twice: u64,
}

impl Row {
    pub(super) fn new(
        user: &str,
        scenario: Scenario,
        policy: Policy,
        results: &[Measured],
    ) -> Self {
        let mut latency: Histogram<u64> = new_histogram();
        for result in results {
            latency
                .add(&result.latency)
                .expect("both histograms have the same bounds");
        }
        let percentile_ms = |q: f64| latency.value_at_quantile(q) as f64 / 1_000.0;
        let mean = |value: fn(&Measured) -> f64| {
            results.iter().map(value).sum::<f64>() / results.len().max(1) as f64
        };
        Self {
            user: user.to_owned(),
            scenario: format!("{scenario:?}").to_lowercase(),
            policy: format!("{policy:?}").to_lowercase(),
            p50: percentile_ms(0.5),
            p99: percentile_ms(0.99),
            p999: percentile_ms(0.999),
            unserved: results.iter().map(|r| r.unserved).sum(),
            work: mean(|r| r.work),
            finished: mean(|r| r.finished as f64),
            evictions: mean(|r| r.evictions as f64),
            away_work: mean(|r| r.away_work),
            finished_twice: results.iter().map(|r| r.finished_twice).sum(),
        }
    }
}

pub(super) fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<9} {:<13} {:<12} {:>7} {:>7} {:>7} {:>8} {:>9} {:>7} {:>7} {:>8} {:>5}",
        "user",
        "scenario",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "unserved",
        "core-s",
        "jobs",
        "evict",
        "away",
        "twice"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{:<9} {:<13} {:<12} {:>7.1} {:>7.1} {:>7.1} {:>8} {:>9.0} {:>7.1} {:>7.1} {:>8.0} {:>5}",
            row.user,
            row.scenario,
            row.policy,
            row.p50,
            row.p99,
            row.p999,
            row.unserved,
            row.work,
            row.finished,
            row.evictions,
            row.away_work,
            row.finished_twice
        );
    }
    text.push_str(&target_results(rows));
    text
}

/// Writes for each user and scenario which targets are reached.
fn target_results(rows: &[Row]) -> String {
    let mut text = String::from("\ntargets\n");
    for group in rows.chunks(super::POLICIES.len()) {
        let [hyssop, first_fit, separation, evict_at_once] = group else {
            continue;
        };
        let _ = write!(text, "{:<9} {:<13}", hyssop.user, hyssop.scenario);
        let tails = [
            (
                "p99",
                hyssop.p99 / separation.p99,
                first_fit.p99 / separation.p99,
            ),
            (
                "p99.9",
                hyssop.p999 / separation.p999,
                first_fit.p999 / separation.p999,
            ),
        ];
        for (name, ratio, other) in tails {
            let is_reached = ratio <= 1.0 + TOLERANCE;
            let verdict = verdict_text(is_reached);
            let _ = write!(
                text,
                "  {name} {ratio:.2} (open {other:.2}) x strict: {verdict}"
            );
        }
        let ratio = hyssop.work / first_fit.work;
        let is_reached = ratio >= 1.0 - TOLERANCE;
        let _ = write!(
            text,
            "  batch {ratio:.2} x open: {}",
            verdict_text(is_reached)
        );
        let is_reached = hyssop.evictions < evict_at_once.evictions;
        let (ours, theirs) = (hyssop.evictions, evict_at_once.evictions);
        let _ = write!(
            text,
            "  evictions {ours:.1} to {theirs:.1}: {}",
            verdict_text(is_reached)
        );
        if hyssop.away_work > 0.0 {
            let _ = write!(
                text,
                "  away {:.2} x open",
                hyssop.away_work / first_fit.away_work
            );
        }
        text.push('\n');
    }
    text
}

const fn verdict_text(is_reached: bool) -> &'static str {
    if is_reached { "reached" } else { "MISSED" }
}
