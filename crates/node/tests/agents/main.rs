//! Tests of the agent daemon with a stand-in entry and a stand-in backend server in this process.

mod calls;
mod fixtures;
mod lifecycles;
