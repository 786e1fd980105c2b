//! Checks of the request path: G5 to G9.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hyssop_core::{AgentName, DomainName, DomainState, Millis, Outcome, Ticket};

use super::{Findings, Observation, REMOVAL_DEADLINE};

#[derive(Debug)]
struct Request {
    ticket: Option<Ticket>,
    is_idempotent: bool,
    expected_body: Bytes,
    runs: u32,
    was_reported_not_run: bool,
}

#[derive(Debug)]
struct Server {
    domain: DomainName,
    leaving_since: Option<Millis>,
    running: BTreeSet<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Requests {
    requests: BTreeMap<u64, Request>,
    /// Number of runs under each ticket, over all backend servers.
    runs_by_ticket: BTreeMap<Ticket, u32>,
    servers: BTreeMap<AgentName, Server>,
    out_since: BTreeMap<DomainName, Millis>,
    /// Requests that were running when their backend server stopped as planned.
    cut_off: BTreeSet<u64>,
}

impl Requests {
    pub(super) fn observe(&mut self, now: Millis, obs: &Observation, findings: &mut Findings) {
        match obs {
            Observation::RequestSent {
                request,
                ticket,
                is_idempotent,
                expected_body,
            } => {
                self.requests.entry(*request).or_insert_with(|| Request {
                    ticket: *ticket,
                    is_idempotent: *is_idempotent,
                    expected_body: expected_body.clone(),
                    runs: 0,
                    was_reported_not_run: false,
                });
            }
            Observation::ServerRegistered { agent, domain } => {
                let server = Server {
                    domain: domain.clone(),
                    leaving_since: None,
                    running: BTreeSet::new(),
                };
                self.servers.insert(agent.clone(), server);
            }
            Observation::RequestStarted { agent, request } => {
                self.check_run(now, agent, *request, findings);
            }
            Observation::RequestFinished { agent, request } => {
                if let Some(server) = self.servers.get_mut(agent) {
                    server.running.remove(request);
                }
            }
            Observation::ResponseReceived { request, outcome } => {
                self.check_response(*request, outcome, findings);
            }
            Observation::ServerLeaving { agent, is_leaving } => {
                if let Some(server) = self.servers.get_mut(agent) {
                    server.leaving_since = is_leaving.then(|| server.leaving_since.unwrap_or(now));
                }
            }
            Observation::ServerStopped { agent, is_planned } => {
                self.check_stop(agent, *is_planned, findings);
            }
            // Callers are served while the log is down, so a removal that no entry has read has no
            // effect on them yet. The deadline counts from the reply to the operator.
            Observation::DomainReported { domain, state } if *state == DomainState::Out => {
                self.out_since.entry(domain.clone()).or_insert(now);
            }
            Observation::DomainChanged { domain, state } if *state == DomainState::In => {
                self.out_since.remove(domain);
            }
            _ => {}
        }
    }

    fn check_run(&mut self, now: Millis, agent: &AgentName, number: u64, findings: &mut Findings) {
        if let Some(server) = self.servers.get_mut(agent) {
            server.running.insert(number);
            let out = self.out_since.get(&server.domain).copied();
            let since = server.leaving_since.into_iter().chain(out).min();
            if let Some(since) = since.filter(|since| now > *since + REMOVAL_DEADLINE) {
                let text = format!("request {number} ran at {agent}, leaving since {since}");
                findings.add(8, text);
            }
        }
        let Some(request) = self.requests.get_mut(&number) else {
            findings.add(5, format!("request {number} ran but no caller sent it"));
            return;
        };
        request.runs += 1;
        if request.was_reported_not_run {
            findings.add(
                6,
                format!("request {number} ran after it was reported as not run"),
            );
        }
        let mut runs = request.runs;
        if let Some(ticket) = request.ticket {
            let count = self.runs_by_ticket.entry(ticket).or_default();
            *count += 1;
            runs = runs.max(*count);
        }
        if !request.is_idempotent && runs > 1 {
            findings.add(7, format!("request {number} ran {runs} times"));
        }
    }

    fn check_response(&mut self, number: u64, outcome: &Outcome, findings: &mut Findings) {
        let Some(request) = self.requests.get_mut(&number) else {
            findings.add(
                5,
                format!("a response to request {number}, which no caller sent"),
            );
            return;
        };
        match outcome {
            Outcome::Complete(response) if response.body != request.expected_body => {
                let text = format!(
                    "request {number} got the wrong response {:?}",
                    response.body
                );
                findings.add(5, text);
            }
            Outcome::NotRun(reason) => {
                request.was_reported_not_run = true;
                if request.runs > 0 {
                    let text =
                        format!("request {number} ran but was reported as not run: {reason}");
                    findings.add(6, text);
                }
            }
            Outcome::Unknown(reason) if self.cut_off.contains(&number) => {
                findings.add(
                    9,
                    format!("a planned stop cut off request {number}: {reason}"),
                );
            }
            _ => {}
        }
    }

    fn check_stop(&mut self, agent: &AgentName, is_planned: bool, findings: &mut Findings) {
        let Some(server) = self.servers.get_mut(agent) else {
            return;
        };
        let running = std::mem::take(&mut server.running);
        if is_planned && !running.is_empty() {
            findings.add(9, format!("{agent} stopped while {running:?} ran"));
            self.cut_off.extend(running);
        }
    }
}
