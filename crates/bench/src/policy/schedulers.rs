//! Schedulers of the fleet: one cell core for each domain, or one baseline for all workers.

use hyssop_core::{
    CellId, CellRecord, CellState, Connectivity, DomainName, EntryName, Envelope, Incarnation,
    Millis, Offset, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use super::baselines::{Baseline, Rule};
use super::mixes::Mix;

/// Number of workers in each domain, ten in total.
pub(super) const WORKERS_PER_DOMAIN: [usize; 3] = [4, 3, 3];
/// Number of workers that strict separation reserves in each domain. With two, all latency-critical
/// instances still fit when any one domain is out.
const RESERVED_PER_DOMAIN: usize = 2;

/// Scheduling policy of a run. The names are printed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The cell cores of hyssoptrack, one for each domain.
    Hyssop,
    /// First fit without protection.
    FirstFit,
    /// Strict separation of classes.
    Separation,
    /// First fit with an eviction at the first report of a slowdown.
    EvictAtOnce,
}

enum Scheduler {
    Cell(Box<Cell>),
    Baseline(Box<Baseline>),
}

/// A scheduler with its queued inputs and its in-memory stream.
pub(super) struct SchedulerDriver {
    pub(super) cell: CellId,
    scheduler: Scheduler,
    pub(super) inputs: Vec<Input>,
    pub(super) unread_records: Vec<Envelope<CellRecord>>,
    head_offset: u64,
}

/// Returns the domain that a worker's name starts with.
pub(super) fn domain_of_worker(worker: &WorkerName) -> DomainName {
    let text = worker.as_str();
    let domain = text.rsplit_once("-w").map_or(text, |(domain, _)| domain);
    DomainName::new(domain).expect("a valid name")
}

pub(super) fn worker_name(domain: &str, n: usize) -> WorkerName {
    WorkerName::new(format!("{domain}-w{n}")).expect("a valid name")
}

fn cell_of_domain(domain: &str) -> CellId {
    CellId::new(DomainName::new(domain).expect("a valid name"), 0)
}

impl SchedulerDriver {
    fn new(cell: CellId, scheduler: Scheduler) -> Self {
        Self {
            cell,
            scheduler,
            inputs: Vec::new(),
            unread_records: Vec::new(),
            head_offset: 0,
        }
    }

    pub(super) fn state(&self) -> Option<CellState> {
        match &self.scheduler {
            Scheduler::Cell(cell) => cell.state(),
            Scheduler::Baseline(_) => None,
        }
    }

    pub(super) fn tick(&mut self, now: Millis, peers: Vec<CellState>) -> Vec<Output> {
        let queued_inputs = std::mem::take(&mut self.inputs);
        let cell = match &mut self.scheduler {
            Scheduler::Baseline(baseline) => return baseline.tick(now, queued_inputs),
            Scheduler::Cell(cell) => cell,
        };
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
            sent_at: now,
            first_offset: Offset(0),
            head_offset: Offset(self.head_offset),
            records,
        };
        let mut inputs = vec![Input::Peers(peers), connectivity, read];
        inputs.extend(queued_inputs);
        cell.tick(now, inputs)
    }
}

pub(super) fn create_drivers(mix: &Mix, policy: Policy, seed: u64) -> Vec<SchedulerDriver> {
    let cells: Vec<CellId> = mix.domains.iter().map(|d| cell_of_domain(d)).collect();
    let worker_names = |domain: &str, count: usize| -> Vec<WorkerName> {
        (0..count).map(|n| worker_name(domain, n)).collect()
    };
    let domains = mix.domains.iter().zip(WORKERS_PER_DOMAIN);
    let rule = match policy {
        Policy::Hyssop => {
            let driver = |(domain, count): (&&str, usize)| {
                let cell = Cell::new(CellOptions {
                    cell: cell_of_domain(domain),
                    cells: cells.clone(),
                    workers: worker_names(domain, count),
                    entry: EntryName::new("entry-a").expect("a valid name"),
                    incarnation: Incarnation(1),
                    seed,
                    poll_interval: Millis(1_000),
                    retention: Millis(86_400_000),
                });
                SchedulerDriver::new(cell_of_domain(domain), Scheduler::Cell(Box::new(cell)))
            };
            return domains.map(driver).collect();
        }
        Policy::FirstFit => Rule::NoProtection,
        Policy::Separation => Rule::Separate,
        Policy::EvictAtOnce => Rule::EvictAtOnce,
    };
    let workers: Vec<_> = domains
        .flat_map(|(d, count)| worker_names(d, count))
        .collect();
    let reserved: Vec<_> = mix
        .domains
        .iter()
        .flat_map(|d| worker_names(d, RESERVED_PER_DOMAIN))
        .collect();
    let baseline = Box::new(Baseline::new(rule, &workers, &reserved));
    vec![SchedulerDriver::new(
        cell_of_domain("all"),
        Scheduler::Baseline(baseline),
    )]
}
