//! When the configuration stream needs a snapshot, and from which entry.

use hyssop_conf::ConfStore;
use hyssop_core::{Millis, Offset, RecordId};

/// Records of the stream after which a snapshot is due.
const SNAPSHOT_RECORDS: u64 = 4_096;
/// Part of the log's retention after which a snapshot is due, as a divisor.
const SNAPSHOT_PART: u64 = 4;
/// Part of the log's retention after which a missing snapshot is an alarm, as a divisor.
const ALARM_PART: u64 = 2;
/// Interval of the alarm's log lines.
const ALARM_INTERVAL: Millis = Millis(60_000);
/// Time after the start at which the first snapshot is due if records follow the last one. The
/// age of that one is not known, and entries that restart often must not put it off for ever.
const FIRST_SNAPSHOT: Millis = Millis(60_000);
/// Delay per rank before an entry other than the first offers a snapshot that is owed.
const RANK_DELAY: Millis = Millis(500);
/// Further delay of an entry that holds nothing, so that one that holds state goes first.
const EMPTY_DELAY: Millis = Millis(30_000);
/// Time after which an unsettled snapshot is given up and made anew.
pub(crate) const SNAPSHOT_LIMIT: Millis = Millis(10_000);

/// Snapshots of the configuration stream.
#[derive(Debug)]
pub(crate) struct Snapshots {
    retention: Millis,
    /// Time at which the last one was seen to be new; `None` if it was there at the start.
    at: Option<Millis>,
    /// Offset of the last one.
    offset: Offset,
    /// Time since which the stream needs one that this entry can offer.
    owed: Option<Millis>,
    /// Snapshot on its way, with the time at which it was written.
    pending: Option<(RecordId, Millis)>,
    alarmed: Option<Millis>,
}

impl Snapshots {
    /// Creates a table without snapshots.
    pub(crate) const fn new(retention: Millis) -> Self {
        Self {
            retention,
            at: None,
            offset: Offset(0),
            owed: None,
            pending: None,
            alarmed: None,
        }
    }

    /// Notes a snapshot that was read. `at` is its time if it was written since the last read.
    pub(crate) fn note(&mut self, at: Option<Millis>, offset: Offset, id: RecordId) {
        self.at = at;
        self.offset = offset;
        self.drop_pending(id);
    }

    /// Notes that a record is not tried any more.
    pub(crate) fn drop_pending(&mut self, id: RecordId) {
        self.pending.take_if(|(pending, _)| *pending == id);
    }

    /// Notes a snapshot that was submitted.
    pub(crate) const fn submitted(&mut self, now: Millis, id: RecordId) {
        self.pending = Some((id, now));
    }

    /// Tells whether this entry, with this rank among the live ones, has to write a snapshot now.
    pub(crate) fn is_due(&mut self, now: Millis, conf: &ConfStore, rank: u32) -> bool {
        let pending = self
            .pending
            .is_some_and(|(_, at)| now.since(at) < SNAPSHOT_LIMIT);
        if pending {
            return false;
        }
        self.pending = None;
        // The first record of a stream cannot be a change, because version 0 stands for none.
        let empty = conf.next_offset() == Offset(0) && conf.is_fresh(now);
        if empty || conf.needs_snapshot() {
            let since = *self.owed.get_or_insert(now);
            let mut delay = Millis(RANK_DELAY.0 * u64::from(rank));
            if !empty && !conf.has_state() {
                delay = delay + EMPTY_DELAY;
            }
            return now.since(since) >= delay;
        }
        self.owed = None;
        rank == 0
            && conf.is_fresh(now)
            && conf.next_offset() > Offset(0)
            && self.is_old(now, conf.next_offset())
    }

    fn is_old(&self, now: Millis, next: Offset) -> bool {
        let follow = next.0.saturating_sub(self.offset.next().0);
        let first = self.at.is_none() && follow > 0 && now >= FIRST_SNAPSHOT;
        let old = self.age(now).0 >= self.retention.0 / SNAPSHOT_PART;
        first || old || follow >= SNAPSHOT_RECORDS
    }

    /// Returns the age of the last snapshot, at least as far as this process has seen it.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.at.unwrap_or_default())
    }

    /// Warns while the last snapshot is so old that the state may soon be lost with the processes
    /// that hold it.
    pub(crate) fn alarm(&mut self, now: Millis) {
        let age = self.age(now);
        let told = self
            .alarmed
            .is_some_and(|at| now.since(at) < ALARM_INTERVAL);
        if age.0 < self.retention.0 / ALARM_PART || told {
            return;
        }
        self.alarmed = Some(now);
        log::error!("the newest snapshot of the configuration is {age} ms old");
    }
}
