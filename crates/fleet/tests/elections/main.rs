//! Tests of the election of the owner: several candidates compete for one record.

mod cases;
mod permits;
mod races;
mod support;
