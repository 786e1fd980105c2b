//! Checks of the request path: G5 to G9.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hyssop_core::{AgentName, DomainName, DomainState, Millis, Outcome, Ticket};

use super::{Findings, NO_WORK, Obs};

#[derive(Debug)]
struct Request {
    ticket: Option<Ticket>,
    idempotent: bool,
    answer: Bytes,
    runs: u32,
    refused: bool,
}

#[derive(Debug)]
struct Server {
    domain: DomainName,
    leaving: Option<Millis>,
    running: BTreeSet<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Requests {
    requests: BTreeMap<u64, Request>,
    /// Runs of each request key, over all backend servers.
    keys: BTreeMap<Ticket, u32>,
    servers: BTreeMap<AgentName, Server>,
    out: BTreeMap<DomainName, Millis>,
    /// Requests that a planned stop cut off.
    cut: BTreeSet<u64>,
}

impl Requests {
    pub(super) fn observe(&mut self, now: Millis, obs: &Obs, findings: &mut Findings) {
        match obs {
            Obs::Asked {
                request,
                ticket,
                idempotent,
                answer,
            } => {
                self.requests.entry(*request).or_insert_with(|| Request {
                    ticket: *ticket,
                    idempotent: *idempotent,
                    answer: answer.clone(),
                    runs: 0,
                    refused: false,
                });
            }
            Obs::Server { agent, domain } => {
                let server = Server {
                    domain: domain.clone(),
                    leaving: None,
                    running: BTreeSet::new(),
                };
                self.servers.insert(agent.clone(), server);
            }
            Obs::Ran { agent, request } => self.ran(now, agent, *request, findings),
            Obs::RunEnded { agent, request } => {
                if let Some(server) = self.servers.get_mut(agent) {
                    server.running.remove(request);
                }
            }
            Obs::Answered { request, outcome } => self.answered(*request, outcome, findings),
            Obs::Leaving { agent, leaving } => {
                if let Some(server) = self.servers.get_mut(agent) {
                    server.leaving = leaving.then(|| server.leaving.unwrap_or(now));
                }
            }
            Obs::Stopped { agent, planned } => self.stopped(agent, *planned, findings),
            // Callers are served while the log is down, so that a removal which no entry has read
            // is not in force for them: the time counts from the answer to the operator.
            Obs::DomainTold { domain, state } if *state == DomainState::Out => {
                self.out.entry(domain.clone()).or_insert(now);
            }
            Obs::Domain { domain, state } if *state == DomainState::In => {
                self.out.remove(domain);
            }
            _ => {}
        }
    }

    fn ran(&mut self, now: Millis, agent: &AgentName, number: u64, findings: &mut Findings) {
        if let Some(server) = self.servers.get_mut(agent) {
            server.running.insert(number);
            let out = self.out.get(&server.domain).copied();
            let since = server.leaving.into_iter().chain(out).min();
            if let Some(since) = since.filter(|since| now > *since + NO_WORK) {
                let text = format!("request {number} ran at {agent}, leaving since {since}");
                findings.add(8, text);
            }
        }
        let Some(request) = self.requests.get_mut(&number) else {
            findings.add(5, format!("request {number} ran and nobody sent it"));
            return;
        };
        request.runs += 1;
        if request.refused {
            findings.add(
                6,
                format!("request {number} ran after it was called not run"),
            );
        }
        let mut runs = request.runs;
        if let Some(ticket) = request.ticket {
            let count = self.keys.entry(ticket).or_default();
            *count += 1;
            runs = runs.max(*count);
        }
        if !request.idempotent && runs > 1 {
            findings.add(7, format!("request {number} ran {runs} times"));
        }
    }

    fn answered(&mut self, number: u64, outcome: &Outcome, findings: &mut Findings) {
        let Some(request) = self.requests.get_mut(&number) else {
            findings.add(
                5,
                format!("an answer to request {number}, which nobody sent"),
            );
            return;
        };
        match outcome {
            Outcome::Complete(whole) if whole.body != request.answer => {
                let text = format!("request {number} was answered with {:?}", whole.body);
                findings.add(5, text);
            }
            Outcome::NotRun(why) => {
                request.refused = true;
                if request.runs > 0 {
                    let text = format!("request {number} ran and was called not run: {why}");
                    findings.add(6, text);
                }
            }
            Outcome::Unknown(why) if self.cut.contains(&number) => {
                findings.add(9, format!("a planned stop cut off request {number}: {why}"));
            }
            _ => {}
        }
    }

    fn stopped(&mut self, agent: &AgentName, planned: bool, findings: &mut Findings) {
        let Some(server) = self.servers.get_mut(agent) else {
            return;
        };
        let running = std::mem::take(&mut server.running);
        if planned && !running.is_empty() {
            findings.add(9, format!("{agent} stopped while {running:?} ran"));
            self.cut.extend(running);
        }
    }
}
