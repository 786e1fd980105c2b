//! Failover between entries: what is repeated, and how the outcome is reported.

use hyssop_core::api::{ApplyReply, ErrorCode, TicketsReply};
use hyssop_core::{
    Attempt, Class, JobId, JobPhase, JobStatus, Millis, ServiceDoc, ServiceName, TeamName, Version,
};
use hyssop_ctl::{Env, Exit};
use rstest::rstest;

use crate::support::{
    Answer, Fake, Seen, broken, dead, document, example, in_force, missing, run, run_env,
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

fn job() -> JobStatus {
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

fn tickets(_: &Seen, _: usize) -> Answer {
    Answer::ok(&TicketsReply {
        service: ServiceName::new("planner").unwrap(),
        tickets: vec!["0000000000000001-0000000000000002".to_owned()],
        ttl: Millis(60_000),
    })
}

/// Guards against a command that fails because one entry is gone, however the entries are named.
#[tokio::test]
async fn next_entry_answers_for_a_dead_one() {
    let fake = Fake::start(|_, _| Answer::ok(&job())).await;
    let dead = dead();
    let ran = run(&[&dead.address, &fake.address], &SUBMIT).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");

    let mut args = vec!["--entry", &dead.address, "--entry", &fake.address];
    args.extend(SUBMIT);
    let ran = run_env(Env::default(), &args).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
}

/// Guards against a second job when the first try has no clear answer: the repeat must carry the
/// same key.
#[tokio::test]
async fn unclear_submission_is_repeated_with_its_key() {
    let first = Fake::start(|_, _| Answer::code(ErrorCode::Unknown)).await;
    let second = Fake::start(|_, _| Answer::ok(&job())).await;
    let ran = run(&[&first.address, &second.address], &SUBMIT).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(first.seen()[0].body, second.seen()[0].body);
    assert!(second.seen()[0].body.contains(r#""key":"roll-17""#));
}

/// Guards against a call that takes effect each time and is repeated after an unclear try.
#[tokio::test]
async fn unclear_issue_of_tickets_is_not_repeated() {
    let second = Fake::start(tickets).await;
    let ran = run(&[&broken().await, &second.address], &["ticket", "planner"]).await;
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(second.seen().is_empty());
}

/// Guards against a call that is not repeated although it certainly did not run.
#[tokio::test]
async fn issue_of_tickets_that_did_not_run_is_repeated() {
    let refusing = Fake::start(|_, _| Answer::code(ErrorCode::NotRun)).await;
    let second = Fake::start(tickets).await;
    let dead = dead();
    let entries = [&*dead.address, &refusing.address, &second.address];
    let ran = run(&entries, &["ticket", "planner"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(ran.out, "0000000000000001-0000000000000002\n");
}

fn changed_by_other() -> ServiceDoc {
    let mut doc = document("haugland.planner");
    doc.needs.instances = 3;
    doc
}

/// Guards against the command's own change being reported as another operator's: the first entry
/// carried the change out and its answer was lost, so the repeat at the second one conflicts.
#[rstest]
#[case(true, Exit::Ok)]
#[case(false, Exit::Conflict)]
#[tokio::test]
async fn conflict_after_unclear_try(#[case] own: bool, #[case] exit: Exit) {
    let first = Fake::start(|_, before| match before {
        0 => missing(None),
        _ => Answer::code(ErrorCode::Unknown),
    })
    .await;
    let second = Fake::start(move |seen, _| match (seen.line.starts_with("GET"), own) {
        (true, true) => in_force(4, document("haugland.planner")),
        (true, false) => in_force(4, changed_by_other()),
        (false, _) => Answer::code(ErrorCode::Conflict),
    })
    .await;
    let entries = [&*first.address, &second.address];
    let ran = run(&entries, &["apply", &example("haugland.planner")]).await;
    assert_eq!(ran.exit, exit, "{ran:?}");
    let put = "PUT /v1/documents/planner?base=0&dry_run=false";
    assert_eq!(second.lines(), [put, "GET /v1/documents/planner"]);
    assert_eq!(
        ran.out.contains("planner: version 4 in force"),
        own,
        "{ran:?}"
    );
}

/// Guards against a change that may be in force and is reported as refused or not reachable.
#[tokio::test]
async fn unclear_change_without_answer_is_unknown() {
    let first = Fake::start(|_, before| match before {
        0 => missing(None),
        _ => Answer::code(ErrorCode::Unknown),
    })
    .await;
    let refusing = Fake::start(|_, _| Answer::code(ErrorCode::NotRun)).await;
    let dead = dead();
    let entries = [&*first.address, &dead.address, &refusing.address];
    let ran = run(&entries, &["apply", &example("haugland.planner")]).await;
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(ran.err.contains("`hyssopctl get planner`"), "{ran:?}");
}

/// Guards against a read without answer that is reported as a change of unknown outcome.
#[tokio::test]
async fn read_without_answer_is_not_reachable() {
    let dead = dead();
    let entries = [&*broken().await, &dead.address];
    let ran = run(&entries, &["list"]).await;
    assert_eq!(ran.exit, Exit::NotReachable, "{ran:?}");
    for entry in entries {
        assert!(ran.err.contains(entry), "{ran:?}");
    }
}

/// Guards against a client that goes back to a dead entry for every call of a command.
#[tokio::test]
async fn later_calls_stay_with_the_entry_that_answered() {
    let first = Fake::start(|_, _| Answer::code(ErrorCode::NotRun)).await;
    let second = Fake::start(|seen, _| match seen.line.starts_with("GET") {
        true => missing(None),
        false => Answer::ok(&ApplyReply {
            service: ServiceName::new("planner").unwrap(),
            version: Version(1),
            has_changed: true,
            dry_run: false,
            differences: Vec::new(),
        }),
    })
    .await;
    let entries = [&*first.address, &second.address];
    let ran = run(&entries, &["apply", &example("haugland.planner")]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(first.lines(), ["GET /v1/documents/planner"]);
    assert_eq!(second.lines().len(), 2);
}
