//! Exit codes and help.

use std::process::Command;

use hyssop_core::api::ErrorCode;
use hyssop_ctl::{Env, Exit};
use rstest::rstest;

use crate::support::{Answer, Fake, run, run_env};

/// Guards against a script that takes one kind of failure for another.
#[rstest]
#[case(ErrorCode::Malformed, Exit::Refused)]
#[case(ErrorCode::Unauthenticated, Exit::Refused)]
#[case(ErrorCode::Forbidden, Exit::Refused)]
#[case(ErrorCode::NotFound, Exit::Refused)]
#[case(ErrorCode::Conflict, Exit::Conflict)]
#[case(ErrorCode::NoCapacity, Exit::Refused)]
#[case(ErrorCode::NotFinished, Exit::Refused)]
#[case(ErrorCode::AlreadyFetched, Exit::Conflict)]
#[case(ErrorCode::TooLarge, Exit::Refused)]
#[case(ErrorCode::Invalid, Exit::Refused)]
#[case(ErrorCode::NeverRuns, Exit::Refused)]
#[case(ErrorCode::KeyReused, Exit::Refused)]
#[case(ErrorCode::Limit, Exit::Refused)]
#[case(ErrorCode::NotRun, Exit::Refused)]
#[case(ErrorCode::Unknown, Exit::Unknown)]
#[tokio::test]
async fn code_of_an_error_body(#[case] code: ErrorCode, #[case] exit: Exit) {
    let fake = Fake::start(move |_, _| Answer::code(code)).await;
    let ran = run(&[&fake.address], &["result", "job-1", "--receipt", "r"]).await;
    assert_eq!(ran.exit, exit, "{ran:?}");
    assert!(ran.err.starts_with("error: "), "{ran:?}");
    assert!(ran.err.contains("\nnext: "), "{ran:?}");
    assert_eq!(ran.out, "");
}

/// Guards against a failure of something that is no entry being taken for a success or a refusal.
#[rstest]
#[case(200, "<html>", Exit::Unknown)]
#[case(404, "<html>", Exit::Refused)]
#[case(409, "", Exit::Conflict)]
#[case(500, "", Exit::Unknown)]
#[case(503, "", Exit::Refused)]
#[tokio::test]
async fn code_without_an_error_body(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] exit: Exit,
) {
    let fake = Fake::start(move |_, _| Answer(status, body.to_owned())).await;
    let ran = run(&[&fake.address], &["cancel", "job-1"]).await;
    assert_eq!(ran.exit, exit, "{ran:?}");
}

/// Guards against a command line that is wrong and still sent.
#[rstest]
#[case(&[])]
#[case(&["nonsense"])]
#[case(&["status"])]
#[case(&["--entry", "ftp://127.0.0.1:1", "status"])]
#[case(&["--entry", "http://127.0.0.1:1/v1", "status"])]
#[case(&["--entry", "127.0.0.1:1", "get", "Planner"])]
#[case(&["--entry", "127.0.0.1:1", "ticket", "planner", "--count", "17"])]
#[case(&["--entry", "127.0.0.1:1", "submit", "cut-lists", "--key", "k"])]
#[tokio::test]
async fn usage(#[case] args: &[&str]) {
    let ran = run_env(Env::default(), args).await;
    assert_eq!(ran.exit, Exit::Usage, "{ran:?}");
    assert!(ran.err.contains("--help"), "{ran:?}");
}

/// Guards against a table of exit codes in the help or the documentation that has gone stale.
#[tokio::test]
async fn help_and_documentation_hold_the_exit_codes() {
    let ran = run_env(Env::default(), &["--help"]).await;
    assert_eq!(ran.exit, Exit::Ok);
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/interfaces.md");
    let docs = std::fs::read_to_string(docs).unwrap();
    for exit in Exit::ALL {
        let (code, meaning) = (exit.code(), exit.meaning());
        assert!(
            ran.out.contains(&format!("  {code} {meaning}\n")),
            "{code}: {}",
            ran.out
        );
        assert!(
            docs.contains(&format!("| {code} | {meaning} |")),
            "{code} in the documentation"
        );
    }
}

/// Guards against a command without help.
#[tokio::test]
async fn every_command_has_help() {
    let ran = run_env(Env::default(), &["--help"]).await;
    let commands = ran.out.split("Commands:\n").nth(1).unwrap();
    let commands = commands.split("\n\n").next().unwrap();
    let names = commands
        .lines()
        .filter_map(|line| line.strip_prefix("  ")?.split(' ').next());
    let names: Vec<&str> = names.filter(|name| !name.is_empty()).collect();
    assert_eq!(names.len(), 17, "{names:?}");
    for name in names {
        let ran = run_env(Env::default(), &[name, "--help"]).await;
        assert_eq!(ran.exit, Exit::Ok, "{name}: {ran:?}");
        assert!(
            ran.out.starts_with(&format!("Usage: hyssopctl {name}")),
            "{ran:?}"
        );
    }
}

/// Guards against an exit code that the process does not pass on.
#[test]
fn process_returns_the_exit_code() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
    let output = command.args(["nonsense"]).output().unwrap();
    assert_eq!(output.status.code(), Some(i32::from(Exit::Usage.code())));
}
