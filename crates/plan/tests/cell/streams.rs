//! A cell's stream in memory.

use hyssop_core::{CellRecord, Envelope, Millis, Offset};
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

/// Reads from an offset, or from the last snapshot when the offset is no longer kept.
pub(crate) fn read(stream: &Stream, sent: Millis, from: Offset) -> Input {
    let from = usize::try_from(from.0).expect("offset");
    let mut start = from;
    if from < stream.first {
        start = stream.first;
        for record in &stream.records[stream.first..] {
            if let CellRecord::Snapshot { upto, .. } = &record.body {
                start = start.max(usize::try_from(upto.0).expect("offset"));
            }
        }
    }
    let records = stream.records.iter().enumerate().skip(start);
    let offset = |at: usize| Offset(u64::try_from(at).expect("offset"));
    Input::Read {
        sent,
        first: offset(stream.first),
        head: offset(stream.records.len()),
        records: records.map(|(at, r)| (offset(at), r.clone())).collect(),
    }
}
