//! Checks invariants of the gate in random histories against a small reference model.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::{backend_announced, call, open_gate, response, service, team};
use hyssop_core::{Millis, NotRun, Outcome, Ticket, TicketCall};
use hyssop_route::{Gate, GateInput, GateOutput, LEAVE_GRACE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SLOTS: u32 = 2;
const CONNECTIONS: u32 = 5;
const TEAMS: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug)]
enum Step {
    Issue {
        team: usize,
    },
    Call {
        team: usize,
        ticket: Option<usize>,
        body: u8,
        budget: u64,
        is_refused: bool,
    },
    EndCall {
        run: usize,
        has_response: bool,
    },
    AdvanceTime(u64),
    AnnounceBackend {
        is_restarted: bool,
    },
    LoseBackend,
    Leave,
    Rejoin,
    Serving(bool),
}

/// State of everything around the gate on which the admission of new work depends.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    backend_incarnation: u64,
    has_backend: bool,
    leaving_since: Option<u64>,
    has_serving_entry: bool,
    issued_tickets: usize,
}

impl Model {
    /// Returns whether the gate accepts new work.
    fn is_open(&self) -> bool {
        self.has_backend && self.has_serving_entry && self.leaving_since.is_none()
    }
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let model = Model {
            backend_incarnation: 1,
            has_backend: true,
            has_serving_entry: true,
            ..Model::default()
        };
        Just(model).boxed()
    }

    fn transitions(state: &Model) -> BoxedStrategy<Step> {
        let tickets = prop_oneof![
            1 => Just(None),
            4 => (0..state.issued_tickets.max(1)).prop_map(Some),
        ];
        let call = (
            0..2_usize,
            tickets,
            0..2_u8,
            prop_oneof![Just(0), 1..400_u64],
            prop::bool::weighted(0.2),
        );
        prop_oneof![
            4 => (0..2_usize).prop_map(|team| Step::Issue { team }),
            12 => call.prop_map(|(team, ticket, body, budget, is_refused)| Step::Call {
                team,
                ticket,
                body,
                budget,
                is_refused,
            }),
            8 => (0..8_usize, any::<bool>())
                .prop_map(|(run, has_response)| Step::EndCall { run, has_response }),
            4 => prop_oneof![1..300_u64, Just(61_000_u64), Just(700_000_u64)]
                .prop_map(Step::AdvanceTime),
            2 => any::<bool>().prop_map(|is_restarted| Step::AnnounceBackend { is_restarted }),
            1 => Just(Step::LoseBackend),
            1 => Just(Step::Leave),
            2 => Just(Step::Rejoin),
            2 => prop_oneof![1 => Just(false), 3 => Just(true)].prop_map(Step::Serving),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Issue { .. } => {
                state.issued_tickets += usize::from(state.is_open());
            }
            Step::Call { .. } | Step::EndCall { .. } => {}
            Step::AdvanceTime(time) => state.now += time,
            Step::AnnounceBackend { is_restarted } => {
                state.backend_incarnation += u64::from(*is_restarted);
                state.has_backend = true;
            }
            Step::LoseBackend => state.has_backend = false,
            Step::Leave => state.leaving_since = state.leaving_since.or(Some(state.now)),
            Step::Rejoin => state.leaving_since = None,
            Step::Serving(serving) => state.has_serving_entry = *serving,
        }
        state
    }
}

/// A request that was sent to the gate.
struct SentCall {
    id: u64,
    key: Option<(Ticket, usize, u8)>,
    /// Whether the gate accepted no new work when the request arrived, or its entry refused it.
    was_closed: bool,
    has_reply: bool,
}

struct TestedGate {
    gate: Gate,
    next_token: u64,
    issued: Vec<Ticket>,
    sent: BTreeMap<u64, SentCall>,
    /// Tokens of the running requests with the incarnation of their backend server.
    running: BTreeMap<u64, u64>,
    /// Identities of all requests that have been started.
    started: BTreeSet<(Option<Ticket>, u64)>,
    /// Identities of all requests with the outcome "not run".
    refused: BTreeSet<(Option<Ticket>, u64)>,
}

impl TestedGate {
    /// Identifies a request by its ticket and contents, or by its token if it has no ticket.
    fn identity(&self, token: u64) -> (Option<Ticket>, u64) {
        match self.sent[&token].key {
            Some((ticket, team, body)) => (Some(ticket), team as u64 * 2 + u64::from(body)),
            None => (None, token),
        }
    }

    fn check(&mut self, model: &Model, outputs: &[GateOutput]) {
        for output in outputs {
            match output {
                GateOutput::Run { token, call, .. } => self.check_run(model, *token, call),
                GateOutput::Reply { token, reply } => {
                    let key = self.identity(*token);
                    let sent = self.sent.get_mut(token).expect("a reply to a call");
                    assert!(!sent.has_reply, "call {token} got two replies");
                    sent.has_reply = true;
                    assert_eq!(reply.id.0, sent.id, "the reply is for another call");
                    self.check_outcome(key, &reply.outcome);
                }
                GateOutput::Tickets { reply, .. } => {
                    self.issued.extend(reply.iter().flatten());
                }
            }
        }
        assert!(self.running.len() <= SLOTS as usize, "more runs than slots");
        let status = self.gate.status();
        let open_requests = status.load.running + status.load.waiting;
        assert!(
            open_requests <= CONNECTIONS,
            "more requests than connections"
        );
        assert!(
            status.waiting_callers <= CONNECTIONS,
            "more callers than connections"
        );
    }

