//! Safety of the owner and the agents together: no two runs of one task at a time, no start after a
//! run has ended as done or all attempts have failed, no complete job without the ends of its tasks,
//! and no failed job with attempts left.
//!
//! A model of workers, networks and the store drives the owner and the agents over simulated time
//! with random faults. A judge that sees all true events of the workers looks for broken promises.

mod attempts;
mod faults;
mod isolations;
mod judges;
mod late_ends;
mod models;
mod restarts;
mod scenarios;
mod seeds;
