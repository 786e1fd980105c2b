//! An agent's core with a session, driven by hand.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Core};
use hyssop_fleet::{Exchange, ExchangeReply, Lead, NumberedOrder};
use hyssop_jobs::{
    EndKind, Order, Resources, RunEnd, RunId, RunStatus, Start, WorkerInfo, WorkerState,
};

/// Session that the owner opens.
pub(crate) const SESSION: u64 = 7;

/// An agent and the time.
pub(crate) struct Agent {
    pub(crate) core: Core,
    pub(crate) now: u64,
    /// Reports that were not answered.
    open: VecDeque<u64>,
}

/// Returns the owner.
pub(crate) fn lead(epoch: u64) -> Lead {
    Lead {
        node: "front-1".into(),
        life: epoch,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        epoch,
        resigned: false,
    }
}

/// Returns a worker.
pub(crate) fn worker(born: u64) -> WorkerInfo {
    WorkerInfo {
        id: "i-1".into(),
        incarnation: born,
        address: "10.0.0.9:8080".into(),
        service: "planner".into(),
        domain: "bergen-a".into(),
        labels: Vec::new(),
        capacity: Resources {
            cpu: 16_000,
            mem: 64_000,
            gpu: 0,
        },
        state: WorkerState::Ready,
    }
}

/// Returns a run.
pub(crate) fn run(index: u16, run: u64) -> RunId {
    format!("00000000000000aa.0.0.{index}")
        .parse()
        .map(|task| RunId { task, run })
        .unwrap()
}

/// Returns the row of a run.
pub(crate) fn row(run: RunId) -> RunStatus {
    RunStatus {
        run,
        checkpoint: None,
        percent_done: 100,
        measurement: 0,
    }
}

/// Returns the end of a run.
pub(crate) fn end(number: u64, run: RunId, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        run,
        kind,
        checkpoint: None,
    }
}

/// Returns an order to start a run.
pub(crate) fn start(run: RunId) -> Order {
    Order::Start(Start {
        run,
        payload: Arc::from("text"),
        checkpoint: None,
        ticket: None,
    })
}

impl Agent {
    /// Creates an agent that knows nothing.
    pub(crate) fn new() -> Self {
        Self {
            core: Core::new(),
            now: 1_000,
            open: VecDeque::new(),
        }
    }

    /// Creates an agent whose session is open and whose complete report was answered.
    pub(crate) fn attached() -> Self {
        let mut agent = Self::new();
        agent.step(vec![
            AgentInput::Beat(worker(1)),
            AgentInput::Located(Some(lead(1))),
        ]);
        agent.answer(vec![], false);
        agent.held(vec![], vec![]);
        agent.answer(vec![], true);
        agent
    }

    /// Lets a millisecond pass and takes in what happened.
    pub(crate) fn step(&mut self, inputs: Vec<AgentInput>) -> Vec<AgentOutput> {
        self.now += 1;
        let outputs = self.core.tick(Millis(self.now), inputs);
        let number = |output: &AgentOutput| match output {
            AgentOutput::Exchange { number, .. } => Some(*number),
            _ => None,
        };
        self.open.extend(outputs.iter().filter_map(number));
        outputs
    }

    /// Takes in that the owner answers the oldest report, as if it was sent just now.
    pub(crate) fn answer(&mut self, orders: Vec<(u64, Order)>, granted: bool) -> Vec<AgentOutput> {
        let orders = orders
            .into_iter()
            .map(|(number, order)| NumberedOrder { number, order });
        let reply = ExchangeReply {
            owner: true,
            epoch: 1,
            session: Some(SESSION),
            granted,
            orders: orders.collect(),
            acknowledged: 0,
        };
        let sent = Millis(self.now);
        let number = self.open.pop_front().unwrap_or_default();
        self.step(vec![AgentInput::Answered {
            epoch: 1,
            sent,
            number,
            reply,
        }])
    }

    /// Takes in a look that was sent just now.
    pub(crate) fn held(&mut self, running: Vec<RunStatus>, ended: Vec<RunEnd>) -> Vec<AgentOutput> {
        let sent = Millis(self.now);
        self.held_at(sent, running, ended)
    }

    /// Takes in a look.
    pub(crate) fn held_at(
        &mut self,
        sent: Millis,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) -> Vec<AgentOutput> {
        let clock = Millis(self.now + 500_000);
        let input = AgentInput::Held {
            session: SESSION,
            sent,
            clock,
            running,
            ended,
        };
        self.step(vec![input])
    }
}

/// Returns the reports among outputs.
pub(crate) fn reports(outputs: &[AgentOutput]) -> Vec<&Exchange> {
    let mut reports = Vec::new();
    for output in outputs {
        if let AgentOutput::Exchange { exchange, .. } = output {
            reports.push(&**exchange);
        }
    }
    reports
}
