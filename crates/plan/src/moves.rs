//! Moves of waiting jobs to other cells.

use hyssop_core::{CellId, CellRecord, JobId, JobReply, JobSpec, Millis, Reason, Resources, Term};

use crate::jobs::End;
use crate::{Cell, Output};

/// Waiting time after which a job may move to a cell with free capacity; it doubles with each
/// attempt number used.
const MOVE_DELAY: Millis = Millis(2_000);
/// Doublings of `MOVE_DELAY`, at most.
const MAX_MOVE_DELAY_DOUBLINGS: u32 = 6;
/// Interval between rounds of moves, and between repetitions of a transfer.
const MOVE_INTERVAL: Millis = Millis(1_000);
/// Moves in one round at most, so that the jobs of a domain do not all reach another owner at once.
pub(crate) const MAX_MOVES_PER_ROUND: usize = 32;

impl Cell {
    /// Moves jobs that cannot run here to cells that can run them.
    pub(crate) fn move_jobs(&mut self, now: Millis, term: Term) {
        if self.confirmed_term().is_none()
            || self
                .last_move_at
                .is_some_and(|last| now.since(last) < MOVE_INTERVAL)
        {
            return;
        }
        self.last_move_at = Some(now);
        self.explain_pauses(now);
        let is_out = self.is_own_domain_out();
        let mut capacities = self.other_cells_capacity();
        let mut moved = 0;
        for id in self.jobs_to_move(now, is_out, &capacities) {
            if moved == MAX_MOVES_PER_ROUND {
                break;
            }
            moved += usize::from(self.move_job(now, term, &id, is_out, &mut capacities));
        }
    }

    /// Returns the jobs to move. Groups that fit in no other cell are skipped as a whole, unless
    /// they may not run here at all.
    fn jobs_to_move(
        &self,
        now: Millis,
        is_out: bool,
        capacities: &[(CellId, Resources)],
    ) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for (group, members) in self.waiting_groups.iter() {
            let Some(job) = members.first().and_then(|(_, id)| self.ledger.jobs.get(id)) else {
                continue;
            };
            let must_move = is_out || !self.is_allowed(&job.spec, &self.options.cell.domain);
            let fits_elsewhere = capacities.iter().any(|(cell, free)| {
                self.is_allowed(&job.spec, &cell.domain) && (must_move || group.needs().fits(*free))
            });
            if !fits_elsewhere && !must_move {
                continue;
            }
            let movable = members
                .iter()
                .filter(|(_, id)| self.should_move(now, id, is_out));
            let movable = movable.map(|(_, id)| id.clone());
            jobs.extend(movable.take(MAX_MOVES_PER_ROUND));
        }
        jobs
    }

    /// Returns whether a job may not run here, or has waited long enough to move.
    fn should_move(&self, now: Millis, id: &JobId, is_out: bool) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return false;
        };
        let wait = self.waits.get(id).copied().unwrap_or_default();
        if job.is_service_task()
            || wait.is_ending
            || self.pending_intents.contains_key(id)
            || self.late_results.contains_key(id)
        {
            return false;
        }
        let must_move = is_out || !self.is_allowed(&job.spec, &self.options.cell.domain);
        // Each move uses an attempt number, so that a job which fits nowhere moves less and less
        // often.
        let move_delay = MOVE_DELAY.0 << job.attempt.0.min(MAX_MOVE_DELAY_DOUBLINGS);
        must_move || wait.not_before <= now && now.since(wait.waiting_since).0 >= move_delay
    }

    /// Returns the free capacity of the other cells in service, as their owners report it.
    fn other_cells_capacity(&self) -> Vec<(CellId, Resources)> {
        let mut capacities: Vec<_> = self
            .cell_states
            .iter()
            .filter(|state| state.cell != self.options.cell)
            .filter(|state| !self.is_domain_out(&state.cell.domain))
            .map(|state| {
                let free = state
                    .summary
                    .capacity
                    .saturating_sub(state.summary.allocated);
                (state.cell.clone(), free)
            })
            .collect();
        capacities.sort_by(|a, b| a.0.cmp(&b.0));
        capacities.dedup_by(|a, b| a.0 == b.0);
        capacities
    }

    /// Writes the move of a job to the best cell; returns false if no cell is suitable.
    fn move_job(
        &mut self,
        now: Millis,
        term: Term,
        id: &JobId,
        is_out: bool,
        capacities: &mut [(CellId, Resources)],
    ) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return false;
        };
        let needs = job.spec.needs;
        let must_move = is_out || !self.is_allowed(&job.spec, &self.options.cell.domain);
        let mut targets: Vec<_> = capacities
            .iter_mut()
            .filter(|(cell, free)| {
                self.is_allowed(&job.spec, &cell.domain) && (must_move || needs.fits(*free))
            })
            .collect();
        let has_fitting = targets.iter().any(|(_, free)| needs.fits(*free));
        targets.retain(|(_, free)| needs.fits(*free) == has_fitting);
        targets.sort_by_key(|(_, free)| free.cpu);
        // A cell's sum does not show whether one of its workers has the capacity. A job that keeps
        // looking for it goes to each cell in turn, every second time because the way back is a
        // move too. A job that may not run here has not looked yet.
        let turn = if must_move { 0 } else { job.attempt.0 / 2 };
        let turn = usize::try_from(turn).unwrap_or(0) % targets.len().max(1);
        let Some((to, free)) = targets.into_iter().rev().nth(turn) else {
            if is_out {
                let reason = Reason::DomainOut(self.options.cell.domain.clone());
                self.explain_job(now, id, reason);
            }
            return false;
        };
        *free = free.saturating_sub(needs);
        let body = CellRecord::Moved {
            job: id.clone(),
            to: to.clone(),
        };
        self.waits.entry(id.clone()).or_default().is_ending = true;
        self.journal.write(term, body);
        true
    }

    /// Sends the jobs that other cells have not accepted yet, repeated after each `MOVE_INTERVAL`.
    pub(crate) fn send_transfers(&mut self, now: Millis) {
        if self.confirmed_term().is_none() {
            return;
        }
        let due: Vec<JobId> = self
            .ledger
            .departing_jobs
            .iter()
            .filter(|id| {
                let last = self.last_transfers.get(*id);
                last.is_none_or(|last| now.since(*last) >= MOVE_INTERVAL)
            })
            .take(MAX_MOVES_PER_ROUND)
            .cloned()
            .collect();
        for id in due {
            let Some(job) = self.ledger.jobs.get(&id) else {
                continue;
            };
            let Some(End::Moved { to, .. }) = &job.end else {
                continue;
            };
            self.outputs.push(Output::Transfer {
                to: to.clone(),
                spec: JobSpec::clone(&job.spec),
                attempt: job.attempt,
                checkpoint: job.checkpoint,
                crashes: job.crashes,
            });
            self.last_transfers.insert(id, now);
        }
    }

    /// Records that another cell has accepted a job. After any other reply the transfer is
    /// repeated.
    pub(crate) fn apply_transfer_reply(&mut self, job: &JobId, reply: &JobReply) {
        let Some(moved) = self.ledger.jobs.get(job) else {
            return;
        };
        // A lower attempt number belongs to the transfer of an earlier move.
        let accepted = matches!(reply, JobReply::Status(status)
            if status.id == *job && status.attempt >= moved.attempt);
        if accepted
            && self.ledger.departing_jobs.contains(job)
            && let Some(term) = self.deciding_term()
        {
            let job = job.clone();
            self.journal.write(term, CellRecord::Delivered { job });
        }
    }
}
