//! Metrics: request latency and the counters behind the four measures.

use std::time::Duration;

use hyssop_core::{Class, EvictionCause, Millis, Outcome, ServiceName, TeamName};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_otlp::{MetricExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{MeterProviderBuilder, SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};

use super::labels::{
    MAX_KIND_LABELS, MAX_TEAM_LABELS, Names, cause_label, class_label, outcome_label,
};
use super::{Error, Result};
use crate::settings::HttpBase;

/// Bounds of the latency buckets, in seconds. They are close between 1 and 20 ms, where a request
/// within one region ends, so that the tail can be read from them.
const LATENCY_BOUNDS: [f64; 18] = [
    0.001, 0.002, 0.003, 0.004, 0.006, 0.008, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0,
    2.0, 5.0, 10.0,
];

/// Longest wait for the last export at the end of the process.
const SHUTDOWN_WAIT: Duration = Duration::from_secs(2);

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    requests: Counter<u64>,
    refused: Counter<u64>,
    ready: Gauge<f64>,
    completed: Counter<u64>,
    completed_out: Counter<u64>,
    evictions: Counter<u64>,
    proof_age: Gauge<f64>,
    snapshot_age: Gauge<f64>,
    suppressed: Counter<u64>,
    teams: Names,
    kinds: Names,
}

impl Metrics {
    /// Sets up the metrics of the process `name` of `program`, with a collector if one is given.
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
            .map_err(failure)?;
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
            refused: counter(
                &meter,
                "hyssop.requests.refused",
                "Requests refused before they were routed, by reason",
            ),
            ready: meter
                .f64_gauge("hyssop.ready")
                .with_description("Whether the process serves callers: 1 or 0")
                .build(),
            completed: counter(
                &meter,
                "hyssop.work.completed",
                "Jobs whose result was received, each counted once",
            ),
            completed_out: counter(
                &meter,
                "hyssop.work.completed_domain_out",
                "Jobs whose result was received while a failure domain was out of service",
            ),
            evictions: counter(&meter, "hyssop.evictions", "Evictions by cause"),
            proof_age: gauge(
                &meter,
                "hyssop.proof.age",
                "Age of the proof that the configuration is fresh",
            ),
            snapshot_age: gauge(
                &meter,
                "hyssop.snapshot.age",
                "Age of the newest snapshot of a stream",
            ),
            suppressed: counter(
                &meter,
                "hyssop.log.suppressed",
                "Log lines that were left out",
            ),
            teams: Names::new(MAX_TEAM_LABELS),
            kinds: Names::new(MAX_KIND_LABELS),
            registry,
            provider,
        }
    }

    /// Counts a request and its latency.
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

    /// Counts a job of a kind whose result was received for the first time. `domain_out` tells
    /// whether a failure domain was out of service.
    pub fn record_completed_job(&self, kind: &ServiceName, domain_out: bool) {
        let kind = [KeyValue::new("kind", self.kinds.label(kind.as_str()))];
        self.completed.add(1, &kind);
        if domain_out {
            self.completed_out.add(1, &kind);
        }
    }

    /// Counts evictions of one cause.
    pub fn record_evictions(&self, cause: EvictionCause, count: u64) {
        if count > 0 {
            let cause = KeyValue::new("cause", cause_label(cause));
            self.evictions.add(count, &[cause]);
        }
    }

    /// Counts a request that was refused before it was routed. `reason` is the one of the answer's
    /// header, of which there are only as many as the interface names.
    pub fn record_refusal(&self, reason: &str) {
        let reason = KeyValue::new("reason", StringValue::from(reason.to_owned()));
        self.refused.add(1, &[reason]);
    }

    /// Sets whether the process serves callers.
    pub fn set_ready(&self, ready: bool) {
        self.ready.record(if ready { 1.0 } else { 0.0 }, &[]);
    }

    /// Sets the age of the proof that the configuration is fresh.
    pub fn set_confirmation_age(&self, age: Millis) {
        self.proof_age.record(seconds(age), &[]);
    }

    /// Sets the age of the newest snapshot of a stream. The streams are those of the settings.
    pub fn set_snapshot_age(&self, stream: &str, age: Millis) {
        let stream = KeyValue::new("stream", StringValue::from(stream.to_owned()));
        self.snapshot_age.record(seconds(age), &[stream]);
    }

    /// Counts log lines that were left out.
    pub fn record_suppressed_lines(&self, count: u64) {
        self.suppressed.add(count, &[]);
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
            .map_err(failure)?;
        String::from_utf8(text).map_err(failure)
    }

    /// Sends the last values to the collector. Blocks for up to 2 s, so an asynchronous driver
    /// calls it on a thread for blocking work.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Metrics`] if the collector does not take them.
    pub fn shutdown(&self) -> Result<()> {
        let done = self.provider.shutdown_with_timeout(SHUTDOWN_WAIT);
        done.map_err(failure)
    }
}

/// Adds the export to a collector by OTLP over HTTP, every 60 s on a thread of its own.
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
        .with_timeout(SHUTDOWN_WAIT)
        .build()
        .map_err(failure)?;
    Ok(provider.with_periodic_exporter(exporter))
}

fn latency(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("hyssop.request.latency")
        .with_unit("s")
        .with_description("Time from the receipt of a request to its outcome")
        .with_boundaries(LATENCY_BOUNDS.to_vec())
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

fn failure(error: impl std::fmt::Display) -> Error {
    Error::Metrics(error.to_string())
}
