//! Advice on eligible workers. In some queues, only workers named by a service of the platform may
//! run a step, each with a ticket that is valid for a limited time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::advice_calls::{AdviceCalls, AdviceNeed, Call};
use crate::io::{Advice, AdviceReply, AdviceStatus, Output};
use crate::limits::{
    ADVICE_RETRY_DELAY, ADVICE_TRANSIT_TIME, FOLLOW_UP_ADVICE_DELAY, MAX_ADVICE_DOUBLINGS,
    MAX_ADVICE_PRIORITY, MAX_ADVICE_WAIT_GAP, MAX_ADVICE_WORKERS, MAX_GANG_ADVICE_WORKERS,
    PRIORITY_ADVICE_DELAY, TICKET_EXPIRY_MARGIN,
};
use crate::owners::Owner;
use crate::placements::PlacementRequest;
use crate::workers::{Worker, WorkerIncarnation};
use crate::{AdviceCost, JobId, StepId, TaskId};

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    /// Time until which a start may use the ticket.
    valid_until: Millis,
}

/// Advice on one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// Tickets, also those that have expired: their workers may run the step.
    tickets: HashMap<WorkerIncarnation, Ticket>,
    /// Workers that may not run the step. The service never changes this decision.
    ineligible: HashSet<WorkerIncarnation>,
    not_before: Millis,
    /// When the last answer came, or became overdue.
    answered_at: Millis,
    /// Since when the step has waited for an answer.
    waits_since: Option<Millis>,
    /// When a task of the step was last without a worker.
    wanted_at: Millis,
    /// Whether the last search found no worker to ask about.
    lacks_candidates: bool,
    /// Answers since a task of the step has started.
    misses: u32,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if one is valid.
    pub(crate) fn ticket(&self, now: Millis, worker: &Worker) -> Option<&Arc<str>> {
        let ticket = self.tickets.get(&worker.incarnation());
        let ticket = ticket.filter(|ticket| now < ticket.valid_until);
        ticket.map(|ticket| &ticket.text)
    }

    fn needs_advice(&self, at: Millis, worker: &Worker) -> bool {
        !self.ineligible.contains(&worker.incarnation()) && self.ticket(at, worker).is_none()
    }

    /// Returns whether a worker is known to be eligible.
    fn is_eligible(&self, worker: &Worker) -> bool {
        self.tickets.contains_key(&worker.incarnation())
    }

    /// Records the decision on these workers.
    fn apply(&mut self, call: &Call, tickets: Vec<(Arc<str>, Arc<str>)>, valid_until: Millis) {
        let mut tickets: HashMap<Arc<str>, Arc<str>> = tickets.into_iter().collect();
        for worker in &call.incarnations {
            let Some(text) = tickets.remove(&worker.0) else {
                self.ineligible.insert(worker.clone());
                continue;
            };
            let known = self.tickets.get(worker);
            if known.is_none_or(|known| known.valid_until < valid_until) {
                let ticket = Ticket { text, valid_until };
                self.tickets.insert(worker.clone(), ticket);
            }
        }
    }
}

/// Advice on all steps.
#[derive(Debug, Default)]
pub(crate) struct AdviceTable {
    steps: BTreeMap<StepId, StepAdvice>,
    calls: AdviceCalls,
    /// Steps with a task that found no worker with a ticket in this tick.
    wanted: BTreeMap<StepId, WantedAdvice>,
}

/// Turn of a step that waits for advice. A step goes behind all others when it has got an answer, so
/// that none is passed over without end, and steps that ask again and again, because their tickets
/// expire unused, do not use up all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WantedAdvice {
    turn: Millis,
    /// Position among the steps of this tick, which come by their ranks.
    position: usize,
    task: TaskId,
    search: AdviceSearch,
}

/// Search for a worker that has found none with a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AdviceSearch {
    /// For a task that starts as soon as a worker can run it at full speed.
    Regular,
    /// For a task that has waited for so long that its search is relaxed, now or soon.
    Overdue,
}

impl AdviceTable {
    /// Returns what is known about the requests as of the last tick.
    pub(crate) fn status(&self, now: Millis) -> AdviceStatus {
        let waiting = self.steps.values();
        let waiting = waiting.filter(|advice| advice.wanted_at == now && !advice.lacks_candidates);
        let oldest = waiting.filter_map(|advice| advice.waits_since).min();
        AdviceStatus {
            open_calls: self.calls.open_count(),
            call_time: self.calls.call_time,
            oldest_wait: oldest.map_or(Millis(0), |since| now.since(since)),
        }
    }

    pub(crate) fn get(&self, step: StepId) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Removes the advice for a job that has ended. Its requests count until they are answered.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Removes a ticket that its worker has refused.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &Worker) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(&worker.incarnation());
        }
    }

    /// Records that a task has started with a ticket.
    pub(crate) fn note_start(&mut self, step: StepId) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.misses = 0;
        }
    }
}

