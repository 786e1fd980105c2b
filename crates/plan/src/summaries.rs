//! State of a cell as its owner reports it to the other entries.

use hyssop_core::{CellState, CellSummary, Class};

use crate::Cell;
use crate::quotas::add_resources;

impl Cell {
    /// Returns the cell's state for the other entries; `None` if this process is not the owner.
    #[must_use]
    pub fn state(&self) -> Option<CellState> {
        let term = self.owned_term()?;
        Some(CellState {
            cell: self.options.cell.clone(),
            term,
            owner: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            summary: self.summary(),
        })
    }

    fn summary(&self) -> CellSummary {
        let now = self.ownership.last_tick_at.unwrap_or_default();
        let mut summary = CellSummary {
            pending: count(self.ledger.waiting_jobs.len()),
            running: count(self.tasks.len()),
            finished: self.ledger.finished_count,
            evictions: self.ledger.evictions,
            ..CellSummary::default()
        };
        for (name, worker) in &self.workers {
            if self.is_worker_unconfirmed(now, worker) {
                summary.unconfirmed += count(worker.tasks.len());
            } else if worker.has_inventory {
                summary.workers += 1;
                summary.capacity = add_resources(summary.capacity, worker.capacity);
                summary.allocated = add_resources(summary.allocated, self.allocated(name));
            }
        }
        let critical = self.tasks.values();
        let critical = critical.filter(|task| task.class == Class::LatencyCritical);
        summary.allocated_critical = critical
            .map(|task| task.needs)
            .fold(summary.allocated_critical, add_resources);
        summary
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
