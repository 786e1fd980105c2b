//! Shared test support: documents, the operators' command line, and waits for fleet state.

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

/// Timeout of each wait. It is far above what a loaded machine needs, because no check depends on
/// timing.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

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

/// Runs `hyssopctl` with the operators' token against a fleet.
pub(crate) struct Ctl {
    entries: String,
}

impl Ctl {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        Self {
            entries: fleet.entry_urls().join(","),
        }
    }

    /// Runs a command with `input` as standard input, and returns its output for any exit code.
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
        // Fails if the command has exited without reading its input.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().unwrap()
    }

    /// Runs a command that must succeed, and returns its standard output.
    pub(crate) fn run_ok(&self, args: &[&str]) -> String {
        expect_code(&self.run(args, ""), 0, args)
    }

    /// Applies a document, which must succeed, and returns the standard output.
    pub(crate) fn apply(&self, document: &str) -> String {
        expect_code(&self.run(&["apply", "--", "-"], document), 0, &["apply"])
    }
}

/// Asserts the exit code of a command and returns its standard output.
pub(crate) fn expect_code(output: &Output, code: i32, args: &[&str]) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(code),
        "{args:?}:\n{stdout}{stderr}"
    );
    stdout
}

/// Waits until every entry lists `documents` documents, `members` backend servers that accept work,
/// and at least one worker in each failure domain.
pub(crate) async fn wait_converged(fleet: &Fleet, documents: usize, members: usize) {
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    for entry_url in fleet.entry_urls() {
        let what =
            format!("{entry_url} knows the documents, the workers and {members} backend servers");
        wait_until(&what, WAIT_TIMEOUT, async || {
            let list: DocumentList = get_json(&operator, &entry_url, "/v1/documents").await?;
            let status: StatusReply = get_json(&operator, &entry_url, "/v1/status").await?;
            let domains: DomainList = get_json(&operator, &entry_url, "/v1/domains").await?;
            let members_up = status.members.iter();
            let members_up = members_up
                .filter(|member| member.state == MemberState::Up)
                .count();
            let has_workers = domains.domains.iter().all(|domain| domain.workers > 0);
            (list.documents.len() == documents && members_up == members && has_workers)
                .then_some(())
        })
        .await
        .unwrap();
    }
}

/// Reads JSON from an entry. Returns `None` if the request fails or the body has another type.
pub(crate) async fn get_json<T: DeserializeOwned>(
    caller: &Caller,
    entry_url: &str,
    path: &str,
) -> Option<T> {
    let response = caller
        .request(Method::GET, entry_url, path)
        .send()
        .await
        .ok()?;
    response.error_for_status().ok()?.json().await.ok()
}
