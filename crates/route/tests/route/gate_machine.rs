//! Random histories of the gate against a small reference.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::{backend, call, open_gate, service, team, whole};
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
        refuse: bool,
    },
    End {
        run: usize,
        known: bool,
    },
    Pass(u64),
    Announce {
        renewed: bool,
    },
    Lose,
    Leave,
    Return,
    Serving(bool),
}

/// What surrounds the gate; it decides whether new work may be taken.
#[derive(Clone, Debug, Default)]
struct World {
    now: u64,
    life: u64,
    present: bool,
    leaving: Option<u64>,
    serving: bool,
    issued: usize,
}

impl World {
    /// Tells whether the gate takes new work.
    fn is_open(&self) -> bool {
        self.present && self.serving && self.leaving.is_none()
    }
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        let world = World {
            life: 1,
            present: true,
            serving: true,
            ..World::default()
        };
        Just(world).boxed()
    }

    fn transitions(state: &World) -> BoxedStrategy<Step> {
        let tickets = prop_oneof![
            1 => Just(None),
            4 => (0..state.issued.max(1)).prop_map(Some),
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
            12 => call.prop_map(|(team, ticket, body, budget, refuse)| Step::Call {
                team,
                ticket,
                body,
                budget,
                refuse,
            }),
            8 => (0..8_usize, any::<bool>()).prop_map(|(run, known)| Step::End { run, known }),
            4 => prop_oneof![1..300_u64, Just(61_000_u64), Just(700_000_u64)].prop_map(Step::Pass),
            2 => any::<bool>().prop_map(|renewed| Step::Announce { renewed }),
            1 => Just(Step::Lose),
            1 => Just(Step::Leave),
            2 => Just(Step::Return),
            2 => prop_oneof![1 => Just(false), 3 => Just(true)].prop_map(Step::Serving),
        ]
        .boxed()
    }

    fn apply(mut state: World, step: &Step) -> World {
        match step {
            Step::Issue { .. } => {
                state.issued += usize::from(state.is_open());
            }
            Step::Call { .. } | Step::End { .. } => {}
            Step::Pass(time) => state.now += time,
            Step::Announce { renewed } => {
                state.life += u64::from(*renewed);
                state.present = true;
            }
            Step::Lose => state.present = false,
            Step::Leave => state.leaving = state.leaving.or(Some(state.now)),
            Step::Return => state.leaving = None,
            Step::Serving(serving) => state.serving = *serving,
        }
        state
    }
}

/// A request that was sent to the gate.
struct Sent {
    id: u64,
    key: Option<(Ticket, usize, u8)>,
    /// Whether the gate took no new work when the request came, or its entry refused it.
    closed: bool,
    answered: bool,
}

struct Subject {
    gate: Gate,
    next: u64,
    issued: Vec<Ticket>,
    sent: BTreeMap<u64, Sent>,
    /// Life of the backend server of each request that it has.
    running: BTreeMap<u64, u64>,
    /// Ticket and contents, or token, of everything that was ever run.
    ran: BTreeSet<(Option<Ticket>, u64)>,
    /// The same of everything that was answered as not run.
    refused: BTreeSet<(Option<Ticket>, u64)>,
}

impl Subject {
    /// What identifies a request: its contents under a ticket, or else its token.
    fn key(&self, token: u64) -> (Option<Ticket>, u64) {
        match self.sent[&token].key {
            Some((ticket, team, body)) => (Some(ticket), team as u64 * 2 + u64::from(body)),
            None => (None, token),
        }
    }

    fn check(&mut self, world: &World, out: &[GateOutput]) {
        for output in out {
            match output {
                GateOutput::Run { token, call, .. } => self.check_run(world, *token, call),
                GateOutput::Reply { token, reply } => {
                    let key = self.key(*token);
                    let sent = self.sent.get_mut(token).expect("a reply to a call");
                    assert!(!sent.answered, "call {token} was answered twice");
                    sent.answered = true;
                    assert_eq!(reply.id.0, sent.id, "the answer belongs to its call");
                    self.check_outcome(key, &reply.outcome);
                }
                GateOutput::Tickets { reply, .. } => {
                    self.issued.extend(reply.iter().flatten());
                }
            }
        }
        assert!(self.running.len() <= SLOTS as usize, "more runs than slots");
        let status = self.gate.status();
        let held = status.load.running + status.load.waiting;
        assert!(held <= CONNECTIONS, "more requests than connections");
        assert!(
            status.waiting_callers <= CONNECTIONS,
            "more callers than connections"
        );
    }

