//! Calls of agents to workers: the network between them, and the translation of outcomes by the
//! agent's driver.

use std::fmt;

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, Inspection, ProbeError, SpeedError, StartError};
use hyssop_jobs::{Refusal, RunEnd, RunId, RunStatus, Start, TaskId, WorkerInfo};
use hyssop_platform::UnreadableRow;
use rand::Rng;

use super::agents::AgentEvent;
use super::workers::host_address;
use super::{Event, Model};

/// Timeout of a probe beyond its wait.
const PROBE_MARGIN_MS: u64 = 700;
/// Timeout of other calls.
const ORDER_TIMEOUT_MS: u64 = 500;

/// Content of a call.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Probe {
        lease: Option<Millis>,
        acknowledged: u64,
        wait: Millis,
    },
    Start(Start, Millis),
    Stop(RunId),
    Speed(RunId, u32),
    /// Reads the lists while no owner replies.
    Inspect,
    /// Ends a run while no owner replies.
    EndRun(RunId),
}

impl Order {
    pub(super) fn task(&self) -> Option<TaskId> {
        match self {
            Self::Probe { .. } | Self::Inspect => None,
            Self::Start(start, _) => Some(start.run.task),
            Self::Stop(run) | Self::EndRun(run) | Self::Speed(run, _) => Some(run.task),
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Probe {
                lease,
                acknowledged,
                ..
            } => write!(f, "probe(lease {lease:?}, acknowledged {acknowledged})"),
            Self::Start(start, _) => write!(f, "start of {}", start.run),
            Self::Stop(run) => write!(f, "stop of {run}"),
            Self::Speed(run, _) => write!(f, "speed of {run}"),
            Self::Inspect => write!(f, "inspection"),
            Self::EndRun(run) => write!(f, "end of {run} by the agent"),
        }
    }
}

/// Call of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(super) host: usize,
    pub(super) process: u64,
    pub(super) session: u64,
    pub(super) sent_at: u64,
    /// Worker that the agent's driver knew when it sent the call.
    pub(super) info: WorkerInfo,
    pub(super) order: Order,
}

/// Outcome of a call as the agent's client sees it.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The connection was refused: no process listens at the address.
    ConnectionRefused,
    /// No response came, or the connection was closed without one.
    NoResponse,
    /// A worker with another identifier rejected the call.
    Misdirected,
    Fenced,
    /// The worker rejects calls for now (status 429 or 503).
    Busy,
    Probed {
        clock: Millis,
        incarnation: u64,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
        unreadable: Vec<UnreadableRow>,
    },
    /// The reading of the worker's clock, if the run is on the worker.
    Started(Result<Millis, Refusal>),
    Stopped,
    SpeedSet,
}

/// What becomes of a call.
enum Fate {
    Normal,
    Lost,
    ResponseLost,
    Late,
    Reset { is_executed: bool },
    ResetLate,
}

impl Model {
    pub(super) fn send_call(&mut self, call: Call) {
        self.next_call += 1;
        let id = self.next_call;
        let timeout = match &call.order {
            Order::Probe { wait, .. } => wait.0 + PROBE_MARGIN_MS,
            Order::Inspect => PROBE_MARGIN_MS,
            _ => ORDER_TIMEOUT_MS,
        };
        self.calls.insert(id, call.clone());
        self.schedule(timeout, Event::Response(id, Outcome::NoResponse));
        if call.info.address != host_address(call.host) {
            // Nothing listens at a made-up address, or packets to it are dropped.
            if self.rng.random_bool(0.5) {
                self.schedule(1, Event::Response(id, Outcome::ConnectionRefused));
            }
            return;
        }
        let delay = self.draw_delay();
        match self.draw_fate(call.host) {
            Fate::Normal => self.schedule(delay, Event::Arrive(id, call, true)),
            Fate::Lost => {}
            Fate::ResponseLost => self.schedule(delay, Event::Arrive(id, call, false)),
            Fate::Late => {
                let delay = self.rng.random_range(2_000..12_000);
                self.schedule(delay, Event::Arrive(id, call, false));
            }
            Fate::Reset { is_executed } => {
                if is_executed {
                    self.schedule(delay, Event::Arrive(id, call, false));
                }
                self.schedule(delay + 1, Event::Response(id, Outcome::NoResponse));
            }
            Fate::ResetLate => {
                self.schedule(delay, Event::Response(id, Outcome::NoResponse));
                let delay = self.rng.random_range(100..12_000);
                self.schedule(delay, Event::Arrive(id, call, false));
            }
        }
    }

