//! Root of the crate; modules follow.
