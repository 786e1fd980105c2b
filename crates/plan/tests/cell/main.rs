//! Tests of the cell core against an in-memory stream and fake workers in virtual time.

mod basics;
mod beats;
mod checks;
mod faults;
mod fleet;
mod moves;
mod policies;
mod random;
mod reasons;
mod samples;
mod streams;
mod worker;
