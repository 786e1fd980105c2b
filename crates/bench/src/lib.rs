//! Measurements of hyssoptrack: costs of the cores and of the owner of jobs, scheduling policy and request path.
//!
//! These are not tests: the results are printed, and no threshold makes a run fail.

pub mod clocks;
pub mod costs;
pub mod fits;
pub mod owners;
pub mod path;
pub mod policy;
pub mod reports;
