//! Command that checks a settings file.

use std::process::{Command, Output};

use hyssop_platform_standins::{HostOptions, settings};

const STORE: &str = "10.200.1.7:8169";

fn text() -> String {
    settings(&HostOptions {
        node: "front-1".to_owned(),
        domain: "forde".to_owned(),
        ip: "10.1.0.13".parse().unwrap(),
        store: STORE.parse().unwrap(),
        is_entry: true,
        grace_s: 6.0,
    })
}

fn check(name: &str, text: &str) -> Output {
    let path = std::env::temp_dir().join(format!("hyssop-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let program = env!("CARGO_BIN_EXE_hyssop-fleet");
    let output = Command::new(program).arg("check").arg(&path).output();
    std::fs::remove_file(&path).unwrap();
    output.unwrap()
}

/// Guards against an invalid file that is noticed only when a daemon does not start.
#[test]
fn invalid_setting_is_named() {
    let output = check("wrong", &text().replace(STORE, "somewhere"));
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("=somewhere"), "{error}");
}

/// Guards against a check whose output differs from the settings that a daemon would use.
#[test]
fn settings_are_printed_as_used() {
    let output = check("right", &text());
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    for part in [
        "front-1 in forde",
        "10.1.0.13:7720",
        "10.200.1.7:8169",
        "none",
    ] {
        assert!(text.contains(part), "{part} is missing: {text}");
    }
}
