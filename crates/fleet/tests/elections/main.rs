//! Tests of the ownership: several candidates on one record.

mod cases;
mod races;
mod support;
