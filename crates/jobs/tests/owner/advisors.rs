//! Advice service that handles the requests of a host one at a time, in turn, as the platform's does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{Advice, AdviceReply, EndKind, Order, Refusal, Report, RunId, StepId};

use crate::support::{AdviceCall, Fleet, run_end, run_status};

/// Number of waiting requests from which the service rejects further ones.
const MAX_WAITING: usize = 32;
/// Length of one step of the simulation.
const STEP_MS: u64 = 20;

/// Request that the service has in hand, whether or not the caller still waits for it.
struct Pending {
    call: AdviceCall,
    sent_at: u64,
    done_at: u64,
}

/// Advice service with the times of its answers.
pub(crate) struct Advisor {
    decide_ms: u64,
    per_worker_ms: u64,
    valid_ms: u64,
    /// Workers that may run no step.
    pub(crate) ineligible: BTreeSet<Arc<str>>,
    /// Steps whose runs do not end.
    pub(crate) lasting: BTreeSet<u16>,
    /// Whether requests are lost on their way.
    pub(crate) is_silent: bool,
    pending: VecDeque<Pending>,
    free_at: u64,
    /// Requests that have reached the service, or were lost on their way there.
    pub(crate) requested: Vec<AdviceCall>,
    /// Largest number of requests that were at the service at the same time.
    pub(crate) most_pending: usize,
    /// Number of requests that were rejected.
    pub(crate) rejected: usize,
    /// End of each ticket.
    ends: BTreeMap<Arc<str>, u64>,
    /// Runs that have started, by session of their workers. They end in the next step.
    running: BTreeMap<u64, Vec<RunId>>,
    /// Number of ends by session.
    end_counts: BTreeMap<u64, u64>,
    /// First start of a task of each step.
    pub(crate) started: BTreeMap<StepId, u64>,
    /// Number of starts with a ticket that is not valid.
    pub(crate) refused_starts: usize,
}

impl Advisor {
    /// Creates a service with the times for a decision and for each worker, and the validity of tickets,
    /// in milliseconds.
    pub(crate) fn new(decide_ms: u64, per_worker_ms: u64, valid_ms: u64) -> Self {
        Self {
            decide_ms,
            per_worker_ms,
            valid_ms,
            ineligible: BTreeSet::new(),
            lasting: BTreeSet::new(),
            is_silent: false,
            pending: VecDeque::new(),
            free_at: 0,
            requested: Vec::new(),
            most_pending: 0,
            rejected: 0,
            ends: BTreeMap::new(),
            running: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            started: BTreeMap::new(),
            refused_starts: 0,
        }
    }

    /// Returns the time of a request that names this number of workers.
    pub(crate) fn time(&self, workers: usize) -> u64 {
        self.decide_ms + self.per_worker_ms * workers as u64
    }

    /// Advances the fleet and the service until a condition holds, for at most `limit_ms`. Returns
    /// whether it does.
    pub(crate) fn run_until(
        &mut self,
        fleet: &mut Fleet,
        sessions: &[u64],
        limit_ms: u64,
        condition: impl Fn(&Self) -> bool,
    ) -> bool {
        let end = fleet.now + limit_ms;
        while fleet.now < end && !condition(self) {
            fleet.advance_by(STEP_MS, sessions);
            self.take_calls(fleet);
            self.answer(fleet);
            self.take_starts(fleet, sessions);
        }
        condition(self)
    }

    fn take_calls(&mut self, fleet: &mut Fleet) {
        for call in std::mem::take(&mut fleet.advice_calls) {
            self.requested.push(call.clone());
            let now = fleet.now;
            if self.is_silent {
                let done_at = u64::MAX;
                self.pending.push_back(Pending {
                    call,
                    sent_at: now,
                    done_at,
                });
                continue;
            }
            let waiting = self.pending.iter().filter(|p| p.done_at != u64::MAX);
            if waiting.count() >= MAX_WAITING {
                self.rejected += 1;
                fleet.reply_call(call.call, AdviceReply::Overloaded);
                continue;
            }
            self.free_at = self.free_at.max(now) + self.time(call.workers.len());
            self.pending.push_back(Pending {
                call,
                sent_at: now,
                done_at: self.free_at,
            });
        }
        self.most_pending = self.most_pending.max(self.pending.len());
    }

    /// Answers the requests that are done and whose caller still waits, and ends the wait of the others
    /// at their timeouts. The service goes on with a request whose caller has given up.
    fn answer(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        let pending = std::mem::take(&mut self.pending);
        for mut entry in pending {
            if entry.call.call != 0 && now >= entry.sent_at + entry.call.timeout.0 {
                fleet.reply_call(entry.call.call, AdviceReply::Failed);
                entry.call.call = 0;
            }
            if now < entry.done_at {
                let is_waiting = entry.call.call != 0 || entry.done_at != u64::MAX;
                self.pending.extend(is_waiting.then_some(entry));
                continue;
            }
            let (number, step) = (entry.call.call, entry.call.step);
            let named = entry.call.workers.into_iter();
            let eligible = named.filter(|worker| !self.ineligible.contains(worker));
            let mut tickets = Vec::new();
            for worker in eligible {
                let text: Arc<str> = format!("{step} {worker} {number}").into();
                self.ends
                    .insert(Arc::clone(&text), entry.done_at + self.valid_ms);
                tickets.push((worker, text));
            }
            if number != 0 {
                let advice = Advice {
                    tickets,
                    valid_for: Millis(self.valid_ms),
                };
                fleet.reply_call(number, AdviceReply::Answered(advice));
            }
        }
    }

    fn take_starts(&mut self, fleet: &mut Fleet, sessions: &[u64]) {
        for session in sessions {
            let running = self.running.remove(session).unwrap_or_default();
            let is_lasting = |run: &RunId| self.lasting.contains(&run.task.step);
            let (lasting, ended): (Vec<RunId>, Vec<RunId>) =
                running.into_iter().partition(is_lasting);
            self.running.insert(*session, lasting);
            let end_count = self.end_counts.entry(*session).or_default();
            let ended = ended.into_iter().map(|run| {
                *end_count += 1;
                run_end(*end_count, run, EndKind::Done)
            });
            let ended = ended.collect();
            let mut refused = Vec::new();
            for order in fleet.orders.remove(session).unwrap_or_default() {
                let Order::Start(start) = order else {
                    continue;
                };
                let ticket = start.ticket.as_ref();
                if ticket.is_some_and(|t| self.ends.get(t).is_some_and(|end| fleet.now <= *end)) {
                    let step = start.run.task.of_step();
                    self.started.entry(step).or_insert(fleet.now);
                    self.running.entry(*session).or_default().push(start.run);
                } else {
                    self.refused_starts += 1;
                    refused.push((start.run, Refusal::Ticket));
                }
            }
            let running = self.running.get(session).into_iter().flatten();
            let report = Report {
                running: Some(running.map(|run| run_status(*run)).collect()),
                ended,
                refused,
                ..Report::default()
            };
            fleet.report(*session, report);
        }
    }
}
