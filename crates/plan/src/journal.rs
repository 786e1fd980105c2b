//! Records on their way into the stream and the calls that wait for them.

use std::collections::BTreeMap;

use hyssop_core::{CellRecord, EntryName, Envelope, JobId, Millis, RecordId, Term};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Time for which a call waits for its record. The outcome is unknown after that.
const COMMIT_TIMEOUT: Millis = Millis(5_000);

/// What is to be answered once a record is read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PendingReply {
    /// The status of the job.
    Status(JobId),
    /// The result, if the receipt is the one that took it.
    Result(JobId, String),
}

/// A record that is not yet read back.
#[derive(Debug, Default)]
pub(crate) struct PendingRecord {
    /// Calls that wait, by token.
    pub(crate) waiters: Vec<(u64, PendingReply)>,
    /// Time since which a call waits.
    waiting_since: Option<Millis>,
}

/// Records that this process has written in its term.
#[derive(Debug)]
pub(crate) struct Journal {
    writer: EntryName,
    rng: StdRng,
    /// Records for the next append.
    pub(crate) queue: Vec<Envelope<CellRecord>>,
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

    /// Lets a call wait for a record.
    pub(crate) fn add_waiter(
        &mut self,
        now: Millis,
        id: RecordId,
        token: u64,
        answer: PendingReply,
    ) {
        let record = self.pending.entry(id).or_default();
        record.waiting_since.get_or_insert(now);
        record.waiters.push((token, answer));
    }

    /// Takes the tokens of the calls that have waited too long. Their records may still settle.
    pub(crate) fn expire_waiters(&mut self, now: Millis) -> Vec<u64> {
        let records = self.pending.values_mut();
        let late = |since: Option<Millis>| since.is_some_and(|at| now.since(at) > COMMIT_TIMEOUT);
        records
            .filter(|record| late(record.waiting_since))
            .flat_map(|record| {
                record.waiting_since = None;
                std::mem::take(&mut record.waiters)
            })
            .map(|(token, _)| token)
            .collect()
    }

    /// Takes the calls that waited for a record which was read back.
    pub(crate) fn commit(&mut self, id: RecordId) -> Option<PendingRecord> {
        self.pending.remove(&id)
    }

    /// Drops all records and returns the tokens of the calls that waited for them.
    pub(crate) fn abandon(&mut self) -> Vec<u64> {
        self.queue.clear();
        let records = std::mem::take(&mut self.pending);
        let waiters = records.into_values().flat_map(|record| record.waiters);
        waiters.map(|(token, _)| token).collect()
    }
}
