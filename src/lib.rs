//! Scheduler for colocated latency-critical and batch work.
//!
//! The decisions are pure cores that take the time and what happened and return what is to be
//! done: [`conf::ConfStore`], [`plan::Cell`], [`route::Router`] and [`route::Gate`]. [`node`] runs
//! them over sockets as the daemons `hyssop-entry` and `hyssop-agent`.
//!
//! On the users' platform the cores are [`jobs::Owner`], [`fleet::Election`] and
//! [`fleet::agents::Core`]; [`fleet`] runs them as the daemon `hyssop-fleet`, and [`platform`] has
//! the names, formats and calls.

pub use hyssop_conf as conf;
pub use hyssop_core as core;
pub use hyssop_fleet as fleet;
pub use hyssop_jobs as jobs;
pub use hyssop_log as log;
pub use hyssop_node as node;
pub use hyssop_plan as plan;
pub use hyssop_platform as platform;
pub use hyssop_route as route;
