//! One cell core with as many workers, tasks and waiting jobs as asked for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{
    Attempt, CellId, CellRecord, Class, ConfView, Connectivity, DocView, DomainName, EntryName,
    Envelope, Incarnation, Intent, JobCall, JobId, JobSpec, Limits, Millis, Moves, Needs, Offset,
    PollReply, PollRequest, RackName, RecordId, Resources, ServiceDoc, ServiceName, TeamName, Term,
    Version, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};
use smallvec::smallvec;

use super::workers::Host;
use crate::clocks::cpu_time;

/// Interval of the ticks.
pub(super) const STEP: Millis = Millis(50);
/// Ticks in a second.
pub(super) const TICKS: usize = 20;
/// Seconds until the core owns the cell and has all inventories.
const SETTLE: usize = 8;
const DOMAIN: &str = "bergen-a";
const SERVICE: &str = "route-plans";
const TEAM: &str = "haugland";

/// Sizes of a stage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    pub(super) workers: usize,
    pub(super) tasks: usize,
    pub(super) pending: usize,
    /// Whether each poll brings a measurement of each task.
    pub(super) usage: bool,
}

/// Cost of one tick.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tick {
    pub(super) cpu: Duration,
    pub(super) replies: usize,
    pub(super) polls: usize,
    pub(super) records: usize,
    pub(super) appends: usize,
}

/// A core with its stream and its workers.
pub(super) struct Stage {
    cell: Cell,
    now: Millis,
    /// Records after `head` that are not yet read.
    unread: Vec<Envelope<CellRecord>>,
    head: u64,
    hosts: BTreeMap<WorkerName, Host>,
    inputs: Vec<Input>,
    usage: bool,
    token: u64,
    /// A sample of what was sent and received, for its size in bytes.
    pub(super) polls: Vec<(PollRequest, PollReply)>,
    pub(super) written: Vec<Envelope<CellRecord>>,
    /// Whether messages are kept in `polls` and `written`.
    pub(super) keep: bool,
}

fn name<T, E: std::fmt::Debug>(result: Result<T, E>) -> T {
    result.expect("a valid name")
}

fn worker_name(n: usize) -> WorkerName {
    name(WorkerName::new(format!("{DOMAIN}-w{n}")))
}

fn cell_id() -> CellId {
    CellId::new(name(DomainName::new(DOMAIN)), 0)
}

/// Returns a document that allows jobs as large as a worker.
pub(super) fn document(service: &str) -> ServiceDoc {
    ServiceDoc {
        service: name(ServiceName::new(service)),
        team: name(TeamName::new(TEAM)),
        class: Class::Batch,
        domains: smallvec![name(DomainName::new(DOMAIN))],
        needs: Needs {
            resources: Resources::new(16_000, 60_000, 0),
            instances: 0,
        },
        moves: Moves::default(),
        limits: Limits::default(),
        idempotent: Vec::new(),
    }
}

