//! Tests of the owner's core.

mod advice;
mod gangs;
mod jobs;
mod leases;
mod places;
mod preempts;
mod support;
mod takeovers;
mod times;
mod upkeep;
