//! Summary of a demo run: tail latency, batch throughput, evictions, and work without a domain.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::loads::Stage;

/// Measurements of a demo run.
#[derive(Debug)]
pub struct Summary {
    /// Request load, in requests per second.
    pub rate: u32,
    /// Failure domain that was taken out of service and put back.
    pub domain: &'static str,
    /// Latencies of complete responses by stage, in microseconds.
    pub latencies: Vec<(Stage, Histogram<u64>)>,
    /// Number of requests that were refused as not run.
    pub not_run_count: u64,
    /// Number of job results received, as counted by the entries.
    pub completed: u64,
    /// Time in which the job results were received.
    pub elapsed: Duration,
    /// Number of evictions of batch tasks.
    pub evictions: u64,
    /// Number of job results received while the domain was out of service, as counted by the
    /// entries.
    pub jobs_while_out: u64,
    /// Number of complete responses while the domain was out of service.
    pub requests_while_out: u64,
    /// Time from the change of state until the domain was empty.
    pub emptied_after: Duration,
    /// Time from the change back until requests ran in the domain again.
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

/// Prints percentiles in milliseconds from a histogram in microseconds.
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

/// Returns the sum of a counter over all labels and processes. Each text is the metrics page of one
/// process in the Prometheus text format.
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
