//! A cell's stream in memory.

use std::collections::BTreeSet;

use hyssop_core::{CellRecord, Envelope, Millis, Offset, Term};
use hyssop_plan::Input;

/// All records of a stream, by offset.
#[derive(Default)]
pub(crate) struct Stream {
    pub(crate) records: Vec<Envelope<CellRecord>>,
    /// First offset that has not expired.
    pub(crate) first_kept: usize,
}

/// Appends the records that the stream does not have yet, each of them twice if `is_doubled`.
pub(crate) fn append(stream: &mut Stream, records: &[Envelope<CellRecord>], is_doubled: bool) {
    for record in records {
        if !stream.records.iter().rev().any(|r| r.id == record.id) {
            stream.records.push(record.clone());
            if is_doubled {
                stream.records.push(record.clone());
            }
        }
    }
}

/// Reads from an offset on, or from the first record kept if that offset has expired.
pub(crate) fn read(stream: &Stream, sent_at: Millis, from: Offset) -> Input {
    let start = usize::try_from(from.0)
        .expect("offset")
        .max(stream.first_kept);
    let records = stream.records.iter().enumerate().skip(start);
    let offset = |at: usize| Offset(u64::try_from(at).expect("offset"));
    Input::Read {
        sent_at,
        first_offset: offset(stream.first_kept),
        head_offset: offset(stream.records.len()),
        records: records.map(|(at, r)| (offset(at), r.clone())).collect(),
    }
}

impl Stream {
    /// Expires the records before the last valid snapshot's offset.
    pub(crate) fn expire(&mut self) {
        let mut term = None;
        let mut seen = BTreeSet::new();
        for (at, record) in self.records.iter().enumerate() {
            if !seen.insert(record.id) {
                continue;
            }
            match &record.body {
                CellRecord::Claim { prior, .. } if *prior == term => {
                    term = Some(Term(u64::try_from(at).expect("offset")));
                }
                CellRecord::Snapshot { upto, .. } if Some(record.term) == term => {
                    self.first_kept = self
                        .first_kept
                        .max(usize::try_from(upto.0).expect("offset"));
                }
                _ => {}
            }
        }
    }
}
