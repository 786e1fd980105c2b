//! Model of workers and callers around one owner: service tasks with latency targets, short tasks
//! with reserved processors and best-effort tasks, in the shares of a large fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, EndKind, Input, JobId, JobSpec, Order, Output, Owner, OwnerOptions, Policy,
    QueueRule, Report, Resources, RunEnd, RunId, RunStatus, Start, StepSpec, WorkerInfo,
    WorkerState,
};

use crate::clocks::thread_cpu_time;

/// Interval at which each worker reports all of its runs, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
/// Number of images of service tasks and of best-effort tasks.
const SERVICE_IMAGES: u64 = 16;
const BEST_EFFORT_IMAGES: u64 = 9;
/// Latency target of service tasks in milliseconds, and their tail latency without interference.
const LATENCY_TARGET_MS: u64 = 50;
const BASE_LATENCY_MS: f64 = 20.0;
/// Workers for which one service job is there; each job has 24 tasks of 3.2 cores.
const WORKERS_PER_SERVICE_JOB: usize = 6;
const SERVICE_TASKS: u32 = 24;
/// Running time of short and of best-effort tasks, in milliseconds.
const SHORT_TASK_MS: u64 = 1_000;
const BEST_EFFORT_TASK_MS: u64 = 2_200;
/// Processors of a best-effort task, in thousandths of a core.
const BEST_EFFORT_CPU: u64 = 1_800;

/// Size of a fleet and the rates at which jobs arrive, in jobs a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    workers: usize,
    short_rate: f64,
    best_effort_rate: f64,
}

impl Load {
    /// Returns the load of a fleet in which each worker has the same share of the jobs: one short
    /// job of 13 tasks in 14 s, and one best-effort job of two steps of 40 tasks in 50 s.
    pub(super) fn per_worker(workers: usize) -> Self {
        Self {
            workers,
            short_rate: workers as f64 / 14.0,
            best_effort_rate: workers as f64 / 50.0,
        }
    }
}

/// Kind of a job and its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Tasks that last and have a latency target.
    Service,
    /// Short tasks with reserved processors.
    Short,
    /// Tasks that use what others leave.
    BestEffort,
}

impl Kind {
    /// Returns the name of the queue, which is also the payload of the jobs.
    const fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Short => "short",
            Self::BestEffort => "best-effort",
        }
    }
}

/// Run on a model worker.
#[derive(Clone, Debug)]
struct ModelRun {
    kind: Kind,
    image: u64,
    /// Processors in use, in thousandths of a core.
    cpu: u64,
    started_at: u64,
    /// Time of the end; service tasks have none.
    ends_at: Option<u64>,
    is_stopped: bool,
}

#[derive(Debug, Default)]
struct ModelWorker {
    runs: BTreeMap<RunId, ModelRun>,
    ends: u64,
}

/// Owner with its workers and callers.
pub(super) struct Model {
    owner: Owner,
    load: Load,
    now: u64,
    workers: Vec<ModelWorker>,
    inputs: Vec<Input>,
    next_job: u64,
    next_request: u64,
    /// Jobs that are due but not submitted yet, as fractions.
    due: (f64, f64),
    starts: u64,
}

impl Model {
    pub(super) fn new(load: Load) -> Self {
        let options = OwnerOptions {
            epoch: 1,
            acquired_at: Millis(0),
            clock_origin: 1_000_000,
        };
        let (owner, _) = Owner::new(Millis(0), options, &Vec::new());
        let mut model = Self {
            owner,
            load,
            now: 0,
            workers: Vec::new(),
            inputs: vec![Input::Policy(Arc::new(policy()))],
            next_job: 0,
            next_request: 0,
            due: (0.0, 0.0),
            starts: 0,
        };
        for number in 0..load.workers {
            model.workers.push(ModelWorker::default());
            let session = number as u64 + 1;
            let worker = worker_info(number);
            model.inputs.push(Input::Attach { session, worker });
            let report = Report {
                running: Some(Vec::new()),
                is_complete: true,
                ..Report::default()
            };
            model.inputs.push(Input::Report { session, report });
        }
        for _ in 0..load.workers.div_ceil(WORKERS_PER_SERVICE_JOB) {
            model.submit(Kind::Service);
        }
        model
    }

    /// Returns the number of starts that the owner has ordered.
    pub(super) const fn start_count(&self) -> u64 {
        self.starts
    }

