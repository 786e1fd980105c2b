//! Hostile input on every listener: it is refused or its connection closed, nothing panics or
//! changes, and good requests are served afterwards.

mod fixtures;
mod http;
mod rpc;
mod streams;
mod workers;
