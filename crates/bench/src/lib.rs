//! Measurements of hyssoptrack: cost of the cores, policy and request path.
//!
//! Nothing here is a test: the figures are printed and no threshold is checked.

pub mod clocks;
pub mod costs;
pub mod fits;
pub mod reports;
