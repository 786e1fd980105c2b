//! Tests of metrics, log lines and the rate limit on repeated messages.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::{
    Class, CompleteResponse, Crash, EvictionCause, Millis, NotRun, Outcome, ServiceName, TeamName,
    Unknown,
};
use hyssop_node::settings::{HttpBase, LogFormat, LogSettings};
use hyssop_node::telemetry::{
    Error, LogLimiter, MAX_KIND_LABELS, MAX_TEAM_LABELS, Metrics, OTHER_LABEL, SuppressedCount,
    encoder, init_logs, message_line,
};
use log::{Level, Record};
use log4rs::encode::writer::simple::SimpleWriter;

fn metrics() -> Metrics {
    Metrics::new("hyssop-entry", "entry-a", None).expect("metrics")
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("team name")
}

fn kind(name: &str) -> ServiceName {
    ServiceName::new(name).expect("kind")
}

fn complete() -> Outcome {
    Outcome::Complete(CompleteResponse::new(200, Vec::new(), Bytes::new()))
}

/// Returns the distinct values of a label of a metric in the Prometheus text format.
fn label_values(text: &str, metric: &str, label: &str) -> BTreeSet<String> {
    let lines = text.lines().filter(|line| line.starts_with(metric));
    let start = format!("{label}=\"");
    lines
        .filter_map(|line| line.split_once(&start))
        .filter_map(|(_, rest)| rest.split_once('"'))
        .map(|(value, _)| value.to_owned())
        .collect()
}

/// Returns the value of the first line that starts with a metric name and has all labels.
fn metric_value(text: &str, metric: &str, labels: &[&str]) -> Option<f64> {
    let mut lines = text.lines().filter(|line| line.starts_with(metric));
    let line = lines.find(|line| labels.iter().all(|label| line.contains(label)))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Guards against team names that make the metrics grow without limit.
#[test]
fn team_labels_are_bounded() {
    let metrics = metrics();
    for n in 0..300 {
        let team = team(&format!("team-{n}"));
        metrics.record_request(&team, Class::Batch, &complete(), Duration::from_millis(3));
    }
    let text = metrics.render().expect("text");
    for metric in [
        "hyssop_requests_total",
        "hyssop_request_latency_seconds_count",
    ] {
        let teams = label_values(&text, metric, "team");
        assert_eq!(teams.len(), MAX_TEAM_LABELS + 1, "{metric}");
        assert!(teams.contains("team-0") && teams.contains(OTHER_LABEL));
        let other = metric_value(&text, metric, &["team=\"other\""]);
        assert_eq!(other, Some(300.0 - MAX_TEAM_LABELS as f64), "{metric}");
    }
    assert!(!text.contains("otel_metric_overflow"));
}

/// Guards against a race by which several threads exceed the limit on team labels together.
#[test]
fn team_labels_are_bounded_across_threads() {
    let metrics = Arc::new(metrics());
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let metrics = Arc::clone(&metrics);
            scope.spawn(move || {
                for n in 0..100 {
                    let team = team(&format!("team-{thread}-{n}"));
                    metrics.record_request(&team, Class::Urgent, &complete(), Duration::ZERO);
                }
            });
        }
    });
    let text = metrics.render().expect("text");
    let teams = label_values(&text, "hyssop_requests_total", "team");
    assert_eq!(teams.len(), MAX_TEAM_LABELS + 1);
}

/// Guards against kinds of jobs that make the metrics grow without limit.
#[test]
fn kind_labels_are_bounded() {
    let metrics = metrics();
    for n in 0..300 {
        metrics.record_completed_job(&kind(&format!("kind-{n}")), n % 2 == 0);
    }
    let text = metrics.render().expect("text");
    let kinds = label_values(&text, "hyssop_work_completed_total", "kind");
    assert_eq!(kinds.len(), MAX_KIND_LABELS + 1);
}

/// Guards against a metric that is missing or counted under a wrong label.
#[test]
fn all_metrics_are_rendered_with_their_labels() {
    let metrics = metrics();
    let haugland = team("haugland");
    let critical = Class::LatencyCritical;
    let not_run = Outcome::NotRun(NotRun::QueueFull);
    let unknown = Outcome::Unknown(Unknown::ConnectionBroken);
    for outcome in [&complete(), &complete(), &not_run, &unknown] {
        metrics.record_request(&haugland, critical, outcome, Duration::from_micros(3_500));
    }
    metrics.record_completed_job(&kind("cut-list"), false);
    metrics.record_completed_job(&kind("cut-list"), true);
    metrics.record_evictions(EvictionCause::Protect, 1);
    metrics.record_evictions(EvictionCause::Other, 1);
    metrics.record_evictions(EvictionCause::Drain, 0);
    metrics.record_worker_crash(Crash::Apart);
    metrics.record_refusal("stopping");
    metrics.set_ready(true);
    metrics.set_confirmation_age(Millis(1_500));
    metrics.set_snapshot_age("config", Millis(60_000));
    metrics.record_suppressed_lines(7);
    let text = metrics.render().expect("text");
    let expected: [(&str, &[&str], f64); 15] = [
        ("hyssop_requests_total", &["outcome=\"complete\""], 2.0),
        ("hyssop_requests_total", &["outcome=\"not-run\""], 1.0),
        ("hyssop_requests_total", &["outcome=\"unknown\""], 1.0),
        (
            "hyssop_request_latency_seconds_bucket",
            &["le=\"0.003\""],
            0.0,
        ),
        (
            "hyssop_request_latency_seconds_bucket",
            &[
                "le=\"0.004\"",
                "team=\"haugland\"",
                "class=\"latency-critical\"",
            ],
            4.0,
        ),
        ("hyssop_work_completed_total", &["kind=\"cut-list\""], 2.0),
        (
            "hyssop_work_completed_domain_out_total",
            &["kind=\"cut-list\""],
            1.0,
        ),
        ("hyssop_evictions_total", &["cause=\"protect\""], 1.0),
        ("hyssop_worker_crashes_total", &["kind=\"apart\""], 1.0),
        ("hyssop_evictions_total", &["cause=\"other\""], 1.0),
        (
            "hyssop_requests_refused_total",
            &["reason=\"stopping\""],
            1.0,
        ),
        ("hyssop_ready", &[], 1.0),
        ("hyssop_proof_age_seconds", &[], 1.5),
        ("hyssop_snapshot_age_seconds", &["stream=\"config\""], 60.0),
        ("hyssop_log_suppressed_total", &[], 7.0),
    ];
    for (metric, labels, number) in expected {
        assert_eq!(
            metric_value(&text, metric, labels),
            Some(number),
            "{metric}\n{text}"
        );
    }
}

