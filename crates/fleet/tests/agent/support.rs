//! Core of an agent that is driven step by step.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Core, StartError};
use hyssop_fleet::{NumberedOrder, OwnerRecord, ReportReply, ReportRequest};
use hyssop_jobs::{
    EndKind, Order, Refusal, Resources, RunEnd, RunId, RunStatus, Start, WorkerInfo, WorkerState,
};
use hyssop_platform::UnreadableRow;

/// Number of the session that the owner opens.
pub(crate) const SESSION: u64 = 7;

/// Time by which the worker's clock is ahead of the agent's, unless a test sets it.
pub(crate) const CLOCK_LEAD: u64 = 500_000;
/// Time after which a speed is in force, in milliseconds.
pub(crate) const SPEED_DELAY: u64 = 100;

/// Core of an agent and the current time in milliseconds.
pub(crate) struct Agent {
    pub(crate) core: Core,
    pub(crate) now: u64,
    /// Number of the last end that the owner has stored.
    acknowledged_end: u64,
    /// Numbers of the reports that were not answered.
    pending_reports: VecDeque<u64>,
    /// Reading of the worker's clock in its answers; by default it is far ahead of the agent's.
    pub(crate) worker_clock: Option<Millis>,
}

/// Returns the owner record of an epoch.
pub(crate) fn owner_record(epoch: u64) -> OwnerRecord {
    OwnerRecord {
        node: "front-1".into(),
        incarnation: epoch,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        epoch,
        has_resigned: false,
    }
}

