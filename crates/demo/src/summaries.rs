//! Summary of the four measures.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::loads::Stage;

/// What a run of the main job found.
#[derive(Debug)]
pub struct Summary {
    /// Requests per second.
    pub rate: u32,
    /// Failure domain that left and returned.
    pub domain: &'static str,
    /// Latency of complete responses by stage, in microseconds.
    pub latencies: Vec<(Stage, Histogram<u64>)>,
    /// Requests refused as not run; each was repeated by its caller.
    pub not_run_count: u64,
    /// Results that were received, as the entries count them.
    pub completed: u64,
    /// Time in which they were received.
    pub elapsed: Duration,
    /// Evictions of batch jobs.
    pub evictions: u64,
    /// Results that were received while the domain was out of service, as the entries count them.
    pub jobs_while_out: u64,
    /// Requests answered while the domain was out of service.
    pub requests_while_out: u64,
    /// Time from the order until the domain was empty.
    pub emptied_after: Duration,
    /// Time from the order until the domain was back in service.
    pub refilled_after: Duration,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let domain = self.domain;
        writeln!(f, "tail latency of planner, {} requests/s:", self.rate)?;
        for (stage, latency) in &self.latencies {
            let stage = match stage {
                Stage::Steady => "all domains in service".to_owned(),
                Stage::Maintenance => format!("{domain} leaves and returns"),
            };
            writeln!(f, "  {stage:<30} {}", Percentiles(latency))?;
        }
        writeln!(
            f,
            "  refused as not run and repeated: {}",
            self.not_run_count
        )?;
        writeln!(
            f,
            "batch throughput: {} route plans received, {:.1}/s",
            self.completed,
            self.completed as f64 / self.elapsed.as_secs_f64()
        )?;
        writeln!(f, "evictions: {}", self.evictions)?;
        write!(
            f,
            "work completed while {domain} was out: {} route plans, {} requests (emptied in {:.1} s, \
             refilled in {:.1} s)",
            self.jobs_while_out,
            self.requests_while_out,
            self.emptied_after.as_secs_f64(),
            self.refilled_after.as_secs_f64()
        )
    }
}

/// Percentiles of a histogram, in milliseconds.
struct Percentiles<'a>(&'a Histogram<u64>);

impl fmt::Display for Percentiles<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |quantile| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        write!(
            f,
            "p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms  ({} responses)",
            millis(0.5),
            millis(0.99),
            millis(0.999),
            self.0.len()
        )
    }
}

/// Returns the sum of a counter over all its labels and processes, from texts in the format of
/// Prometheus.
#[must_use]
pub fn sum_counter(texts: &[String], name: &str) -> u64 {
    let lines = texts.iter().flat_map(|text| text.lines());
    let values = lines.filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let is_whole_name = rest.starts_with(['{', ' ']);
        let value = rest.rsplit(' ').next()?;
        is_whole_name.then(|| value.parse::<f64>().ok())?
    });
    values.sum::<f64>() as u64
}
