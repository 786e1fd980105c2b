//! Combines reads of a cell's stream into inputs for its core.

use hyssop_core::{CellRecord, EntryName, Envelope, Offset, RecordId, Term};
use hyssop_log::{LogEntry, TailEvent};
use hyssop_plan::Input;
use xxhash_rust::xxh3::xxh3_64;

use crate::entries::streams::TailUpdate;

/// Returns the offset after the last record that a snapshot covers; `None` for other records and
/// for a snapshot whose hash does not match. The core checks its term.
pub(crate) fn snapshot_end(entry: &LogEntry<CellRecord>) -> Option<Offset> {
    match &entry.envelope.body {
        CellRecord::Snapshot { upto, hash, state } => {
            (xxh3_64(state.as_bytes()) == *hash).then_some(*upto)
        }
        _ => None,
    }
}

/// Records that have been read and not yet passed to the core.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    records: Vec<(Offset, Envelope<CellRecord>)>,
    /// Offset of the snapshot at which the replay starts. The core needs it in the same input as the
    /// records before it that it does not cover.
    awaited_snapshot: Option<Offset>,
    /// Offset of the snapshot in the last input for the core, if there was one.
    passed_snapshot: Option<Offset>,
}

impl Replay {
    /// Adds the records of a read, and returns an input for the core once it is complete.
    pub(crate) fn add(
        &mut self,
        update: TailUpdate<CellRecord>,
        is_following: bool,
    ) -> Option<Input> {
        for event in update.events {
            self.add_event(event);
        }
        let last = self.records.last().map(|(offset, _)| *offset);
        if !is_following || self.awaited_snapshot.is_some_and(|at| last < Some(at)) {
            return None;
        }
        self.passed_snapshot = self.awaited_snapshot.take();
        Some(Input::Read {
            sent_at: update.sent_at,
            first_offset: update.first_offset,
            head_offset: update.head_offset,
            records: std::mem::take(&mut self.records),
        })
    }

    fn add_event(&mut self, event: TailEvent<CellRecord>) {
        match event {
            TailEvent::Start | TailEvent::NoSnapshot { .. } => {
                self.records.clear();
                self.awaited_snapshot = None;
            }
            TailEvent::Snapshot { entry, .. } => {
                self.records.clear();
                self.awaited_snapshot = Some(entry.offset);
            }
            TailEvent::Record(entry) => self.records.push((entry.offset, entry.envelope)),
            TailEvent::Malformed { offset, cause } => {
                log::warn!("malformed cell record at offset {offset}: {cause}");
                self.records
                    .extend(placeholder(offset).map(|record| (offset, record)));
            }
        }
    }

    /// Returns the offset of the snapshot in the last input if the core did not accept it. `applied`
    /// is the next offset of the core.
    pub(crate) fn take_rejected(&mut self, next_offset: Offset) -> Option<Offset> {
        self.passed_snapshot.take().filter(|at| next_offset <= *at)
    }
}

/// Returns a record without effect in place of a malformed one, so that the core advances past its
/// offset: a snapshot whose hash does not match.
fn placeholder(offset: Offset) -> Option<Envelope<CellRecord>> {
    Some(Envelope {
        id: RecordId(u128::from(offset.0)),
        writer: EntryName::new("unreadable").ok()?,
        term: Term(0),
        body: CellRecord::Snapshot {
            upto: Offset(0),
            hash: 0,
            state: String::new(),
        },
    })
}
