//! `apply` and `remove`: base versions, differences and conflicts.

use hyssop_core::api::{ApiError, ApplyReply, DocumentReply, ErrorCode, RemoveReply, differences};
use hyssop_core::{EntryName, RecordId, ServiceDoc, ServiceName, Version};
use hyssop_ctl::Exit;

use crate::support::{
    StandInEntry, StandInResponse, document_not_found, document_response, example_document,
    example_path, run_command,
};

const PLANNER: &str = "haugland.planner";

fn previous_document() -> ServiceDoc {
    let mut doc = example_document(PLANNER);
    doc.needs.instances = 8;
    doc
}

fn apply_response(version: u64, dry_run: bool) -> StandInResponse {
    StandInResponse::ok(&ApplyReply {
        service: ServiceName::new("planner").unwrap(),
        version: Version(version),
        has_changed: true,
        dry_run,
        differences: differences(Some(&previous_document()), Some(&example_document(PLANNER))),
    })
}

/// Guards against a change whose base is not the version that was shown to the operator.
#[tokio::test]
async fn base_defaults_to_the_version_in_force() {
    let stand_in =
        StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
            true => document_response(7, previous_document()),
            false => apply_response(9, false),
        })
        .await;
    let output = run_command(&[&stand_in.address], &["apply", &example_path(PLANNER)]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(
        stand_in.request_lines()[1],
        "PUT /v1/documents/planner?base=7&dry_run=false"
    );
    let sent = ServiceDoc::parse(&stand_in.received()[1].body).unwrap();
    assert_eq!(sent, example_document(PLANNER));
    assert!(
        output.stdout.contains("version 7 in force, base 7"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("needs.instances: 8 -> 10"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("planner: version 9 in force"),
        "{output:?}"
    );
}

/// Guards against a wrong base for a new or previously removed document, which would make every
/// apply fail: without a document in force the base is 0.
#[rstest::rstest]
#[case(None)]
#[case(Some(5))]
#[tokio::test]
async fn base_is_zero_without_a_document(#[case] removal_version: Option<u64>) {
    let stand_in =
        StandInEntry::start(
            move |request, _| match request.request_line.starts_with("GET") {
                true => document_not_found(removal_version),
                false => apply_response(9, false),
            },
        )
        .await;
    let output = run_command(&[&stand_in.address], &["apply", &example_path(PLANNER)]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    let expected = "PUT /v1/documents/planner?base=0&dry_run=false";
    assert_eq!(stand_in.request_lines()[1], expected);
}

/// Guards against a removal that is reported as failed, or with the wrong version, after the
/// response to its first attempt was lost.
#[tokio::test]
async fn own_removal_is_recognized_after_an_unknown_outcome() {
    let first = StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
        true => document_response(7, previous_document()),
        false => StandInResponse::code(ErrorCode::Unknown),
    })
    .await;
    let second = StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
        true => document_not_found(Some(9)),
        false => StandInResponse::code(ErrorCode::Conflict),
    })
    .await;
    let entries = [&*first.address, &second.address];
    let output = run_command(&entries, &["remove", "planner"]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert!(output.stdout.contains("removed by version 9"), "{output:?}");
}

/// Guards against a dry run that is sent as a change.
#[tokio::test]
async fn dry_run_is_sent() {
    let stand_in =
        StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
            true => document_response(7, previous_document()),
            false => apply_response(7, true),
        })
        .await;
    let output = run_command(
        &[&stand_in.address],
        &["apply", "--dry-run", &example_path(PLANNER)],
    )
    .await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(
        stand_in.request_lines()[1],
        "PUT /v1/documents/planner?base=7&dry_run=true"
    );
    assert!(
        output.stdout.contains("dry run, would replace version 7"),
        "{output:?}"
    );
}

/// Guards against a needless new version, and its log record, for a document already in force.
#[tokio::test]
async fn unchanged_document_is_not_sent() {
    let stand_in =
        StandInEntry::start(|_, _| document_response(7, example_document(PLANNER))).await;
    let output = run_command(
        &[&stand_in.address],
        &["--json", "apply", &example_path(PLANNER)],
    )
    .await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(stand_in.request_lines(), ["GET /v1/documents/planner"]);
    assert_eq!(output.json()["changed"], false);
    assert_eq!(output.json()["version"], 7);
}