impl Owner {
    /// Lets the step of a task wait for advice.
    pub(crate) fn want_advice(&mut self, task: TaskId, search: AdviceSearch) {
        let now = self.now;
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let priority = job.current_rule(&self.policy).priority;
        let delay = Millis(PRIORITY_ADVICE_DELAY.0 * u64::from(priority.min(MAX_ADVICE_PRIORITY)));
        let idle_since = job.is_idle().then(|| job.inactive_since(task.occurrence));
        let step = task.of_step();
        let entry = self.advice.steps.entry(step).or_default();
        if now > entry.wanted_at + MAX_ADVICE_WAIT_GAP {
            entry.waits_since = None;
        }
        entry.wanted_at = now;
        let waits_since = *entry.waits_since.get_or_insert(now);
        let since = match idle_since {
            Some(idle_since) => idle_since.max(entry.answered_at),
            None => waits_since + FOLLOW_UP_ADVICE_DELAY,
        };
        let position = self.advice.wanted.len();
        self.advice.wanted.entry(step).or_insert(WantedAdvice {
            turn: since + delay,
            position,
            task,
            search,
        });
    }

    /// Requests advice for the steps that wait for it, in turn, as far as the service may get requests.
    pub(crate) fn request_wanted_advice(&mut self) {
        let now = self.now;
        let wanted = std::mem::take(&mut self.advice.wanted);
        let mut wanted: Vec<WantedAdvice> = wanted.into_values().collect();
        wanted.sort_unstable();
        wanted.retain(|wanted| !self.advice.calls.is_asking(wanted.task.of_step()));
        let lacks_candidates = |wanted: &&WantedAdvice| {
            let advice = self.advice.get(wanted.task.of_step());
            advice.is_some_and(|advice| advice.lacks_candidates)
        };
        let waiting_steps = wanted.len() - wanted.iter().filter(lacks_candidates).count();
        // Workers that could run a task now come first. A service that answers quickly is also asked
        // about those that have capacity, because they may be able to soon.
        for is_ahead in [false, true] {
            for WantedAdvice { task, search, .. } in &wanted {
                if !self.advice.calls.has_capacity(now) {
                    return;
                }
                self.request_advice(*task, *search, is_ahead, waiting_steps);
            }
        }
    }

    /// Lets other steps go before those whose answers are overdue.
    pub(crate) fn pass_overdue_calls(&mut self) {
        let now = self.now;
        for number in self.advice.calls.mark_overdue(now) {
            let Some(call) = self.advice.calls.get(number) else {
                continue;
            };
            let (step, waited) = (call.step, now.since(call.sent_at));
            if let Some(advice) = self.advice.steps.get_mut(&step) {
                advice.answered_at = now;
                advice.waits_since = Some(now);
            }
            let open_calls = self.advice.calls.open_count();
            self.log(format!(
                "step {step}: advice request overdue call={number} waited_ms={waited} open_calls={open_calls}"
            ));
        }
    }

    /// Requests advice on the step of a task, if there are workers with enough free capacity that it
    /// has neither a ticket nor a refusal for.
    fn request_advice(
        &mut self,
        task: TaskId,
        search: AdviceSearch,
        is_ahead: bool,
        waiting_steps: usize,
    ) {
        let now = self.now;
        let step = task.of_step();
        let Some(request) = self.placement_request(task, None) else {
            return;
        };
        let is_asking = self.advice.calls.is_asking(step);
        let known = self.advice.get(step);
        let Some(known) = known.filter(|advice| !is_asking && now >= advice.not_before) else {
            return;
        };
        let queue = &request.job.current_rule(&self.policy).name;
        let cost = self.policy.advice_costs.get(queue);
        let cost = cost.copied().unwrap_or_default();
        if is_ahead && !self.advice.calls.is_quick(cost, 1) {
            return;
        }
        let (mut candidates, ready_count) = self.advice_candidates(&request, known, cost, search);
        let lacks_candidates = candidates.is_empty();
        if lacks_candidates || (!is_ahead && ready_count == 0) {
            if let Some(advice) = self.advice.steps.get_mut(&step) {
                advice.lacks_candidates = lacks_candidates;
            }
            return;
        }
        let first = match ready_count {
            0 => &candidates[..],
            count => &candidates[..count],
        };
        let need = self.advice_need(&request, known, cost, first, waiting_steps);
        candidates.truncate(self.advice.calls.request_size(&need));
        if is_ahead && !self.advice.calls.is_quick(cost, candidates.len()) {
            return;
        }
        let waited = now.since(known.waits_since.unwrap_or(now));
        let incarnations = candidates.into_iter().map(Worker::incarnation);
        let incarnations: Vec<WorkerIncarnation> = incarnations.collect();
        let Some(advice) = self.advice.steps.get_mut(&step) else {
            return;
        };
        advice.lacks_candidates = false;
        let is_known = |worker: &&WorkerIncarnation| advice.tickets.contains_key(*worker);
        let known = incarnations.iter().filter(is_known).count();
        let workers: Vec<Arc<str>> = incarnations.iter().map(|(id, _)| Arc::clone(id)).collect();
        let calls = &mut self.advice.calls;
        let (call, timeout) = calls.add(now, step, cost, incarnations, known);
        self.log(format!(
            "step {step}: requested advice on {} workers call={call} waited_ms={waited} waiting_steps={waiting_steps}",
            workers.len(),
        ));
        self.outputs.push(Output::RequestAdvice {
            call,
            step,
            workers,
            timeout,
        });
    }