    fn check_run(&mut self, model: &Model, token: u64, call: &hyssop_core::Call) {
        let key = self.identity(token);
        assert_eq!(call.id.0, self.sent[&token].id);
        assert!(
            !self.refused.contains(&key),
            "{key:?} was refused and started"
        );
        assert!(self.started.insert(key), "{key:?} started twice");
        if let Some(ticket) = key.0 {
            let others = self
                .started
                .iter()
                .filter(|(other, _)| *other == Some(ticket));
            assert_eq!(
                others.count(),
                1,
                "{ticket} started with different contents"
            );
        }
        assert!(
            model.has_backend && model.has_serving_entry,
            "started without a backend server or a serving entry"
        );
        assert!(
            !self.sent[&token].was_closed,
            "a closed gate accepted a new call"
        );
        if let Some(since) = model.leaving_since {
            assert!(
                model.now < since + LEAVE_GRACE.0,
                "started after the grace period"
            );
        }
        self.running.insert(token, model.backend_incarnation);
    }

    fn check_outcome(&mut self, key: (Option<Ticket>, u64), outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(_) => {
                assert!(
                    !self.started.contains(&key),
                    "{key:?} started and got \"not run\""
                );
                self.refused.insert(key);
            }
            Outcome::Complete(response) => {
                let text = String::from_utf8(response.body.to_vec()).unwrap();
                let token: u64 = text.parse().unwrap();
                assert_eq!(self.identity(token), key, "the response of another request");
            }
            Outcome::Unknown(_) => {}
        }
    }

    fn input(&mut self, step: Step, model: &Model) -> GateInput {
        let token = self.next_token;
        self.next_token += 1;
        match step {
            Step::Issue { team: requester } => {
                let call = TicketCall {
                    team: team(TEAMS[requester]),
                    service: service(),
                    count: 1,
                };
                GateInput::Tickets { token, call }
            }
            Step::Call {
                team,
                ticket,
                body,
                budget,
                is_refused,
            } => {
                let ticket = ticket.and_then(|at| self.issued.get(at).copied());
                let id = token + 1_000_000;
                let sent = SentCall {
                    id,
                    key: ticket.map(|ticket| (ticket, team, body)),
                    was_closed: is_refused || !model.is_open(),
                    has_reply: false,
                };
                self.sent.insert(token, sent);
                let mut call = call(id, TEAMS[team], ticket, &body.to_string(), budget);
                call.refusal = is_refused.then_some(NotRun::TeamLimit);
                GateInput::Call { token, call }
            }
            Step::EndCall { run, has_response } => {
                let token = self.running.keys().nth(run).copied().unwrap_or(token);
                self.running.remove(&token);
                let outcome = match has_response {
                    true => response(&token.to_string()),
                    false => Outcome::Unknown(hyssop_core::Unknown::Incomplete),
                };
                GateInput::CallEnded { token, outcome }
            }
            Step::AdvanceTime(_) => GateInput::Tick,
            Step::AnnounceBackend { .. } => {
                self.running.retain(|_, backend_incarnation| {
                    *backend_incarnation == model.backend_incarnation
                });
                backend_announced(model.backend_incarnation, SLOTS, CONNECTIONS)
            }
            Step::LoseBackend => GateInput::BackendLost,
            Step::Leave => GateInput::Leave,
            Step::Rejoin => GateInput::Rejoin,
            Step::Serving(serving) => GateInput::EntryServing(serving),
        }
    }
}

struct GateTest {
    tested: TestedGate,
}

impl StateMachineTest for GateTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Model) -> Self {
        let tested = TestedGate {
            gate: open_gate(SLOTS, CONNECTIONS),
            next_token: 1,
            issued: Vec::new(),
            sent: BTreeMap::new(),
            running: BTreeMap::new(),
            started: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        Self { tested }
    }

    fn apply(mut test: Self, model: &Model, step: Step) -> Self {
        let input = test.tested.input(step, model);
        let outputs = test.tested.gate.step(Millis(model.now), input);
        test.tested.check(model, &outputs);
        assert_eq!(
            test.tested.issued.len(),
            model.issued_tickets,
            "number of issued tickets"
        );
        test
    }

    /// Checks that every call gets a reply in the end and every slot becomes free.
    fn teardown(mut test: Self, model: Model) {
        let tested = &mut test.tested;
        while let Some(token) = tested.running.keys().next().copied() {
            tested.running.remove(&token);
            let outcome = response(&token.to_string());
            let input = GateInput::CallEnded { token, outcome };
            let outputs = tested.gate.step(Millis(model.now), input);
            tested.check(&model, &outputs);
        }
        let outputs = tested.gate.step(Millis(model.now + 1_000), GateInput::Tick);
        tested.check(&model, &outputs);
        let unanswered = tested.sent.values().filter(|sent| !sent.has_reply).count();
        assert_eq!(unanswered, 0, "calls without a reply");
        assert_eq!(tested.gate.status().load.running, 0);
    }
}

/// Returns the number of random histories, 512 unless `HYSSOP_CASES` is set.
fn cases() -> u32 {
    let cases = std::env::var("HYSSOP_CASES").ok();
    cases.map_or(512, |cases| cases.parse().expect("a number"))
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Guards against a ticket that runs twice, a "not run" reply for a request that has run or
    /// runs later, a response that is sent to another call, and more load than the limits allow.
    #[test]
    fn gate_invariants_hold_for_random_histories(sequential 1..80 => GateTest);
}