    /// Advances the model and returns the processor time that the owner took.
    pub(super) fn run(&mut self, millis: u64, tick: u64) -> Duration {
        let mut cpu = Duration::ZERO;
        for _ in 0..millis / tick {
            self.now += tick;
            self.submit_due_jobs(tick);
            self.report_runs(tick);
            let now = Millis(self.now);
            self.inputs.push(Input::OwnershipRenewed(now));
            let inputs = std::mem::take(&mut self.inputs);
            let started_at = thread_cpu_time();
            let outputs = self.owner.tick(now, inputs);
            for session in 1..=self.workers.len() as u64 {
                if self.is_report_due(session - 1, tick) {
                    self.owner.renew_lease(now, session);
                }
            }
            cpu += thread_cpu_time() - started_at;
            for output in outputs {
                self.apply(output);
            }
        }
        cpu
    }

    fn submit_due_jobs(&mut self, tick: u64) {
        let seconds = tick as f64 / 1e3;
        self.due.0 += self.load.short_rate * seconds;
        self.due.1 += self.load.best_effort_rate * seconds;
        while self.due.0 >= 1.0 {
            self.due.0 -= 1.0;
            self.submit(Kind::Short);
        }
        while self.due.1 >= 1.0 {
            self.due.1 -= 1.0;
            self.submit(Kind::BestEffort);
        }
    }

    fn submit(&mut self, kind: Kind) {
        self.next_job += 1;
        self.next_request += 1;
        let request = CallerRequest::Submit {
            job: JobId(self.next_job),
            rule: rule(kind),
            spec: JobSpec {
                payload: kind.name().into(),
                steps: steps(kind, self.next_job),
                schedule: None,
            },
        };
        self.inputs.push(Input::Request(self.next_request, request));
    }

    /// Returns whether a worker reports all of its runs in this tick. Workers take turns.
    fn is_report_due(&self, worker: u64, tick: u64) -> bool {
        let ticks = REPORT_INTERVAL_MS / tick;
        (self.now / tick) % ticks == worker % ticks
    }

    fn report_runs(&mut self, tick: u64) {
        let now = self.now;
        for number in 0..self.workers.len() {
            let includes_runs = self.is_report_due(number as u64, tick);
            let worker = &mut self.workers[number];
            let ended = worker.take_ends(now);
            if ended.is_empty() && !includes_runs {
                continue;
            }
            let report = Report {
                running: includes_runs.then(|| worker.statuses(now)),
                ended,
                ..Report::default()
            };
            let session = number as u64 + 1;
            self.inputs.push(Input::Report { session, report });
        }
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Write { number, .. } => self.inputs.push(Input::WriteCompleted(number)),
            Output::Orders { session, orders } => {
                for order in orders {
                    self.apply_order(session as usize - 1, order);
                }
            }
            _ => {}
        }
    }

    fn apply_order(&mut self, worker: usize, order: Order) {
        let now = self.now;
        let runs = &mut self.workers[worker].runs;
        match order {
            Order::Start(start) => {
                self.starts += 1;
                runs.insert(start.run, ModelRun::new(now, &start));
            }
            Order::Stop(run) => {
                if let Some(run) = runs.get_mut(&run) {
                    run.ends_at = Some(now);
                    run.is_stopped = true;
                }
            }
            Order::Pace(..) => {}
        }
    }
}

impl ModelWorker {
    /// Removes the runs that have ended, and returns their ends.
    fn take_ends(&mut self, now: u64) -> Vec<RunEnd> {
        let is_over = |run: &ModelRun| run.ends_at.is_some_and(|end| end <= now);
        let over = self.runs.iter().filter(|(_, run)| is_over(run));
        let over: Vec<(RunId, bool)> = over.map(|(&id, run)| (id, run.is_stopped)).collect();
        let mut ends = Vec::with_capacity(over.len());
        for (run, is_stopped) in over {
            self.runs.remove(&run);
            self.ends += 1;
            ends.push(RunEnd {
                number: self.ends,
                run,
                kind: match is_stopped {
                    true => EndKind::Stopped,
                    false => EndKind::Done,
                },
                checkpoint: None,
            });
        }
        ends
    }

    fn statuses(&self, now: u64) -> Vec<RunStatus> {
        let statuses = self.runs.iter().map(|(&run, state)| RunStatus {
            run,
            checkpoint: None,
            percent_done: state.percent_done(now),
            measurement: match state.kind {
                Kind::Service => self.latency(state.image) as u64,
                Kind::Short | Kind::BestEffort => state.cpu,
            },
        });
        statuses.collect()
    }

