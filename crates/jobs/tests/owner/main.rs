//! Tests of the owner's core.

mod accounts;
mod advice;
mod answers;
mod gangs;
mod jobs;
mod leases;
mod overloads;
mod placements;
mod preemptions;
mod quarantines;
mod reservations;
mod schedules;
mod stalls;
mod support;
mod takeovers;
mod waves;
