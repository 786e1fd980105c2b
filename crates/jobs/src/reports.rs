//! Sessions and reports of agents: complete reports and refused starts.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::LossCause;
use crate::crashes::Evidence;
use crate::io::{Order, Output, Refusal, Report, RunStatus, WorkerInfo};
use crate::limits::{
    LEASE_EXPIRY_MARGIN, TASK_RETRY_DELAY, UNRESPONSIVE_BACKOFF, WORKER_LEASE, longest_lease,
};
use crate::occurrences::Phase;
use crate::owners::Owner;
use crate::records::{Key, Record};
use crate::workers::{Worker, WorkerRun};
use crate::writes::Effect;
use crate::{Resources, RunId, StepSpec};

impl Owner {
    /// Opens a session. The worker gets no starts before the first complete report of the session.
    pub(crate) fn open_session(&mut self, session: u64, info: WorkerInfo) {
        let id = Arc::clone(&info.id);
        if let Some(worker) = self.workers.get_mut(&id)
            && std::mem::take(&mut worker.is_unidentified)
        {
            // Any incarnation may have runs of an earlier owner. The record is written anew.
            worker.info.incarnation = info.incarnation;
            worker.has_record = false;
        }
        // Another writer may have announced a later incarnation that has never answered.
        let is_outdated = |w: &Worker| w.has_answered && w.info.incarnation > info.incarnation;
        let known_incarnation = self.workers.get(&id).map(|w| w.info.incarnation);
        if self.workers.get(&id).is_some_and(is_outdated) {
            self.log(format!(
                "worker {id}: session of an earlier incarnation ignored"
            ));
            self.outputs.push(Output::CloseSession(session));
            return;
        }
        if self.has_successor(&info) {
            self.log(format!(
                "worker {id}: session ignored, a later worker has its address"
            ));
            self.outputs.push(Output::CloseSession(session));
            return;
        }
        if known_incarnation != Some(info.incarnation) {
            let mut worker = Worker::new(info.clone());
            worker.is_vacating = self.waves.is_vacating(&id);
            if let Some(mut earlier) = self.workers.remove(&id) {
                self.log(format!("worker {id} restarted"));
                worker.inherit_runs(&mut earlier);
                // Calls that were meant for the earlier incarnation, whose clock was ahead, may have
                // leased this one for as long as it grants. The complete report tells until when.
                let stale_until = self.now + longest_lease(self.options.max_lease);
                worker.stale_until = worker.stale_until.max(stale_until);
                worker.stale_record = true;
            }
            self.workers.insert(Arc::clone(&id), worker);
        }
        let lease = self.now + WORKER_LEASE;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.info = info;
        if !worker.has_record {
            worker.has_record = true;
            worker.is_stored = false;
            let record = worker.record();
            let record = Record::put(Key::Worker(Arc::clone(&id)), &record);
            let effect = Effect::Worker(Arc::clone(&id));
            self.writes.add(self.now, record, Some(effect));
        }
        let previous = worker.session.replace(session);
        worker.has_reported = false;
        worker.last_end = 0;
        worker.acknowledged_end = 0;
        // An opened session is no lease: sessions that are opened again and again must not keep the runs
        // of a silent worker from being given up. Without runs, the session lasts for as long.
        if worker.runs.is_empty() && !self.unconfirmed_workers.contains(&id) {
            worker.lease_end = worker.lease_end.max(lease);
        }
        if let Some(previous) = previous {
            self.sessions.remove(&previous);
            self.orders.remove(&previous);
            self.outputs.push(Output::CloseSession(previous));
        }
        self.sessions.insert(session, Arc::clone(&id));
        self.log(format!("worker {id} connected session={session}"));
    }

    /// Returns whether a later worker has answered at the address of a worker.
    fn has_successor(&self, info: &WorkerInfo) -> bool {
        self.workers.values().any(|other| {
            other.has_answered
                && other.info.id != info.id
                && other.info.address == info.address
                && other.info.incarnation > info.incarnation
        })
    }

