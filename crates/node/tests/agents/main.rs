//! Tests of the agent daemon against an entry and a backend server in this process.

mod calls;
mod fixtures;
mod lifecycles;