    /// Returns the tail latency of a service task: its headroom, the reciprocal of the latency,
    /// falls with the best-effort tasks beside it.
    fn latency(&self, image: u64) -> f64 {
        let best_effort = self
            .runs
            .values()
            .filter(|run| run.kind == Kind::BestEffort);
        let taken: f64 = best_effort.map(|run| interference(run.image, image)).sum();
        let target = LATENCY_TARGET_MS as f64;
        let headroom = target / BASE_LATENCY_MS - taken;
        target / headroom.max(0.1)
    }
}

impl ModelRun {
    fn new(now: u64, start: &Start) -> Self {
        let job = start.run.task.job.0;
        let kinds = [Kind::Service, Kind::Short, Kind::BestEffort];
        let kind = kinds
            .into_iter()
            .find(|kind| kind.name() == &*start.payload);
        let kind = kind.expect("the payload names the kind");
        let (image, duration) = match kind {
            Kind::Service => (job % SERVICE_IMAGES, None),
            Kind::Short => (0, Some(SHORT_TASK_MS)),
            Kind::BestEffort => (job % BEST_EFFORT_IMAGES, Some(BEST_EFFORT_TASK_MS)),
        };
        Self {
            kind,
            image,
            cpu: BEST_EFFORT_CPU,
            started_at: now,
            ends_at: duration.map(|duration| now + duration),
            is_stopped: false,
        }
    }

    fn percent_done(&self, now: u64) -> u32 {
        let Some(end) = self.ends_at else { return 100 };
        let total = (end - self.started_at).max(1);
        (now.saturating_sub(self.started_at) * 100 / total).min(99) as u32
    }
}

/// Returns the headroom that one best-effort task takes. A third of the pairs of images do not
/// interfere.
fn interference(best_effort_image: u64, service_image: u64) -> f64 {
    match (best_effort_image + 5 * service_image) % 3 {
        0 => 0.0,
        1 => 0.3,
        _ => 1.2,
    }
}

fn rule(kind: Kind) -> QueueRule {
    QueueRule {
        name: kind.name().into(),
        service: "planner".into(),
        priority: match kind {
            Kind::BestEffort => 2,
            Kind::Service | Kind::Short => 0,
        },
        attempts: 3,
        stretch: 1.5,
        margin_ms: 1_000,
        needs_tickets: false,
    }
}

fn policy() -> Policy {
    let mut policy = Policy {
        version: 1,
        ..Policy::default()
    };
    for kind in [Kind::Service, Kind::Short, Kind::BestEffort] {
        let rule = Arc::new(rule(kind));
        policy.queues.insert(kind.name().into(), rule);
    }
    policy
}

fn worker_info(number: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("i-{number}").into(),
        incarnation: 1,
        address: format!("10.0.{}.{}:8080", number / 250, number % 250).into(),
        service: "planner".into(),
        domain: format!("domain-{}", number % 11).into(),
        labels: vec!["a".into(), format!("r-{}", number / 8).into()],
        capacity: Resources {
            cpu: 16_000,
            mem: 64_000,
            gpu: 0,
        },
        state: WorkerState::Ready,
    }
}

fn step(count: u32, cpu: u64, millis: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu,
            mem: 2 * cpu,
            gpu: 0,
        },
        estimate: Millis(millis),
        ..StepSpec::default()
    }
}

fn steps(kind: Kind, job: u64) -> Vec<StepSpec> {
    match kind {
        Kind::Short => vec![step(13, 650, SHORT_TASK_MS)],
        Kind::Service => vec![StepSpec {
            is_service: true,
            latency_target: Some(Millis(LATENCY_TARGET_MS)),
            image: Some(format!("service-{}", job % SERVICE_IMAGES).into()),
            ..step(SERVICE_TASKS, 3_200, 400)
        }],
        Kind::BestEffort => {
            let step = StepSpec {
                is_best_effort: true,
                has_checkpoints: true,
                image: Some(format!("batch-{}", job % BEST_EFFORT_IMAGES).into()),
                ..step(40, BEST_EFFORT_CPU, BEST_EFFORT_TASK_MS)
            };
            let second = StepSpec {
                after: vec![0],
                ..step.clone()
            };
            vec![step, second]
        }
    }
}
