//! Puts the records of a cell's stream together as its core takes them.

use hyssop_core::{CellRecord, EntryName, Envelope, Offset, RecordId, Term};
use hyssop_log::{Entry, TailEvent};
use hyssop_plan::Input;
use xxhash_rust::xxh3::xxh3_64;

use crate::entries::streams::Tailed;

/// Returns the first offset that a snapshot does not cover, if its contents are undamaged. Whether
/// its term is in force is decided by the core.
pub(crate) fn covers(entry: &Entry<CellRecord>) -> Option<Offset> {
    match &entry.envelope.body {
        CellRecord::Snapshot { upto, hash, state } => {
            (xxh3_64(state.as_bytes()) == *hash).then_some(*upto)
        }
        _ => None,
    }
}

/// Records that are kept back until a snapshot is among them.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    records: Vec<(Offset, Envelope<CellRecord>)>,
    /// Snapshot that the core needs together with the records that it does not cover.
    awaited: Option<Offset>,
    /// Snapshot that was passed to the core.
    passed: Option<Offset>,
}

impl Replay {
    /// Takes a read and returns the input for the core, if it is complete.
    pub(crate) fn take(&mut self, tailed: Tailed<CellRecord>, is_following: bool) -> Option<Input> {
        for event in tailed.events {
            self.note(event);
        }
        let last = self.records.last().map(|(offset, _)| *offset);
        if !is_following || self.awaited.is_some_and(|at| last < Some(at)) {
            return None;
        }
        self.passed = self.awaited.take();
        Some(Input::Read {
            sent_at: tailed.sent,
            first_offset: tailed.first,
            head_offset: tailed.head,
            records: std::mem::take(&mut self.records),
        })
    }

    fn note(&mut self, event: TailEvent<CellRecord>) {
        match event {
            TailEvent::Start | TailEvent::NoSnapshot { .. } => {
                self.records.clear();
                self.awaited = None;
            }
            TailEvent::Snapshot { entry, .. } => {
                self.records.clear();
                self.awaited = Some(entry.offset);
            }
            TailEvent::Record(entry) => self.records.push((entry.offset, entry.envelope)),
            TailEvent::Malformed { offset, cause } => {
                log::warn!("cell record {offset} is not readable: {cause}");
                self.records
                    .extend(placeholder(offset).map(|record| (offset, record)));
            }
        }
    }

    /// Returns the snapshot that the core did not accept, if the last input had one.
    pub(crate) fn rejected(&mut self, applied: Offset) -> Option<Offset> {
        self.passed.take().filter(|at| applied <= *at)
    }
}

/// Returns a record without effect for the place of one that cannot be read, so that the core
/// passes over it: a snapshot whose hash does not match.
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
