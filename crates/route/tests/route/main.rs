//! Tests of the router and the gate.

mod common;
mod gate;
mod gate_machine;
mod router;
