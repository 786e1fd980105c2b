//! Tests of the cell core against an in-memory stream and fake workers in virtual time.

mod basics;
mod checks;
mod faults;
mod fleet;
mod policies;
mod random;
mod worker;
