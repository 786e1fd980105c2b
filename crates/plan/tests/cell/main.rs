//! Tests of the cell core against an in-memory stream and fake workers in virtual time.

mod basics;
mod bounds;
mod cell_calls;
mod checks;
mod cores;
mod crashes;
mod deliveries;
mod faults;
mod fleet;
mod heartbeats;
mod late_ends;
mod moves;
mod policies;
mod progress;
mod random;
mod reasons;
mod rules;
mod samples;
mod streams;
mod worker;
