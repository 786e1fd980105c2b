//! Decisions on the request path: members, choice of backend server, limits and tickets.

mod io;

pub use io::{Ask, Done, End, GateInput, GateOptions, GateOutput, Pick, RouterOptions};