    /// Marks lost and removes the workers that had the address of a worker in an earlier incarnation:
    /// their processes have ended, because the worker has answered there.
    fn remove_replaced_workers(&mut self, id: &Arc<str>) {
        let info = self.workers[id].info.clone();
        let is_replaced = |other: &&Worker| {
            other.info.id != info.id
                && other.info.address == info.address
                && other.info.incarnation < info.incarnation
        };
        let replaced = self.workers.values().filter(is_replaced);
        let replaced: Vec<_> = replaced.map(|w| Arc::clone(&w.info.id)).collect();
        for id in replaced {
            self.log(format!("worker {id} lost: {} now has its address", info.id));
            self.release_late_starts(&id);
            self.handle_crash(&id, &Evidence::Listed);
            self.workers.remove(&id);
        }
    }

    /// Applies a changed description of the same incarnation.
    pub(crate) fn update_worker(&mut self, session: u64, info: WorkerInfo) {
        let Some(worker) = self.session_worker(session) else {
            return;
        };
        if worker.info.id != info.id || worker.info.incarnation != info.incarnation {
            return;
        }
        let is_state_changed = worker.info.state != info.state;
        let text = format!("worker {} state={:?}", info.id, info.state);
        worker.info = info;
        if is_state_changed {
            self.log(text);
        }
    }

    /// Applies a report of an agent.
    pub(crate) fn handle_report(&mut self, session: u64, report: Report) {
        let Some(id) = self.sessions.get(&session).cloned() else {
            self.outputs.push(Output::CloseSession(session));
            return;
        };
        let has_reported = self.workers.get(&id).is_some_and(|w| w.has_reported);
        let settles = report.is_complete || report.is_dead || has_reported;
        let mut late_starts = report.late_starts.clone();
        // That a late start was executed ends the wait for it. Before the complete report, which lists its
        // run, the task would start elsewhere.
        late_starts.retain(|(_, remaining)| settles || *remaining > Millis(0));
        let answered = &report.answered_starts;
        self.note_late_starts(&id, &late_starts, answered);
        self.note_late_starts(&id, &report.void_starts, answered);
        if report.is_dead {
            self.log(format!(
                "worker {id} lost: its agent reports that nothing runs there crashed={}",
                report.has_crashed
            ));
            match report.has_crashed {
                true => self.handle_crash(
                    &id,
                    &report
                        .crashed_runs
                        .map_or(Evidence::Ordered, Evidence::Reported),
                ),
                false => self.mark_worker_lost(&id),
            }
            return;
        }
        if report.is_unresponsive
            && let Some(worker) = self.workers.get_mut(&id)
        {
            worker.backoff_until = worker.backoff_until.max(self.now + UNRESPONSIVE_BACKOFF);
        }
        self.note_end_lists(&id, &report);
        // The first report of a session is complete, and the next one is sent before the answer to it.
        // A report that arrives before the complete one would end runs that the complete one lists,
        // and these would be adopted again. Its ends are repeated until they are acknowledged, and it
        // refuses no starts, because none is ordered before the complete report.
        if !report.is_complete && !self.workers[&id].has_reported {
            return;
        }
        // Ends are applied before the list of runs, which no longer contains the ended ones.
        for end in &report.ended {
            self.handle_run_end(&id, end);
        }
        if !report.ended.is_empty() {
            let number = self.workers[&id].last_end;
            let worker = Arc::clone(&id);
            let jobs = report.ended.iter().map(|end| end.run.task.job).collect();
            self.writes.add_effect(
                self.now,
                Effect::Ends {
                    worker,
                    session,
                    number,
                    jobs,
                },
            );
        }
        for &(run, refusal) in &report.refused {
            self.handle_refusal(&id, session, run, refusal);
        }
        let Some(runs) = &report.running else { return };
        // A second complete report of the session may lack the runs whose starts were sent after
        // the first one.
        if report.is_complete && !self.workers[&id].has_reported {
            self.note_stale_lease(&id, report.lease_remaining);
            self.note_void_starts(&id, &report);
            self.reconcile(&id, session, runs, report.has_more_ends);
            self.stop_hidden_runs(&id);
        }
        self.update_runs(&id, session, runs);
    }

