//! Inputs and outputs of the agent's core.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{Refusal, RunEnd, RunId, RunStatus, Start, WorkerInfo};

use crate::{Exchange, ExchangeReply, Lead};

/// Why a look at the worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldError {
    /// The worker is gone: nothing listens at its address, or another life of it does.
    Gone,
    /// A later owner has given it orders.
    Fenced,
    /// No usable answer.
    Silent,
}

/// Why a start failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker will never start the run.
    Never(Refusal),
    /// It may have started it, or may start it later.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentInput {
    /// The worker reported itself.
    Beat(WorkerInfo),
    /// The worker said that it has left.
    Left(Arc<str>),
    /// The owner was found, or not.
    Located(Option<Lead>),
    /// A report was answered.
    Answered {
        /// Epoch of the owner to whom it was sent.
        epoch: u64,
        /// When it was sent.
        sent: Millis,
        /// Number of the report.
        number: u64,
        /// Answer.
        reply: ExchangeReply,
    },
    /// A report was not answered.
    Unanswered {
        /// Epoch of the owner to whom it was sent.
        epoch: u64,
    },
    /// A look at the worker was answered.
    Held {
        /// Session for which it was made.
        session: u64,
        /// When it was sent.
        sent: Millis,
        /// The worker's clock.
        clock: Millis,
        /// Runs.
        running: Vec<RunStatus>,
        /// Ends that were not acknowledged.
        ended: Vec<RunEnd>,
    },
    /// A look at the worker failed.
    NotHeld {
        /// Session for which it was made.
        session: u64,
        /// Why.
        error: HoldError,
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
        answered: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Find out who owns the jobs.
    Locate,
    /// Report to the owner.
    Exchange {
        /// Owner.
        lead: Lead,
        /// Number of the report.
        number: u64,
        /// Report.
        exchange: Box<Exchange>,
    },
    /// Look at the worker and extend its lease.
    Hold {
        /// Session, which is the fencing token.
        session: u64,
        /// End of the lease on the worker's clock.
        lease: Option<Millis>,
        /// Ends up to this number may be forgotten.
        seen: u64,
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
    Note(String),
}
