//! In-memory stand-in for the platform's log: offsets, retention and outages.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, Offset, ReadReply, StoredRecord};

/// Largest number of records in one reply.
const MAX_READ: usize = 4_096;

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(Millis, String)>,
}

/// The log with all its streams.
#[derive(Debug)]
pub(crate) struct MemoryLog {
    streams: BTreeMap<String, Stream>,
    retention: Millis,
    /// Whether the log refuses all requests.
    pub(crate) is_down: bool,
}

impl MemoryLog {
    pub(crate) fn new(retention: Millis) -> Self {
        Self {
            streams: BTreeMap::new(),
            retention,
            is_down: false,
        }
    }

    /// Appends records and returns the offset of the first.
    pub(crate) fn append(&mut self, now: Millis, stream: &str, records: &[String]) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.first_offset + stream.records.len() as u64;
        let stored = records.iter().map(|record| (now, record.clone()));
        stream.records.extend(stored);
        Offset(offset)
    }

    /// Reads from an offset, or from the first retained one if it is later.
    pub(crate) fn read(&mut self, now: Millis, name: &str, from: Offset) -> ReadReply {
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(now, retention);
        let head = stream.first_offset + stream.records.len() as u64;
        let start = from.0.clamp(stream.first_offset, head);
        let skip = usize::try_from(start - stream.first_offset).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(MAX_READ);
        let records = (start..)
            .zip(records)
            .map(|(offset, (_, record))| StoredRecord {
                offset: Offset(offset),
                record: record.clone(),
            });
        ReadReply {
            first: Offset(stream.first_offset),
            head: Offset(head),
            records: records.collect(),
        }
    }

    /// Returns whether records of a stream have expired.
    pub(crate) fn has_expired(&self, name: &str) -> bool {
        self.streams
            .get(name)
            .is_some_and(|stream| stream.first_offset > 0)
    }
}

impl Stream {
    fn expire(&mut self, now: Millis, retention: Millis) {
        while let Some((at, _)) = self.records.front()
            && now.since(*at) > retention
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}
