//! Inputs and outputs of the agent's core.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{Refusal, RunEnd, RunId, RunStatus, Start, WorkerInfo};
use hyssop_platform::UnreadableRow;

use crate::{OwnerRecord, ReportReply, ReportRequest};

/// Cause of a failed probe of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeError {
    /// The worker is lost: nothing listens at its address, or a worker with another identifier does.
    Lost,
    /// Another incarnation of the worker answered.
    Restarted,
    /// The worker has received orders from a later owner.
    Fenced,
    /// No usable response came. The worker may still be running.
    NoResponse,
}

/// Cause of a failed start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker will never start the run.
    Refused(Refusal),
    /// There was no connection, so that the worker has not received the call.
    NotConnected,
    /// No answer tells the outcome: the worker may have started the run, or it or a later process under
    /// its identifier may start it later. A closed connection rules out neither.
    Unknown,
}

/// Cause of a failed speed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedError {
    /// The worker will never set the speed: the run does not exist, a later owner decides, or it cannot.
    Refused,
    /// No answer tells the outcome.
    Unknown,
}

/// What a worker lists, whichever of its incarnations has answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Inspection {
    /// Incarnation that has answered.
    pub incarnation: u64,
    /// Reading of its clock.
    pub worker_clock: Millis,
    /// Its runs.
    pub running: Vec<RunStatus>,
    /// Ends of runs that were not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

impl Inspection {
    /// Returns the runs in both lists.
    pub(super) fn listed(&self) -> impl Iterator<Item = RunId> {
        let running = self.running.iter().map(|status| status.run);
        running.chain(self.ended.iter().map(|end| end.run))
    }
}

/// Event that the driver reports to the core.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentInput {
    /// The worker sent a heartbeat with its description.
    Heartbeat(WorkerInfo),
    /// The worker with this identifier has deregistered.
    WorkerLeft(Arc<str>),
    /// The search for the owner ended, with the newest owner record if it was found.
    OwnerLocated(Option<OwnerRecord>),
    /// The owner replied to a report.
    ReportAnswered {
        /// Epoch of the owner to which the report was sent.
        epoch: u64,
        /// When the report was sent.
        sent_at: Millis,
        /// Number of the report, as in [`AgentOutput::SendReport`].
        number: u64,
        /// Reply of the owner.
        reply: ReportReply,
    },
    /// A report got no reply.
    ReportFailed {
        /// Epoch of the owner to which the report was sent.
        epoch: u64,
        /// Number of the report, as in [`AgentOutput::SendReport`].
        number: u64,
    },
    /// The worker answered a probe.
    Probed {
        /// Session of the probe.
        session: u64,
        /// When the probe was sent.
        sent_at: Millis,
        /// Reading of the worker's clock.
        worker_clock: Millis,
        /// Runs on the worker.
        running: Vec<RunStatus>,
        /// Ends of runs that were not acknowledged yet, in the order of their numbers.
        ended: Vec<RunEnd>,
        /// Rows of both lists that cannot be read.
        unreadable: Vec<UnreadableRow>,
    },
    /// A probe of the worker failed.
    ProbeFailed {
        /// Session of the probe.
        session: u64,
        /// Cause of the failure.
        error: ProbeError,
    },
    /// The worker answered an inspection.
    Inspected {
        /// Token of the inspection.
        token: u64,
        /// Answer of the worker.
        inspection: Inspection,
    },
    /// A start call ended.
    Started {
        /// Session of the call.
        session: u64,
        /// Run to be started.
        run: RunId,
        /// Outcome of the call.
        result: Result<(), StartError>,
        /// Reading of the worker's clock, if the answer has one.
        worker_clock: Option<Millis>,
    },
    /// A stop call ended.
    Stopped {
        /// Session of the call.
        session: u64,
        /// Run to be stopped.
        run: RunId,
        /// Whether the worker confirmed the stop.
        is_answered: bool,
    },
    /// A speed call ended.
    SpeedSet {
        /// Session of the call.
        session: u64,
        /// Run whose speed was to be set.
        run: RunId,
        /// Speed of the call, in percent of the full speed.
        percent: u32,
        /// Outcome of the call.
        result: Result<(), SpeedError>,
    },
}

/// Action that the core requests from the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Find the current owner.
    LocateOwner,
    /// Send a report to the owner.
    SendReport {
        /// Owner that receives the report.
        owner: OwnerRecord,
        /// Number of the report, from 1, unique within this process.
        number: u64,
        /// Report to send.
        request: Box<ReportRequest>,
    },
    /// Probe the worker and renew its lease.
    Probe {
        /// Session, which is also the fencing token.
        session: u64,
        /// End of the lease on the worker's clock, or none to leave the lease as it is.
        lease: Option<Millis>,
        /// Number of the last end that the worker may forget.
        acknowledged_end: u64,
        /// Maximum time that the worker waits for an end before it responds.
        wait: Millis,
    },
    /// Start a run.
    Start {
        /// Session, which is also the fencing token.
        session: u64,
        /// Description of the run.
        start: Start,
        /// End of the lease on the worker's clock.
        lease: Millis,
    },
    /// Stop a run.
    Stop {
        /// Session, which is also the fencing token.
        session: u64,
        /// Run to stop.
        run: RunId,
    },
    /// Set the speed of a run.
    SetSpeed {
        /// Session, which is also the fencing token.
        session: u64,
        /// Run whose speed is set.
        run: RunId,
        /// Speed in percent of the full speed.
        percent: u32,
    },
    /// Read the lists of a worker while no owner replies, without an effect on its lease.
    Inspect {
        /// Fencing token.
        token: u64,
        /// Worker of the last session. Any incarnation of it may answer.
        worker: WorkerInfo,
    },
    /// End a run while no owner replies. The next inspection shows the result.
    EndRun {
        /// Fencing token.
        token: u64,
        /// Worker that lists the run.
        worker: WorkerInfo,
        /// Run to end.
        run: RunId,
    },
    /// Log a decision of the core.
    Log(String),
}