    /// Records for how long a worker may hold a lease that calls of earlier sessions have set. The agent's
    /// statement outlasts the owners that have seen the worker restart. The first one for an incarnation
    /// counts: an agent that has restarted since names the longest lease.
    fn note_stale_lease(&mut self, id: &Arc<str>, remaining: Millis) {
        let worker = self.workers.get_mut(id);
        let Some(worker) = worker.filter(|worker| !worker.has_answered) else {
            return;
        };
        worker.stale_until = self.now + remaining;
        if worker.stale_until > worker.lease_end {
            self.log(format!(
                "worker {id} may be leased for {} ms by earlier calls",
                remaining.0
            ));
        }
    }

    /// Lets the records of workers whose stale leases have ended no longer name them, so that later owners
    /// do not wait for longer than for others.
    pub(crate) fn clear_stale_records(&mut self) {
        let now = self.now;
        let workers = self.workers.values_mut();
        let cleared = workers.filter(|worker| {
            worker.stale_record
                && worker.has_record
                && worker.has_reported
                && now > worker.stale_until + LEASE_EXPIRY_MARGIN
        });
        for worker in cleared {
            worker.stale_record = false;
            let key = Key::Worker(Arc::clone(&worker.info.id));
            let record = Record::put(key, &worker.record());
            self.writes.add(now, record, None);
        }
    }