/// Guards against a conflict that is reported without the entry whose change came first.
#[tokio::test]
async fn conflict_names_the_winner() {
    let stand_in =
        StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
            true => document_response(7, previous_document()),
            false => {
                let winner = Some(EntryName::new("entry-b").unwrap());
                StandInResponse::error(&ApiError::conflict(
                    "another change came first",
                    winner,
                    Version(8),
                ))
            }
        })
        .await;
    let file = example_path(PLANNER);
    let output = run_command(&[&stand_in.address], &["apply", "--base", "6", &file]).await;
    assert_eq!(output.exit, Exit::Conflict, "{output:?}");
    assert_eq!(
        stand_in.request_lines()[1],
        "PUT /v1/documents/planner?base=6&dry_run=false"
    );
    assert!(
        output
            .stderr
            .contains("entry-b came first; version 8 is in force"),
        "{output:?}"
    );
    assert!(
        output.stderr.contains("next: see `hyssopctl get planner`"),
        "{output:?}"
    );

    let output = run_command(&[&stand_in.address], &["apply", "--json", &file]).await;
    let error: serde_json::Value = serde_json::from_str(&output.stderr).unwrap();
    assert_eq!(error["error"]["code"], "conflict");
    assert_eq!(error["error"]["winner"], "entry-b");
    assert_eq!(error["exit"], 3);
    assert_eq!(output.stdout, "");
}

/// Guards against an invalid document that is sent, and against an error that does not name the
/// invalid field.
#[tokio::test]
async fn invalid_document_is_not_sent() {
    let stand_in = StandInEntry::start(|_, _| document_not_found(None)).await;
    let text = std::fs::read_to_string(example_path(PLANNER)).unwrap();
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("invalid.toml");
    std::fs::write(&file, text.replace("drain = 30", "drian = 30")).unwrap();
    let output = run_command(&[&stand_in.address], &["apply", file.to_str().unwrap()]).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(output.stderr.contains("drian"), "{output:?}");
    assert!(stand_in.received().is_empty());

    let output = run_command(&[&stand_in.address], &["apply", "/nonexistent.toml"]).await;
    assert_eq!(output.exit, Exit::Usage, "{output:?}");
}

/// Guards against output of `get` that `apply` does not accept.
#[tokio::test]
async fn get_writes_a_document_that_can_be_applied() {
    let stand_in =
        StandInEntry::start(|_, _| document_response(7, example_document(PLANNER))).await;
    let output = run_command(&[&stand_in.address], &["get", "planner"]).await;
    assert!(output.stdout.starts_with("# version 7\n"), "{output:?}");
    assert_eq!(
        ServiceDoc::parse(&output.stdout).unwrap(),
        example_document(PLANNER)
    );
    let output = run_command(&[&stand_in.address], &["get", "planner", "--json"]).await;
    let reply: DocumentReply = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(reply.doc, example_document(PLANNER));
}

/// Guards against the removal of a version other than the one in force when the command started.
#[tokio::test]
async fn remove_sends_the_version_in_force_as_base() {
    let stand_in =
        StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
            true => document_response(7, previous_document()),
            false => StandInResponse::ok(&RemoveReply {
                service: ServiceName::new("planner").unwrap(),
                version: Version(9),
                has_changed: true,
            }),
        })
        .await;
    let output = run_command(&[&stand_in.address], &["remove", "planner"]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(
        stand_in.request_lines()[1],
        "DELETE /v1/documents/planner?base=7"
    );
}

/// Guards against an unknown outcome without the record identifier that finds it in the log, and
/// against the version of a removal being shown as the version in force.
#[tokio::test]
async fn errors_show_the_record_id_and_the_removal() {
    let stand_in =
        StandInEntry::start(|request, _| match request.request_line.starts_with("GET") {
            true => document_not_found(Some(9)),
            false => {
                let error = ApiError::new(ErrorCode::Unknown, "the outcome is unknown");
                StandInResponse::error(&error.with_record(RecordId(0xabc)))
            }
        })
        .await;
    let output = run_command(&[&stand_in.address], &["apply", &example_path(PLANNER)]).await;
    assert_eq!(output.exit, Exit::Unknown, "{output:?}");
    let record = "(record 00000000000000000000000000000abc)";
    assert!(output.stderr.contains(record), "{output:?}");
    let output = run_command(&[&stand_in.address], &["get", "planner"]).await;
    assert!(output.stderr.contains("version 9 removed it"), "{output:?}");
}
