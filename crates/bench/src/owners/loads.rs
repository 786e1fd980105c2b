//! Jobs and workers of the model: service tasks with latency targets, short tasks with reserved
//! processors and best-effort tasks.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{JobSpec, Policy, QueueRule, Resources, StepSpec, WorkerInfo, WorkerState};

/// Number of images of service tasks and of best-effort tasks.
pub(super) const SERVICE_IMAGES: u64 = 16;
pub(super) const BEST_EFFORT_IMAGES: u64 = 9;
/// Latency target of service tasks in milliseconds.
pub(super) const LATENCY_TARGET_MS: u64 = 50;
/// Running time of short and of best-effort tasks, in milliseconds.
pub(super) const SHORT_TASK_MS: u64 = 1_000;
pub(super) const BEST_EFFORT_TASK_MS: u64 = 2_200;
/// Processors of service, short and best-effort tasks, in thousandths of a core.
const SERVICE_CPU: u64 = 3_200;
const SHORT_CPU: u64 = 650;
pub(super) const BEST_EFFORT_CPU: u64 = 1_800;
/// Memory of a best-effort task in a backlog, in megabytes. With more, the memory in use exceeds
/// half of the capacity before the backlog is complete.
const BACKLOG_MEM: u64 = 500;
/// Workers for which one service job is there, and tasks of the job. A backlog has half as many
/// service jobs, so that less than half of the processors are reserved.
const WORKERS_PER_SERVICE_JOB: usize = 6;
const WORKERS_PER_GROUP: usize = 12;
const SERVICE_TASKS: u32 = 24;
/// Tasks of one step of a best-effort job, which has two steps.
const BEST_EFFORT_TASKS: u32 = 40;
/// Processors and memory of a worker, in thousandths of a core and megabytes.
const WORKER_CAPACITY: Resources = Resources {
    cpu: 16_000,
    mem: 64_000,
    gpu: 0,
};

/// Size of a fleet and the rates at which jobs arrive, in jobs a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) workers: usize,
    pub(super) short_rate: f64,
    pub(super) best_effort_rate: f64,
    /// Whether less than half of the capacity is reserved, by service tasks that are spread over
    /// all workers, and best-effort tasks run at the speed that the owner and the idle processors
    /// of their worker allow.
    pub(super) is_backlog: bool,
}

impl Load {
    /// Returns the load of a fleet in which each worker has the same share of the jobs: one short
    /// job of 13 tasks in 14 s, and one best-effort job of two steps of 40 tasks in 50 s.
    pub(super) fn per_worker(workers: usize) -> Self {
        Self {
            workers,
            short_rate: workers as f64 / 14.0,
            best_effort_rate: workers as f64 / 50.0,
            is_backlog: false,
        }
    }

    /// Returns a load whose best-effort jobs need `factor` times the processors that are idle.
    pub(super) fn backlog(workers: usize, factor: f64) -> Self {
        let services = service_jobs(workers, true) as u64 * u64::from(SERVICE_TASKS);
        let reserved = (services * SERVICE_CPU) as f64;
        // Best-effort tasks may use half of what services reserve.
        let idle = workers as f64 * WORKER_CAPACITY.cpu as f64 - reserved / 2.0;
        let job = (2 * u64::from(BEST_EFFORT_TASKS) * BEST_EFFORT_CPU * BEST_EFFORT_TASK_MS) as f64;
        Self {
            best_effort_rate: factor * idle * 1e3 / job,
            is_backlog: true,
            ..Self::per_worker(workers)
        }
    }

    /// Returns the number of service jobs.
    pub(super) fn service_jobs(&self) -> usize {
        service_jobs(self.workers, self.is_backlog)
    }

    /// Returns the description of a job. `number` is its number among all jobs.
    pub(super) fn spec(&self, kind: Kind, number: u64) -> JobSpec {
        JobSpec {
            payload: kind.name().into(),
            steps: self.steps(kind, number),
            schedule: None,
        }
    }

    fn steps(&self, kind: Kind, number: u64) -> Vec<StepSpec> {
        match kind {
            Kind::Short => vec![step(13, SHORT_CPU, SHORT_TASK_MS)],
            Kind::Service => {
                // Service jobs are submitted first and have the numbers from 1.
                let group = group_label(number as usize - 1);
                vec![StepSpec {
                    is_service: true,
                    latency_target: Some(Millis(LATENCY_TARGET_MS)),
                    image: Some(format!("service-{}", number % SERVICE_IMAGES).into()),
                    label: self.is_backlog.then_some(group),
                    max_per_worker: if self.is_backlog { 2 } else { 0 },
                    ..step(SERVICE_TASKS, SERVICE_CPU, 400)
                }]
            }
            Kind::BestEffort => {
                let mut step = StepSpec {
                    is_best_effort: true,
                    has_checkpoints: true,
                    image: Some(format!("batch-{}", number % BEST_EFFORT_IMAGES).into()),
                    ..step(BEST_EFFORT_TASKS, BEST_EFFORT_CPU, BEST_EFFORT_TASK_MS)
                };
                if self.is_backlog {
                    step.resources.mem = BACKLOG_MEM;
                }
                let second = StepSpec {
                    after: vec![0],
                    ..step.clone()
                };
                vec![step, second]
            }
        }
    }
}

fn service_jobs(workers: usize, is_backlog: bool) -> usize {
    match is_backlog {
        true => (workers / WORKERS_PER_GROUP).max(1),
        false => workers.div_ceil(WORKERS_PER_SERVICE_JOB),
    }
}

/// Kind of a job and its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Tasks that last and have a latency target.
    Service,
    /// Short tasks with reserved processors.
    Short,
    /// Tasks that use what others leave.
    BestEffort,
}

impl Kind {
    /// Returns the name of the queue, which is also the payload of the jobs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Short => "short",
            Self::BestEffort => "best-effort",
        }
    }
}

pub(super) fn rule(kind: Kind) -> QueueRule {
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

pub(super) fn policy() -> Policy {
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

fn group_label(group: usize) -> Arc<str> {
    format!("g-{group}").into()
}

pub(super) fn worker_info(number: usize) -> WorkerInfo {
    let group = group_label(number / WORKERS_PER_GROUP);
    WorkerInfo {
        id: format!("i-{number}").into(),
        incarnation: 1,
        address: format!("10.0.{}.{}:8080", number / 250, number % 250).into(),
        service: "planner".into(),
        domain: format!("domain-{}", number % 11).into(),
        labels: vec!["a".into(), format!("r-{}", number / 8).into(), group],
        capacity: WORKER_CAPACITY,
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
