//! Jobs that are handed to other cells.

use hyssop_core::{CellId, CellRecord, JobId, JobReply, JobSpec, Millis, Reason, Resources, Term};

use crate::jobs::End;
use crate::{Cell, Output};

/// Waiting time after which a job looks for room in another cell.
const MOVE_DELAY: Millis = Millis(2_000);
/// Doublings of the waiting time, at most.
const MAX_MOVE_DELAY_DOUBLINGS: u32 = 6;
/// Interval of rounds of moves and of repeated transfers.
const MOVE_INTERVAL: Millis = Millis(1_000);
/// Moves in one round: a domain's jobs must not all reach another owner at once.
pub(crate) const MOVES_PER_ROUND: usize = 32;

impl Cell {
    /// Hands jobs that cannot run here to cells that can run them.
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
        let out = self.is_own_domain_out();
        let mut rooms = self.other_cells_capacity();
        let mut moved = 0;
        for id in self.jobs_to_move(now, out, &rooms) {
            if moved == MOVES_PER_ROUND {
                break;
            }
            moved += usize::from(self.move_job(now, term, &id, out, &mut rooms));
        }
    }

    /// Returns jobs that look for another cell. Groups that no other cell has room for are passed
    /// over as a whole.
    fn jobs_to_move(&self, now: Millis, out: bool, rooms: &[(CellId, Resources)]) -> Vec<JobId> {
        let mut stuck = Vec::new();
        for (group, members) in self.waiting_groups.iter() {
            let Some(job) = members.first().and_then(|(_, id)| self.ledger.jobs.get(id)) else {
                continue;
            };
            let must = out || !self.is_allowed(&job.spec, &self.options.cell.domain);
            let fits = rooms.iter().any(|(cell, free)| {
                self.is_allowed(&job.spec, &cell.domain) && (must || group.needs().fits(*free))
            });
            if !fits && !must {
                continue;
            }
            let able = members
                .iter()
                .filter(|(_, id)| self.should_move(now, id, out));
            let able = able.map(|(_, id)| id.clone());
            stuck.extend(able.take(MOVES_PER_ROUND));
        }
        stuck
    }

    fn should_move(&self, now: Millis, id: &JobId, out: bool) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return false;
        };
        let wait = self.waits.get(id).copied().unwrap_or_default();
        if job.is_service_task() || wait.is_ending || self.pending_intents.contains_key(id) {
            return false;
        }
        let elsewhere = out || !self.is_allowed(&job.spec, &self.options.cell.domain);
        // Each move uses up an attempt, so that a job which finds no room anywhere moves ever
        // more rarely.
        let patience = MOVE_DELAY.0 << job.attempt.0.min(MAX_MOVE_DELAY_DOUBLINGS);
        elsewhere || wait.not_before <= now && now.since(wait.waiting_since).0 >= patience
    }

    /// Returns the room in the other cells, as their owners state it.
    fn other_cells_capacity(&self) -> Vec<(CellId, Resources)> {
        let mut rooms: Vec<_> = self
            .peers
            .iter()
            .filter(|state| state.cell != self.options.cell)
            .filter(|state| !self.is_domain_out(&state.cell.domain))
            .map(|state| {
                let free = state
                    .summary
                    .capacity
                    .saturating_sub(state.summary.promised);
                (state.cell.clone(), free)
            })
            .collect();
        rooms.sort_by(|a, b| a.0.cmp(&b.0));
        rooms.dedup_by(|a, b| a.0 == b.0);
        rooms
    }

    fn move_job(
        &mut self,
        now: Millis,
        term: Term,
        id: &JobId,
        out: bool,
        rooms: &mut [(CellId, Resources)],
    ) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return false;
        };
        let needs = job.spec.needs;
        let must = out || !self.is_allowed(&job.spec, &self.options.cell.domain);
        let room = rooms
            .iter_mut()
            .filter(|(cell, free)| {
                self.is_allowed(&job.spec, &cell.domain) && (must || needs.fits(*free))
            })
            .max_by_key(|(_, free)| (needs.fits(*free), free.cpu));
        let Some((to, free)) = room else {
            if out {
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

    /// Sends the jobs that other cells have not yet accepted, again and again.
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
            .take(MOVES_PER_ROUND)
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
            });
            self.last_transfers.insert(id, now);
        }
    }

    /// Notes that another cell has accepted a job. Any other answer is followed by a repetition.
    pub(crate) fn apply_transfer_reply(&mut self, job: &JobId, reply: &JobReply) {
        let Some(moved) = self.ledger.jobs.get(job) else {
            return;
        };
        // A lower attempt number answers a transfer of an earlier move.
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
