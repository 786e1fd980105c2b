//! Tests of the owner's core.

mod accounts;
mod advice;
mod answers;
mod begins;
mod capacities;
mod crashes;
mod detections;
mod gangs;
mod incarnations;
mod jobs;
mod late_starts;
mod leases;
mod overloads;
mod placements;
mod preemptions;
mod quarantines;
mod reservations;
mod schedules;
mod searches;
mod share_limits;
mod shares;
mod stalls;
mod support;
mod takeovers;
mod unreadable;
mod waves;
