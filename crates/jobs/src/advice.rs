//! Advice on eligible workers. In some queues, only workers named by a service of the platform may
//! run a step, each with a ticket that is valid for a limited time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::io::{Advice, AdviceReply, AdviceStatus, Output};
use crate::limits::{
    ADVICE_RETRY_DELAY, ADVICE_TIMEOUT, MAX_ADVICE_CALLS, MAX_ADVICE_WORKERS, TICKET_EXPIRY_MARGIN,
};
use crate::owners::Owner;
use crate::workers::Worker;
use crate::{JobId, StepId, TaskId};

/// Worker identifier and incarnation. Tickets and refusals apply to one incarnation.
type WorkerIncarnation = (Arc<str>, u64);

fn incarnation_of(worker: &Worker) -> WorkerIncarnation {
    (Arc::clone(&worker.info.id), worker.info.incarnation)
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    /// Time until which a start may use the ticket.
    valid_until: Millis,
}

/// Advice request in flight.
#[derive(Debug)]
struct Call {
    number: u64,
    sent_at: Millis,
    incarnations: Vec<WorkerIncarnation>,
}

/// Advice on one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: HashMap<WorkerIncarnation, Ticket>,
    /// Workers that may not run the step. The service never changes this decision.
    ineligible: HashSet<WorkerIncarnation>,
    call: Option<Call>,
    not_before: Millis,
    /// When advice was last requested.
    requested_at: Millis,
    /// Since when the step has waited for an answer, and until when that is known.
    waits_since: Option<Millis>,
    waits_until: Millis,
}

/// Time without a search for a worker after which a step no longer counts as waiting.
const MAX_WAIT_GAP: Millis = Millis(500);

impl StepAdvice {
    /// Returns the ticket for a worker, if one is valid.
    pub(crate) fn ticket(&self, now: Millis, worker: &Worker) -> Option<&Arc<str>> {
        let ticket = self.tickets.get(&incarnation_of(worker));
        let ticket = ticket.filter(|ticket| now < ticket.valid_until);
        ticket.map(|ticket| &ticket.text)
    }

    fn needs_advice(&self, now: Millis, worker: &Worker) -> bool {
        !self.ineligible.contains(&incarnation_of(worker)) && self.ticket(now, worker).is_none()
    }
}

/// Advice on all steps.
#[derive(Debug, Default)]
pub(crate) struct AdviceTable {
    steps: BTreeMap<StepId, StepAdvice>,
    calls: usize,
    /// Number of the last request.
    last_call: u64,
    /// Time from the request to the answer of the last one that was answered.
    call_time: Millis,
    /// Tasks that found no worker with a ticket in this tick.
    wanted: Vec<WantedAdvice>,
}

/// Task that waits for advice. Those of jobs with nothing running go first, and among them the one
/// whose step's last request is the longest ago: steps that ask again and again, because their
/// tickets expire unused, would otherwise use up all calls. A step that has not asked yet does not
/// wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WantedAdvice {
    has_running_tasks: bool,
    requested_at: Millis,
    /// Position among the tasks of this tick, which come by their ranks.
    position: usize,
    task: TaskId,
}

impl AdviceTable {
    /// Returns what is known about the requests as of `now`.
    pub(crate) fn status(&self, now: Millis) -> AdviceStatus {
        let waiting = self.steps.values().filter(|a| a.waits_until == now);
        let oldest = waiting.filter_map(|advice| advice.waits_since).min();
        AdviceStatus {
            open_calls: self.calls,
            call_time: self.call_time,
            oldest_wait: oldest.map_or(Millis(0), |since| now.since(since)),
        }
    }

    pub(crate) fn get(&self, step: StepId) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Removes the advice for a job that has ended.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        let calls = &mut self.calls;
        self.steps.retain(|step, advice| {
            let is_retained = step.job != job;
            if !is_retained && advice.call.is_some() {
                *calls -= 1;
            }
            is_retained
        });
    }

    /// Removes a ticket that its worker has refused.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &Worker) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(&incarnation_of(worker));
        }
    }
}

