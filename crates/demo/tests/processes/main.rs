//! Tests in which each component is a process of its own on loopback.

mod control;
mod end_to_end;
mod failures;
mod support;
