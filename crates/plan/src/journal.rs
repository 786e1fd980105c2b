//! Records that were written and not yet read back, and the calls that wait for them.

use std::collections::BTreeMap;

use hyssop_core::{CellRecord, EntryName, Envelope, JobId, Millis, RecordId, Term};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Time for which a call waits until its record is read back. After it the reply says that the
/// outcome is unknown.
const COMMIT_TIMEOUT: Millis = Millis(5_000);

/// Reply to a call once its record is read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PendingReply {
    /// The status of the job.
    Status(JobId),
    /// The result of the job, if the receipt is the one recorded by the fetch.
    Result(JobId, String),
}

/// A record that was written and is not yet read back.
#[derive(Debug, Default)]
pub(crate) struct PendingRecord {
    /// Tokens of the waiting calls, and their replies.
    pub(crate) waiters: Vec<(u64, PendingReply)>,
    /// Time at which the first of the calls began to wait.
    waiting_since: Option<Millis>,
}

/// Records that this process writes to the cell's stream.
#[derive(Debug)]
pub(crate) struct Journal {
    writer: EntryName,
    rng: StdRng,
    /// Records for the next append.
    pub(crate) queue: Vec<Envelope<CellRecord>>,
    /// Records that are queued or appended and not yet read back.
    pub(crate) pending: BTreeMap<RecordId, PendingRecord>,
}

impl Journal {
    pub(crate) fn new(writer: EntryName, seed: u64) -> Self {
        Self {
            writer,
            rng: StdRng::seed_from_u64(seed),
            queue: Vec::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns the generator that all random choices of the cell are taken from.
    pub(crate) fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Queues a record for the next append and returns its identifier.
    pub(crate) fn write(&mut self, term: Term, body: CellRecord) -> RecordId {
        let high = u128::from(self.rng.next_u64());
        let id = RecordId(high << 64 | u128::from(self.rng.next_u64()));
        self.queue.push(Envelope {
            id,
            writer: self.writer.clone(),
            term,
            body,
        });
        self.pending.insert(id, PendingRecord::default());
        id
    }

    /// Makes a call wait until a record is read back.
    pub(crate) fn add_waiter(
        &mut self,
        now: Millis,
        id: RecordId,
        token: u64,
        reply: PendingReply,
    ) {
        let record = self.pending.entry(id).or_default();
        record.waiting_since.get_or_insert(now);
        record.waiters.push((token, reply));
    }

    /// Removes the calls that have waited for `COMMIT_TIMEOUT` and returns their tokens. Their
    /// records may still be committed.
    pub(crate) fn expire_waiters(&mut self, now: Millis) -> Vec<u64> {
        let records = self.pending.values_mut();
        let is_late =
            |since: Option<Millis>| since.is_some_and(|at| now.since(at) > COMMIT_TIMEOUT);
        records
            .filter(|record| is_late(record.waiting_since))
            .flat_map(|record| {
                record.waiting_since = None;
                std::mem::take(&mut record.waiters)
            })
            .map(|(token, _)| token)
            .collect()
    }

    /// Removes a record that was read back, and returns it with the calls that waited for it.
    pub(crate) fn commit(&mut self, id: RecordId) -> Option<PendingRecord> {
        self.pending.remove(&id)
    }

    /// Discards all pending records and returns the tokens of the calls that waited for them.
    pub(crate) fn abandon(&mut self) -> Vec<u64> {
        self.queue.clear();
        let records = std::mem::take(&mut self.pending);
        let waiters = records.into_values().flat_map(|record| record.waiters);
        waiters.map(|(token, _)| token).collect()
    }
}
