//! The command line against a fake of the entry's HTTP interface.

mod applies;
mod domains;
mod exits;
mod failovers;
mod outputs;
mod support;