    /// Compares a complete report with the owner's state. Adopts runs of earlier owners, stops
    /// orphaned runs, and queues tasks again whose runs are missing.
    fn reconcile(
        &mut self,
        id: &Arc<str>,
        session: u64,
        statuses: &[RunStatus],
        has_more_ends: bool,
    ) {
        self.remove_replaced_workers(id);
        // A worker that has restarted refuses nothing, so that its tasks need not wait. Its earlier
        // incarnation has crashed under the runs that are missing.
        let is_listed = |run: RunId| statuses.iter().any(|status| status.run == run);
        let (retry_delay, mut crashed) = match self.workers[id].has_answered {
            true => (TASK_RETRY_DELAY, Vec::new()),
            false => (Millis(0), self.list_suspects(id, &Evidence::Listed)),
        };
        crashed.retain(|suspect| !has_more_ends && !is_listed(suspect.run));
        let known_runs: Vec<RunId> = match has_more_ends {
            true => Vec::new(),
            false => self.workers[id].runs.keys().copied().collect(),
        };
        for run in known_runs {
            if !statuses.iter().any(|status| status.run == run) {
                let worker = self.workers.get_mut(id);
                if let Some(state) = worker.and_then(|worker| worker.remove_run(run)) {
                    self.account_for_loss(run, &state, LossCause::WorkerLost);
                }
                self.requeue_if_current(id, run, retry_delay);
            }
        }
        self.count_crashes(id, &crashed);
        for status in statuses {
            let is_known = self.workers[id].runs.contains_key(&status.run);
            let is_current_run = self.jobs.worker_of_run(status.run) == Some(id);
            if is_known && is_current_run {
                let is_stopping = self.workers[id].runs[&status.run].is_stopping;
                if is_stopping {
                    self.orders
                        .entry(session)
                        .or_default()
                        .push(Order::Stop(status.run));
                }
            } else if !self.adopt_run(id, status.run) {
                self.reserve_orphaned_run(id, status.run);
                self.orders
                    .entry(session)
                    .or_default()
                    .push(Order::Stop(status.run));
                self.log(format!(
                    "run {} on {id} is orphaned: stopping it",
                    status.run
                ));
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.has_reported = true;
            worker.has_answered = true;
        }
        if !has_more_ends {
            self.unconfirmed_workers.remove(id);
        }
        self.log(format!(
            "worker {id} sent a complete report runs={}{}",
            statuses.len(),
            if has_more_ends { " more_ends=1" } else { "" }
        ));
    }

    /// Reserves the resources of an orphaned run until it has ended: those of its step, or more than
    /// the worker has or may get if the step is unknown.
    fn reserve_orphaned_run(&mut self, id: &Arc<str>, run: RunId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get(run.task.job);
        let steps = job.map(|job| &job.spec.steps);
        let known = steps.and_then(|steps| steps.get(usize::from(run.task.step)));
        let worker_run = match known {
            Some(step) => WorkerRun::new(self.now, step),
            None => WorkerRun {
                reserved: Resources::MAX,
                ..WorkerRun::new(self.now, &StepSpec::default())
            },
        };
        let is_stopping = true;
        worker.add_run(
            run,
            WorkerRun {
                is_stopping,
                ..worker_run
            },
        );
    }

    /// Adopts a run that an earlier owner started. Returns false if its task does not wait for one,
    /// which makes the run an orphan.
    fn adopt_run(&mut self, id: &Arc<str>, run: RunId) -> bool {
        let now = self.now;
        self.open_occurrence_of(run.task);
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return false;
        };
        if !job.is_open() {
            return false;
        }
        let spec = Arc::clone(&job.spec);
        let is_waiting = job
            .task(run.task)
            .is_some_and(|task| task.phase == Phase::Waiting);
        let Some(step) = job.step_mut(run.task).filter(|_| is_waiting) else {
            return false;
        };
        step.assign(run.task.index, id, run.run);
        let step = usize::from(run.task.step);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(run, WorkerRun::new(now, &spec.steps[step]));
        }
        true
    }

    /// Applies the status of running runs.
    fn update_runs(&mut self, id: &Arc<str>, session: u64, statuses: &[RunStatus]) {
        for status in statuses {
            self.mark_started(status.run.task.job);
            let is_current_run = self.jobs.worker_of_run(status.run) == Some(id);
            let is_active = is_current_run && !self.is_canary(id, status.run);
            if let (true, Some(job)) = (is_active, self.jobs.get_mut(status.run.task.job)) {
                job.note_listed(self.now, status.run.task);
            }
            if let (true, Some(checkpoint)) = (is_current_run, &status.checkpoint)
                && let Some(job) = self.jobs.get_mut(status.run.task.job)
                && let Some(step) = job.step_mut(status.run.task)
                && let Some(task) = step.history_mut(status.run.task.index)
            {
                task.save_checkpoint(status.run.run, checkpoint, true);
            }
        }
        self.settle_runs(id, statuses);
        self.check_progress(id, statuses);
        self.limit_interference(id, session);
    }

    /// Applies the refusal of a start, or the missing end of a run on a worker that may hide ends.
    fn handle_refusal(&mut self, id: &Arc<str>, session: u64, run: RunId, refusal: Refusal) {
        if matches!(refusal, Refusal::EndHidden | Refusal::EndUnknown) {
            return self.handle_hidden_end(id, run, refusal);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.remove_run(run).is_none() {
            return;
        }
        if refusal == Refusal::NoRoom || refusal == Refusal::Other {
            worker.record_refusal(self.now);
        }
        if refusal == Refusal::Ticket {
            self.advice.forget_ticket(run.task.of_step(), worker);
        }
        // The pauses of the task and of the worker end together. Without a preference for others, the
        // task would be ordered to the same worker each time.
        if let Some(job) = self.jobs.get_mut(run.task.job)
            && let Some(task) = job.task_mut(run.task)
        {
            task.avoid(id);
        }
        self.requeue_if_current(id, run, TASK_RETRY_DELAY);
        self.log(format!("run {run} refused by {id}: {refusal:?}"));
        if refusal == Refusal::Fenced {
            self.outputs.push(Output::CloseSession(session));
        }
    }
}
