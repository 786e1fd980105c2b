//! The platform's log in memory: offsets, retention and outages.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, Offset, ReadReply, StoredRecord};

/// Most records in one answer.
const MAX_READ: usize = 4_096;

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Millis, String)>,
}

/// The log.
#[derive(Debug)]
pub(crate) struct MemoryLog {
    streams: BTreeMap<String, Stream>,
    retention: Millis,
    /// Whether requests are refused.
    pub(crate) down: bool,
}

impl MemoryLog {
    pub(crate) fn new(retention: Millis) -> Self {
        Self {
            streams: BTreeMap::new(),
            retention,
            down: false,
        }
    }

    /// Appends records and returns the offset of the first.
    pub(crate) fn append(&mut self, now: Millis, stream: &str, records: &[String]) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as u64;
        let stored = records.iter().map(|record| (now, record.clone()));
        stream.records.extend(stored);
        Offset(offset)
    }

    /// Reads from an offset, or from the first one kept.
    pub(crate) fn read(&mut self, now: Millis, name: &str, from: Offset) -> ReadReply {
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(now, retention);
        let head = stream.first + stream.records.len() as u64;
        let start = from.0.clamp(stream.first, head);
        let skip = usize::try_from(start - stream.first).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(MAX_READ);
        let records = (start..)
            .zip(records)
            .map(|(offset, (_, record))| StoredRecord {
                offset: Offset(offset),
                record: record.clone(),
            });
        ReadReply {
            first: Offset(stream.first),
            head: Offset(head),
            records: records.collect(),
        }
    }

    /// Tells whether records of a stream have expired.
    pub(crate) fn has_expired(&self, name: &str) -> bool {
        self.streams
            .get(name)
            .is_some_and(|stream| stream.first > 0)
    }
}

impl Stream {
    fn expire(&mut self, now: Millis, retention: Millis) {
        while let Some((at, _)) = self.records.front()
            && now.since(*at) > retention
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}
