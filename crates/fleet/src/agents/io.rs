//! Inputs and outputs of the agent's core.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{EndRow, Refusal, RunId, RunRow, Start, WorkerInfo};

use crate::{OwnerRecord, ReportReply, ReportRequest};

/// Why a look at the worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeError {
    /// The worker is gone: nothing listens at its address, or another life of it does.
    Lost,
    /// A later owner has given it orders.
    Fenced,
    /// No usable answer.
    NoResponse,
}

/// Why a start failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker will never start the run.
    Refused(Refusal),
    /// It may have started it, or may start it later.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentInput {
    /// The worker reported itself.
    Heartbeat(WorkerInfo),
    /// The worker said that it has left.
    WorkerLeft(Arc<str>),
    /// The owner was found, or not.
    OwnerLocated(Option<OwnerRecord>),
    /// A report was answered.
    ReportAnswered {
        /// Epoch of the owner to whom it was sent.
        epoch: u64,
        /// When it was sent.
        sent_at: Millis,
        /// Number of the report.
        number: u64,
        /// Answer.
        reply: ReportReply,
    },
    /// A report was not answered.
    ReportFailed {
        /// Epoch of the owner to whom it was sent.
        epoch: u64,
    },
    /// A look at the worker was answered.
    Probed {
        /// Session for which it was made.
        session: u64,
        /// When it was sent.
        sent_at: Millis,
        /// The worker's clock.
        worker_clock: Millis,
        /// Runs.
        running: Vec<RunRow>,
        /// Ends that were not acknowledged.
        ended: Vec<EndRow>,
    },
    /// A look at the worker failed.
    ProbeFailed {
        /// Session for which it was made.
        session: u64,
        /// Why.
        error: ProbeError,
    },
    /// A start was answered or not.
    Started {
        /// Session for which it was made.
        session: u64,
        /// Run.
        run: RunId,
        /// Outcome.
        result: Result<(), StartError>,
    },
    /// A stop was answered or not.
    Stopped {
        /// Session for which it was made.
        session: u64,
        /// Run.
        run: RunId,
        /// Whether it was answered.
        is_answered: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Find out who owns the jobs.
    LocateOwner,
    /// Report to the owner.
    SendReport {
        /// Owner.
        owner: OwnerRecord,
        /// Number of the report.
        number: u64,
        /// Report.
        request: Box<ReportRequest>,
    },
    /// Look at the worker and extend its lease.
    Probe {
        /// Session, which is the fencing token.
        session: u64,
        /// End of the lease on the worker's clock.
        lease: Option<Millis>,
        /// Ends up to this number may be forgotten.
        acknowledged_end: u64,
        /// Wait for an end.
        wait: Millis,
    },
    /// Start a run.
    Start {
        /// Session.
        session: u64,
        /// What to start.
        start: Start,
        /// End of the lease on the worker's clock.
        lease: Millis,
    },
    /// Stop a run.
    Stop {
        /// Session.
        session: u64,
        /// Run.
        run: RunId,
    },
    /// Set the speed of a run.
    Pace {
        /// Session.
        session: u64,
        /// Run.
        run: RunId,
        /// Percent.
        percent: u32,
    },
    /// A decision, for the log.
    Log(String),
}
