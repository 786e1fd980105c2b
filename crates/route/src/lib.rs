//! Decisions on the request path: members, choice of backend server, limits and tickets.
//!
//! [`Router`] is the entry's side and [`Gate`] the agent's side. Both are pure: time, random
//! seeds and everything that comes from outside are inputs.

mod gates;
mod io;
mod routers;

pub use gates::{Gate, GateStatus, LEAVE_GRACE, RUN_LINGER};
pub use io::{Ask, Done, End, GateInput, GateOptions, GateOutput, Pick, RouterOptions};
pub use routers::{MemberStatus, Router};
