//! Writes of the owner as appends within the limits of the store. A record that the store refuses for
//! good is told from the others, so that it holds up none of them.

use std::collections::{HashMap, VecDeque};
use std::ops::Range;

use hyssop_jobs::{Key, Record};
use hyssop_platform::append_bytes;

use super::writers::{Append, EpochWriter, KeyedRecord};
use crate::metrics::metrics;

/// Records of one write. Those of one job are together, in their order.
struct Batch {
    keys: Vec<Key>,
    records: Vec<KeyedRecord>,
    /// Ranges of records that belong together.
    groups: Vec<Range<usize>>,
}

/// Appends the records of a write. Returns the keys of those that the store has refused for good, or
/// none if a later owner has fenced this one.
///
/// All records are in one append if the store takes that. Otherwise, the records of one job are
/// appended together, and if the store refuses these, one after the other.
pub(super) async fn store(
    writer: &mut EpochWriter,
    records: Vec<Record>,
    max_append_bytes: usize,
) -> Option<Vec<Key>> {
    let batch = Batch::new(records);
    let mut refused = Vec::new();
    let mut parts = VecDeque::from(batch.parts(max_append_bytes));
    while let Some(part) = parts.pop_front() {
        match writer.append(&batch.records[batch.span(&part)]).await {
            Append::Stored => {}
            Append::Fenced => return None,
            Append::Refused(_) if part.len() > 1 => {
                let middle = part.start + part.len() / 2;
                parts.push_front(middle..part.end);
                parts.push_front(part.start..middle);
            }
            Append::Refused(status) => {
                let group = batch.span(&part);
                refused.extend(batch.store_singly(writer, group, status).await?);
            }
        }
    }
    Some(refused)
}

impl Batch {
    fn new(records: Vec<Record>) -> Self {
        let mut numbers: HashMap<Key, usize> = HashMap::new();
        let mut groups: Vec<Vec<Record>> = Vec::new();
        for record in records {
            let group = match &record.key {
                Key::Progress(id) | Key::HeldEnds(id) => Key::Job(*id),
                key => key.clone(),
            };
            let number = *numbers.entry(group).or_insert(groups.len());
            if number == groups.len() {
                groups.push(Vec::new());
            }
            groups[number].push(record);
        }
        let mut batch = Self {
            keys: Vec::new(),
            records: Vec::new(),
            groups: Vec::new(),
        };
        for group in groups {
            let start = batch.records.len();
            for Record { key, value } in group {
                batch.records.push((key.text(), value));
                batch.keys.push(key);
            }
            batch.groups.push(start..batch.records.len());
        }
        batch
    }

    /// Returns the records of a range of groups.
    fn span(&self, groups: &Range<usize>) -> Range<usize> {
        let start = self.groups.get(groups.start).map_or(0, |group| group.start);
        let last = groups.end.checked_sub(1);
        let last = last.and_then(|last| self.groups.get(last));
        start..last.map_or(start, |group| group.end)
    }

    /// Divides the groups into ranges that each fit into one append, if no group alone is larger.
    fn parts(&self, max_append_bytes: usize) -> Vec<Range<usize>> {
        let mut parts: Vec<Range<usize>> = Vec::new();
        let mut part_bytes = 0;
        for (number, group) in self.groups.iter().enumerate() {
            let sizes = self.records[group.clone()].iter().map(size);
            let bytes = sizes.sum::<usize>();
            match parts.last_mut() {
                Some(part) if part_bytes + bytes <= max_append_bytes => {
                    part.end = number + 1;
                    part_bytes += bytes;
                }
                _ => {
                    parts.push(number..number + 1);
                    part_bytes = bytes;
                }
            }
        }
        parts
    }

    /// Appends the records of a refused group one after the other. What follows a refused record and
    /// is true with it only is refused, too: all else of a job that is not stored, and deletions.
    async fn store_singly(
        &self,
        writer: &mut EpochWriter,
        group: Range<usize>,
        status: u16,
    ) -> Option<Vec<Key>> {
        let is_alone = group.len() == 1;
        let mut refused: Vec<Key> = Vec::new();
        for index in group {
            let (key, record) = (&self.keys[index], &self.records[index]);
            let is_job_refused = refused.iter().any(|key| matches!(key, Key::Job(_)));
            let is_void = is_job_refused || !refused.is_empty() && record.1.is_none();
            if is_void {
                refused.push(key.clone());
                continue;
            }
            let append = match is_alone {
                true => Append::Refused(status),
                false => writer.append(std::slice::from_ref(record)).await,
            };
            match append {
                Append::Stored => {}
                Append::Fenced => return None,
                Append::Refused(status) => {
                    note_refused(kind(key), record, status);
                    refused.push(key.clone());
                }
            }
        }
        Some(refused)
    }
}

/// Logs and counts a record that the store has refused for good.
pub(super) fn note_refused(kind: &str, record: &KeyedRecord, status: u16) {
    let bytes = size(record);
    log::error!(key:% = record.0, bytes = bytes, status = status; "record refused by the store for good");
    metrics().count_refused_record(kind);
}

fn size((key, value): &KeyedRecord) -> usize {
    append_bytes(key.len(), value.as_ref().map_or(0, Vec::len))
}

/// Returns the label for the kind of a record in the metrics.
const fn kind(key: &Key) -> &'static str {
    match key {
        Key::Job(_) => "job",
        Key::Progress(_) => "progress",
        Key::HeldEnds(_) => "held_ends",
        Key::Worker(_) => "worker",
        Key::Wave(_) => "wave",
        Key::Interference => "interference",
    }
}
