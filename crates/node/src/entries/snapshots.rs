//! Decides when this entry writes a snapshot of the configuration stream.

use hyssop_conf::ConfStore;
use hyssop_core::{Millis, Offset, RecordId};

/// Records after the last snapshot at which the next one is due.
const MAX_RECORDS_SINCE_SNAPSHOT: u64 = 4_096;
/// A snapshot is due when the last one is older than the log's retention divided by this.
const SNAPSHOT_AGE_DIVISOR: u64 = 4;
/// A warning is logged when the last snapshot is older than the log's retention divided by this.
const STALE_AGE_DIVISOR: u64 = 2;
/// Interval between these warnings.
const STALE_WARNING_INTERVAL: Millis = Millis(60_000);
/// Time after the start at which a snapshot is due if records follow the last one. The age of a
/// snapshot from before the start is unknown, and frequent restarts must not defer the next one
/// indefinitely.
const FIRST_SNAPSHOT_DELAY: Millis = Millis(60_000);
/// Delay per election rank before an entry writes a snapshot that the stream lacks, so that the
/// first in rank usually writes the only one.
const RANK_DELAY: Millis = Millis(500);
/// Additional delay of an entry without state, so that an entry with state writes first.
const EMPTY_STATE_DELAY: Millis = Millis(30_000);
/// Time after which an uncommitted snapshot is given up and a new one may be written.
pub(crate) const SNAPSHOT_TIMEOUT: Millis = Millis(10_000);

/// Snapshots that were read from or submitted to the configuration stream.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    retention: Millis,
    /// Time at which the last snapshot was read; `None` if it was written before the start.
    seen_at: Option<Millis>,
    /// Offset of the last snapshot.
    offset: Offset,
    /// Time since which the stream has lacked a snapshot that this entry can write.
    missing_since: Option<Millis>,
    /// Submitted snapshot that has not been read back, with the time of its submission.
    pending: Option<(RecordId, Millis)>,
    /// Time of the last warning about an old snapshot.
    warned_at: Option<Millis>,
}

impl SnapshotSchedule {
    /// Creates the schedule of a stream of which nothing has been read.
    pub(crate) const fn new(retention: Millis) -> Self {
        Self {
            retention,
            seen_at: None,
            offset: Offset(0),
            missing_since: None,
            pending: None,
            warned_at: None,
        }
    }

    /// Records a snapshot that was read. `seen_at` is `None` if it was written before the start.
    pub(crate) fn record_snapshot(
        &mut self,
        seen_at: Option<Millis>,
        offset: Offset,
        id: RecordId,
    ) {
        self.seen_at = seen_at;
        self.offset = offset;
        self.clear_pending(id);
    }

    /// Clears the pending snapshot if it has this identifier: it was read back or given up.
    pub(crate) fn clear_pending(&mut self, id: RecordId) {
        self.pending.take_if(|(pending, _)| *pending == id);
    }

    /// Records the submission of a snapshot.
    pub(crate) const fn record_submission(&mut self, now: Millis, id: RecordId) {
        self.pending = Some((id, now));
    }

    /// Returns whether this entry, with this election rank among the live ones, has to write a
    /// snapshot now.
    pub(crate) fn is_due(&mut self, now: Millis, conf: &ConfStore, rank: u32) -> bool {
        let is_pending = self
            .pending
            .is_some_and(|(_, at)| now.since(at) < SNAPSHOT_TIMEOUT);
        if is_pending {
            return false;
        }
        self.pending = None;
        // The first record of a stream cannot be a change, because version 0 stands for none.
        let is_empty = conf.next_offset() == Offset(0) && conf.is_fresh(now);
        if is_empty || conf.needs_snapshot() {
            let since = *self.missing_since.get_or_insert(now);
            let mut delay = Millis(RANK_DELAY.0 * u64::from(rank));
            if !is_empty && !conf.has_state() {
                delay = delay + EMPTY_STATE_DELAY;
            }
            return now.since(since) >= delay;
        }
        self.missing_since = None;
        rank == 0
            && conf.is_fresh(now)
            && conf.next_offset() > Offset(0)
            && self.is_old(now, conf.next_offset())
    }

    fn is_old(&self, now: Millis, next: Offset) -> bool {
        let record_count = next.0.saturating_sub(self.offset.next().0);
        let is_first_due =
            self.seen_at.is_none() && record_count > 0 && now >= FIRST_SNAPSHOT_DELAY;
        let is_old = self.age(now).0 >= self.retention.0 / SNAPSHOT_AGE_DIVISOR;
        is_first_due || is_old || record_count >= MAX_RECORDS_SINCE_SNAPSHOT
    }

    /// Returns the time since the last snapshot was read, or since the start for one that was
    /// written before. This is a lower bound of its age.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.seen_at.unwrap_or_default())
    }

    /// Logs an error at intervals while the last snapshot is so old that its records may soon expire.
    /// The state would then be lost when all entries restart.
    pub(crate) fn warn_if_stale(&mut self, now: Millis) {
        let age = self.age(now);
        let was_warned = self
            .warned_at
            .is_some_and(|at| now.since(at) < STALE_WARNING_INTERVAL);
        if age.0 < self.retention.0 / STALE_AGE_DIVISOR || was_warned {
            return;
        }
        self.warned_at = Some(now);
        log::error!("the newest snapshot of the configuration is {age} ms old");
    }
}
