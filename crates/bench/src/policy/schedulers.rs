//! Deciders of the fleet: one cell core for each domain, or one baseline for all workers.

use hyssop_core::{
    CellId, CellRecord, CellState, Connectivity, DomainName, EntryName, Envelope, Incarnation,
    Millis, Offset, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use super::baselines::{Baseline, Rule};
use super::mixes::Mix;

/// Workers of each domain, ten in all.
pub(super) const WORKERS: [usize; 3] = [4, 3, 3];
/// Workers of each domain that strict separation reserves, so that the latency-critical instances
/// still fit when any one domain is out.
const RESERVED: usize = 2;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The cell cores.
    Hyssop,
    /// First fit without protection.
    FirstFit,
    /// Strict separation of classes.
    Separation,
    /// Eviction at the first sign of a slowdown.
    EvictAtOnce,
}

enum Decider {
    Cell(Box<Cell>),
    Baseline(Box<Baseline>),
}

/// A decider with its driver's state.
pub(super) struct Seat {
    pub(super) cell: CellId,
    decider: Decider,
    pub(super) inputs: Vec<Input>,
    pub(super) unread: Vec<Envelope<CellRecord>>,
    head: u64,
}

/// Returns the domain in a worker's name.
pub(super) fn domain_of(worker: &WorkerName) -> DomainName {
    let text = worker.as_str();
    let domain = text.rsplit_once("-w").map_or(text, |(domain, _)| domain);
    DomainName::new(domain).expect("a valid name")
}

pub(super) fn worker_name(domain: &str, n: usize) -> WorkerName {
    WorkerName::new(format!("{domain}-w{n}")).expect("a valid name")
}

fn cell_of(domain: &str) -> CellId {
    CellId::new(DomainName::new(domain).expect("a valid name"), 0)
}

impl Seat {
    fn new(cell: CellId, decider: Decider) -> Self {
        Self {
            cell,
            decider,
            inputs: Vec::new(),
            unread: Vec::new(),
            head: 0,
        }
    }

    pub(super) fn state(&self) -> Option<CellState> {
        match &self.decider {
            Decider::Cell(cell) => cell.state(),
            Decider::Baseline(_) => None,
        }
    }

    pub(super) fn tick(&mut self, now: Millis, peers: Vec<CellState>) -> Vec<Output> {
        let own = std::mem::take(&mut self.inputs);
        let cell = match &mut self.decider {
            Decider::Baseline(baseline) => return baseline.tick(now, own),
            Decider::Cell(cell) => cell,
        };
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
            sent_at: now,
            first_offset: Offset(0),
            head_offset: Offset(self.head),
            records,
        };
        let mut inputs = vec![Input::Peers(peers), standing, read];
        inputs.extend(own);
        cell.tick(now, inputs)
    }
}

pub(super) fn seats(mix: &Mix, policy: Policy, seed: u64) -> Vec<Seat> {
    let cells: Vec<CellId> = mix.domains.iter().map(|d| cell_of(d)).collect();
    let names = |domain: &str, count: usize| -> Vec<WorkerName> {
        (0..count).map(|n| worker_name(domain, n)).collect()
    };
    let pairs = mix.domains.iter().zip(WORKERS);
    let rule = match policy {
        Policy::Hyssop => {
            let seat = |(domain, count): (&&str, usize)| {
                let cell = Cell::new(CellOptions {
                    cell: cell_of(domain),
                    cells: cells.clone(),
                    workers: names(domain, count),
                    entry: EntryName::new("entry-a").expect("a valid name"),
                    incarnation: Incarnation(1),
                    seed,
                    poll_interval: Millis(1_000),
                    retention: Millis(86_400_000),
                });
                Seat::new(cell_of(domain), Decider::Cell(Box::new(cell)))
            };
            return pairs.map(seat).collect();
        }
        Policy::FirstFit => Rule::NoProtection,
        Policy::Separation => Rule::Separate,
        Policy::EvictAtOnce => Rule::EvictAtOnce,
    };
    let workers: Vec<_> = pairs.flat_map(|(d, count)| names(d, count)).collect();
    let reserved: Vec<_> = mix
        .domains
        .iter()
        .flat_map(|d| names(d, RESERVED))
        .collect();
    let baseline = Box::new(Baseline::new(rule, &workers, &reserved));
    vec![Seat::new(cell_of("all"), Decider::Baseline(baseline))]
}
