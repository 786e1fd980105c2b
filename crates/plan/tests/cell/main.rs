//! Tests of the cell core against an in-memory stream and fake workers in virtual time.

mod basics;
mod checks;
mod fleet;
mod worker;
