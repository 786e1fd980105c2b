//! Tests of the programs as processes: exit statuses, and output on standard output or standard
//! error.

use std::process::{Command, Output};

const ENTRY: &str = env!("CARGO_BIN_EXE_hyssop-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_hyssop-agent");

const ENTRY_ARGS: &[&str] = &[
    "--name",
    "entry-1",
    "--domain",
    "a",
    "--domains",
    "a,b",
    "--listen",
    "127.0.0.1:0",
    "--rpc",
    "127.0.0.1:0",
    "--log",
    "http://127.0.0.1:7300",
    "--operator-token",
    "operator-token",
];
const AGENT_ARGS: &[&str] = &[
    "--name",
    "agent-1",
    "--domain",
    "a",
    "--rack",
    "r1",
    "--service",
    "planner",
    "--listen",
    "127.0.0.1:0",
    "--rpc",
    "127.0.0.1:0",
    "--entries",
    "entry-1=127.0.0.1:7401",
];

fn run(program: &str, args: &[&str]) -> Output {
    let output = Command::new(program).env_clear().args(args).output();
    output.expect("the program was built for this test")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against a check that starts the daemon, or that rejects valid settings.
#[test]
fn check_of_valid_settings_exits_with_0() {
    for (program, args) in [(ENTRY, ENTRY_ARGS), (AGENT, AGENT_ARGS)] {
        let output = run(program, &[args, &["--check"]].concat());
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert_eq!(stdout(&output), "the settings are valid\n");
        assert_eq!(stderr(&output), "");
    }
}

/// Guards against a daemon that starts with invalid settings, or reports only the first of them.
#[test]
fn invalid_settings_exit_with_2_and_are_all_named() {
    let invalid = [
        "--rpc",
        "nowhere",
        "--log-level",
        "loud",
        "--shutdown-limit",
        "0",
    ];
    let without = |args: &[&'static str]| {
        let pairs = args.chunks(2).filter(|pair| pair[0] != "--rpc");
        pairs.flatten().copied().collect::<Vec<_>>()
    };
    for (program, args) in [(ENTRY, ENTRY_ARGS), (AGENT, AGENT_ARGS)] {
        let output = run(program, &[&without(args), &invalid[..]].concat());
        assert_eq!(output.status.code(), Some(2));
        let text = stderr(&output);
        for setting in ["rpc", "log-level", "shutdown-limit"] {
            assert!(text.contains(setting), "{setting} is missing in:\n{text}");
        }
        assert_eq!(stdout(&output), "");
    }
}

/// Guards against help on standard error, which a pager doesn't show.
#[test]
fn help_goes_to_standard_output() {
    for program in [ENTRY, AGENT] {
        let output = run(program, &["--help"]);
        assert_eq!(output.status.code(), Some(0));
        assert!(stdout(&output).contains("--shutdown-limit"));
    }
}

/// Guards against a daemon that reports success although it cannot listen.
#[test]
fn address_in_use_exits_with_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    for (program, args) in [(ENTRY, ENTRY_ARGS), (AGENT, AGENT_ARGS)] {
        let mut args = args.to_vec();
        let index = args.iter().position(|arg| *arg == "--listen").unwrap();
        args[index + 1] = &address;
        let output = run(program, &args);
        assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
        assert!(stderr(&output).contains(&address), "{}", stderr(&output));
    }
}
