//! Differences between two versions of a document, field by field.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ServiceDoc;

/// A field whose value differs between two versions of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the field, such as `needs.resources.cpu`.
    pub field: String,
    /// Value in the earlier version, in TOML; `None` if the field is absent there.
    pub from: Option<String>,
    /// Value in the later version, in TOML; `None` if the field is absent there.
    pub to: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let from = self.from.as_deref().unwrap_or("(none)");
        let to = self.to.as_deref().unwrap_or("(none)");
        write!(f, "{}: {from} -> {to}", self.field)
    }
}

/// Lists the fields that differ between two versions of a document, ordered by path.
///
/// `None` stands for a document that does not exist. Defaults count as values, so a field that is
/// stated with its default value is not a difference.
#[must_use]
pub fn differences(from: Option<&ServiceDoc>, to: Option<&ServiceDoc>) -> Vec<Difference> {
    let mut from = from.map(fields).unwrap_or_default();
    let to = to.map(fields).unwrap_or_default();
    let mut changes = Vec::new();
    for (field, value) in to {
        let before = from.remove(&field);
        if before.as_ref() != Some(&value) {
            changes.push(Difference {
                field,
                from: before,
                to: Some(value),
            });
        }
    }
    let removed = from.into_iter().map(|(field, value)| Difference {
        field,
        from: Some(value),
        to: None,
    });
    changes.extend(removed);
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes
}

fn fields(doc: &ServiceDoc) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    // Every type of a document has a TOML form, since documents are written in it.
    if let Ok(toml::Value::Table(table)) = toml::Value::try_from(doc) {
        collect("", &table, &mut values);
    }
    values
}

fn collect(prefix: &str, table: &toml::Table, values: &mut BTreeMap<String, String>) {
    for (key, value) in table {
        let path = if prefix.is_empty() {
            key.clone()
        } else {
            format!("{prefix}.{key}")
        };
        match value {
            toml::Value::Table(inner) => collect(&path, inner, values),
            other => {
                values.insert(path, other.to_string());
            }
        }
    }
}