/// Accepts one request and returns its first line and the number of bytes of its body.
fn serve_once(listener: &TcpListener) -> std::io::Result<(String, usize)> {
    let (stream, _) = listener.accept()?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    reader
        .get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")?;
    Ok((first, length))
}

/// Guards against an exporter that can't be built or run in an asynchronous process.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_exported_to_a_collector() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let base = HttpBase(listener.local_addr().expect("address"));
    let collector = tokio::task::spawn_blocking(move || serve_once(&listener));
    let metrics = Metrics::new("hyssop-entry", "entry-a", Some(base)).expect("metrics");
    metrics.record_evictions(EvictionCause::Drain, 1);
    let sent = tokio::task::spawn_blocking(move || metrics.shutdown());
    assert_eq!(sent.await.expect("thread"), Ok(()));
    let (first, length) = collector.await.expect("thread").expect("request");
    assert_eq!(first.trim(), "POST /v1/metrics HTTP/1.1");
    assert!(length > 0);
}

/// Guards against a persistent fault that floods the log, and against counts of suppressed messages
/// that are never reported.
#[test]
fn repeated_messages_are_limited() {
    let limiter = LogLimiter::new(2);
    let admit = |at, key| limiter.admit(Millis(at), key);
    assert_eq!(admit(0, "poll"), Some(0));
    assert_eq!(admit(1, "poll"), Some(0));
    assert_eq!(admit(2, "poll"), None);
    assert_eq!(admit(999, "poll"), None);
    assert_eq!(admit(999, "append"), Some(0));
    assert_eq!(admit(1_000, "poll"), Some(2));
    assert_eq!(admit(1_001, "poll"), Some(0));
    assert_eq!(admit(1_002, "poll"), None);
    assert_eq!(limiter.take_suppressed(Millis(1_500)), []);
    let expected = SuppressedCount {
        key: "poll".to_owned(),
        count: 1,
    };
    assert_eq!(limiter.take_suppressed(Millis(2_000)), [expected]);
    assert_eq!(limiter.take_suppressed(Millis(2_000)), []);
}

/// Guards against an unlimited number of keys, which would evade the limit on messages.
#[test]
fn message_keys_are_bounded() {
    let limiter = LogLimiter::new(1);
    let admitted = (0..5_000).filter(|n| limiter.admit(Millis(5), &format!("key-{n}")).is_some());
    assert!(admitted.count() <= 1_025);
    assert!(limiter.admit(Millis(1_005), "new key").is_some());
}

/// Guards against a message that forges a log line, and against lost fields.
#[test]
fn message_is_a_single_line() {
    let fields = [("job", "job-1"), ("cause", "two words"), ("empty", "")];
    let fields: &dyn log::kv::Source = &fields.as_slice();
    let mut record = Record::builder();
    record.level(Level::Warn).target("hyssop_node::settings");
    record.key_values(&fields);
    let record = record.args(format_args!("lost\nforged")).build();
    let line = message_line(&record);
    assert_eq!(
        line,
        "lost\\nforged job=job-1 cause=\"two words\" empty=\"\""
    );

    let mut out = SimpleWriter(Vec::new());
    encoder(LogFormat::Json)
        .encode(&mut out, &record)
        .expect("line");
    let json: serde_json::Value = serde_json::from_slice(&out.0).expect("JSON");
    assert_eq!(json["message"], "lost\nforged");
    assert_eq!(json["attributes"]["job"], "job-1");
    assert_eq!(out.0.iter().filter(|byte| **byte == b'\n').count(), 1);

    let mut out = SimpleWriter(Vec::new());
    encoder(LogFormat::Text)
        .encode(&mut out, &record)
        .expect("line");
    let text = String::from_utf8(out.0).expect("text");
    assert!(text.contains(" WARN  hyssop_node::settings lost"), "{text}");
}

/// Guards against a second logger that silently replaces the first.
#[test]
fn logger_is_installed_once() {
    let settings = LogSettings::default();
    assert_eq!(init_logs(&settings), Ok(()));
    assert_eq!(log::max_level(), settings.level);
    assert!(matches!(init_logs(&settings), Err(Error::Logs(_))));
}
