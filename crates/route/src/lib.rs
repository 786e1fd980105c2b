//! Decisions on the request path: members, choice of backend server, limits and tickets.
//!
//! [`Router`] is the entry's side and [`Gate`] the agent's side. Both are pure: time, random
//! seeds and everything that comes from outside are inputs.

mod gates;
mod routers;
mod types;

pub use gates::{Gate, GateStatus, LEAVE_GRACE, MAX_DEADLINE_OVERRUN};
pub use routers::{MemberStatus, Router};
pub use types::{
    CallReport, CallResult, CallerRequest, GateInput, GateOptions, GateOutput, Pick, RouterOptions,
};
