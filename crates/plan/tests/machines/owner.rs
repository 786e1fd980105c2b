//! One owner with an in-memory stream and one fake worker, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::{
    Attempt, CellId, CellRecord, Class, ConfView, Connectivity, DocView, DomainName, DomainState,
    EntryName, Envelope, Event, EventKind, Incarnation, JobCall, JobId, JobReply, JobSpec, Limits,
    Millis, Moves, Needs, Offset, Order, PollReply, PollRequest, RackName, Resources, RunningTask,
    ServiceDoc, ServiceName, StartOrder, TeamName, Term, Version, WorkerName, WorkerTimestamp,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};
use smallvec::SmallVec;

/// Time between two ticks, in milliseconds.
pub(crate) const TICK_MS: u64 = 50;
/// Capacity of the worker, enough for three jobs.
pub(crate) const CAPACITY: Resources = Resources::new(6_500, 6_500, 0);

pub(crate) fn job(number: usize) -> JobId {
    JobId::new(format!("job-{number}")).unwrap()
}

fn domain() -> DomainName {
    DomainName::new("a").unwrap()
}

pub(crate) fn worker_name() -> WorkerName {
    WorkerName::new("w").unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("cuts").unwrap()
}

fn team() -> TeamName {
    TeamName::new("haugland").unwrap()
}

pub(crate) fn spec(number: usize) -> JobSpec {
    JobSpec {
        id: job(number),
        team: team(),
        service: service(),
        kind: service(),
        class: Class::Batch,
        needs: Resources::new(2_000, 2_000, 0),
        work: Millis(60_000),
        domains: SmallVec::new(),
        payload: String::new(),
    }
}

fn doc() -> ServiceDoc {
    ServiceDoc {
        service: service(),
        team: team(),
        class: Class::Batch,
        domains: [domain()].into_iter().collect(),
        needs: Needs {
            resources: Resources::new(4_000, 4_000, 0),
            instances: 0,
        },
        moves: Moves::default(),
        limits: Limits::default(),
        idempotent: Vec::new(),
    }
}

/// A worker that executes all orders and ends tasks when the test requests it.
pub(crate) struct Worker {
    pub(crate) tasks: BTreeMap<JobId, StartOrder>,
    /// Started attempts with their times, in order.
    pub(crate) starts: Vec<(u64, JobId, Attempt)>,
    events: Vec<Event>,
    seq: u64,
    term: Term,
}

impl Worker {
    fn poll(&mut self, now: Millis, request: &PollRequest) -> PollReply {
        let is_new_term = self.term < request.term;
        self.term = self.term.max(request.term);
        self.events.retain(|event| event.seq > request.acked_seq);
        for order in &request.orders {
            self.execute(now, order);
        }
        let inventory = (is_new_term || request.wants_inventory).then(|| self.inventory());
        PollReply {
            timestamp: WorkerTimestamp {
                incarnation: Incarnation(1),
                at: now,
            },
            term: self.term,
            capacity: CAPACITY,
            rack: RackName::new("r").unwrap(),
            events: self.events.clone(),
            usage: Vec::new(),
            inventory,
            rejected: SmallVec::new(),
        }
    }

    fn execute(&mut self, now: Millis, order: &Order) {
        match order {
            Order::Start(start) => {
                let key = (start.job.clone(), start.attempt);
                self.starts.push((now.0, key.0, key.1));
                self.tasks.insert(start.job.clone(), start.clone());
                self.add_event(&start.job, start.attempt, EventKind::Started);
            }
            Order::Evict { job, attempt } => {
                let checkpoint = 0;
                self.end_task(job, *attempt, EventKind::Evicted { checkpoint });
            }
            Order::Stop { job, attempt } => self.end_task(job, *attempt, EventKind::Stopped),
            Order::Throttle { .. } => {}
        }
    }

    fn end_task(&mut self, job: &JobId, attempt: Attempt, kind: EventKind) {
        if self.tasks.get(job).is_some_and(|t| t.attempt == attempt) {
            self.tasks.remove(job);
            self.add_event(job, attempt, kind);
        }
    }

    fn add_event(&mut self, job: &JobId, attempt: Attempt, kind: EventKind) {
        self.seq += 1;
        self.events.push(Event {
            seq: self.seq,
            job: job.clone(),
            attempt,
            kind,
        });
    }

    fn inventory(&self) -> Vec<RunningTask> {
        let one = |task: &StartOrder| RunningTask {
            job: task.job.clone(),
            attempt: task.attempt,
            class: task.class,
            needs: task.needs,
            checkpoint: task.checkpoint,
        };
        self.tasks.values().map(one).collect()
    }

