//! Tests of the tail against a small model of a stream with retention.

use hyssop_core::{EntryName, Envelope, Offset, ReadReply, RecordId, StoredRecord, Term};
use hyssop_log::{LogEntry, Tail, TailEvent, TailOptions};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

/// Reads after which a tail must have reached the head.
const MAX_READS: usize = 1_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Body {
    Value(u64),
    Snapshot { upto: Offset, valid: bool },
}

#[derive(Clone, Debug, Default)]
struct Stream {
    first: usize,
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

    fn values(&mut self, count: usize) {
        for _ in 0..count {
            let at = self.records.len() as u64;
            self.push(u128::from(at), Body::Value(at));
        }
    }

    fn snapshot(&mut self, upto: usize, valid: bool) {
        let id = self.records.len() as u128;
        let upto = Offset(upto as u64);
        self.push(id, Body::Snapshot { upto, valid });
    }

    /// Answers a read; at most `cap` records, as a service that bounds its replies does.
    fn read(&self, from: Offset, max: u32, cap: usize) -> ReadReply {
        let start = (from.0 as usize).max(self.first);
        let count = (max as usize).min(cap);
        let records = self.records.iter().enumerate().skip(start).take(count);
        ReadReply {
            first: Offset(self.first as u64),
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

/// Reads until the head is reached and returns what was found.
fn catch_up(tail: &mut Tail<Body>, stream: &Stream) -> Vec<TailEvent<Body>> {
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
    panic!("the head is not reached");
}

fn options() -> TailOptions {
    TailOptions::default()
        .with_chunk_size(10)
        .with_dedup_window(16)
}

fn offsets(events: &[TailEvent<Body>]) -> Vec<u64> {
    let offsets = events.iter().filter_map(|event| match event {
        TailEvent::Record(entry) => Some(entry.offset.0),
        _ => None,
    });
    offsets.collect()
}

/// Guards against a reader that starts with an incomplete state.
#[test]
fn a_new_tail_starts_from_the_newest_valid_snapshot() {
    let mut stream = Stream::default();
    stream.values(20);
    stream.snapshot(18, true);
    stream.values(15);
    stream.snapshot(33, false);
    stream.values(3);
    stream.first = 15;
    let mut tail = Tail::new(options());
    let events = catch_up(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(18),
            ..
        }
    ));
    assert_eq!(offsets(&events), (18..40).collect::<Vec<_>>());
    assert_eq!(tail.next_offset(), Offset(40));
}

/// Guards against a snapshot demanded of a stream that is kept whole, or that is empty.
#[test]
fn a_whole_stream_is_replayed_from_its_first_record() {
    let mut stream = Stream::default();
    let events = catch_up(&mut Tail::new(options()), &stream);
    assert_eq!(events, [TailEvent::Start]);
    stream.values(25);
    let events = catch_up(&mut Tail::new(options()), &stream);
    assert_eq!(events[0], TailEvent::Start);
    assert_eq!(offsets(&events), (0..25).collect::<Vec<_>>());
}

/// Guards against a gap that is taken for a whole replay.
#[test]
fn a_lost_start_is_reported() {
    let mut stream = Stream::default();
    stream.values(10);
    // This snapshot needs record 3, which is no longer kept.
    stream.snapshot(3, true);
    stream.values(14);
    stream.first = 4;
    let events = catch_up(&mut Tail::new(options()), &stream);
    let (first, head) = (Offset(4), Offset(25));
    assert_eq!(events[0], TailEvent::NoSnapshot { first, head });
    assert_eq!(offsets(&events), (4..25).collect::<Vec<_>>());
    stream.first = 25;
    let events = catch_up(&mut Tail::new(options()), &stream);
    let first = Offset(25);
    assert_eq!(events, [TailEvent::NoSnapshot { first, head }]);
}

/// Guards against a reader that falls behind the retention and goes on with a gap.
#[test]
fn a_tail_behind_the_retention_takes_a_snapshot() {
    let mut stream = Stream::default();
    stream.values(5);
    let mut tail = Tail::new(options());
    catch_up(&mut tail, &stream);
    stream.values(10);
    stream.snapshot(14, true);
    stream.values(2);
    stream.first = 6;
    let events = catch_up(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(14),
            ..
        }
    ));
    assert_eq!(offsets(&events), (14..18).collect::<Vec<_>>());
    let mut resumed = Tail::<Body>::resume(options(), Offset(16));
    assert_eq!(offsets(&catch_up(&mut resumed, &stream)), [16, 17]);
}

/// Guards against a snapshot that its reader refuses and that hides an earlier one.
#[test]
fn a_rejected_snapshot_leads_to_an_earlier_one() {
    let mut stream = Stream::default();
    stream.values(12);
    stream.snapshot(12, true);
    stream.values(2);
    stream.snapshot(15, true);
    stream.values(2);
    stream.first = 10;
    let mut tail = Tail::new(options());
    catch_up(&mut tail, &stream);
    tail.reject_snapshot(Offset(15));
    let events = catch_up(&mut tail, &stream);
    assert!(matches!(
        &events[0],
        TailEvent::Snapshot {
            upto: Offset(12),
            ..
        }
    ));
}

/// Guards against a repeated append that counts twice, and against a window without bound.
#[test]
fn a_repeated_identifier_is_dropped_within_the_window() {
    let mut stream = Stream::default();
    stream.values(3);
    stream.push(1, Body::Value(99));
    stream.values(15);
    stream.push(0, Body::Value(99));
    let mut tail = Tail::new(options());
    let offsets = offsets(&catch_up(&mut tail, &stream));
    assert!(!offsets.contains(&3), "inside the window");
    assert!(offsets.contains(&19), "outside the window");
}

/// Guards against a foreign or damaged record that stops every reader of the stream.
#[test]
fn a_malformed_record_is_reported_and_skipped() {
    let mut stream = Stream::default();
    stream.values(1);
    stream.records.push("damaged".to_owned());
    stream.values(1);
    let events = catch_up(&mut Tail::new(options()), &stream);
    assert_eq!(offsets(&events), [0, 2]);
    assert!(matches!(
        events[2],
        TailEvent::Malformed {
            offset: Offset(1),
            ..
        }
    ));
}

proptest! {
    /// Guards against gaps and repeats, whatever the retention drops between and during reads.
    #[test]
    fn replay_is_gapless_from_its_start(
        steps in prop::collection::vec((0_usize..8, any::<bool>(), 0_usize..10, 0_usize..4), 1..60),
    ) {
        let mut stream = Stream::default();
        let mut tail = Tail::new(options());
        let mut next = None;
        for (values, snapshot, dropped, reads) in steps {
            stream.values(values);
            if snapshot {
                stream.snapshot(stream.records.len().saturating_sub(1), true);
            }
            stream.first = (stream.first + dropped).min(stream.records.len());
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
        catch_up(&mut tail, &stream);
    }
}
