//! Log lines of the entry.

use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock};

use hyssop_core::JobStatus;
use hyssop_core::api::{DomainChange, DomainReply};
use hyssop_core::{DomainState, Version};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, OPERATOR_TOKEN, OTHER_TOKEN, TEAM_TOKEN, until};
use super::restarts::submit;

/// A line with its fields.
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

/// Keeps the lines of all tests of this process.
#[derive(Default)]
struct Lines(Mutex<Vec<Line>>);

impl Log for Lines {
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

fn lines() -> &'static Lines {
    static LINES: OnceLock<Lines> = OnceLock::new();
    let lines = LINES.get_or_init(Lines::default);
    // Installed by whichever call comes first.
    if log::set_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Debug);
    }
    lines
}

fn find(text: &str, field: &str, value: &str) -> Option<Line> {
    let lines = lines().0.lock().unwrap();
    let fits = |line: &&Line| {
        let has = line.fields.get(field).is_some_and(|found| found == value);
        line.text.starts_with(text) && has
    };
    lines.iter().find(fits).cloned()
}

/// A decision that a person would look for must be found in the log by its fields, and no line
/// may show a token.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_are_logged_without_secrets() {
    lines();
    let mut fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.owned(0).await;
    fleet.start_backend("cut-lists", "forde").await;
    fleet.members(0, 1).await;
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
        let line = find("job cancelled", "job", job.id.as_str()).expect("a line of the job");
        assert!(line.fields.contains_key("cell") && line.fields.contains_key("term"));
    }
    for (text, field, value) in [
        ("claims the cell", "cell", "forde/0"),
        ("domain set to Out", "domain", "forde"),
        ("conflict", "what", "domain forde"),
    ] {
        assert!(find(text, field, value).is_some(), "{text}");
    }
    until("the agent has appeared", || async {
        find("agent appears", "service", "cut-lists")
    })
    .await;
    fleet.agents.clear();
    until("the agent has expired", || async {
        find("agent expires", "service", "cut-lists")
    })
    .await;
    let lines = lines().0.lock().unwrap();
    for line in lines.iter() {
        let shown = format!("{line:?}");
        for secret in [TEAM_TOKEN, OTHER_TOKEN, OPERATOR_TOKEN] {
            assert!(!shown.contains(secret), "{shown}");
        }
    }
}