    /// Returns the delay of a message on one host.
    fn draw_delay(&mut self) -> u64 {
        match self.rng.random_bool(self.rates.slow) {
            true => self.rng.random_range(0..self.rates.slow_ms),
            false => self.rng.random_range(0..4),
        }
    }

    fn draw_fate(&mut self, host: usize) -> Fate {
        // Scenarios without such calls draw no number for them, so that their seeds stay the same.
        let closed_late = self.rates.closed_late;
        if closed_late > 0.0 && self.rng.random_bool(closed_late) {
            return Fate::ResetLate;
        }
        let is_silent = self.now < self.hosts[host].silent_until;
        if is_silent || self.rng.random_bool(self.rates.no_response) {
            let late = if self.rates.has_late_calls { 2 } else { 0 };
            return match self.rng.random_range(0..2 + late) {
                0 => Fate::Lost,
                1 => Fate::ResponseLost,
                _ => Fate::Late,
            };
        }
        match self.rng.random_bool(self.rates.no_response / 2.0) {
            true => Fate::Reset {
                is_executed: self.rng.random_bool(0.5),
            },
            false => Fate::Normal,
        }
    }

    /// Lets a call arrive at its host.
    pub(super) fn on_arrive(&mut self, id: u64, call: &Call, responds: bool) {
        let host = &self.hosts[call.host];
        match host.worker {
            Some(index) => self.execute_call(index, id, call, responds),
            None if host.is_silent => {}
            None => self.respond(id, responds, Outcome::ConnectionRefused),
        }
    }

    pub(super) fn respond(&mut self, id: u64, responds: bool, outcome: Outcome) {
        if responds {
            let delay = self.draw_delay();
            self.schedule(delay, Event::Response(id, outcome));
        }
    }

    /// Ends a call and passes its outcome to the agent that sent it.
    pub(super) fn on_response(&mut self, id: u64, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(input) = translate(&call, outcome) {
            let event = AgentEvent::Core(input);
            self.deliver_to_agent(call.host, call.process, event);
        }
    }
}

/// Translates an outcome as the agent's driver does, which does not report all of them.
fn translate(call: &Call, outcome: Outcome) -> Option<AgentInput> {
    let session = call.session;
    let input = match &call.order {
        Order::EndRun(_) => return None,
        Order::Inspect => return translate_inspection(call, outcome),
        Order::Probe { .. } => translate_probe(call, outcome),
        Order::Start(start, _) => {
            let worker_clock = match outcome {
                Outcome::Started(Ok(clock)) => Some(clock),
                _ => None,
            };
            let result = match outcome {
                Outcome::Started(result) => result.map(drop).map_err(StartError::Refused),
                Outcome::Fenced => Err(StartError::Refused(Refusal::Fenced)),
                Outcome::Misdirected | Outcome::Busy => Err(StartError::Refused(Refusal::Other)),
                Outcome::ConnectionRefused => Err(StartError::NotConnected),
                _ => Err(StartError::Unknown),
            };
            AgentInput::Started {
                session,
                run: start.run,
                result,
                worker_clock,
            }
        }
        Order::Stop(run) => AgentInput::Stopped {
            session,
            run: *run,
            is_answered: matches!(outcome, Outcome::Stopped),
        },
        Order::Speed(run, percent) => AgentInput::SpeedSet {
            session,
            run: *run,
            percent: *percent,
            result: match outcome {
                Outcome::SpeedSet => Ok(()),
                Outcome::Fenced | Outcome::Misdirected => Err(SpeedError::Refused),
                _ => Err(SpeedError::Unknown),
            },
        },
    };
    Some(input)
}

fn translate_inspection(call: &Call, outcome: Outcome) -> Option<AgentInput> {
    let Outcome::Probed {
        clock,
        incarnation,
        running,
        ended,
        ..
    } = outcome
    else {
        return None;
    };
    let inspection = Inspection {
        incarnation,
        worker_clock: clock,
        running,
        ended,
    };
    Some(AgentInput::Inspected {
        token: call.session,
        inspection,
    })
}

fn translate_probe(call: &Call, outcome: Outcome) -> AgentInput {
    let session = call.session;
    let error = match outcome {
        Outcome::Probed {
            clock,
            incarnation,
            running,
            ended,
            unreadable,
        } if incarnation == call.info.incarnation => {
            return AgentInput::Probed {
                session,
                sent_at: Millis(call.sent_at),
                worker_clock: clock,
                running,
                ended,
                unreadable,
            };
        }
        Outcome::Probed { .. } => ProbeError::Restarted,
        Outcome::ConnectionRefused | Outcome::Misdirected => ProbeError::Lost,
        Outcome::Fenced => ProbeError::Fenced,
        _ => ProbeError::NoResponse,
    };
    AgentInput::ProbeFailed { session, error }
}