/// Returns a job of one core, or one that needs a whole worker.
pub(super) fn job(n: usize, whole: bool, work: Millis) -> JobSpec {
    let team = name(TeamName::new(TEAM));
    JobSpec {
        id: JobId::derive(&team, &format!("{n}-{whole}")),
        team,
        service: name(ServiceName::new(SERVICE)),
        kind: name(ServiceName::new("route-plan")),
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

impl Stage {
    /// Builds the stream of an earlier owner and lets the core take over.
    pub(super) fn new(sizes: Sizes) -> Self {
        let mut stage = Self::unowned(sizes);
        for _ in 0..SETTLE * TICKS {
            stage.tick();
        }
        assert!(stage.cell.state().is_some(), "the core owns the cell");
        stage
    }

    /// Returns a stage whose core has not read the stream yet.
    pub(super) fn unowned(sizes: Sizes) -> Self {
        let cell = Cell::new(CellOptions {
            cell: cell_id(),
            cells: vec![cell_id()],
            workers: (0..sizes.workers).map(worker_name).collect(),
            entry: name(EntryName::new("entry-a")),
            incarnation: Incarnation(2),
            seed: 7,
            poll_interval: Millis(1_000),
            retention: Millis(86_400_000),
        });
        let mut stage = Self {
            cell,
            now: Millis(10_000),
            unread: Vec::new(),
            head: 0,
            hosts: hosts(sizes),
            inputs: Vec::new(),
            usage: sizes.usage,
            token: 0,
            polls: Vec::new(),
            written: Vec::new(),
            keep: false,
        };
        stage.configure();
        stage.write_history(sizes);
        stage
    }

    fn configure(&mut self) {
        let doc = document(SERVICE);
        let mut view = ConfView {
            applied: Offset(1),
            ..ConfView::default()
        };
        let version = Version(0);
        view.docs
            .insert(doc.service.clone(), DocView { version, doc });
        self.inputs.push(Input::Conf(Arc::new(view)));
    }

    /// Writes what an earlier owner wrote for the tasks and the waiting jobs.
    fn write_history(&mut self, sizes: Sizes) {
        self.write(CellRecord::Claim {
            owner: name(EntryName::new("entry-b")),
            incarnation: Incarnation(1),
            prior: None,
        });
        for n in 0..sizes.tasks {
            let spec = job(n, false, Millis(1 << 40));
            let (id, class, needs) = (spec.id.clone(), spec.class, spec.needs);
            let worker = worker_name(n % sizes.workers);
            if let Some(host) = self.hosts.get_mut(&worker) {
                host.seed(id.clone(), Attempt(1), class, needs);
            }
            self.accept(spec);
            self.write(CellRecord::Intents(smallvec![Intent {
                job: id,
                attempt: Attempt(1),
                worker,
            }]));
        }
        for n in 0..sizes.pending {
            self.accept(job(n, true, Millis(1_000)));
        }
    }

    fn accept(&mut self, spec: JobSpec) {
        self.write(CellRecord::Accepted {
            spec,
            attempt: Attempt(0),
            checkpoint: 0,
        });
    }

    fn write(&mut self, body: CellRecord) {
        let place = self.unread.len();
        self.unread.push(Envelope {
            id: RecordId(place as u128 + 1),
            writer: name(EntryName::new("entry-b")),
            term: Term(0),
            body,
        });
    }

    /// Submits a job that takes `work`.
    pub(super) fn submit(&mut self, n: usize, work: Millis) {
        self.token += 1;
        let call = JobCall::Submit(job(1_000_000 + n, false, work));
        self.inputs.push(Input::Call {
            token: self.token,
            call,
        });
    }

    /// Returns the number of jobs finished.
    pub(super) fn finished(&self) -> u64 {
        self.cell.state().map_or(0, |state| state.summary.finished)
    }

    /// Lets one step of time pass.
    pub(super) fn tick(&mut self) -> Tick {
        self.now = self.now + STEP;
        let inputs = self.gather();
        let mut tick = Tick {
            replies: inputs
                .iter()
                .filter(|input| matches!(input, Input::Polled { .. }))
                .count(),
            ..Tick::default()
        };
        let start = cpu_time();
        let outputs = self.cell.tick(self.now, inputs);
        tick.cpu = cpu_time().saturating_sub(start);
        for output in outputs {
            self.carry_out(output, &mut tick);
        }
        tick
    }

    fn gather(&mut self) -> Vec<Input> {
        let first = self.head;
        let records: Vec<_> = std::mem::take(&mut self.unread)
            .into_iter()
            .zip(first..)
            .map(|(record, offset)| (Offset(offset), record))
            .collect();
        self.head += records.len() as u64;
        let standing = Input::Connectivity {
            connectivity: Connectivity::Confirmed,
            has_majority: true,
            has_recent_start: false,
            rank: 0,
        };
        let read = Input::Read {
            sent_at: self.now,
            first_offset: Offset(0),
            head_offset: Offset(self.head),
            records,
        };
        let mut inputs = vec![Input::Peers(Vec::new()), standing, read];
        inputs.append(&mut self.inputs);
        inputs
    }

    fn carry_out(&mut self, output: Output, tick: &mut Tick) {
        match output {
            Output::Append(records) => {
                tick.appends += 1;
                tick.records += records.len();
                if self.keep {
                    self.written.extend(records.iter().cloned());
                }
                self.unread.extend(records);
            }
            Output::Poll { worker, request } => {
                tick.polls += 1;
                let Some(host) = self.hosts.get_mut(&worker) else {
                    return;
                };
                let reply = host.answer(self.now, &request, self.usage);
                if self.keep {
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
            | Output::Stopped => {}
        }
    }
}

fn hosts(sizes: Sizes) -> BTreeMap<WorkerName, Host> {
    let host = |n: usize| {
        let rack = name(RackName::new(format!("{DOMAIN}-r{}", n / 3)));
        // Room for the tasks and a few short jobs, but never for a job that needs a whole worker
        // once one task runs.
        let share = u32::try_from(sizes.tasks.div_ceil(sizes.workers)).unwrap_or(u32::MAX);
        let cores = (share + 8).max(16) * 1_000;
        (
            worker_name(n),
            Host::new(rack, Resources::new(cores, cores * 4, 0)),
        )
    };
    (0..sizes.workers).map(host).collect()
}
