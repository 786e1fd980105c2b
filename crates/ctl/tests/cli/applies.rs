//! Apply and remove: base version, difference and conflicts.

use hyssop_core::api::{ApiError, ApplyReply, DocumentReply, ErrorCode, RemoveReply, differences};
use hyssop_core::{EntryName, RecordId, ServiceDoc, ServiceName, Version};
use hyssop_ctl::Exit;

use crate::support::{Answer, Fake, document, example, in_force, missing, run};

const PLANNER: &str = "haugland.planner";

fn older() -> ServiceDoc {
    let mut doc = document(PLANNER);
    doc.needs.instances = 8;
    doc
}

fn accepted(version: u64, dry_run: bool) -> Answer {
    Answer::ok(&ApplyReply {
        service: ServiceName::new("planner").unwrap(),
        version: Version(version),
        has_changed: true,
        dry_run,
        differences: differences(Some(&older()), Some(&document(PLANNER))),
    })
}

/// Guards against a change that is made on another base than the one shown to the operator.
#[tokio::test]
async fn base_is_the_version_in_force() {
    let fake = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => in_force(7, older()),
        false => accepted(9, false),
    })
    .await;
    let ran = run(&[&fake.address], &["apply", &example(PLANNER)]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(
        fake.lines()[1],
        "PUT /v1/documents/planner?base=7&dry_run=false"
    );
    let sent = ServiceDoc::parse(&fake.seen()[1].body).unwrap();
    assert_eq!(sent, document(PLANNER));
    assert!(ran.out.contains("version 7 in force, base 7"), "{ran:?}");
    assert!(ran.out.contains("needs.instances: 8 -> 10"), "{ran:?}");
    assert!(ran.out.contains("planner: version 9 in force"), "{ran:?}");
}

/// Guards against a new document, or one that was removed, that cannot be applied because its
/// base is wrong: without a document in force the base is 0, whatever was removed before.
#[rstest::rstest]
#[case(None)]
#[case(Some(5))]
#[tokio::test]
async fn base_without_document(#[case] removal: Option<u64>) {
    let fake = Fake::start(move |seen, _| match seen.line.starts_with("GET") {
        true => missing(removal),
        false => accepted(9, false),
    })
    .await;
    let ran = run(&[&fake.address], &["apply", &example(PLANNER)]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    let expected = "PUT /v1/documents/planner?base=0&dry_run=false";
    assert_eq!(fake.lines()[1], expected);
}

/// Guards against a removal that is reported as failed, or under the wrong version, after its
/// answer was lost.
#[tokio::test]
async fn own_removal_is_recognized_after_an_unclear_try() {
    let first = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => in_force(7, older()),
        false => Answer::code(ErrorCode::Unknown),
    })
    .await;
    let second = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => missing(Some(9)),
        false => Answer::code(ErrorCode::Conflict),
    })
    .await;
    let entries = [&*first.address, &second.address];
    let ran = run(&entries, &["remove", "planner"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert!(ran.out.contains("removed by version 9"), "{ran:?}");
}

/// Guards against a dry run that changes something.
#[tokio::test]
async fn dry_run_is_passed_on() {
    let fake = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => in_force(7, older()),
        false => accepted(7, true),
    })
    .await;
    let ran = run(&[&fake.address], &["apply", "--dry-run", &example(PLANNER)]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(
        fake.lines()[1],
        "PUT /v1/documents/planner?base=7&dry_run=true"
    );
    assert!(
        ran.out.contains("dry run, would replace version 7"),
        "{ran:?}"
    );
}

