//! Rendering of a recording as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::histories::{CLOSE, OPEN};
use super::recordings::{Item, Line, Recording, RequestCounts, Tag};

/// A line to print: time in milliseconds, sender, text, receivers.
type Row = (u64, String, String, Vec<String>);

/// Lines and counts of one section.
#[derive(Default)]
struct Section {
    rows: Vec<Row>,
    counted: BTreeMap<&'static str, (u32, u32)>,
    /// Requests answered at the first try, by the agent that ran them.
    first_try: BTreeMap<String, u32>,
}

/// Returns the text of a session.
pub(super) fn render(recording: &Recording) -> String {
    let mut text = String::new();
    let mut section = Section::default();
    for line in &recording.lines {
        if let Item::Heading(heading) = &line.item {
            section.print(&mut text);
            section = Section::default();
            let gap = if text.is_empty() { "" } else { "\n" };
            writeln!(text, "{gap}== {heading}").expect("a string");
        } else {
            section.add(recording, line);
        }
    }
    section.print(&mut text);
    with_short_names(&text)
}

/// Returns whether a request was answered at its first try and is only counted.
fn is_first_try(recording: &Recording, number: u64) -> bool {
    let counts = recording
        .request_counts
        .get(&number)
        .copied()
        .unwrap_or_default();
    let RequestCounts {
        sends,
        calls,
        is_complete,
    } = counts;
    !recording.listed_requests.contains(&number) && is_complete && sends == 1 && calls == 1
}

impl Section {
    fn add(&mut self, recording: &Recording, line: &Line) {
        match &line.item {
            Item::Heading(_) => {}
            Item::Counted { kind, is_reply } => {
                let count = self.counted.entry(kind).or_default();
                if *is_reply {
                    count.1 += 1;
                } else {
                    count.0 += 1;
                }
            }
            Item::Listed {
                from,
                to,
                text,
                tag,
            } => {
                let number = recording.request_of(*tag);
                if number.is_some_and(|number| is_first_try(recording, number)) {
                    if let Tag::Request(_) = tag {
                        *self.first_try.entry(from.clone()).or_default() += 1;
                    }
                    return;
                }
                let at = line.at.since(recording.start).0;
                let to = to.iter().cloned().collect();
                self.rows.push((at, from.clone(), text.clone(), to));
            }
        }
    }

    fn print(mut self, out: &mut String) {
        // Short names are assigned in the order of the sorted lines, so the sort key leaves out the
        // placeholders that they replace.
        self.rows.sort_by_cached_key(|(at, from, text, to)| {
            (
                *at,
                from.clone(),
                !to.is_empty(),
                without_placeholders(text),
                to.clone(),
            )
        });
        let mut rows: Vec<Row> = Vec::new();
        for (at, from, text, to) in self.rows {
            let same = |row: &&mut Row| {
                !to.is_empty() && row.0 == at && row.1 == from && row.2 == text && !row.3.is_empty()
            };
            match rows.iter_mut().rev().take(8).find(same) {
                Some(row) => row.3.extend(to),
                None => rows.push((at, from, text, to)),
            }
        }
        for (at, from, text, to) in rows {
            let (seconds, millis) = (at / 1_000, at % 1_000);
            let to = receivers(to);
            writeln!(out, "{seconds:>4}.{millis:03}  {from}{to}: {text}").expect("a string");
        }
        for (kind, (sent, answered)) in self.counted {
            writeln!(out, "     idle  {kind}: {sent} sent, {answered} answered").expect("a string");
        }
        for (agent, count) in self.first_try {
            writeln!(
                out,
                "     load  {count} requests run by {agent}, answered at the first try"
            )
            .expect("a string");
        }
    }
}

/// Returns the receivers of a message, each once with its count.
fn receivers(to: Vec<String>) -> String {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for name in to {
        *counts.entry(name).or_default() += 1;
    }
    let names = counts.into_iter().map(|(name, count)| match count {
        1 => name,
        _ => format!("{name} ({count} times)"),
    });
    let names = names.collect::<Vec<_>>().join(", ");
    if names.is_empty() {
        return names;
    }
    format!(" -> {names}")
}

/// Returns a text without its placeholders.
fn without_placeholders(text: &str) -> String {
    let mut inside = false;
    let keep = |c: &char| {
        inside = (inside || *c == OPEN) && *c != CLOSE;
        !inside
    };
    text.chars().filter(keep).collect()
}

/// Replaces the placeholders by short names in order of first appearance.
fn with_short_names(text: &str) -> String {
    let mut names: BTreeMap<String, String> = BTreeMap::new();
    let mut counts: BTreeMap<char, u32> = BTreeMap::new();
    let mut out = String::new();
    for part in text.split(CLOSE) {
        let Some((before, name)) = part.split_once(OPEN) else {
            out += part;
            continue;
        };
        let kind = name.chars().next().unwrap_or('?');
        let short = names.entry(name.to_owned()).or_insert_with(|| {
            let count = counts.entry(kind).or_default();
            *count += 1;
            format!("{kind}{count}")
        });
        out += before;
        out += short;
    }
    out
}