    fn check_run(&mut self, world: &World, token: u64, call: &hyssop_core::Call) {
        let key = self.key(token);
        assert_eq!(call.id.0, self.sent[&token].id);
        assert!(!self.refused.contains(&key), "{key:?} was refused and runs");
        assert!(self.ran.insert(key), "{key:?} runs twice");
        if let Some(ticket) = key.0 {
            let others = self.ran.iter().filter(|(other, _)| *other == Some(ticket));
            assert_eq!(others.count(), 1, "{ticket} ran with two contents");
        }
        assert!(
            world.present && world.serving,
            "new work without a server or an entry"
        );
        assert!(!self.sent[&token].closed, "a closed gate took a new call");
        if let Some(since) = world.leaving {
            assert!(world.now < since + LEAVE_GRACE.0, "started after the grace");
        }
        self.running.insert(token, world.life);
    }

    fn check_outcome(&mut self, key: (Option<Ticket>, u64), outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(_) => {
                assert!(
                    !self.ran.contains(&key),
                    "{key:?} ran and is called not run"
                );
                self.refused.insert(key);
            }
            Outcome::Whole(whole) => {
                let text = String::from_utf8(whole.body.to_vec()).unwrap();
                let token: u64 = text.parse().unwrap();
                assert_eq!(self.key(token), key, "the answer of another request");
            }
            Outcome::Unknown(_) => {}
        }
    }

    fn input(&mut self, step: Step, world: &World) -> GateInput {
        let token = self.next;
        self.next += 1;
        match step {
            Step::Issue { team: from } => {
                let call = TicketCall {
                    team: team(TEAMS[from]),
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
                refuse,
            } => {
                let ticket = ticket.and_then(|at| self.issued.get(at).copied());
                let id = token + 1_000_000;
                let sent = Sent {
                    id,
                    key: ticket.map(|ticket| (ticket, team, body)),
                    closed: refuse || !world.is_open(),
                    answered: false,
                };
                self.sent.insert(token, sent);
                let mut call = call(id, TEAMS[team], ticket, &body.to_string(), budget);
                call.refuse = refuse.then_some(NotRun::TeamLimit);
                GateInput::Call { token, call }
            }
            Step::End { run, known } => {
                let token = self.running.keys().nth(run).copied().unwrap_or(token);
                self.running.remove(&token);
                let outcome = match known {
                    true => whole(&token.to_string()),
                    false => Outcome::Unknown(hyssop_core::Unknown::Incomplete),
                };
                GateInput::CallEnded { token, outcome }
            }
            Step::Pass(_) => GateInput::Tick,
            Step::Announce { .. } => {
                self.running.retain(|_, life| *life == world.life);
                backend(world.life, SLOTS, CONNECTIONS)
            }
            Step::Lose => GateInput::BackendLost,
            Step::Leave => GateInput::Leave,
            Step::Return => GateInput::Rejoin,
            Step::Serving(serving) => GateInput::EntryServing(serving),
        }
    }
}

struct GateTest {
    subject: Subject,
}

impl StateMachineTest for GateTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &World) -> Self {
        let subject = Subject {
            gate: open_gate(SLOTS, CONNECTIONS),
            next: 1,
            issued: Vec::new(),
            sent: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        Self { subject }
    }

    fn apply(mut test: Self, world: &World, step: Step) -> Self {
        let input = test.subject.input(step, world);
        let out = test.subject.gate.step(Millis(world.now), input);
        test.subject.check(world, &out);
        assert_eq!(test.subject.issued.len(), world.issued, "tickets issued");
        test
    }

    /// Every call is answered in the end, and every slot becomes free.
    fn teardown(mut test: Self, world: World) {
        let subject = &mut test.subject;
        while let Some(token) = subject.running.keys().next().copied() {
            subject.running.remove(&token);
            let outcome = whole(&token.to_string());
            let input = GateInput::CallEnded { token, outcome };
            let out = subject.gate.step(Millis(world.now), input);
            subject.check(&world, &out);
        }
        let out = subject
            .gate
            .step(Millis(world.now + 1_000), GateInput::Tick);
        subject.check(&world, &out);
        let open = subject.sent.values().filter(|sent| !sent.answered).count();
        assert_eq!(open, 0, "calls without an answer");
        assert_eq!(subject.gate.status().load.running, 0);
    }
}

/// Returns the number of histories, which `HYSSOP_CASES` sets.
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

    /// Guards against a ticket that runs twice, "not run" for a request that runs before or after,
    /// an answer that reaches another call, and more load than the limits.
    #[test]
    fn gate_keeps_its_promises(sequential 1..80 => GateTest);
}
