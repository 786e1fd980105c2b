//! Deterministic core of the owner of jobs. A job has steps, a step has tasks, and the owner
//! assigns tasks to workers.
//!
//! [`Owner::tick`] takes the current time and the events since the last call, and returns the
//! actions for the driver to carry out. It does no I/O, reads no clock and uses no randomness.
//! State that must survive a change of owners is in [`JobRecord`], [`Progress`], [`HeldEnd`], [`WorkerRecord`],
//! [`WaveRecord`] and [`InterferenceRecord`], which the driver keeps in the platform's store.

mod accounts;
mod advice;
mod advice_calls;
mod crashes;
mod ends;
mod errors;
mod gangs;
mod held_ends;
mod hidden_ends;
mod ids;
mod interference;
mod io;
mod jobs;
mod late_starts;
mod limits;
mod losses;
mod occurrences;
mod owners;
mod placements;
mod policies;
mod preemptions;
mod progress;
mod proofs;
mod quarantines;
mod records;
mod refusals;
mod reports;
mod requests;
mod sets;
mod shares;
mod specs;
mod stalls;
mod starts;
mod suspects;
mod tables;
mod throttles;
mod trials;
mod vacancies;
mod waves;
mod workers;
mod writes;

pub use crashes::CrashedRun;
pub use errors::{Error, Result};
pub use ids::{JobId, RunId, StepId, TaskId};
pub use io::{
    Advice, AdviceReply, AdviceStatus, CallerRequest, CallerResponse, EndKind, Input, JobState,
    LateStartCause, Machine, MachineState, MaintenanceReply, Order, Output, Refusal, Report,
    RequestId, RunEnd, RunStatus, Start, WorkerInfo, WorkerState,
};
pub use limits::{
    MAX_AMOUNT, MAX_CONFIRMATION_AGE, RENEWAL_VALIDITY, SLOWEST_CLOCK_PERCENT, TAKEOVER_WAIT,
    WORKER_LEASE, longest_lease, slowest_time,
};
pub use owners::{Owner, OwnerOptions, StoredRecords};
pub use policies::{AdviceCost, Policy, QueueRule};
pub use proofs::{CallPermit, RenewalProof};
pub use records::{
    HeldEnd, InterferenceRecord, JobRecord, Key, OccurrenceProgress, Progress, Record, WorkerRecord,
};
pub use sets::{RunSet, TaskSet};
pub use specs::{JobSpec, Resources, Schedule, StepSpec};
pub use waves::{MaintenanceWave, WaveRecord};
