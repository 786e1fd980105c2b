//! Account of the time that jobs lose: waits of their steps and runs without a result, by cause.

use hyssop_core::Millis;

/// Why a step that could run has no worker for its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitCause {
    /// No eligible worker has enough resources that are not reserved.
    Capacity,
    /// No eligible worker has idle processors for a best-effort task.
    IdleCpu,
    /// Latency-critical tasks would not tolerate the best-effort task on any eligible worker.
    Interference,
    /// The step needs a ticket of the advice service.
    Ticket,
    /// A failed or refused run is followed by a short pause.
    Retry,
    /// No worker is free of other runs that have just started, for a task whose worker has crashed.
    Probation,
    /// The workers of an earlier owner have not reported yet.
    Takeover,
    /// The store has not confirmed the ownership recently.
    Unconfirmed,
}

/// Why a run ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LossCause {
    /// The run failed.
    Failed,
    /// The run was stopped because its worker is slow or the run made no progress.
    Migrated,
    /// The run was stopped for more urgent tasks.
    Preempted,
    /// The best-effort run was stopped for latency-critical tasks beside it.
    Throttled,
    /// The worker was lost, or its lease expired.
    WorkerLost,
    /// The run was stopped for a gang, for maintenance, or because its job ended.
    Stopped,
    /// The run was stopped because an earlier run of its task had ended as done.
    Repeated,
}

/// Names of the wait causes in log lines and metrics, in the order of [`WaitCause`].
const WAIT_NAMES: [&str; 8] = [
    "capacity",
    "idle_cpu",
    "interference",
    "ticket",
    "retry",
    "probation",
    "takeover",
    "unconfirmed",
];

/// Names of the loss causes in log lines and metrics, in the order of [`LossCause`].
const LOSS_NAMES: [&str; 7] = [
    "failed",
    "migrated",
    "preempted",
    "throttled",
    "worker_lost",
    "stopped",
    "repeated",
];

/// Time that one job has lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Account {
    waits: [u64; WAIT_NAMES.len()],
    losses: [u64; LOSS_NAMES.len()],
}

impl Account {
    /// Adds time for which a step waited.
    pub(crate) const fn add_wait(&mut self, cause: WaitCause, time: Millis) {
        self.waits[cause as usize] += time.0;
    }

    /// Adds the time of a run that ended without a result.
    pub(crate) const fn add_loss(&mut self, cause: LossCause, time: Millis) {
        self.losses[cause as usize] += time.0;
    }

    /// Returns the causes with their times, without those of zero.
    pub(crate) fn entries(&self) -> Vec<(&'static str, Millis)> {
        let waits = WAIT_NAMES.into_iter().zip(self.waits);
        let losses = LOSS_NAMES.into_iter().zip(self.losses);
        let entries = waits.chain(losses).filter(|(_, millis)| *millis > 0);
        entries
            .map(|(name, millis)| (name, Millis(millis)))
            .collect()
    }
}

impl WaitCause {
    /// Returns the name of the cause in log lines and metrics.
    pub(crate) const fn name(self) -> &'static str {
        WAIT_NAMES[self as usize]
    }

    /// Returns whether workers were looked for and none was found.
    const fn is_blocked(self) -> bool {
        match self {
            Self::Capacity | Self::IdleCpu | Self::Interference | Self::Ticket => true,
            Self::Retry | Self::Probation | Self::Takeover | Self::Unconfirmed => false,
        }
    }
}

/// Wait of a step for workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Wait {
    /// Since when no worker was found for the step's tasks; none before one was looked for.
    pub(crate) blocked_since: Option<Millis>,
    /// Why the step waits.
    pub(crate) cause: WaitCause,
    /// Time up to which the wait is in the account.
    counted_at: Millis,
}

impl Wait {
    /// Continues the wait of a step, or begins it, and accounts for the time under the cause that
    /// applied until now.
    pub(crate) fn extend(
        previous: Option<Self>,
        now: Millis,
        cause: WaitCause,
        account: &mut Account,
    ) -> Self {
        if let Some(previous) = previous {
            previous.count(now, account);
        }
        let blocked_since = previous.and_then(|previous| previous.blocked_since);
        Self {
            blocked_since: blocked_since.or(cause.is_blocked().then_some(now)),
            cause,
            counted_at: now,
        }
    }

    /// Adds the time since the last call to the account.
    pub(crate) fn count(&self, now: Millis, account: &mut Account) {
        account.add_wait(self.cause, now.since(self.counted_at));
    }
}
