//! Exit codes and `--help`.

use std::process::Command;

use hyssop_core::api::ErrorCode;
use hyssop_ctl::{Env, Exit};
use rstest::rstest;

use crate::support::{StandInEntry, StandInResponse, run_command, run_with_env};

/// Guards against an exit code that makes a script mistake one kind of failure for another.
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
async fn error_codes_map_to_exit_codes(#[case] code: ErrorCode, #[case] exit: Exit) {
    let stand_in = StandInEntry::start(move |_, _| StandInResponse::code(code)).await;
    let output = run_command(&[&stand_in.address], &["result", "job-1", "--receipt", "r"]).await;
    assert_eq!(output.exit, exit, "{output:?}");
    assert!(output.stderr.starts_with("error: "), "{output:?}");
    assert!(output.stderr.contains("\nnext: "), "{output:?}");
    assert_eq!(output.stdout, "");
}

/// Guards against a response without a valid body, such as from a server that is not an entry,
/// being reported with the wrong exit code.
#[rstest]
#[case(200, "<html>", Exit::Unknown)]
#[case(404, "<html>", Exit::Refused)]
#[case(409, "", Exit::Conflict)]
#[case(500, "", Exit::Unknown)]
#[case(503, "", Exit::Refused)]
#[tokio::test]
async fn statuses_without_an_error_body_map_to_exit_codes(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] exit: Exit,
) {
    let stand_in = StandInEntry::start(move |_, _| StandInResponse(status, body.to_owned())).await;
    let output = run_command(&[&stand_in.address], &["cancel", "job-1"]).await;
    assert_eq!(output.exit, exit, "{output:?}");
}

/// Guards against a request that is sent for an invalid command line.
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
async fn invalid_command_lines_are_not_sent(#[case] args: &[&str]) {
    let output = run_with_env(Env::default(), args).await;
    assert_eq!(output.exit, Exit::Usage, "{output:?}");
    assert!(output.stderr.contains("--help"), "{output:?}");
}

/// Guards against an outdated table of exit codes in the help or the documentation.
#[tokio::test]
async fn help_and_documentation_list_the_exit_codes() {
    let output = run_with_env(Env::default(), &["--help"]).await;
    assert_eq!(output.exit, Exit::Ok);
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/interfaces.md");
    let docs = std::fs::read_to_string(docs).unwrap();
    for exit in Exit::ALL {
        let (code, meaning) = (exit.code(), exit.meaning());
        assert!(
            output.stdout.contains(&format!("  {code} {meaning}\n")),
            "{code}: {}",
            output.stdout
        );
        assert!(
            docs.contains(&format!("| {code} | {meaning} |")),
            "{code} in the documentation"
        );
    }
}

/// Guards against a command without its own help.
#[tokio::test]
async fn every_command_has_help() {
    let output = run_with_env(Env::default(), &["--help"]).await;
    let commands = output.stdout.split("Commands:\n").nth(1).unwrap();
    let commands = commands.split("\n\n").next().unwrap();
    let names = commands
        .lines()
        .filter_map(|line| line.strip_prefix("  ")?.split(' ').next());
    let names: Vec<&str> = names.filter(|name| !name.is_empty()).collect();
    assert_eq!(names.len(), 17, "{names:?}");
    for name in names {
        let output = run_with_env(Env::default(), &[name, "--help"]).await;
        assert_eq!(output.exit, Exit::Ok, "{name}: {output:?}");
        assert!(
            output
                .stdout
                .starts_with(&format!("Usage: hyssopctl {name}")),
            "{output:?}"
        );
    }
}

/// Guards against a process whose status is not the exit code of the command.
#[test]
fn process_returns_the_exit_code() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
    let output = command.args(["nonsense"]).output().unwrap();
    assert_eq!(output.status.code(), Some(i32::from(Exit::Usage.code())));
}
