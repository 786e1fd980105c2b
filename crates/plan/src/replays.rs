//! Reads of the stream that begin after the last applied offset: snapshots and lost records.

use hyssop_core::{CellRecord, Envelope, Offset};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::Ledger;

type Records = [(Offset, Envelope<CellRecord>)];

/// Records kept after a loss. A snapshot covers all but those written while it was on its way.
const RECORDS_KEPT_AFTER_LOSS: usize = 1_024;

/// Applies a read to the ledger. Returns whether the ledger now covers all below `head`.
///
/// When the read begins after the ledger's offset, its last valid snapshot replaces the ledger.
/// Without one the records in between have expired: what is known is kept and replay goes on.
pub(crate) fn apply_read(
    ledger: &mut Ledger,
    first: Offset,
    head: Offset,
    records: &Records,
) -> bool {
    let start = records.first().map_or(head, |(offset, _)| *offset);
    if start > ledger.next_offset {
        if let Some(found) = restore(records) {
            *ledger = found;
        } else if first <= ledger.next_offset || start > first {
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
    ledger.next_offset >= head
}

/// Replaces a ledger that lacks expired records by the last valid snapshot read since.
fn complete_partial(ledger: &mut Ledger, records: &Records) {
    let applied = ledger.next_offset;
    let news = records.iter().filter(|(offset, _)| *offset >= applied);
    ledger.records_since_gap.extend(news.cloned());
    let surplus = ledger
        .records_since_gap
        .len()
        .saturating_sub(RECORDS_KEPT_AFTER_LOSS);
    ledger.records_since_gap.drain(..surplus);
    if let Some(found) = restore(ledger.records_since_gap.make_contiguous()) {
        *ledger = found;
    }
}

/// Returns the state after the last valid snapshot of the read.
fn restore(records: &Records) -> Option<Ledger> {
    let start = records.first()?.0;
    let snapshots = records.iter().rev();
    snapshots
        .filter(|(_, record)| covers(record, start))
        .find_map(|(offset, record)| verify_snapshot(records, *offset, record))
}

/// Tells whether the records after the snapshot's offset are all in a read from `start`.
fn covers(record: &Envelope<CellRecord>, start: Offset) -> bool {
    matches!(&record.body, CellRecord::Snapshot { upto, .. } if *upto >= start)
}

/// Decodes a snapshot and replays the records between its offset and its own place, where its
/// term must be in force.
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

/// Writes the state of the ledger as a snapshot.
pub(crate) fn encode_snapshot(ledger: &Ledger) -> Option<CellRecord> {
    let state = serde_json::to_string(ledger).ok()?;
    Some(CellRecord::Snapshot {
        upto: ledger.next_offset,
        hash: xxh3_64(state.as_bytes()),
        state,
    })
}