    /// Returns the workers to ask about, the best ones first, and the number of those that could run a
    /// task now. They come before those that only have capacity, and in both groups those that are known
    /// to be eligible, whose tickets have expired, before the others.
    fn advice_candidates<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        known: &StepAdvice,
        cost: AdviceCost,
        search: AdviceSearch,
    ) -> (Vec<&'a Worker>, usize) {
        // The members of a gang need tickets that are valid at the same time.
        let needed_at = match request.spec().is_gang {
            true => self.now + self.advice.calls.expected_time(cost, MAX_ADVICE_WORKERS),
            false => self.now,
        };
        let is_candidate = |worker: &&Worker| {
            request.matches(worker) && request.fits(worker) && known.needs_advice(needed_at, worker)
        };
        let may_start = |worker: &Worker| search == AdviceSearch::Overdue || request.admits(worker);
        let mut candidates: Vec<&Worker> = self.workers.values().filter(is_candidate).collect();
        candidates.sort_by_cached_key(|worker| {
            let (may_start, is_eligible) = (may_start(worker), known.is_eligible(worker));
            std::cmp::Reverse((may_start, is_eligible, request.score(worker)))
        });
        let ready_count = candidates.iter().filter(|worker| may_start(worker)).count();
        (candidates, ready_count)
    }

    /// Returns what the size of a request depends on, of which these are the first candidates.
    fn advice_need(
        &self,
        request: &PlacementRequest<'_>,
        known: &StepAdvice,
        cost: AdviceCost,
        candidates: &[&Worker],
        waiting_steps: usize,
    ) -> AdviceNeed {
        let spec = request.spec();
        let step = request.job.step(request.step_id.task(0));
        let waiting_tasks = step.map_or(1, |step| step.waiting.len());
        let share = self.advice.calls.eligible_share();
        let share_of = |worker: &Worker| match known.is_eligible(worker) {
            true => 1.0,
            false => share,
        };
        // Returns the number of candidates that are expected to have these places for tasks.
        let enough = |places: f64| {
            let mut missing = places;
            for (count, worker) in candidates.iter().enumerate() {
                if missing <= 0.0 {
                    return count;
                }
                missing -= share_of(worker) * f64::from(request.count_places(worker));
            }
            candidates.len()
        };
        let smallest = match spec.is_gang {
            true => enough(f64::from(spec.count)),
            false => cost.best_size(candidates.iter().map(|worker| share_of(worker))),
        };
        AdviceNeed {
            cost,
            smallest: smallest << known.misses.min(MAX_ADVICE_DOUBLINGS),
            useful: enough(waiting_tasks as f64),
            largest: match spec.is_gang {
                true => MAX_GANG_ADVICE_WORKERS,
                false => MAX_ADVICE_WORKERS,
            },
            is_follow_up: !request.job.is_idle() && !spec.is_gang,
            waiting_steps,
        }
    }

    /// Applies the reply to an advice request, which may be overdue, and whose job may have ended.
    pub(crate) fn handle_advice_reply(&mut self, number: u64, reply: AdviceReply) {
        let now = self.now;
        let Some(call) = self.advice.calls.remove(number) else {
            return;
        };
        let step = call.step;
        let Advice { tickets, valid_for } = match reply {
            AdviceReply::Answered(advice) => advice,
            AdviceReply::Overloaded => {
                self.advice.calls.note_rejection(now);
                return;
            }
            AdviceReply::Failed => {
                if let Some(advice) = self.advice.steps.get_mut(&step) {
                    advice.not_before = now + ADVICE_RETRY_DELAY;
                }
                return;
            }
        };
        let (named, eligible) = (call.incarnations.len(), tickets.len());
        self.advice.calls.note_answer(now, &call, eligible);
        let valid_until = self.ticket_end(&call, valid_for);
        if let Some(advice) = self.advice.steps.get_mut(&step) {
            advice.misses = advice.misses.saturating_add(1);
            advice.answered_at = now;
            advice.waits_since = None;
            advice.apply(&call, tickets, valid_until);
        }
        self.log(format!(
            "step {step}: {eligible} of {named} workers are eligible call={number} call_ms={}",
            now.since(call.sent_at)
        ));
    }

    /// Returns the time until which the tickets of an answer are used.
    ///
    /// They certainly count from the request or later. If the answer took so long that little of their
    /// validity would be left, they count from the answer: the service issues them with it. A worker
    /// that knows better refuses the start. After the process has stood still, the answer may have
    /// waited here.
    fn ticket_end(&self, call: &Call, valid_for: Millis) -> Millis {
        let certain_end = call.sent_at + valid_for;
        let has_stood_still = self.proof.resumed_at >= call.sent_at;
        let is_mostly_over = certain_end.since(self.now).0 * 2 < valid_for.0;
        let end = match is_mostly_over && !has_stood_still {
            true => (self.now + valid_for).since(ADVICE_TRANSIT_TIME),
            false => certain_end,
        };
        end.since(TICKET_EXPIRY_MARGIN)
    }
}
