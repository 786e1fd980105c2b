//! Metrics of a process: requests and their latency, completed jobs, evictions, and ages.

use std::time::Duration;

use hyssop_core::{Class, Crash, EvictionCause, Millis, Outcome, ServiceName, TeamName};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_otlp::{MetricExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{MeterProviderBuilder, SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};

use super::labels::{
    LabelTable, MAX_KIND_LABELS, MAX_TEAM_LABELS, cause_label, class_label, outcome_label,
};
use super::{Error, Result};
use crate::settings::HttpBase;

/// Upper bounds of the latency buckets, in seconds. They are close between 1 and 20 ms, the latency
/// of requests within one region, so that tail latencies can be derived from them.
const LATENCY_BOUNDS_S: [f64; 18] = [
    0.001, 0.002, 0.003, 0.004, 0.006, 0.008, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0,
    2.0, 5.0, 10.0,
];

/// Longest duration of an export, and of the last one when the process ends.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Metrics of one process, for Prometheus and optionally for an OTLP collector.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    requests: Counter<u64>,
    refused_requests: Counter<u64>,
    ready: Gauge<f64>,
    completed_jobs: Counter<u64>,
    completed_domain_out: Counter<u64>,
    evictions: Counter<u64>,
    crashes: Counter<u64>,
    confirmation_age: Gauge<f64>,
    snapshot_age: Gauge<f64>,
    suppressed_lines: Counter<u64>,
    teams: LabelTable,
    kinds: LabelTable,
}

