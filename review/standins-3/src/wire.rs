//! Names of the platform's protocol, from `wire.txt`.

use std::collections::HashMap;
use std::sync::LazyLock;

static NAMES: LazyLock<HashMap<&str, &str>> = LazyLock::new(|| {
    let lines = include_str!("../wire.txt").lines();
    lines.filter_map(|line| line.split_once(' ')).collect()
});

/// Returns the name of a call or a field in the platform's protocol.
pub fn name(key: &str) -> &'static str {
    NAMES[key]
}

/// Returns the path of a call.
pub fn path(key: &str) -> String {
    format!("{}{}", name("prefix"), name(key))
}
