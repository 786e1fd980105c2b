//! A cell core with a given number of workers, running tasks and pending jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{
    Attempt, CellId, CellRecord, Class, ConfView, Connectivity, Crashes, DocView, DomainName,
    EntryName, Envelope, Incarnation, Intent, JobCall, JobId, JobSpec, Limits, Millis, Moves,
    Needs, Offset, PollReply, PollRequest, RackName, RecordId, Resources, ServiceDoc, ServiceName,
    TeamName, Term, Version, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};
use smallvec::smallvec;

use super::workers::SimWorker;
use crate::clocks::thread_cpu_time;

/// Virtual time that passes in one tick.
pub(super) const TICK_INTERVAL: Millis = Millis(50);
/// Number of ticks in a second of virtual time.
pub(super) const TICKS_PER_SECOND: usize = 20;
/// Virtual time after which the core owns the cell and has the inventories of all workers.
const STARTUP_SECONDS: usize = 8;
const DOMAIN: &str = "bergen-a";
const SERVICE: &str = "route-plans";
const TEAM: &str = "haugland";

/// Load of a cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    pub(super) workers: usize,
    pub(super) tasks: usize,
    pub(super) pending_jobs: usize,
    /// Whether each poll reply has a measurement of each task.
    pub(super) has_usage: bool,
}

/// Processor time and messages of one tick.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tick {
    pub(super) cpu: Duration,
    pub(super) replies: usize,
    pub(super) polls: usize,
    pub(super) records: usize,
    pub(super) appends: usize,
}

/// A cell core with an in-memory stream and simulated workers.
pub(super) struct CellFixture {
    cell: Cell,
    now: Millis,
    /// Records from `head_offset` on, which the core reads in the next tick.
    unread_records: Vec<Envelope<CellRecord>>,
    head_offset: u64,
    workers: BTreeMap<WorkerName, SimWorker>,
    inputs: Vec<Input>,
    has_usage: bool,
    last_token: u64,
    /// Polls with their replies, recorded to measure their sizes.
    pub(super) polls: Vec<(PollRequest, PollReply)>,
    /// Records that the core appended, recorded to measure their sizes.
    pub(super) records: Vec<Envelope<CellRecord>>,
    /// Whether `polls` and `records` are filled.
    pub(super) is_recording: bool,
}

fn valid_name<T, E: std::fmt::Debug>(result: Result<T, E>) -> T {
    result.expect("a valid name")
}

fn worker_name(n: usize) -> WorkerName {
    valid_name(WorkerName::new(format!("{DOMAIN}-w{n}")))
}

fn cell_id() -> CellId {
    CellId::new(valid_name(DomainName::new(DOMAIN)), 0)
}

/// Returns the document of a batch service whose jobs may need a whole worker.
pub(super) fn service_document(service: &str) -> ServiceDoc {
    ServiceDoc {
        service: valid_name(ServiceName::new(service)),
        team: valid_name(TeamName::new(TEAM)),
        class: Class::Batch,
        domains: smallvec![valid_name(DomainName::new(DOMAIN))],
        needs: Needs {
            resources: Resources::new(16_000, 60_000, 0),
            instances: 0,
        },
        moves: Moves::default(),
        limits: Limits::default(),
        idempotent: Vec::new(),
    }
}

/// Returns a job that needs one core, or all cores of a worker with 16 cores.
pub(super) fn job(n: usize, whole: bool, work: Millis) -> JobSpec {
    let team = valid_name(TeamName::new(TEAM));
    JobSpec {
        id: JobId::derive(&team, &format!("{n}-{whole}")),
        team,
        service: valid_name(ServiceName::new(SERVICE)),
        kind: valid_name(ServiceName::new("route-plan")),
        class: Class::Batch,
        needs: if whole {
            Resources::new(16_000, 30_000, 0)
        } else {
            Resources::new(1_000, 2_000, 0)
        },
        work,
        domains: smallvec![],
        payload: "shift=early;route=bergen-voss".to_owned(),
    }
}

impl CellFixture {
    /// Creates a fixture whose core has taken over the cell from an earlier owner.
    pub(super) fn new(sizes: Sizes) -> Self {
        let mut fixture = Self::before_election(sizes);
        for _ in 0..STARTUP_SECONDS * TICKS_PER_SECOND {
            fixture.tick();
        }
        assert!(
            fixture.cell.state().is_some(),
            "the core owns the cell after the start-up"
        );
        fixture
    }

    /// Creates a fixture whose core has not read the stream of the earlier owner yet.
    pub(super) fn before_election(sizes: Sizes) -> Self {
        let cell = Cell::new(CellOptions {
            cell: cell_id(),
            cells: vec![cell_id()],
            workers: (0..sizes.workers).map(worker_name).collect(),
            entry: valid_name(EntryName::new("entry-a")),
            incarnation: Incarnation(2),
            seed: 7,
            poll_interval: Millis(1_000),
            retention: Millis(86_400_000),
        });
        let mut fixture = Self {
            cell,
            now: Millis(10_000),
            unread_records: Vec::new(),
            head_offset: 0,
            workers: create_workers(sizes),
            inputs: Vec::new(),
            has_usage: sizes.has_usage,
            last_token: 0,
            polls: Vec::new(),
            records: Vec::new(),
            is_recording: false,
        };
        fixture.queue_conf();
        fixture.write_history(sizes);
        fixture
    }

