//! Addresses of processes: always IP numbers, because the hosts have no name service.

use std::fmt;
use std::net::SocketAddr;

use hyssop_core::{CellId, DomainName, EntryName, WorkerName};

/// Base URL of an HTTP service, `http://<ip>:<port>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HttpBase(pub SocketAddr);

impl HttpBase {
    /// Reads a base URL; `None` unless it is `http://<ip>:<port>`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let address = text.strip_prefix("http://")?;
        let address = address.strip_suffix('/').unwrap_or(address);
        parse_peer(address).map(Self)
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
    /// Entry.
    pub name: EntryName,
    /// Address of its RPC.
    pub address: SocketAddr,
}

impl EntryAddress {
    /// Reads `<name>=<ip>:<port>`.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (name, address) = text.split_once('=')?;
        Some(Self {
            name: EntryName::new(name).ok()?,
            address: parse_peer(address)?,
        })
    }
}

/// Name, cell and address of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Worker.
    pub name: WorkerName,
    /// Cell to which it belongs.
    pub cell: CellId,
    /// Base URL of its HTTP interface.
    pub base_url: HttpBase,
}

impl WorkerAddress {
    /// Reads `<name>@<domain>[/<shard>]=http://<ip>:<port>`.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (place, base) = text.split_once('=')?;
        let (name, cell) = place.split_once('@')?;
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

/// Reads the address of another process, which needs a port and an IP number of its own.
fn parse_peer(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}
