//! Failover between entries: which calls are repeated, and how the outcome is reported.

use hyssop_core::api::{ApplyReply, ErrorCode, TicketsReply};
use hyssop_core::{
    Attempt, Class, JobId, JobPhase, JobStatus, Millis, ServiceDoc, ServiceName, TeamName, Version,
};
use hyssop_ctl::{Env, Exit};
use rstest::rstest;

use crate::support::{
    ReceivedRequest, StandInEntry, StandInResponse, document_not_found, document_response,
    example_document, example_path, run_command, run_with_env, start_disconnecting_entry,
    unreachable_entry,
};

const SUBMIT: [&str; 10] = [
    "submit",
    "cut-lists",
    "--key",
    "roll-17",
    "--cpu",
    "2000",
    "--mem",
    "4096",
    "--work",
    "500",
];

fn job_status() -> JobStatus {
    let team = TeamName::new("haugland").unwrap();
    JobStatus {
        id: JobId::derive(&team, "roll-17"),
        team,
        service: ServiceName::new("cut-lists").unwrap(),
        kind: ServiceName::new("cut-lists").unwrap(),
        class: Class::Batch,
        phase: JobPhase::Pending,
        attempt: Attempt(0),
        worker: None,
        evictions: 0,
        history: Vec::new(),
    }
}

fn tickets_response(_: &ReceivedRequest, _: usize) -> StandInResponse {
    StandInResponse::ok(&TicketsReply {
        service: ServiceName::new("planner").unwrap(),
        tickets: vec!["0000000000000001-0000000000000002".to_owned()],
        ttl: Millis(60_000),
    })
}

/// Guards against a command that fails because one entry is unreachable, whether the entries come
/// from the environment or from options.
#[tokio::test]
async fn unreachable_entry_is_skipped() {
    let stand_in = StandInEntry::start(|_, _| StandInResponse::ok(&job_status())).await;
    let unreachable = unreachable_entry();
    let output = run_command(&[&unreachable.address, &stand_in.address], &SUBMIT).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");

    let mut args = vec![
        "--entry",
        &unreachable.address,
        "--entry",
        &stand_in.address,
    ];
    args.extend(SUBMIT);
    let output = run_with_env(Env::default(), &args).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
}

/// Guards against a duplicate job when the outcome of the first attempt is unknown: the repeated
/// request must carry the same key.
#[tokio::test]
async fn submission_of_unknown_outcome_is_repeated_with_its_key() {
    let first = StandInEntry::start(|_, _| StandInResponse::code(ErrorCode::Unknown)).await;
    let second = StandInEntry::start(|_, _| StandInResponse::ok(&job_status())).await;
    let output = run_command(&[&first.address, &second.address], &SUBMIT).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(first.received()[0].body, second.received()[0].body);
    assert!(second.received()[0].body.contains(r#""key":"roll-17""#));
}

/// Guards against a non-idempotent call that is repeated after an attempt of unknown outcome.
#[tokio::test]
async fn ticket_request_of_unknown_outcome_is_not_repeated() {
    let second = StandInEntry::start(tickets_response).await;
    let output = run_command(
        &[&start_disconnecting_entry().await, &second.address],
        &["ticket", "planner"],
    )
    .await;
    assert_eq!(output.exit, Exit::Unknown, "{output:?}");
    assert!(second.received().is_empty());
}

/// Guards against a call that is not repeated at the next entry although no attempt was executed.
#[tokio::test]
async fn ticket_request_that_was_not_executed_is_repeated() {
    let refusing = StandInEntry::start(|_, _| StandInResponse::code(ErrorCode::NotRun)).await;
    let second = StandInEntry::start(tickets_response).await;
    let unreachable = unreachable_entry();
    let entries = [&*unreachable.address, &refusing.address, &second.address];
    let output = run_command(&entries, &["ticket", "planner"]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(output.stdout, "0000000000000001-0000000000000002\n");
}

fn document_of_another_operator() -> ServiceDoc {
    let mut doc = example_document("haugland.planner");
    doc.needs.instances = 3;
    doc
}

/// Guards against the command's own change being reported as another operator's: the first entry
/// applied the change but its response was lost, so the repeated call conflicts at the second.
#[rstest]
#[case(true, Exit::Ok)]
#[case(false, Exit::Conflict)]
#[tokio::test]
async fn conflict_after_an_unknown_outcome(#[case] is_own_change: bool, #[case] exit: Exit) {
    let first = StandInEntry::start(|_, index| match index {
        0 => document_not_found(None),
        _ => StandInResponse::code(ErrorCode::Unknown),
    })
    .await;
    let second = StandInEntry::start(move |request, _| {
        match (request.request_line.starts_with("GET"), is_own_change) {
            (true, true) => document_response(4, example_document("haugland.planner")),
            (true, false) => document_response(4, document_of_another_operator()),
            (false, _) => StandInResponse::code(ErrorCode::Conflict),
        }
    })
    .await;
    let entries = [&*first.address, &second.address];
    let output = run_command(&entries, &["apply", &example_path("haugland.planner")]).await;
    assert_eq!(output.exit, exit, "{output:?}");
    let put = "PUT /v1/documents/planner?base=0&dry_run=false";
    assert_eq!(second.request_lines(), [put, "GET /v1/documents/planner"]);
    assert_eq!(
        output.stdout.contains("planner: version 4 in force"),
        is_own_change,
        "{output:?}"
    );
}

/// Guards against a change that may be in force but is reported as refused or not reachable.
#[tokio::test]
async fn unconfirmed_change_is_reported_as_unknown() {
    let first = StandInEntry::start(|_, index| match index {
        0 => document_not_found(None),
        _ => StandInResponse::code(ErrorCode::Unknown),
    })
    .await;
    let refusing = StandInEntry::start(|_, _| StandInResponse::code(ErrorCode::NotRun)).await;
    let unreachable = unreachable_entry();
    let entries = [&*first.address, &unreachable.address, &refusing.address];
    let output = run_command(&entries, &["apply", &example_path("haugland.planner")]).await;
    assert_eq!(output.exit, Exit::Unknown, "{output:?}");
    assert!(
        output.stderr.contains("`hyssopctl get planner`"),
        "{output:?}"
    );
}

/// Guards against a failed read that is reported as a change of unknown outcome.
#[tokio::test]
async fn failed_read_is_reported_as_not_reachable() {
    let unreachable = unreachable_entry();
    let entries = [&*start_disconnecting_entry().await, &unreachable.address];
    let output = run_command(&entries, &["list"]).await;
    assert_eq!(output.exit, Exit::NotReachable, "{output:?}");
    for entry in entries {
        assert!(output.stderr.contains(entry), "{output:?}");
    }
}

/// Guards against a client that starts at a failing entry again for every call of a command.
#[tokio::test]
async fn later_calls_stay_with_the_entry_that_answered() {
    let first = StandInEntry::start(|_, _| StandInResponse::code(ErrorCode::NotRun)).await;
    let second = StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
        true => document_not_found(None),
        false => StandInResponse::ok(&ApplyReply {
            service: ServiceName::new("planner").unwrap(),
            version: Version(1),
            has_changed: true,
            dry_run: false,
            differences: Vec::new(),
        }),
    })
    .await;
    let entries = [&*first.address, &second.address];
    let output = run_command(&entries, &["apply", &example_path("haugland.planner")]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(first.request_lines(), ["GET /v1/documents/planner"]);
    assert_eq!(second.request_lines().len(), 2);
}
