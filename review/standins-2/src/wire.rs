//! Names of the platform's interfaces. They are kept in a text file, as the project's Rust code has none.

/// Returns the text on the wire for a name in `wire.txt`.
pub fn w(name: &str) -> &'static str {
    let lines = include_str!("../wire.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once(' '));
    pairs
        .find(|(n, _)| *n == name)
        .map(|(_, text)| text)
        .expect("a known name")
}
