//! The table of the policy and its targets.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::empty;
use super::{Measured, Policy, Scenario};

/// Part by which tail and batch work may fall short of the better extreme.
const TOLERANCE: f64 = 0.10;

/// Results of one policy in one scenario over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// User.
    pub user: String,
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Median latency, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// Requests that found no instance, of all seeds.
    pub unserved: u64,
    /// Batch work done per run, in core-seconds.
    pub work: f64,
    /// Batch jobs finished per run.
    pub finished: f64,
    /// Evictions per run.
    pub evictions: f64,
    /// Batch work done per run while a domain was away and came back, in core-seconds.
    pub away: f64,
    /// Jobs finished twice, of all seeds.
    pub twice: u64,
}

impl Row {
    pub(super) fn new(
        user: &str,
        scenario: Scenario,
        policy: Policy,
        results: &[Measured],
    ) -> Self {
        let mut latency: Histogram<u64> = empty();
        for result in results {
            latency
                .add(&result.latency)
                .expect("the histograms are alike and grow");
        }
        let at = |q: f64| latency.value_at_quantile(q) as f64 / 1_000.0;
        let mean = |pick: fn(&Measured) -> f64| {
            results.iter().map(pick).sum::<f64>() / results.len().max(1) as f64
        };
        Self {
            user: user.to_owned(),
            scenario: format!("{scenario:?}").to_lowercase(),
            policy: format!("{policy:?}").to_lowercase(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            unserved: results.iter().map(|r| r.unserved).sum(),
            work: mean(|r| r.work),
            finished: mean(|r| r.finished as f64),
            evictions: mean(|r| r.evictions as f64),
            away: mean(|r| r.away),
            twice: results.iter().map(|r| r.twice).sum(),
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
            row.away,
            row.twice
        );
    }
    text.push_str(&verdicts(rows));
    text
}

/// Tells for each scenario which targets are reached.
fn verdicts(rows: &[Row]) -> String {
    let mut text = String::from("\ntargets\n");
    for group in rows.chunks(super::POLICIES.len()) {
        let [own, open, strict, evicting] = group else {
            continue;
        };
        let _ = write!(text, "{:<9} {:<13}", own.user, own.scenario);
        let tails = [
            ("p99", own.p99 / strict.p99, open.p99 / strict.p99),
            ("p99.9", own.p999 / strict.p999, open.p999 / strict.p999),
        ];
        for (name, ratio, other) in tails {
            let reached = ratio <= 1.0 + TOLERANCE;
            let verdict = word(reached);
            let _ = write!(
                text,
                "  {name} {ratio:.2} (open {other:.2}) x strict: {verdict}"
            );
        }
        let ratio = own.work / open.work;
        let reached = ratio >= 1.0 - TOLERANCE;
        let _ = write!(text, "  batch {ratio:.2} x open: {}", word(reached));
        let reached = own.evictions < evicting.evictions;
        let (ours, theirs) = (own.evictions, evicting.evictions);
        let _ = write!(
            text,
            "  evictions {ours:.1} to {theirs:.1}: {}",
            word(reached)
        );
        if own.away > 0.0 {
            let _ = write!(text, "  away {:.2} x open", own.away / open.away);
        }
        text.push('\n');
    }
    text
}

const fn word(reached: bool) -> &'static str {
    if reached { "reached" } else { "MISSED" }
}
