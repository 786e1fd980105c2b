//! One core whose inputs a test chooses freely, against a stream in memory.

use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, Class, ConfView, DocView, EntryName, Envelope, Incarnation, Millis,
    PollReply, PollRequest, RackName, RecordId, Resources, Stamp, Standing, Term, Version,
    WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use crate::samples::{doc, domain, worker_name};
use crate::streams::{Stream, append, read};

/// A core with one worker, and its stream.
pub(crate) struct Raw {
    pub(crate) cell: Cell,
    pub(crate) id: CellId,
    pub(crate) now: Millis,
    pub(crate) stream: Stream,
    pub(crate) standing: Standing,
    pub(crate) outputs: Vec<Output>,
}

impl Raw {
    /// Creates a core that knows the documents and reads a stream with these records.
    pub(crate) fn new(records: Vec<Envelope<CellRecord>>) -> Self {
        Self::of_entry(0, records)
    }

    /// Creates the core of one of several entries.
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
        let mut raw = Self {
            cell: Cell::new(options),
            id,
            now: Millis(100_000),
            stream: Stream {
                records,
                ..Stream::default()
            },
            standing: Standing::Proved,
            outputs: Vec::new(),
        };
        let mut conf = ConfView::default();
        let doc = doc("cuts", Class::Batch, 0);
        let version = Version(1);
        conf.docs
            .insert(doc.service.clone(), DocView { version, doc });
        raw.step(vec![Input::Conf(Arc::new(conf))]);
        raw
    }

    pub(crate) fn worker(&self) -> WorkerName {
        worker_name(&self.id, 0)
    }

    /// Lets 50 ms pass, with a read of the whole stream and the inputs.
    pub(crate) fn step(&mut self, inputs: Vec<Input>) {
        self.now = self.now + Millis(50);
        let mut all = vec![
            Input::Connectivity {
                connectivity: self.standing,
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

    /// Lets time pass until the core owns the cell.
    pub(crate) fn own(&mut self) -> bool {
        for _ in 0..200 {
            self.step(Vec::new());
            if self.cell.state().is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the poll of the last step.
    pub(crate) fn polled(&self) -> Option<&PollRequest> {
        self.outputs.iter().find_map(|output| match output {
            Output::Poll { request, .. } => Some(request),
            _ => None,
        })
    }

    /// Returns an empty answer to the poll of the last step.
    pub(crate) fn reply(&self, term: Term) -> Option<Input> {
        self.polled()?;
        let reply = PollReply {
            stamp: Stamp {
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

    /// Counts the records of the stream that a test looks for.
    pub(crate) fn count(&self, wanted: impl Fn(&CellRecord) -> bool) -> usize {
        let records = self.stream.records.iter();
        records.filter(|record| wanted(&record.body)).count()
    }
}

/// Returns a record of an earlier owner.
pub(crate) fn earlier(id: u128, term: u64, body: CellRecord) -> Envelope<CellRecord> {
    Envelope {
        id: RecordId(id),
        writer: EntryName::new("entry-9").expect("entry"),
        term: Term(term),
        body,
    }
}
