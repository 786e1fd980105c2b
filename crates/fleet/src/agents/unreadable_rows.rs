//! Rows of the worker's lists that cannot be read. Each may be the run or the end that the lists lack.

use std::collections::BTreeSet;

use hyssop_core::Millis;
use hyssop_jobs::WORKER_LEASE;
use hyssop_platform::UnreadableRow;

use super::descriptions::WorkerId;

/// Time for which a row may stay unreadable before the worker's lease is not renewed any more. Shorter
/// times would end the runs of a worker for a row that the next few responses lack.
const MAX_UNREADABLE: Millis = Millis(3_000);

/// Unreadable rows of one incarnation of a worker.
///
/// A row that stays would keep the lists from proving anything, and the ends after it from being
/// acknowledged. So the lease is left to end. Then all earlier runs are over, their ends do not count
/// any more, and the rows of the next list belong to no run that does: they are settled and ignored
/// from then on.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    worker: Option<WorkerId>,
    settled: BTreeSet<u64>,
    /// Since when each list has contained a row that is not settled.
    since: Option<Millis>,
    /// Whether the worker's lease has ended and was not renewed since.
    has_lapsed: bool,
}

impl UnreadableRows {
    /// Applies the rows of a list and returns those that are not settled.
    pub(super) fn update(
        &mut self,
        now: Millis,
        worker: WorkerId,
        mut rows: Vec<UnreadableRow>,
    ) -> Vec<UnreadableRow> {
        self.select_worker(worker);
        let listed: BTreeSet<u64> = rows.iter().map(|row| row.id).collect();
        if std::mem::take(&mut self.has_lapsed) {
            self.settled = listed;
        } else {
            self.settled.retain(|id| listed.contains(id));
        }
        rows.retain(|row| !self.settled.contains(&row.id));
        self.since = match rows.is_empty() {
            true => None,
            false => self.since.or(Some(now)),
        };
        rows
    }

    /// Returns whether the worker's lease may not be renewed.
    pub(super) fn is_lease_denied(&self, now: Millis) -> bool {
        self.since
            .is_some_and(|since| now >= since + MAX_UNREADABLE)
    }

    /// Returns the time by which any lease that was sent before the renewals stopped has ended.
    pub(super) fn lapse_end(&self) -> Option<Millis> {
        self.since
            .map(|since| since + MAX_UNREADABLE + WORKER_LEASE)
    }

    /// Records that the lease of a worker has ended and is not renewed before its next list.
    pub(super) fn record_lapse(&mut self, worker: WorkerId) {
        self.select_worker(worker);
        self.since = None;
        self.has_lapsed = true;
    }

    fn select_worker(&mut self, worker: WorkerId) {
        if self.worker.as_ref() != Some(&worker) {
            *self = Self {
                worker: Some(worker),
                ..Self::default()
            };
        }
    }
}
