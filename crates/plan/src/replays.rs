//! Applying a read to the ledger, also when the log no longer has the records after the last
//! applied one: restoring a snapshot, and going on without the expired records.

use hyssop_core::{CellRecord, Envelope, Offset};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::Ledger;

type Records = [(Offset, Envelope<CellRecord>)];

/// Records kept after a gap. A snapshot covers all records but those appended between its creation
/// and its own append.
const RECORDS_KEPT_AFTER_LOSS: usize = 1_024;

/// Applies a read to the ledger. Returns whether the ledger now covers all records below
/// `head_offset`.
///
/// When the read begins after the ledger's offset, the last valid snapshot in it replaces the
/// ledger. Without a snapshot the records in between have expired: the ledger keeps its state,
/// marked as partial, and replay goes on.
pub(crate) fn apply_read(
    ledger: &mut Ledger,
    first_offset: Offset,
    head_offset: Offset,
    records: &Records,
) -> bool {
    let start = records.first().map_or(head_offset, |(offset, _)| *offset);
    if start > ledger.next_offset {
        if let Some(restored) = restore(records) {
            *ledger = restored;
        } else if first_offset <= ledger.next_offset || start > first_offset {
            return false;
        } else {
            ledger.next_offset = start;
            ledger.has_lost_records = true;
            ledger.is_partial = true;
            ledger.records_since_gap.clear();
        }
    }
    if ledger.is_partial {
        complete_partial(ledger, records);
    }
    for (offset, record) in records {
        ledger.apply(*offset, record);
    }
    ledger.next_offset >= head_offset
}

/// Replaces a partial ledger by the last valid snapshot among the records read since the gap.
fn complete_partial(ledger: &mut Ledger, records: &Records) {
    let applied = ledger.next_offset;
    let new_records = records.iter().filter(|(offset, _)| *offset >= applied);
    ledger.records_since_gap.extend(new_records.cloned());
    let surplus = ledger
        .records_since_gap
        .len()
        .saturating_sub(RECORDS_KEPT_AFTER_LOSS);
    ledger.records_since_gap.drain(..surplus);
    if let Some(restored) = restore(ledger.records_since_gap.make_contiguous()) {
        *ledger = restored;
    }
}

/// Returns the ledger as of the last valid snapshot in the read.
fn restore(records: &Records) -> Option<Ledger> {
    let start = records.first()?.0;
    let snapshots = records.iter().rev();
    snapshots
        .filter(|(_, record)| covers(record, start))
        .find_map(|(offset, record)| verify_snapshot(records, *offset, record))
}

/// Returns whether a read from `start` has all records after the snapshot's offset.
fn covers(record: &Envelope<CellRecord>, start: Offset) -> bool {
    matches!(&record.body, CellRecord::Snapshot { upto, .. } if *upto >= start)
}

/// Decodes a snapshot and replays the records between its offset and its own position in the
/// stream. The snapshot is valid if its term is in force there.
fn verify_snapshot(records: &Records, at: Offset, record: &Envelope<CellRecord>) -> Option<Ledger> {
    let CellRecord::Snapshot { upto, hash, state } = &record.body else {
        return None;
    };
    if xxh3_64(state.as_bytes()) != *hash {
        return None;
    }
    let mut ledger: Ledger = serde_json::from_str(state).ok()?;
    if ledger.next_offset != *upto {
        return None;
    }
    ledger.rebuild_indexes();
    for (offset, earlier) in records.iter().filter(|(offset, _)| *offset < at) {
        ledger.apply(*offset, earlier);
    }
    ledger.has_lost_records = false;
    (ledger.term == Some(record.term)).then_some(ledger)
}

/// Returns a snapshot record of the ledger; `None` if it cannot be encoded.
pub(crate) fn encode_snapshot(ledger: &Ledger) -> Option<CellRecord> {
    let state = serde_json::to_string(ledger).ok()?;
    Some(CellRecord::Snapshot {
        upto: ledger.next_offset,
        hash: xxh3_64(state.as_bytes()),
        state,
    })
}
