//! A cell's stream in memory.

use std::collections::BTreeSet;

use hyssop_core::{CellRecord, Envelope, Millis, Offset, Term};
use hyssop_plan::Input;

/// A stream with its records.
#[derive(Default)]
pub(crate) struct Stream {
    pub(crate) records: Vec<Envelope<CellRecord>>,
    /// First offset that is still kept.
    pub(crate) first: usize,
}

pub(crate) fn append(stream: &mut Stream, records: &[Envelope<CellRecord>], doubled: bool) {
    for record in records {
        if !stream.records.iter().any(|r| r.id == record.id) {
            stream.records.push(record.clone());
            if doubled {
                stream.records.push(record.clone());
            }
        }
    }
}

/// Reads from an offset, or all that is kept when the offset is not.
pub(crate) fn read(stream: &Stream, sent: Millis, from: Offset) -> Input {
    let start = usize::try_from(from.0).expect("offset").max(stream.first);
    let records = stream.records.iter().enumerate().skip(start);
    let offset = |at: usize| Offset(u64::try_from(at).expect("offset"));
    Input::Read {
        sent_at: sent,
        first_offset: offset(stream.first),
        head_offset: offset(stream.records.len()),
        records: records.map(|(at, r)| (offset(at), r.clone())).collect(),
    }
}

impl Stream {
    /// Lets the records before the last valid snapshot's offset expire.
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
                    self.first = self.first.max(usize::try_from(upto.0).expect("offset"));
                }
                _ => {}
            }
        }
    }
}