    /// Ends the running task at position `at`, if there is one, and returns its job.
    pub(crate) fn end_nth_task(&mut self, at: usize, is_success: bool) -> Option<JobId> {
        let (job, attempt) = {
            let task = self.tasks.values().nth(at)?;
            (task.job.clone(), task.attempt)
        };
        let kind = match is_success {
            true => EventKind::Finished {
                result: job.to_string(),
            },
            false => EventKind::Failed {
                cause: "test".to_owned(),
            },
        };
        self.end_task(&job, attempt, kind);
        Some(job)
    }
}

/// Changes a worker's reply before it is delivered.
pub(crate) type ReplyChange = Box<dyn FnMut(&mut PollReply)>;

/// The owner of a cell with its stream, configuration and worker.
pub(crate) struct Owner {
    pub(crate) now: u64,
    pub(crate) cell: Cell,
    pub(crate) stream: Vec<Envelope<CellRecord>>,
    pub(crate) worker: Worker,
    pub(crate) replies: BTreeMap<u64, JobReply>,
    /// Change to the worker's replies, if any.
    pub(crate) change_reply: Option<ReplyChange>,
    conf: ConfView,
    inputs: Vec<Input>,
    last_token: u64,
}

impl Owner {
    /// Creates an owner that has claimed its cell and polled its worker.
    pub(crate) fn new() -> Self {
        let cell = CellId::new(domain(), 0);
        let options = CellOptions {
            cell: cell.clone(),
            cells: vec![cell],
            workers: vec![worker_name()],
            entry: EntryName::new("e").unwrap(),
            incarnation: Incarnation(1),
            seed: 1,
            poll_interval: Millis(1_000),
            retention: Millis(3_600_000),
        };
        let worker = Worker {
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            events: Vec::new(),
            seq: 0,
            term: Term(0),
        };
        let version = Version(1);
        let mut conf = ConfView {
            applied: Offset(2),
            ..ConfView::default()
        };
        conf.docs.insert(
            service(),
            DocView {
                version,
                doc: doc(),
            },
        );
        let mut owner = Self {
            now: 10_000,
            cell: Cell::new(options),
            stream: Vec::new(),
            worker,
            replies: BTreeMap::new(),
            change_reply: None,
            inputs: vec![Input::Conf(Arc::new(conf.clone()))],
            conf,
            last_token: 0,
        };
        owner.run(10_000);
        assert!(owner.cell.state().is_some(), "the cell is claimed");
        owner
    }

    /// Sets the state of the domain.
    pub(crate) fn set_domain(&mut self, state: DomainState) {
        let version = Version(self.conf.applied.0);
        self.conf.applied = self.conf.applied.next();
        self.conf.domains.insert(domain(), (version, state));
        self.inputs.push(Input::Conf(Arc::new(self.conf.clone())));
    }

    /// Makes a call and returns its token.
    pub(crate) fn call(&mut self, call: JobCall) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.inputs.push(Input::Call { token, call });
        token
    }

    /// Advances the time by `time` milliseconds.
    pub(crate) fn run(&mut self, time: u64) {
        for _ in 0..time / TICK_MS {
            self.step();
        }
    }

    /// Advances the time by one tick.
    pub(crate) fn step(&mut self) {
        self.now += TICK_MS;
        let from = usize::try_from(self.cell.next_offset().0).unwrap();
        let records = self.stream.iter().enumerate().skip(from);
        let offset = |at: usize| Offset(at as u64);
        let mut inputs = vec![
            Input::Connectivity {
                connectivity: Connectivity::Confirmed,
                has_majority: true,
                has_recent_start: false,
                rank: 0,
            },
            Input::Read {
                sent_at: Millis(self.now),
                first_offset: Offset(0),
                head_offset: offset(self.stream.len()),
                records: records.map(|(at, r)| (offset(at), r.clone())).collect(),
            },
        ];
        inputs.append(&mut self.inputs);
        for output in self.cell.tick(Millis(self.now), inputs) {
            self.apply_output(output);
        }
    }

    fn apply_output(&mut self, output: Output) {
        match output {
            Output::Append(records) => {
                let known: BTreeSet<_> = self.stream.iter().map(|record| record.id).collect();
                let new_records = records.into_iter().filter(|r| !known.contains(&r.id));
                self.stream.extend(new_records);
            }
            Output::Poll { worker, request } => {
                let sent = Millis(self.now);
                let mut reply = self.worker.poll(sent, &request);
                if let Some(change_reply) = &mut self.change_reply {
                    change_reply(&mut reply);
                }
                self.inputs.push(Input::Polled {
                    worker,
                    sent_at: sent,
                    reply,
                });
            }
            Output::Reply { token, reply } => {
                assert!(self.replies.insert(token, reply).is_none(), "two replies");
            }
            Output::Transfer { .. } | Output::SendResult { .. } => {
                panic!("there is no other cell")
            }
            Output::AbandonAppends | Output::Stopped => panic!("the owner lost its cell"),
        }
    }
}
