//! Tests with every part as a process of its own on loopback.

mod control;
mod failures;
mod support;
mod thin_path;
