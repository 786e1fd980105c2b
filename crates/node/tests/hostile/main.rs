//! Hostile input on every listener: it must be rejected or its connection closed, nothing may panic
//! or change, and valid requests must be served afterwards.

mod fixtures;
mod http;
mod rpc;
mod streams;
mod workers;
