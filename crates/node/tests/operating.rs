//! Comparison of the settings tables in the operators' manual with the code.

use hyssop_node::settings::{AGENT_SETTINGS, ENTRY_SETTINGS, Setting};

const MANUAL: &str = include_str!("../../../docs/OPERATIONS.md");

fn table_row(setting: &Setting) -> String {
    let Setting {
        name,
        env,
        default,
        allowed,
        doc,
    } = setting;
    let default = match default {
        None => "(required)".to_owned(),
        Some("") => "(empty)".to_owned(),
        Some(value) => format!("`{value}`"),
    };
    format!("| `{name}` | `{env}` | {default} | {doc} | `{allowed}` |")
}

/// Returns the rows of the first table below a heading, without the header rows.
fn table_rows(heading: &str) -> Vec<&'static str> {
    let (_, rest) = MANUAL.split_once(heading).expect(heading);
    let lines = rest.lines().skip_while(|line| !line.starts_with('|'));
    let table = lines.take_while(|line| line.starts_with('|'));
    table.skip(2).collect()
}

/// Guards against a setting that is added, renamed or changed without an update of the manual.
#[test]
fn manual_lists_all_settings() {
    let tables = [
        ("#### Settings of hyssop-entry\n", ENTRY_SETTINGS),
        ("#### Settings of hyssop-agent\n", AGENT_SETTINGS),
    ];
    for (heading, settings) in tables {
        let expected: Vec<_> = settings.iter().map(table_row).collect();
        assert_eq!(table_rows(heading), expected, "{}", expected.join("\n"));
    }
}
