//! Text forms of tables, resources, classes and durations.

use hyssop_core::{Class, Millis, Resources};

/// A table with aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(ToString::to_string).collect()],
        }
    }

    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the table as text, or `empty_text` if it has no rows besides the header.
    pub(crate) fn render(&self, empty_text: &str) -> String {
        if self.rows.len() == 1 {
            return empty_text.to_owned();
        }
        let lines: Vec<String> = self.rows.iter().map(|row| self.render_row(row)).collect();
        lines.join("\n")
    }

    fn render_row(&self, row: &[String]) -> String {
        let mut line = String::new();
        for (i, cell) in row.iter().enumerate() {
            let width = self.width(i);
            line.push_str(&format!("{cell:width$}  "));
        }
        line.trim_end().to_owned()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Formats resources, such as `2.5 cores, 4096 MiB`. Accelerators appear only if there are any.
pub(crate) fn format_resources(resources: Resources) -> String {
    let cores = f64::from(resources.cpu) / 1_000.0;
    let mut text = format!("{cores} cores, {} MiB", resources.mem);
    if resources.accel > 0 {
        text.push_str(&format!(", {} accelerators", resources.accel));
    }
    text
}

/// Returns the name of a class as written in service documents.
pub(crate) const fn class_name(class: Class) -> &'static str {
    match class {
        Class::LatencyCritical => "latency-critical",
        Class::Urgent => "urgent",
        Class::Batch => "batch",
    }
}

/// Formats a duration, or `none` if it is absent.
pub(crate) fn format_millis(time: Option<Millis>) -> String {
    time.map_or_else(|| "none".to_owned(), |t| format!("{t} ms"))
}
