//! What the tests share: documents, the operators' command line, and checks of ledgers.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use hyssop_core::MemberState;
use hyssop_core::api::{DocumentList, DomainList, StatusReply};
use hyssop_demo::callers::Caller;
use hyssop_demo::processes::{Fleet, OPERATOR_TOKEN, TEAM, program};
use hyssop_demo::waits::wait_until;
use reqwest::Method;
use serde::de::DeserializeOwned;

/// Limit of every wait: far above what a loaded machine needs, because no verdict depends on it.
pub(crate) const LIMIT: Duration = Duration::from_secs(120);

/// Document of the latency-critical service.
pub(crate) const PLANNER: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a", "bergen-b", "forde"]
idempotent = ["/free-dates"]

[needs]
instances = 3
resources = { cpu = 2000, mem = 2048 }

[moves]
away = 2
drain = 5

[limits]
slots = 8
connections = 64
inflight = 256
deadline = 5000
"#;

/// Document of the batch service.
pub(crate) const CUT_LISTS: &str = r#"
service = "cut-lists"
team = "haugland"
class = "batch"
domains = ["bergen-a", "bergen-b", "forde"]

[needs]
resources = { cpu = 2000, mem = 4096 }

[moves]
movable = true
pause = 60
"#;

/// The operators' command line.
pub(crate) struct Ctl {
    entries: String,
}

impl Ctl {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        Self {
            entries: fleet.entry_urls().join(","),
        }
    }

    /// Runs a command and returns its output, whatever its exit code.
    pub(crate) fn run(&self, args: &[&str], input: &str) -> Output {
        let mut child = Command::new(program("hyssopctl").unwrap())
            .args(args)
            .env("HYSSOP_ENTRY", &self.entries)
            .env("HYSSOP_TOKEN", OPERATOR_TOKEN)
            .env("HYSSOP_TEAM", TEAM)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A command that does not read its input may have ended already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().unwrap()
    }

    /// Runs a command that has to succeed, and returns its standard output.
    pub(crate) fn ok(&self, args: &[&str]) -> String {
        expect(&self.run(args, ""), 0, args)
    }

    /// Applies a document.
    pub(crate) fn apply(&self, document: &str) -> String {
        expect(&self.run(&["apply", "--", "-"], document), 0, &["apply"])
    }
}

/// Checks an exit code and returns the standard output.
pub(crate) fn expect(output: &Output, code: i32, args: &[&str]) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(code),
        "{args:?}:\n{stdout}{stderr}"
    );
    stdout
}

/// Waits until every entry has `documents` documents in force, knows `members` backend servers that
/// take work, and knows a worker in each domain.
pub(crate) async fn settled(fleet: &Fleet, documents: usize, members: usize) {
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    for base in fleet.entry_urls() {
        let what = format!("{base} knows the documents, the workers and {members} backend servers");
        wait_until(&what, LIMIT, async || {
            let list: DocumentList = get(&operator, &base, "/v1/documents").await?;
            let status: StatusReply = get(&operator, &base, "/v1/status").await?;
            let domains: DomainList = get(&operator, &base, "/v1/domains").await?;
            let up = status.members.iter();
            let up = up.filter(|member| member.state == MemberState::Up).count();
            let workers = domains.domains.iter().all(|domain| domain.workers > 0);
            (list.documents.len() == documents && up == members && workers).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Reads JSON from an entry; `None` if it is not answered.
pub(crate) async fn get<T: DeserializeOwned>(caller: &Caller, base: &str, path: &str) -> Option<T> {
    let response = caller.request(Method::GET, base, path).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}
