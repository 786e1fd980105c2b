//! Names of the platform's fields, read from `wire.txt`.

const TABLE: &str = include_str!("../wire.txt");

/// Returns the platform's name of a field.
pub fn name(key: &str) -> &'static str {
    let row = TABLE.lines().find_map(|line| {
        let (known, name) = line.split_once(' ')?;
        (known == key).then_some(name)
    });
    row.unwrap_or_else(|| panic!("no name for {key} in wire.txt"))
}
