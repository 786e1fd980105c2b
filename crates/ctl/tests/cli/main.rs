//! The command line against a stand-in for the entry's HTTP interface.

mod applies;
mod domains;
mod exits;
mod failovers;
mod outputs;
mod support;
