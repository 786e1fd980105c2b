//! Addresses of processes. Only IP addresses are accepted, because the hosts have no DNS.

use std::fmt;
use std::net::SocketAddr;

use hyssop_core::{CellId, DomainName, EntryName, WorkerName};

/// Base URL of an HTTP service, `http://<ip>:<port>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HttpBase(pub SocketAddr);

impl HttpBase {
    /// Parses a base URL; `None` unless it is `http://<ip>:<port>`, with or without a final slash.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let address = text.strip_prefix("http://")?;
        let address = address.strip_suffix('/').unwrap_or(address);
        parse_peer_address(address).map(Self)
    }
}

impl fmt::Display for HttpBase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

/// Name and RPC address of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddress {
    /// Name of the entry, unique in the fleet.
    pub name: EntryName,
    /// Address on which the entry accepts RPC calls.
    pub address: SocketAddr,
}

impl EntryAddress {
    /// Parses `<name>=<ip>:<port>`.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (name, address) = text.split_once('=')?;
        Some(Self {
            name: EntryName::new(name).ok()?,
            address: parse_peer_address(address)?,
        })
    }
}

/// Name, cell and address of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Name of the worker, unique in the fleet.
    pub name: WorkerName,
    /// Cell to which the worker belongs.
    pub cell: CellId,
    /// Base URL of the worker's HTTP interface, which the cell's owner polls.
    pub base_url: HttpBase,
}

impl WorkerAddress {
    /// Parses `<name>@<domain>[/<shard>]=http://<ip>:<port>`; without a shard it is 0.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (worker, base) = text.split_once('=')?;
        let (name, cell) = worker.split_once('@')?;
        let cell = if cell.contains('/') {
            cell.parse().ok()?
        } else {
            CellId::new(DomainName::new(cell).ok()?, 0)
        };
        Some(Self {
            name: WorkerName::new(name).ok()?,
            cell,
            base_url: HttpBase::parse(base)?,
        })
    }
}

/// Parses the address of another process. Port 0 and the unspecified IP address are rejected.
fn parse_peer_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}