    fn queue_conf(&mut self) {
        let doc = service_document(SERVICE);
        let mut view = ConfView {
            applied: Offset(1),
            ..ConfView::default()
        };
        let version = Version(0);
        view.docs
            .insert(doc.service.clone(), DocView { version, doc });
        self.inputs.push(Input::Conf(Arc::new(view)));
    }

    /// Writes the records of an earlier owner for the running tasks and the pending jobs.
    fn write_history(&mut self, sizes: Sizes) {
        self.write(CellRecord::Claim {
            owner: valid_name(EntryName::new("entry-b")),
            incarnation: Incarnation(1),
            prior: None,
        });
        for n in 0..sizes.tasks {
            let spec = job(n, false, Millis(1 << 40));
            let (id, class, needs) = (spec.id.clone(), spec.class, spec.needs);
            let worker = worker_name(n % sizes.workers);
            if let Some(sim_worker) = self.workers.get_mut(&worker) {
                sim_worker.add_task(id.clone(), Attempt(1), class, needs);
            }
            self.write_accepted(spec);
            self.write(CellRecord::Intents(smallvec![Intent {
                job: id,
                attempt: Attempt(1),
                worker,
            }]));
        }
        for n in 0..sizes.pending_jobs {
            self.write_accepted(job(n, true, Millis(1_000)));
        }
    }

    fn write_accepted(&mut self, spec: JobSpec) {
        self.write(CellRecord::Accepted {
            spec,
            attempt: Attempt(0),
            checkpoint: 0,
            crashes: Crashes::default(),
        });
    }

    fn write(&mut self, body: CellRecord) {
        let index = self.unread_records.len();
        self.unread_records.push(Envelope {
            id: RecordId(index as u128 + 1),
            writer: valid_name(EntryName::new("entry-b")),
            term: Term(0),
            body,
        });
    }

    /// Submits a job of one core that runs for `work`.
    pub(super) fn submit(&mut self, n: usize, work: Millis) {
        self.last_token += 1;
        let call = JobCall::Submit(job(1_000_000 + n, false, work));
        self.inputs.push(Input::Call {
            token: self.last_token,
            call,
        });
    }

    /// Returns the number of finished jobs, or 0 before the core owns the cell.
    pub(super) fn finished_jobs(&self) -> u64 {
        self.cell.state().map_or(0, |state| state.summary.finished)
    }

    /// Advances the time by [`TICK_INTERVAL`] and measures one tick of the core.
    pub(super) fn tick(&mut self) -> Tick {
        self.now = self.now + TICK_INTERVAL;
        let inputs = self.collect_inputs();
        let mut tick = Tick {
            replies: inputs
                .iter()
                .filter(|input| matches!(input, Input::Polled { .. }))
                .count(),
            ..Tick::default()
        };
        let start = thread_cpu_time();
        let outputs = self.cell.tick(self.now, inputs);
        tick.cpu = thread_cpu_time().saturating_sub(start);
        for output in outputs {
            self.handle_output(output, &mut tick);
        }
        tick
    }

    fn collect_inputs(&mut self) -> Vec<Input> {
        let first_offset = self.head_offset;
        let records: Vec<_> = std::mem::take(&mut self.unread_records)
            .into_iter()
            .zip(first_offset..)
            .map(|(record, offset)| (Offset(offset), record))
            .collect();
        self.head_offset += records.len() as u64;
        let connectivity = Input::Connectivity {
            connectivity: Connectivity::Confirmed,
            has_majority: true,
            has_recent_start: false,
            rank: 0,
        };
        let read = Input::Read {
            sent_at: self.now,
            first_offset: Offset(0),
            head_offset: Offset(self.head_offset),
            records,
        };
        let mut inputs = vec![Input::Peers(Vec::new()), connectivity, read];
        inputs.append(&mut self.inputs);
        inputs
    }

    fn handle_output(&mut self, output: Output, tick: &mut Tick) {
        match output {
            Output::Append(records) => {
                tick.appends += 1;
                tick.records += records.len();
                if self.is_recording {
                    self.records.extend(records.iter().cloned());
                }
                self.unread_records.extend(records);
            }
            Output::Poll { worker, request } => {
                tick.polls += 1;
                let Some(sim_worker) = self.workers.get_mut(&worker) else {
                    return;
                };
                let reply = sim_worker.reply(self.now, &request, self.has_usage);
                if self.is_recording {
                    self.polls.push((request, reply.clone()));
                }
                self.inputs.push(Input::Polled {
                    worker,
                    sent_at: self.now,
                    reply,
                });
            }
            Output::AbandonAppends
            | Output::Reply { .. }
            | Output::Transfer { .. }
            | Output::SendResult { .. }
            | Output::Stopped => {}
        }
    }
}

fn create_workers(sizes: Sizes) -> BTreeMap<WorkerName, SimWorker> {
    let create_worker = |n: usize| {
        let rack = valid_name(RackName::new(format!("{DOMAIN}-r{}", n / 3)));
        // Enough capacity for the tasks and a few short jobs. A job that needs a whole worker does
        // not fit on a worker that runs a task.
        let tasks_per_worker =
            u32::try_from(sizes.tasks.div_ceil(sizes.workers)).unwrap_or(u32::MAX);
        let cores = (tasks_per_worker + 8).max(16) * 1_000;
        (
            worker_name(n),
            SimWorker::new(rack, Resources::new(cores, cores * 4, 0)),
        )
    };
    (0..sizes.workers).map(create_worker).collect()
}
