//! Pure core of the owner of jobs: a job has steps, a step has tasks, and the owner places tasks on
//! workers.
//!
//! [`Owner::tick`] takes the time and what happened, and returns what is to be done. It has no I/O,
//! no clock and no randomness of its own. What must outlive the owner is in [`JobRecord`],
//! [`Progress`] and [`WorkerRecord`], which the driver keeps in the platform's store.

mod advice;
mod ends;
mod errors;
mod gangs;
mod ids;
mod io;
mod limits;
mod owners;
mod places;
mod policies;
mod preempts;
mod pressures;
mod progress;
mod protect;
mod records;
mod specs;
mod starts;
mod tables;
mod turns;
mod upkeep;
mod workers;
mod writes;

pub use errors::{Error, Result};
pub use ids::{JobId, RunId, StepId, TaskId};
pub use io::{
    Advice, Answer, Ask, EndKind, EndRow, Input, JobState, Machine, MachineState, Order, Output,
    Refusal, Report, RunRow, Start, Tag, UpkeepAnswer, WorkerInfo, WorkerState,
};
pub use limits::{GRANT, OWNER_PROOF, TAKEOVER_WAIT};
pub use owners::{Owner, OwnerOptions, Stored};
pub use policies::{Policy, QueueRule};
pub use records::{JobRecord, Key, Progress, Record, TurnProgress, WeightRecord, WorkerRecord};
pub use specs::{JobSpec, Room, StepSpec, Times};
pub use upkeep::{Wave, WaveRecord};
