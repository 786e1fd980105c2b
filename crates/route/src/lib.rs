//! Decisions on the request path: membership, choice of a backend server, limits and tickets.
//!
//! A [`Router`] runs in each entry and chooses an agent for a request. A [`Gate`] runs in each
//! agent and decides when the request runs at the backend server. Neither does any I/O: the
//! current time, random seeds and all external events are passed in by a driver.

mod gates;
mod routers;
mod types;

pub use gates::{Gate, GateStatus, LEAVE_GRACE, MAX_DEADLINE_OVERRUN};
pub use routers::{MemberStatus, Router};
pub use types::{
    CallReport, CallResult, CallerRequest, GateInput, GateOptions, GateOutput, Pick, RouterOptions,
};
