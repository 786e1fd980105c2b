//! Counters and latency histograms, served as text for Prometheus.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use hyssop_core::Millis;
use prometheus::{
    CounterVec, Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::servers::HttpServer;

/// Port at which every host serves metrics; the deployment files name the same port.
const METRICS_PORT: u16 = 9_464;
/// Upper bounds of the latency buckets in seconds, from a call on the same host to the deadline of
/// callers.
const LATENCY_BUCKETS_S: [f64; 11] = [
    0.001, 0.003, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0,
];

/// Upper bounds of the buckets for waits for a start in seconds, up to the time after which a call counts
/// as lost. Callers allow 3 s, and 6 s for a task that lasts.
const WAIT_BUCKETS_S: [f64; 6] = [0.3, 1.0, 3.0, 6.0, 9.0, 12.0];

/// Metrics of this process.
pub(crate) struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    seconds: HistogramVec,
    state: IntGaugeVec,
    lost: CounterVec,
    crashed_runs: IntCounterVec,
    refused_records: IntCounterVec,
    late_start_waits: HistogramVec,
}

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// Returns the metrics of this process.
pub(crate) fn metrics() -> &'static Metrics {
    &METRICS
}

impl Metrics {
    fn new() -> Self {
        let calls = Opts::new("hyssop_calls_total", "Calls by kind and outcome.");
        let seconds = HistogramOpts::new("hyssop_call_seconds", "Time to the outcome, by kind.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let state = Opts::new(
            "hyssop_state",
            "What the process holds: jobs that have not ended, jobs of which a task could run and \
             nothing has run for 2 s, workers with a session, requests for advice that are not \
             answered, the time of the last one that was and the time that a step has waited for \
             one, in milliseconds, the longest time that a task has waited for a start that may be \
             executed, and the epoch in which it owns the jobs, or 0.",
        );
        let lost = Opts::new(
            "hyssop_job_lost_seconds_total",
            "Time that ended jobs have lost, by queue and cause.",
        );
        let crashed_runs = Opts::new(
            "hyssop_crashed_runs_total",
            "Runs under which their worker has crashed, by queue and what became of the task.",
        );
        let refused_records = Opts::new(
            "hyssop_refused_records_total",
            "Records that the store has refused for good, by kind. They are not stored.",
        );
        let late_start_waits = HistogramOpts::new(
            "hyssop_late_start_wait_seconds",
            "Time for which a task waited for a start that might still have been executed, by cause.",
        )
        .buckets(WAIT_BUCKETS_S.to_vec());
        // Cannot fail: the names and labels are valid constants.
        let metrics = Self {
            registry: Registry::new(),
            calls: IntCounterVec::new(calls, &["call", "outcome"]).expect("counter"),
            seconds: HistogramVec::new(seconds, &["call"]).expect("histogram"),
            state: IntGaugeVec::new(state, &["of"]).expect("gauge"),
            lost: CounterVec::new(lost, &["queue", "cause"]).expect("counter"),
            crashed_runs: IntCounterVec::new(crashed_runs, &["queue", "task"]).expect("counter"),
            refused_records: IntCounterVec::new(refused_records, &["record"]).expect("counter"),
            late_start_waits: HistogramVec::new(late_start_waits, &["cause"]).expect("histogram"),
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 7] = [
            Box::new(metrics.calls.clone()),
            Box::new(metrics.seconds.clone()),
            Box::new(metrics.state.clone()),
            Box::new(metrics.lost.clone()),
            Box::new(metrics.crashed_runs.clone()),
            Box::new(metrics.refused_records.clone()),
            Box::new(metrics.late_start_waits.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector).expect("collector");
        }
        metrics
    }

    /// Records the outcome and the duration of a call.
    pub(crate) fn record_call(&self, call: &str, outcome: &str, time: Duration) {
        self.calls.with_label_values(&[call, outcome]).inc();
        let seconds = self.seconds.with_label_values(&[call]);
        seconds.observe(time.as_secs_f64());
    }

    /// Counts time that a job of a queue has lost.
    pub(crate) fn count_lost(&self, queue: &str, cause: &str, time: Millis) {
        let counter = self.lost.with_label_values(&[queue, cause]);
        counter.inc_by(time.0 as f64 / 1_000.0);
    }

    /// Counts a run of a queue's job under which its worker has crashed.
    pub(crate) fn count_crashed_run(&self, queue: &str, is_given_up: bool) {
        let task = if is_given_up { "given_up" } else { "retried" };
        self.crashed_runs.with_label_values(&[queue, task]).inc();
    }

    /// Counts a wait of a task for a start that might still have been executed.
    pub(crate) fn record_late_start_wait(&self, cause: &str, time: Millis) {
        let waits = self.late_start_waits.with_label_values(&[cause]);
        waits.observe(time.0 as f64 / 1_000.0);
    }

    /// Counts a record that the store has refused for good.
    pub(crate) fn count_refused_record(&self, kind: &str) {
        self.refused_records.with_label_values(&[kind]).inc();
    }

    /// Sets the state gauge with the label `of`.
    pub(crate) fn set_gauge(&self, of: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[of]).set(value);
    }

    fn render(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Returns the label for the outcome of a call that may fail.
pub(crate) const fn outcome_label<T, E>(result: &Result<T, E>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(_) => "failed",
    }
}

struct MetricsHandler;

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match metrics().render() {
            Ok(text) => {
                let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
                res.headers_mut().insert(CONTENT_TYPE, content_type);
                res.body(text);
            }
            Err(error) => {
                log::error!("metrics cannot be rendered: {error}");
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

/// Serves the metrics on the host's address. If this fails, the process runs without metrics.
pub(crate) fn serve(host: SocketAddr) -> Option<HttpServer> {
    let address = SocketAddr::new(host.ip(), METRICS_PORT);
    match HttpServer::start(address, MetricsHandler) {
        Ok(server) => Some(server),
        Err(error) => {
            log::warn!(address:% = address; "metrics server not started: {error}");
            None
        }
    }
}
