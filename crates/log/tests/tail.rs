//! Tests of the tail against a small model of a stream with retention.

use hyssop_core::{EntryName, Envelope, Offset, ReadReply, RecordId, StoredRecord, Term};
use hyssop_log::{LogEntry, Tail, TailEvent, TailOptions};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

/// Reads within which a tail must reach the head.
const MAX_READS: usize = 1_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Body {
    Value(u64),
    Snapshot { upto: Offset, valid: bool },
}

#[derive(Clone, Debug, Default)]
struct Stream {
    first_retained: usize,
    records: Vec<String>,
}

impl Stream {
    fn push(&mut self, id: u128, body: Body) {
        let envelope = Envelope {
            id: RecordId(id),
            writer: EntryName::new("entry-1").unwrap(),
            term: Term(0),
            body,
        };
        self.records.push(serde_json::to_string(&envelope).unwrap());
    }

    fn push_values(&mut self, count: usize) {
        for _ in 0..count {
            let at = self.records.len() as u64;
            self.push(u128::from(at), Body::Value(at));
        }
    }

    fn push_snapshot(&mut self, upto: usize, valid: bool) {
        let id = self.records.len() as u128;
        let upto = Offset(upto as u64);
        self.push(id, Body::Snapshot { upto, valid });
    }

    /// Returns the reply to a read. It has at most `max_reply` records, because the service limits
    /// the size of its replies.
    fn read(&self, from: Offset, max: u32, max_reply: usize) -> ReadReply {
        let start = (from.0 as usize).max(self.first_retained);
        let count = (max as usize).min(max_reply);
        let records = self.records.iter().enumerate().skip(start).take(count);
        ReadReply {
            first: Offset(self.first_retained as u64),
            head: Offset(self.records.len() as u64),
            records: records
                .map(|(at, record)| StoredRecord {
                    offset: Offset(at as u64),
                    record: record.clone(),
                })
                .collect(),
        }
    }
}

fn covers(entry: &LogEntry<Body>) -> Option<Offset> {
    match entry.envelope.body {
        Body::Snapshot { upto, valid: true } => Some(upto),
        _ => None,
    }
}

/// Reads until the head is reached and returns the events.
fn read_to_head(tail: &mut Tail<Body>, stream: &Stream) -> Vec<TailEvent<Body>> {
    let mut events = Vec::new();
    for _ in 0..MAX_READS {
        let request = tail.next_request();
        let reply = stream.read(request.from, request.max, 7);
        let progress = tail.apply(&reply, covers);
        events.extend(progress.events);
        if progress.is_at_head {
            return events;
        }
    }
    panic!("the head was not reached");
}

fn options() -> TailOptions {
    TailOptions::default()
        .with_chunk_size(10)
        .with_dedup_window(16)
}

fn record_offsets(events: &[TailEvent<Body>]) -> Vec<u64> {
    let offsets = events.iter().filter_map(|event| match event {
        TailEvent::Record(entry) => Some(entry.offset.0),
        _ => None,
    });
    offsets.collect()
}

/// Guards against a reader that starts from an incomplete state.
#[test]
fn new_tail_starts_from_the_newest_valid_snapshot() {
    let mut stream = Stream::default();
    stream.push_values(20);
    stream.push_snapshot(18, true);
    stream.push_values(15);
    stream.push_snapshot(33, false);
    stream.push_values(3);
    stream.first_retained = 15;
    let mut tail = Tail::new(options());
    let events = read_to_head(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(18),
            ..
        }
    ));
    assert_eq!(record_offsets(&events), (18..40).collect::<Vec<_>>());
    assert_eq!(tail.next_offset(), Offset(40));
}

/// Guards against a reader that requires a snapshot although the stream is empty or retained from
/// its first record on.
#[test]
fn complete_stream_is_replayed_from_its_first_record() {
    let mut stream = Stream::default();
    let events = read_to_head(&mut Tail::new(options()), &stream);
    assert_eq!(events, [TailEvent::Start]);
    stream.push_values(25);
    let events = read_to_head(&mut Tail::new(options()), &stream);
    assert_eq!(events[0], TailEvent::Start);
    assert_eq!(record_offsets(&events), (0..25).collect::<Vec<_>>());
}