impl Metrics {
    /// Sets up the metrics of the process `name` of `program`. With a collector, they are also
    /// exported to it periodically.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Metrics`] if an exporter cannot be set up.
    pub fn new(program: &'static str, name: &str, collector: Option<HttpBase>) -> Result<Self> {
        let registry = Registry::new();
        let prometheus = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
            .map_err(metrics_error)?;
        let resource = Resource::builder_empty()
            .with_service_name(program)
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()));
        let provider = SdkMeterProvider::builder()
            .with_resource(resource.build())
            .with_reader(prometheus);
        let provider = with_collector(provider, collector)?.build();
        Ok(Self::with_provider(registry, provider))
    }

    fn with_provider(registry: Registry, provider: SdkMeterProvider) -> Self {
        let meter = provider.meter("hyssoptrack");
        Self {
            latency: latency(&meter),
            requests: counter(&meter, "hyssop.requests", "Requests by outcome"),
            refused_requests: counter(
                &meter,
                "hyssop.requests.refused",
                "Requests refused before they were routed, by reason",
            ),
            ready: meter
                .f64_gauge("hyssop.ready")
                .with_description("Whether the process serves callers: 1 or 0")
                .build(),
            completed_jobs: counter(
                &meter,
                "hyssop.work.completed",
                "Jobs whose result was received, each counted once",
            ),
            completed_domain_out: counter(
                &meter,
                "hyssop.work.completed_domain_out",
                "Jobs whose result was received while a failure domain was out of service",
            ),
            evictions: counter(&meter, "hyssop.evictions", "Evictions by cause"),
            crashes: counter(
                &meter,
                "hyssop.worker.crashes",
                "Worker crashes that count against a job",
            ),
            confirmation_age: gauge(
                &meter,
                "hyssop.proof.age",
                "Age of the proof that the configuration is fresh",
            ),
            snapshot_age: gauge(
                &meter,
                "hyssop.snapshot.age",
                "Age of the newest snapshot of a stream",
            ),
            suppressed_lines: counter(
                &meter,
                "hyssop.log.suppressed",
                "Log lines that were left out",
            ),
            teams: LabelTable::new(MAX_TEAM_LABELS),
            kinds: LabelTable::new(MAX_KIND_LABELS),
            registry,
            provider,
        }
    }

    /// Counts a request by its outcome and records its latency.
    pub fn record_request(
        &self,
        team: &TeamName,
        class: Class,
        outcome: &Outcome,
        latency: Duration,
    ) {
        let team = KeyValue::new("team", self.teams.label(team.as_str()));
        let class = KeyValue::new("class", class_label(class));
        let outcome = KeyValue::new("outcome", outcome_label(outcome));
        self.latency
            .record(latency.as_secs_f64(), &[team.clone(), class.clone()]);
        self.requests.add(1, &[team, class, outcome]);
    }

    /// Counts a job of a kind whose result was received for the first time. `is_domain_out` tells
    /// whether any failure domain was out of service.
    pub fn record_completed_job(&self, kind: &ServiceName, is_domain_out: bool) {
        let kind = [KeyValue::new("kind", self.kinds.label(kind.as_str()))];
        self.completed_jobs.add(1, &kind);
        if is_domain_out {
            self.completed_domain_out.add(1, &kind);
        }
    }

    /// Counts evictions of one cause.
    pub fn record_evictions(&self, cause: EvictionCause, count: u64) {
        if count > 0 {
            let cause = KeyValue::new("cause", cause_label(cause));
            self.evictions.add(count, &[cause]);
        }
    }

    /// Counts a worker crash that counts against a job.
    pub fn record_worker_crash(&self, crash: Crash) {
        let crash = KeyValue::new("kind", crash.to_string());
        self.crashes.add(1, &[crash]);
    }

    /// Counts a request that was refused before it was routed. `reason` is the value of the reason
    /// header of the response; the HTTP interface defines a fixed set of these.
    pub fn record_refusal(&self, reason: &str) {
        let reason = KeyValue::new("reason", StringValue::from(reason.to_owned()));
        self.refused_requests.add(1, &[reason]);
    }

    /// Sets whether the process is ready to serve callers.
    pub fn set_ready(&self, is_ready: bool) {
        self.ready.record(if is_ready { 1.0 } else { 0.0 }, &[]);
    }

    /// Sets the time since the configuration was last confirmed to be current.
    pub fn set_confirmation_age(&self, age: Millis) {
        self.confirmation_age.record(seconds(age), &[]);
    }

    /// Sets the age of the newest snapshot of a stream. The streams follow from the settings, so
    /// the number of labels is bounded.
    pub fn set_snapshot_age(&self, stream: &str, age: Millis) {
        let stream = KeyValue::new("stream", StringValue::from(stream.to_owned()));
        self.snapshot_age.record(seconds(age), &[stream]);
    }

    /// Counts log lines that the rate limit has suppressed.
    pub fn record_suppressed_lines(&self, count: u64) {
        self.suppressed_lines.add(count, &[]);
    }

    /// Returns the metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Metrics`] if a metric cannot be written.
    pub fn render(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(metrics_error)?;
        String::from_utf8(text).map_err(metrics_error)
    }

    /// Exports the last values to the collector. Blocks for up to 2 s, so asynchronous code must
    /// call it on a blocking thread.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Metrics`] if the export fails.
    pub fn shutdown(&self) -> Result<()> {
        let result = self.provider.shutdown_with_timeout(EXPORT_TIMEOUT);
        result.map_err(metrics_error)
    }
}

/// Adds an export to a collector by OTLP over HTTP, every 60 s on a separate thread.
fn with_collector(
    provider: MeterProviderBuilder,
    collector: Option<HttpBase>,
) -> Result<MeterProviderBuilder> {
    let Some(base) = collector else {
        return Ok(provider);
    };
    let exporter = MetricExporter::builder()
        .with_http()
        .with_endpoint(format!("{base}/v1/metrics"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(metrics_error)?;
    Ok(provider.with_periodic_exporter(exporter))
}

fn latency(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("hyssop.request.latency")
        .with_unit("s")
        .with_description("Time from the receipt of a request to its outcome")
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
}

fn gauge(meter: &Meter, name: &'static str, about: &'static str) -> Gauge<f64> {
    meter
        .f64_gauge(name)
        .with_unit("s")
        .with_description(about)
        .build()
}

fn seconds(time: Millis) -> f64 {
    Duration::from_millis(time.0).as_secs_f64()
}

fn metrics_error(error: impl std::fmt::Display) -> Error {
    Error::Metrics(error.to_string())
}
