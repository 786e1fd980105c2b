//! In-memory streams with retention and a rate limit on appends.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, Offset, ReadReply, StoredRecord};

use super::LogServerOptions;

/// Maximum bytes of records in one reply. A larger record is returned alone.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Credit that one append costs, in thousandths of an append.
const APPEND_CREDIT: u64 = 1_000;

/// Streams of a log service, in memory. Does no I/O and has no clock; callers pass the time.
#[derive(Clone, Debug)]
pub struct LogStore {
    options: LogServerOptions,
    streams: BTreeMap<String, Stream>,
    /// Unused appends of the rate limit, in thousandths; at most one second's worth.
    credit: u64,
    refilled_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Stream {
    /// Offset of the oldest record that is kept.
    first: Offset,
    /// Records with the time of their append.
    records: VecDeque<(Millis, String)>,
}

impl Stream {
    fn head(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    fn drop_expired(&mut self, now: Millis, options: &LogServerOptions) {
        while let Some((at, _)) = self.records.front() {
            let is_over_limit = self.records.len() > options.max_records;
            if !is_over_limit && now.since(*at) <= options.retention {
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
        let credit = options.append_rate as u64 * APPEND_CREDIT;
        Self {
            options,
            streams: BTreeMap::new(),
            credit,
            refilled_at: Millis(0),
        }
    }

    /// Returns whether the rate limit allows another append now, and counts it if so.
    pub fn try_admit(&mut self, now: Millis) -> bool {
        let rate = u64::from(self.options.append_rate);
        let earned = now.since(self.refilled_at).0.saturating_mul(rate);
        self.credit = (self.credit.saturating_add(earned)).min(rate * APPEND_CREDIT);
        self.refilled_at = now.max(self.refilled_at);
        let is_admitted = self.credit >= APPEND_CREDIT;
        if is_admitted {
            self.credit -= APPEND_CREDIT;
        }
        is_admitted
    }

    /// Appends records as one batch and returns the offset of the first one.
    pub fn append(&mut self, now: Millis, stream: &str, records: Vec<String>) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.head();
        let timed_records = records.into_iter().map(|record| (now, record));
        stream.records.extend(timed_records);
        stream.drop_expired(now, &self.options);
        offset
    }

    /// Reads up to `max` records, starting at offset `from`. An unknown stream counts as empty.
    pub fn read(&mut self, now: Millis, stream: &str, from: Offset, max: usize) -> ReadReply {
        let Some(stream) = self.streams.get_mut(stream) else {
            return ReadReply {
                first: Offset(0),
                head: Offset(0),
                records: Vec::new(),
            };
        };
        stream.drop_expired(now, &self.options);
        let skip = from.0.saturating_sub(stream.first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let first_returned = stream.first.0 + skip.min(stream.records.len()) as u64;
        let mut bytes = 0;
        let records = stream.records.iter().skip(skip).take(max);
        let records = records.enumerate().map_while(|(i, (_, record))| {
            bytes += record.len();
            (i == 0 || bytes <= MAX_REPLY_BYTES).then(|| StoredRecord {
                offset: Offset(first_returned + i as u64),
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