/// Guards against a replay with missing records that counts as complete.
#[test]
fn missing_records_without_a_snapshot_are_reported() {
    let mut stream = Stream::default();
    stream.push_values(10);
    // This snapshot needs record 3, which is no longer retained.
    stream.push_snapshot(3, true);
    stream.push_values(14);
    stream.first_retained = 4;
    let events = read_to_head(&mut Tail::new(options()), &stream);
    let (first, head) = (Offset(4), Offset(25));
    assert_eq!(events[0], TailEvent::NoSnapshot { first, head });
    assert_eq!(record_offsets(&events), (4..25).collect::<Vec<_>>());
    stream.first_retained = 25;
    let events = read_to_head(&mut Tail::new(options()), &stream);
    let first = Offset(25);
    assert_eq!(events, [TailEvent::NoSnapshot { first, head }]);
}

/// Guards against a reader that falls behind the retained records and continues with a gap.
#[test]
fn tail_behind_the_retained_records_restarts_from_a_snapshot() {
    let mut stream = Stream::default();
    stream.push_values(5);
    let mut tail = Tail::new(options());
    read_to_head(&mut tail, &stream);
    stream.push_values(10);
    stream.push_snapshot(14, true);
    stream.push_values(2);
    stream.first_retained = 6;
    let events = read_to_head(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(14),
            ..
        }
    ));
    assert_eq!(record_offsets(&events), (14..18).collect::<Vec<_>>());
    let mut resumed = Tail::<Body>::resume(options(), Offset(16));
    assert_eq!(
        record_offsets(&read_to_head(&mut resumed, &stream)),
        [16, 17]
    );
}

/// Guards against an invalid snapshot that keeps the reader from an earlier valid one.
#[test]
fn rejected_snapshot_is_replaced_by_an_earlier_one() {
    let mut stream = Stream::default();
    stream.push_values(12);
    stream.push_snapshot(12, true);
    stream.push_values(2);
    stream.push_snapshot(15, true);
    stream.push_values(2);
    stream.first_retained = 10;
    let mut tail = Tail::new(options());
    read_to_head(&mut tail, &stream);
    tail.reject_snapshot(Offset(15));
    let events = read_to_head(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(12),
            ..
        }
    ));
}

/// Guards against a repeated append that is applied twice, and against an unbounded window.
#[test]
fn repeated_identifier_is_dropped_within_the_window() {
    let mut stream = Stream::default();
    stream.push_values(3);
    stream.push(1, Body::Value(99));
    stream.push_values(15);
    stream.push(0, Body::Value(99));
    let mut tail = Tail::new(options());
    let offsets = record_offsets(&read_to_head(&mut tail, &stream));
    assert!(!offsets.contains(&3), "inside the window");
    assert!(offsets.contains(&19), "outside the window");
}

/// Guards against a foreign or damaged record that stops all readers of the stream.
#[test]
fn malformed_record_is_reported_and_skipped() {
    let mut stream = Stream::default();
    stream.push_values(1);
    stream.records.push("damaged".to_owned());
    stream.push_values(1);
    let events = read_to_head(&mut Tail::new(options()), &stream);
    assert_eq!(record_offsets(&events), [0, 2]);
    assert!(matches!(
        events[2],
        TailEvent::Malformed {
            offset: Offset(1),
            ..
        }
    ));
}

proptest! {
    /// Guards against gaps and repeated records while the log drops records between and during
    /// reads.
    #[test]
    fn replay_has_no_gaps_or_repeats(
        steps in prop::collection::vec((0_usize..8, any::<bool>(), 0_usize..10, 0_usize..4), 1..60),
    ) {
        let mut stream = Stream::default();
        let mut tail = Tail::new(options());
        let mut next = None;
        for (value_count, has_snapshot, dropped, reads) in steps {
            stream.push_values(value_count);
            if has_snapshot {
                stream.push_snapshot(stream.records.len().saturating_sub(1), true);
            }
            stream.first_retained = (stream.first_retained + dropped).min(stream.records.len());
            for _ in 0..reads {
                let request = tail.next_request();
                let reply = stream.read(request.from, request.max, 7);
                let progress = tail.apply(&reply, covers);
                for event in progress.events {
                    match event {
                        TailEvent::Start => next = Some(0),
                        TailEvent::Snapshot { upto, .. } => next = Some(upto.0),
                        TailEvent::NoSnapshot { first, .. } => next = Some(first.0),
                        TailEvent::Record(entry) => {
                            prop_assert_eq!(Some(entry.offset.0), next);
                            next = Some(entry.offset.0 + 1);
                        }
                        TailEvent::Malformed { .. } => prop_assert!(false),
                    }
                }
                if progress.is_at_head {
                    prop_assert_eq!(next, Some(reply.head.0));
                }
            }
        }
        read_to_head(&mut tail, &stream);
    }
}