/// Returns the description of a ready worker.
pub(crate) fn worker(incarnation: u64) -> WorkerInfo {
    WorkerInfo {
        id: "i-1".into(),
        incarnation,
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

/// Returns the identifier of a run of the task with this index.
pub(crate) fn run(index: u16, run: u64) -> RunId {
    format!("00000000000000aa.0.0.{index}")
        .parse()
        .map(|task| RunId { task, run })
        .unwrap()
}

/// Returns the status of a run without a checkpoint.
pub(crate) fn run_status(run: RunId) -> RunStatus {
    RunStatus {
        run,
        checkpoint: None,
        percent_done: 100,
        measurement: 0,
    }
}

/// Returns the end of a run without a checkpoint.
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

/// Returns the outcome of a start call.
pub(crate) fn start_answered(run: RunId, result: Result<(), StartError>) -> AgentInput {
    AgentInput::Started {
        session: SESSION,
        run,
        result,
        worker_clock: None,
    }
}

/// Returns the answer to a start call that was executed, with a reading of the worker's clock.
pub(crate) fn answered(run: RunId, worker_clock: u64) -> AgentInput {
    AgentInput::Started {
        session: SESSION,
        run,
        result: Ok(()),
        worker_clock: Some(Millis(worker_clock)),
    }
}

impl Agent {
    /// Creates an agent without a worker and an owner.
    pub(crate) fn new() -> Self {
        Self {
            core: Core::new().with_speed_delay(Millis(SPEED_DELAY)),
            now: 1_000,
            acknowledged_end: 0,
            worker_clock: None,
            pending_reports: VecDeque::new(),
        }
    }

    /// Creates an agent that knows its worker and the owner, and has requested a session.
    pub(crate) fn located() -> Self {
        let mut agent = Self::new();
        agent.step(vec![
            AgentInput::Heartbeat(worker(1)),
            AgentInput::OwnerLocated(Some(owner_record(1))),
        ]);
        agent
    }

    /// Creates an agent whose session is open and whose complete report was answered.
    pub(crate) fn attached() -> Self {
        let mut agent = Self::located();
        agent.reply(vec![], false);
        agent.probed(vec![], vec![]);
        agent.reply(vec![], true);
        agent
    }

    /// Advances the time by a millisecond and passes inputs to the core.
    pub(crate) fn step(&mut self, inputs: Vec<AgentInput>) -> Vec<AgentOutput> {
        self.now += 1;
        let outputs = self.core.tick(Millis(self.now), inputs);
        let number = |output: &AgentOutput| match output {
            AgentOutput::SendReport { number, .. } => Some(*number),
            _ => None,
        };
        self.pending_reports
            .extend(outputs.iter().filter_map(number));
        outputs
    }

    /// Lets the owner reply to the oldest report, as if the report was sent at the current time.
    /// `is_lease_renewed` tells whether the reply renews the lease of the worker.
    pub(crate) fn reply(
        &mut self,
        orders: Vec<(u64, Order)>,
        is_lease_renewed: bool,
    ) -> Vec<AgentOutput> {
        self.reply_in(SESSION, orders, is_lease_renewed)
    }

    /// As [`Self::reply`], in a given session.
    pub(crate) fn reply_in(
        &mut self,
        session: u64,
        orders: Vec<(u64, Order)>,
        is_lease_renewed: bool,
    ) -> Vec<AgentOutput> {
        self.reply_to(Millis(self.now), session, orders, is_lease_renewed)
    }

    /// Answers the first report in flight, which was sent at a time.
    pub(crate) fn reply_to(
        &mut self,
        sent_at: Millis,
        session: u64,
        orders: Vec<(u64, Order)>,
        is_lease_renewed: bool,
    ) -> Vec<AgentOutput> {
        let orders = orders
            .into_iter()
            .map(|(number, order)| NumberedOrder { number, order });
        let reply = ReportReply {
            is_owner: true,
            epoch: 1,
            session: Some(session),
            is_lease_renewed,
            orders: orders.collect(),
            acknowledged_end: self.acknowledged_end,
        };
        let number = self.pending_reports.pop_front().unwrap_or_default();
        self.step(vec![AgentInput::ReportAnswered {
            epoch: 1,
            sent_at,
            number,
            reply,
        }])
    }

    /// Lets the owner reply to reports until the agent has opened a session.
    pub(crate) fn open_session(&mut self, session: u64) {
        let began_at = self.now;
        while self.core.session() != Some(session) {
            assert!(self.now < began_at + 1_000, "no session");
            self.now += 10;
            self.reply_in(session, vec![], false);
        }
    }

    /// Lets the owner reply to the oldest report that the session is closed.
    pub(crate) fn close_session(&mut self) -> Vec<AgentOutput> {
        let reply = ReportReply {
            is_owner: true,
            epoch: 1,
            session: None,
            is_lease_renewed: false,
            orders: Vec::new(),
            acknowledged_end: 0,
        };
        let number = self.pending_reports.pop_front().unwrap_or_default();
        self.step(vec![AgentInput::ReportAnswered {
            epoch: 1,
            sent_at: Millis(self.now),
            number,
            reply,
        }])
    }

    /// Lets the oldest report in flight end without a reply. The reply may still come.
    pub(crate) fn fail_report(&mut self) -> Vec<AgentOutput> {
        let number = self.pending_reports.front();
        let number = *number.expect("a report is in flight");
        self.step(vec![AgentInput::ReportFailed { epoch: 1, number }])
    }

    /// Returns the number of the last report that was sent and not answered.
    pub(crate) fn last_report(&self) -> u64 {
        *self.pending_reports.back().expect("a report is in flight")
    }

    /// Lets the owner acknowledge the ends up to a number.
    pub(crate) fn acknowledge(&mut self, number: u64) -> Vec<AgentOutput> {
        self.acknowledged_end = number;
        self.reply(vec![], true)
    }

    /// Lets the worker answer a probe that was sent at the current time.
    pub(crate) fn probed(
        &mut self,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) -> Vec<AgentOutput> {
        let sent_at = Millis(self.now);
        self.probed_at(sent_at, running, ended)
    }

    /// As [`Self::probed`], with rows that cannot be read.
    pub(crate) fn probed_with(
        &mut self,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
        unreadable: Vec<UnreadableRow>,
    ) -> Vec<AgentOutput> {
        self.probed_with_in(SESSION, running, ended, unreadable)
    }

    /// As [`Self::probed_with`], in a given session.
    pub(crate) fn probed_with_in(
        &mut self,
        session: u64,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
        unreadable: Vec<UnreadableRow>,
    ) -> Vec<AgentOutput> {
        let sent_at = Millis(self.now);
        self.step(vec![AgentInput::Probed {
            session,
            sent_at,
            worker_clock: Millis(self.now + CLOCK_LEAD),
            running,
            ended,
            unreadable,
        }])
    }

    /// As [`Self::probed`], in a given session.
    pub(crate) fn probed_in(
        &mut self,
        session: u64,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) -> Vec<AgentOutput> {
        let sent_at = Millis(self.now);
        self.answer_probe(session, sent_at, running, ended)
    }

    /// Lets the worker answer a probe that was sent at a given time.
    pub(crate) fn probed_at(
        &mut self,
        sent_at: Millis,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) -> Vec<AgentOutput> {
        self.answer_probe(SESSION, sent_at, running, ended)
    }

    fn answer_probe(
        &mut self,
        session: u64,
        sent_at: Millis,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) -> Vec<AgentOutput> {
        let worker_clock = self.worker_clock.unwrap_or(Millis(self.now + CLOCK_LEAD));
        let input = AgentInput::Probed {
            session,
            sent_at,
            worker_clock,
            running,
            ended,
            unreadable: Vec::new(),
        };
        self.step(vec![input])
    }
}

/// Returns the number of start calls among outputs.
pub(crate) fn starts(outputs: &[AgentOutput]) -> usize {
    let is_start = |output: &&AgentOutput| matches!(output, AgentOutput::Start { .. });
    outputs.iter().filter(is_start).count()
}

/// Returns the number of stop calls among outputs.
pub(crate) fn stops(outputs: &[AgentOutput]) -> usize {
    let is_stop = |output: &&AgentOutput| matches!(output, AgentOutput::Stop { .. });
    outputs.iter().filter(is_stop).count()
}

/// Returns the number of calls among outputs that pause a run.
pub(crate) fn pauses(outputs: &[AgentOutput]) -> usize {
    let is_pause =
        |output: &&AgentOutput| matches!(output, AgentOutput::SetSpeed { percent: 0, .. });
    outputs.iter().filter(is_pause).count()
}

/// Returns the reports among outputs.
pub(crate) fn reports(outputs: &[AgentOutput]) -> Vec<&ReportRequest> {
    let mut reports = Vec::new();
    for output in outputs {
        if let AgentOutput::SendReport { request, .. } = output {
            reports.push(&**request);
        }
    }
    reports
}

/// Returns the refused starts that the reports among outputs contain.
pub(crate) fn refused(outputs: &[AgentOutput]) -> Vec<(RunId, Refusal)> {
    let reports = reports(outputs).into_iter();
    reports.flat_map(|r| r.report.refused.clone()).collect()
}

/// Returns the ends that the probes among outputs acknowledge.
pub(crate) fn acknowledged(outputs: &[AgentOutput]) -> Vec<u64> {
    let acknowledged = outputs.iter().filter_map(|output| match output {
        AgentOutput::Probe {
            acknowledged_end, ..
        } => Some(*acknowledged_end),
        _ => None,
    });
    acknowledged.collect()
}

/// Returns the reports among outputs, with their numbers.
pub(crate) fn numbered_reports(outputs: &[AgentOutput]) -> Vec<(u64, ReportRequest)> {
    let mut numbered = Vec::new();
    for output in outputs {
        if let AgentOutput::SendReport {
            number, request, ..
        } = output
        {
            numbered.push((*number, ReportRequest::clone(request)));
        }
    }
    numbered
}

/// Lets the owner answer one report with this session.
pub(crate) fn answer(agent: &mut Agent, number: u64, session: u64) -> Vec<AgentOutput> {
    let reply = ReportReply {
        is_owner: true,
        epoch: 1,
        session: Some(session),
        is_lease_renewed: true,
        ..ReportReply::default()
    };
    let sent_at = Millis(agent.now);
    agent.step(vec![AgentInput::ReportAnswered {
        epoch: 1,
        sent_at,
        number,
        reply,
    }])
}
