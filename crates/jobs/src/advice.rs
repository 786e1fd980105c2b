//! Advice on where a step may run: some queues let only workers run a step that a service of the
//! platform names, each with a ticket that is valid for a while.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::io::{Advice, Output};
use crate::limits::{ADVICE_CALLS, ADVICE_PAUSE, ADVICE_WORKERS, TICKET_SLACK};
use crate::owners::Owner;
use crate::workers::Worker;
use crate::{JobId, StepId};

/// Identifier and start of a life of a worker, to which tickets and refusals are bound.
type Life = (Arc<str>, u64);

fn life_of(worker: &Worker) -> Life {
    (Arc::clone(&worker.info.id), worker.info.incarnation)
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    /// Time until which a start may carry it.
    until: Millis,
}

/// A call on its way.
#[derive(Debug)]
struct Call {
    sent: Millis,
    asked: Vec<Life>,
}

/// What is known of one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: HashMap<Life, Ticket>,
    /// Workers that may not run the step, which does not change.
    barred: HashSet<Life>,
    call: Option<Call>,
    not_before: Millis,
}

impl StepAdvice {
    /// Returns the ticket for a worker.
    pub(crate) fn ticket(&self, now: Millis, worker: &Worker) -> Option<&Arc<str>> {
        let ticket = self.tickets.get(&life_of(worker));
        let ticket = ticket.filter(|ticket| now < ticket.until);
        ticket.map(|ticket| &ticket.text)
    }

    fn is_worth_asking(&self, now: Millis, worker: &Worker) -> bool {
        !self.barred.contains(&life_of(worker)) && self.ticket(now, worker).is_none()
    }
}

/// What is known of all steps.
#[derive(Debug, Default)]
pub(crate) struct Advices {
    steps: BTreeMap<StepId, StepAdvice>,
    calls: usize,
}

impl Advices {
    pub(crate) fn get(&self, step: StepId) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Forgets what is known of a job that has ended.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        let calls = &mut self.calls;
        self.steps.retain(|step, advice| {
            let is_kept = step.job != job;
            if !is_kept && advice.call.is_some() {
                *calls -= 1;
            }
            is_kept
        });
    }

    /// Forgets the ticket of a worker that did not take it.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &Worker) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(&life_of(worker));
        }
    }
}

impl Owner {
    /// Asks which workers may run a step, if there are any with room of which that is not known.
    pub(crate) fn seek_advice(&mut self, step: StepId) {
        let now = self.now;
        let known = self.advices.get(step);
        let is_waiting = known.is_some_and(|a| a.call.is_some() || now < a.not_before);
        if is_waiting || self.advices.calls >= ADVICE_CALLS {
            return;
        }
        let Some(need) = self.need(step.task(0), None) else {
            return;
        };
        let is_unknown = |worker: &&Worker| {
            need.is_offered(worker)
                && need.fits(worker)
                && known.is_none_or(|advice| advice.is_worth_asking(now, worker))
        };
        let mut unknown: Vec<&Worker> = self.workers.values().filter(is_unknown).collect();
        if unknown.is_empty() {
            return;
        }
        unknown.sort_by_key(|worker| std::cmp::Reverse(need.score(worker)));
        unknown.truncate(ADVICE_WORKERS);
        let asked: Vec<Life> = unknown.into_iter().map(life_of).collect();
        let workers: Vec<Arc<str>> = asked.iter().map(|(id, _)| Arc::clone(id)).collect();
        self.note(format!("step {step}: asks about {} workers", asked.len()));
        self.advices.calls += 1;
        let entry = self.advices.steps.entry(step).or_default();
        entry.call = Some(Call { sent: now, asked });
        self.outputs.push(Output::RequestAdvice { step, workers });
    }

    /// Takes in an answer, or that none came.
    pub(crate) fn advised(&mut self, step: StepId, answer: Option<Advice>) {
        let now = self.now;
        let Some(advice) = self.advices.steps.get_mut(&step) else {
            return;
        };
        let Some(call) = advice.call.take() else {
            return;
        };
        self.advices.calls -= 1;
        let Some(Advice { tickets, valid_for }) = answer else {
            advice.not_before = now + ADVICE_PAUSE;
            return;
        };
        // Counted from the question, which came before the answer.
        let until = (call.sent + valid_for).since(TICKET_SLACK);
        let mut tickets: HashMap<Arc<str>, Arc<str>> = tickets.into_iter().collect();
        let count = tickets.len();
        for life in call.asked {
            match tickets.remove(&life.0) {
                Some(text) => {
                    advice.tickets.insert(life, Ticket { text, until });
                }
                None => {
                    advice.barred.insert(life);
                }
            }
        }
        self.note(format!("step {step}: {count} workers may run it"));
    }
}
