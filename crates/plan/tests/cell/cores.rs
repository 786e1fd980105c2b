//! A single core with an in-memory stream, for tests that choose its inputs themselves.

use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, Class, ConfView, Connectivity, DocView, EntryName, Envelope, Incarnation,
    Millis, PollReply, PollRequest, RackName, RecordId, Resources, Term, Version, WorkerName,
    WorkerTimestamp,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use crate::samples::{doc, domain, worker_name};
use crate::streams::{Stream, append, read};

/// A core with one worker, and its stream.
pub(crate) struct TestCore {
    pub(crate) cell: Cell,
    pub(crate) id: CellId,
    pub(crate) now: Millis,
    pub(crate) stream: Stream,
    pub(crate) connectivity: Connectivity,
    pub(crate) outputs: Vec<Output>,
}

impl TestCore {
    /// Creates the core of entry 0 with a document for batch jobs and a stream with these records.
    pub(crate) fn new(records: Vec<Envelope<CellRecord>>) -> Self {
        Self::of_entry(0, records)
    }

    /// Creates the core of the entry with this number.
    pub(crate) fn of_entry(entry: u64, records: Vec<Envelope<CellRecord>>) -> Self {
        let id = CellId::new(domain("a"), 0);
        let options = CellOptions {
            cell: id.clone(),
            cells: vec![id.clone()],
            workers: vec![worker_name(&id, 0)],
            entry: EntryName::new(format!("entry-{entry}")).expect("entry"),
            incarnation: Incarnation(1),
            seed: 7 + entry,
            poll_interval: Millis(1_000),
            retention: Millis(3_600_000),
        };
        let mut core = Self {
            cell: Cell::new(options),
            id,
            now: Millis(100_000),
            stream: Stream {
                records,
                ..Stream::default()
            },
            connectivity: Connectivity::Confirmed,
            outputs: Vec::new(),
        };
        let mut conf = ConfView::default();
        let doc = doc("cuts", Class::Batch, 0);
        let version = Version(1);
        conf.docs
            .insert(doc.service.clone(), DocView { version, doc });
        core.step(vec![Input::Conf(Arc::new(conf))]);
        core
    }

    pub(crate) fn worker(&self) -> WorkerName {
        worker_name(&self.id, 0)
    }

    /// Advances the time by 50 ms and ticks the core with a read of the stream and these inputs.
    pub(crate) fn step(&mut self, inputs: Vec<Input>) {
        self.now = self.now + Millis(50);
        let mut all = vec![
            Input::Connectivity {
                connectivity: self.connectivity,
                has_majority: true,
                has_recent_start: false,
                rank: 0,
            },
            read(&self.stream, self.now, self.cell.next_offset()),
        ];
        all.extend(inputs);
        self.outputs = self.cell.tick(self.now, all);
        for output in &self.outputs {
            if let Output::Append(records) = output {
                append(&mut self.stream, records, false);
            }
        }
    }

    /// Advances the time until the core owns the cell; returns false if it does not within 10 s.
    pub(crate) fn run_until_owner(&mut self) -> bool {
        for _ in 0..200 {
            self.step(Vec::new());
            if self.cell.state().is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the poll of the last step.
    pub(crate) fn last_poll(&self) -> Option<&PollRequest> {
        self.outputs.iter().find_map(|output| match output {
            Output::Poll { request, .. } => Some(request),
            _ => None,
        })
    }

    /// Returns a reply without tasks or events to the poll of the last step, if there was one.
    pub(crate) fn build_reply(&self, term: Term) -> Option<Input> {
        self.last_poll()?;
        let reply = PollReply {
            timestamp: WorkerTimestamp {
                incarnation: Incarnation(100),
                at: self.now,
            },
            term,
            capacity: Resources::new(16_000, 60_000, 0),
            rack: RackName::new("r0").expect("rack"),
            events: Vec::new(),
            usage: Vec::new(),
            inventory: Some(Vec::new()),
            rejected: smallvec::SmallVec::new(),
        };
        Some(Input::Polled {
            worker: self.worker(),
            sent_at: self.now,
            reply,
        })
    }

    /// Counts the records of the stream that satisfy a condition.
    pub(crate) fn count_records(&self, wanted: impl Fn(&CellRecord) -> bool) -> usize {
        let records = self.stream.records.iter();
        records.filter(|record| wanted(&record.body)).count()
    }
}

/// Returns a record written by an earlier owner.
pub(crate) fn earlier_record(id: u128, term: u64, body: CellRecord) -> Envelope<CellRecord> {
    Envelope {
        id: RecordId(id),
        writer: EntryName::new("entry-9").expect("entry"),
        term: Term(term),
        body,
    }
}
