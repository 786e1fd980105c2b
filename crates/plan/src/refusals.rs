//! Starts that a worker refuses or does not receive in time: a pause of the worker, and other workers for the job.

use hyssop_core::{JobId, Millis, OrderReject, Reason, Subject, WorkerName};

use crate::Cell;
use crate::workers::{OrderKind, Worker};

/// Time for which nothing is placed on a worker after a refused start; it doubles with each further
/// one. It is longer than a refused start takes, so that the next search finds other workers.
const FIRST_REFUSAL_PAUSE: Millis = Millis(1_000);
/// Longest pause after a refused start. Urgent work has to start within 5.8 s of the time at which
/// the worker accepts starts again.
const MAX_REFUSAL_PAUSE: Millis = Millis(4_000);

/// Polls with a start order after which it is withdrawn: the worker gets them late or not at all.
const MAX_START_POLLS: u32 = 3;

impl Worker {
    /// Returns whether nothing is placed on the worker because it has refused a start.
    pub(crate) fn is_refusing(&self, now: Millis) -> bool {
        self.refuses_until.is_some_and(|until| now < until)
    }

    /// Records an accepted start, which ends the pause.
    pub(crate) fn clear_refusals(&mut self) {
        self.refusal_count = 0;
        self.refuses_until = None;
    }
}

impl Cell {
    /// Withdraws the start orders that were sent to a worker `MAX_START_POLLS` times without being
    /// accepted. The worker's inventory then shows whether one has arrived after all.
    pub(crate) fn withdraw_repeated_starts(&mut self, now: Millis, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.pending_poll.is_some() {
            return;
        }
        let tasks = &self.tasks;
        let is_repeated = |job: &JobId, kind: &OrderKind| {
            let task = tasks.get(job);
            *kind == OrderKind::Start && task.is_some_and(|t| t.start_polls >= MAX_START_POLLS)
        };
        let orders = worker.pending_orders.iter();
        let repeated: Vec<JobId> = orders
            .filter(|(job, kind)| is_repeated(job, kind))
            .map(|(job, _)| job.clone())
            .collect();
        for job in &repeated {
            worker.pending_orders.remove(job);
            worker.needs_inventory = true;
        }
        for job in repeated {
            self.record_refused_start(now, name, &job, OrderReject::StaleTimestamp);
        }
    }

    /// Records a refused start: the job prefers other workers from now on. Unless only the attempt
    /// was too old, nothing is placed on the worker for a time.
    pub(crate) fn record_refused_start(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        reject: OrderReject,
    ) {
        let names = self.failed_workers.entry(job.clone()).or_default();
        names.insert(name.clone());
        let reason = Reason::Other(format!("{name} has not accepted the start"));
        self.explain_job(now, job, reason);
        if reject == OrderReject::OldAttempt {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // Starts that were refused together count once.
        if worker.is_refusing(now) {
            return;
        }
        let doubled = FIRST_REFUSAL_PAUSE.0 << worker.refusal_count.min(16);
        let pause = Millis(doubled.min(MAX_REFUSAL_PAUSE.0));
        worker.refusal_count += 1;
        worker.refuses_until = Some(now + pause);
        let reason = Reason::Other(format!(
            "{name} has not accepted a start; paused for {pause} ms"
        ));
        self.explanations
            .add(now, Subject::Worker(name.clone()), reason);
    }
}