/// Guards against a new version, and a record in the log, for a document that is in force already.
#[tokio::test]
async fn unchanged_document_is_not_sent() {
    let fake = Fake::start(|_, _| in_force(7, document(PLANNER))).await;
    let ran = run(&[&fake.address], &["--json", "apply", &example(PLANNER)]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(fake.lines(), ["GET /v1/documents/planner"]);
    assert_eq!(ran.json()["changed"], false);
    assert_eq!(ran.json()["version"], 7);
}

/// Guards against a lost race that is reported without its winner.
#[tokio::test]
async fn conflict_names_the_winner() {
    let fake = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => in_force(7, older()),
        false => {
            let winner = Some(EntryName::new("entry-b").unwrap());
            Answer::error(&ApiError::conflict(
                "another change came first",
                winner,
                Version(8),
            ))
        }
    })
    .await;
    let file = example(PLANNER);
    let ran = run(&[&fake.address], &["apply", "--base", "6", &file]).await;
    assert_eq!(ran.exit, Exit::Conflict, "{ran:?}");
    assert_eq!(
        fake.lines()[1],
        "PUT /v1/documents/planner?base=6&dry_run=false"
    );
    assert!(
        ran.err
            .contains("entry-b came first; version 8 is in force"),
        "{ran:?}"
    );
    assert!(
        ran.err.contains("next: see `hyssopctl get planner`"),
        "{ran:?}"
    );

    let ran = run(&[&fake.address], &["apply", "--json", &file]).await;
    let error: serde_json::Value = serde_json::from_str(&ran.err).unwrap();
    assert_eq!(error["error"]["code"], "conflict");
    assert_eq!(error["error"]["winner"], "entry-b");
    assert_eq!(error["exit"], 3);
    assert_eq!(ran.out, "");
}

/// Guards against a document that is sent although it cannot be read, and an error that does not
/// name the field.
#[tokio::test]
async fn invalid_document_is_not_sent() {
    let fake = Fake::start(|_, _| missing(None)).await;
    let text = std::fs::read_to_string(example(PLANNER)).unwrap();
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("invalid.toml");
    std::fs::write(&file, text.replace("drain = 30", "drian = 30")).unwrap();
    let ran = run(&[&fake.address], &["apply", file.to_str().unwrap()]).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("drian"), "{ran:?}");
    assert!(fake.seen().is_empty());

    let ran = run(&[&fake.address], &["apply", "/nonexistent.toml"]).await;
    assert_eq!(ran.exit, Exit::Usage, "{ran:?}");
}

/// Guards against a document that does not survive get, edit and apply.
#[tokio::test]
async fn get_writes_a_document_that_can_be_applied() {
    let fake = Fake::start(|_, _| in_force(7, document(PLANNER))).await;
    let ran = run(&[&fake.address], &["get", "planner"]).await;
    assert!(ran.out.starts_with("# version 7\n"), "{ran:?}");
    assert_eq!(ServiceDoc::parse(&ran.out).unwrap(), document(PLANNER));
    let ran = run(&[&fake.address], &["get", "planner", "--json"]).await;
    let reply: DocumentReply = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(reply.doc, document(PLANNER));
}

/// Guards against the removal of a version that the operator has not seen.
#[tokio::test]
async fn remove_names_its_base() {
    let fake = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => in_force(7, older()),
        false => Answer::ok(&RemoveReply {
            service: ServiceName::new("planner").unwrap(),
            version: Version(9),
            has_changed: true,
        }),
    })
    .await;
    let ran = run(&[&fake.address], &["remove", "planner"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(fake.lines()[1], "DELETE /v1/documents/planner?base=7");
}

/// Guards against an unknown outcome that cannot be looked up in the log, and against the version
/// of a removal that is shown as one in force.
#[tokio::test]
async fn errors_show_the_record_and_the_removal() {
    let fake = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => missing(Some(9)),
        false => {
            let error = ApiError::new(ErrorCode::Unknown, "the outcome is unknown");
            Answer::error(&error.with_record(RecordId(0xabc)))
        }
    })
    .await;
    let ran = run(&[&fake.address], &["apply", &example(PLANNER)]).await;
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    let record = "(record 00000000000000000000000000000abc)";
    assert!(ran.err.contains(record), "{ran:?}");
    let ran = run(&[&fake.address], &["get", "planner"]).await;
    assert!(ran.err.contains("version 9 removed it"), "{ran:?}");
}
