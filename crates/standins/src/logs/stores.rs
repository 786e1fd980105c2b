//! Streams in memory, with retention and a limit on the rate of appends.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, Offset, ReadReply, StoredRecord};

use super::LogServerOptions;

/// Most bytes of records in one reply; a single larger record goes alone.
const MAX_REPLY: usize = 4 * 1024 * 1024;
/// Thousandths of an append, the unit of the rate limit.
const APPEND_COST: u64 = 1_000;

/// Streams in memory. Does no I/O and has no clock.
#[derive(Clone, Debug)]
pub struct LogStore {
    options: LogServerOptions,
    streams: BTreeMap<String, Stream>,
    /// Thousandths of appends that may be made at once; one second's worth at most.
    credit: u64,
    refilled: Millis,
}

#[derive(Clone, Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<(Millis, String)>,
}

impl Stream {
    fn head(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    fn expire(&mut self, now: Millis, options: &LogServerOptions) {
        while let Some((at, _)) = self.records.front() {
            let surplus = self.records.len() > options.max_records;
            if !surplus && now.since(*at) <= options.retention {
                return;
            }
            self.records.pop_front();
            self.first = self.first.next();
        }
    }
}

impl LogStore {
    /// Creates a store without streams.
    #[must_use]
    pub const fn new(options: LogServerOptions) -> Self {
        let credit = options.append_rate as u64 * APPEND_COST;
        Self {
            options,
            streams: BTreeMap::new(),
            credit,
            refilled: Millis(0),
        }
    }

    /// Takes one append out of the rate limit, and returns whether there was one left.
    pub fn try_admit(&mut self, now: Millis) -> bool {
        let rate = u64::from(self.options.append_rate);
        let earned = now.since(self.refilled).0.saturating_mul(rate);
        self.credit = (self.credit.saturating_add(earned)).min(rate * APPEND_COST);
        self.refilled = now.max(self.refilled);
        let admitted = self.credit >= APPEND_COST;
        if admitted {
            self.credit -= APPEND_COST;
        }
        admitted
    }

    /// Appends records together and returns the offset of the first.
    pub fn append(&mut self, now: Millis, stream: &str, records: Vec<String>) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.head();
        let stamped = records.into_iter().map(|record| (now, record));
        stream.records.extend(stamped);
        stream.expire(now, &self.options);
        offset
    }

    /// Reads up to `max` records from `from` on; a stream never written is empty.
    pub fn read(&mut self, now: Millis, stream: &str, from: Offset, max: usize) -> ReadReply {
        let Some(stream) = self.streams.get_mut(stream) else {
            return ReadReply {
                first: Offset(0),
                head: Offset(0),
                records: Vec::new(),
            };
        };
        stream.expire(now, &self.options);
        let skip = from.0.saturating_sub(stream.first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let start = stream.first.0 + skip.min(stream.records.len()) as u64;
        let mut bytes = 0;
        let records = stream.records.iter().skip(skip).take(max);
        let records = records.enumerate().map_while(|(i, (_, record))| {
            bytes += record.len();
            (i == 0 || bytes <= MAX_REPLY).then(|| StoredRecord {
                offset: Offset(start + i as u64),
                record: record.clone(),
            })
        });
        ReadReply {
            first: stream.first,
            head: stream.head(),
            records: records.collect(),
        }
    }
}