impl Owner {
    /// Lets a task wait for advice on its step.
    pub(crate) fn want_advice(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let has_running_tasks = !job.is_idle();
        let entry = self.advice.steps.entry(task.of_step()).or_default();
        if self.now > entry.waits_until + MAX_WAIT_GAP {
            entry.waits_since = None;
        }
        entry.waits_since.get_or_insert(self.now);
        entry.waits_until = self.now;
        if self.advice.calls >= MAX_ADVICE_CALLS {
            return;
        }
        let wanted = WantedAdvice {
            has_running_tasks,
            requested_at: entry.requested_at,
            position: self.advice.wanted.len(),
            task,
        };
        self.advice.wanted.push(wanted);
    }

    /// Requests advice for the tasks that wait for it, as far as calls are free.
    pub(crate) fn request_wanted_advice(&mut self) {
        let mut wanted = std::mem::take(&mut self.advice.wanted);
        wanted.sort_unstable();
        for WantedAdvice { task, .. } in wanted {
            if self.advice.calls >= MAX_ADVICE_CALLS {
                return;
            }
            self.request_advice(task);
        }
    }

    /// Requests advice on the step of a task, if there are workers with enough free capacity that it
    /// has neither a ticket nor a refusal for.
    fn request_advice(&mut self, task: TaskId) {
        let now = self.now;
        let step = task.of_step();
        let known = self.advice.get(step);
        if known.is_some_and(|a| a.call.is_some() || now < a.not_before) {
            return;
        }
        let Some(request) = self.placement_request(task, None) else {
            return;
        };
        let is_unknown = |worker: &&Worker| {
            request.matches(worker)
                && request.fits(worker)
                && known.is_none_or(|advice| advice.needs_advice(now, worker))
        };
        let mut unknown: Vec<&Worker> = self.workers.values().filter(is_unknown).collect();
        if unknown.is_empty() {
            if let Some(entry) = self.advice.steps.get_mut(&step) {
                entry.waits_since = None;
            }
            return;
        }
        unknown.sort_by_key(|worker| std::cmp::Reverse(request.score(worker)));
        unknown.truncate(MAX_ADVICE_WORKERS);
        let incarnations: Vec<WorkerIncarnation> =
            unknown.into_iter().map(incarnation_of).collect();
        let workers: Vec<Arc<str>> = incarnations.iter().map(|(id, _)| Arc::clone(id)).collect();
        self.log(format!(
            "step {step}: requested advice on {} workers",
            incarnations.len()
        ));
        self.advice.calls += 1;
        self.advice.last_call += 1;
        let call = self.advice.last_call;
        let entry = self.advice.steps.entry(step).or_default();
        entry.requested_at = now;
        entry.call = Some(Call {
            number: call,
            sent_at: now,
            incarnations,
        });
        self.outputs.push(Output::RequestAdvice {
            call,
            step,
            workers,
            timeout: ADVICE_TIMEOUT,
        });
    }

    /// Applies the reply to an advice request.
    pub(crate) fn handle_advice_reply(&mut self, call: u64, reply: AdviceReply) {
        let now = self.now;
        let mut steps = self.advice.steps.iter_mut();
        let is_asked = |advice: &StepAdvice| advice.call.as_ref().is_some_and(|c| c.number == call);
        let Some((&step, advice)) = steps.find(|(_, advice)| is_asked(advice)) else {
            return;
        };
        let Some(call) = advice.call.take() else {
            return;
        };
        self.advice.calls -= 1;
        let AdviceReply::Answered(Advice { tickets, valid_for }) = reply else {
            advice.not_before = now + ADVICE_RETRY_DELAY;
            return;
        };
        self.advice.call_time = now.since(call.sent_at);
        advice.waits_since = None;
        // The validity is counted from the request, which was sent before the tickets were issued.
        let valid_until = (call.sent_at + valid_for).since(TICKET_EXPIRY_MARGIN);
        let mut tickets: HashMap<Arc<str>, Arc<str>> = tickets.into_iter().collect();
        let count = tickets.len();
        for worker in call.incarnations {
            match tickets.remove(&worker.0) {
                Some(text) => {
                    advice.tickets.insert(worker, Ticket { text, valid_until });
                }
                None => {
                    advice.ineligible.insert(worker);
                }
            }
        }
        self.log(format!("step {step}: {count} workers are eligible"));
    }
}
