//! Tests of the entry's log lines.

use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock};

use hyssop_core::JobStatus;
use hyssop_core::api::{DomainChange, DomainReply};
use hyssop_core::{DomainState, JobPhase, Millis, Version};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, OPERATOR_TOKEN, OTHER_TOKEN, TEAM_TOKEN, wait_for};
use super::jobs::cut_list_job;
use super::restarts::submit;

/// A log line with its key-value fields.
#[derive(Clone, Debug)]
struct Line {
    text: String,
    fields: BTreeMap<String, String>,
}

struct Fields<'a>(&'a mut BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Logger that collects the lines of all tests of this process.
#[derive(Default)]
struct CapturedLines(Mutex<Vec<Line>>);

impl Log for CapturedLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("hyssop")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = BTreeMap::new();
        record.key_values().visit(&mut Fields(&mut fields)).unwrap();
        let text = record.args().to_string();
        self.0.lock().unwrap().push(Line { text, fields });
    }

    fn flush(&self) {}
}

fn captured_lines() -> &'static CapturedLines {
    static LINES: OnceLock<CapturedLines> = OnceLock::new();
    let lines = LINES.get_or_init(CapturedLines::default);
    // Only the first call installs the logger.
    if log::set_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Debug);
    }
    lines
}

fn find_line(text: &str, field: &str, value: &str) -> Option<Line> {
    let lines = captured_lines().0.lock().unwrap();
    let matches = |line: &&Line| {
        let has_field = line.fields.get(field).is_some_and(|found| found == value);
        line.text.starts_with(text) && has_field
    };
    lines.iter().find(matches).cloned()
}

/// Guards against decisions that operators cannot find in the log by their fields, and against
/// tokens in log lines.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_are_logged_without_secrets() {
    captured_lines();
    let mut fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    fleet.start_backend("cut-lists", "forde").await;
    fleet.wait_for_members(0, 1).await;
    let job = submit(&fleet, 0, "order-of-the-log-test").await;
    let path = format!("/v1/jobs/{}", job.id);
    let request = fleet.request(0, Method::DELETE, &path, TEAM_TOKEN);
    request.send().await.unwrap();
    let stopped: JobStatus = fleet.get(0, &path).await;
    let out = DomainChange {
        state: DomainState::Out,
        base: Version(0),
        force: false,
        dry_run: false,
    };
    let path = "/v1/domains/forde";
    let changed = fleet.send::<DomainReply>(0, Method::PUT, path, OPERATOR_TOKEN, &out);
    changed.await.unwrap();
    let back = DomainChange {
        state: DomainState::In,
        ..out
    };
    let stale = fleet.send::<DomainReply>(0, Method::PUT, path, OPERATOR_TOKEN, &back);
    stale.await.unwrap_err();
    if stopped.phase == hyssop_core::JobPhase::Cancelled {
        let line = find_line("job cancelled", "job", job.id.as_str()).expect("a line of the job");
        assert!(line.fields.contains_key("cell") && line.fields.contains_key("term"));
    }
    for (text, field, value) in [
        ("claims the cell", "cell", "forde/0"),
        ("domain set to Out", "domain", "forde"),
        ("conflict", "what", "domain forde"),
    ] {
        assert!(find_line(text, field, value).is_some(), "{text}");
    }
    wait_for("the agent has appeared", || async {
        find_line("agent appears", "service", "cut-lists")
    })
    .await;
    fleet.agents.clear();
    wait_for("the agent has expired", || async {
        find_line("agent expires", "service", "cut-lists")
    })
    .await;
    let lines = captured_lines().0.lock().unwrap();
    for line in lines.iter() {
        let text = format!("{line:?}");
        for secret in [TEAM_TOKEN, OTHER_TOKEN, OPERATOR_TOKEN] {
            assert!(!text.contains(secret), "{text}");
        }
    }
}

/// Guards against a worker that does not return and whose runs are not counted as crashed, because
/// refused connections look like any other failure of a poll.
#[tokio::test(flavor = "multi_thread")]
async fn runs_of_a_worker_that_refuses_connections_count_as_crashed() {
    captured_lines();
    let mut fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    let mut spec = cut_list_job("job-of-the-crash-test");
    spec.work = Millis(3_600_000);
    let job = wait_for("the job is accepted", || async {
        let sent = fleet.send::<JobStatus>(0, Method::POST, "/v1/jobs", TEAM_TOKEN, &spec);
        sent.await.ok()
    })
    .await;
    let path = format!("/v1/jobs/{}", job.id);
    let worker = wait_for("the job runs", || async {
        let status: JobStatus = fleet.try_get(0, &path).await?;
        let worker = status
            .worker
            .filter(|_| status.phase == JobPhase::Running)?;
        let ledger = fleet.workers[&worker].ledger();
        let mut entries = ledger.entries.iter();
        entries.any(|entry| entry.job == job.id).then_some(worker)
    })
    .await;
    drop(fleet.workers.remove(&worker));
    let line = wait_for("the crash is logged", || async {
        find_line("worker crashed under an attempt", "job", job.id.as_str())
    })
    .await;
    assert_eq!(line.fields["crash"], "shared");
}
