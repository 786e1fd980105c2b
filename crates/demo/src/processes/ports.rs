//! Port reservation for processes whose addresses must be known before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, bail};

/// First port that may be reserved. The reserved range ends below the ephemeral ports (32768 and up
/// on Linux), so that no outgoing connection takes a port between its release and its use.
const FIRST_PORT: u16 = 18_000;
/// Number of ports that may be reserved, from [`FIRST_PORT`] on.
const PORT_COUNT: u16 = 14_000;
/// Maximum number of ports that one reservation tries.
const TRIES: u16 = 1_000;

/// Number of ports tried so far by this program. A program does not try a port twice until the
/// range is used up, because concurrent tests release their ports before the processes listen on
/// them.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Reserved loopback ports, which stay bound until [`Ports::release`].
#[derive(Debug, Default)]
pub struct Ports(Vec<TcpListener>);

impl Ports {
    /// Reserves `count` ports.
    ///
    /// # Errors
    ///
    /// Returns an error if not enough free ports are found.
    pub fn reserve(count: usize) -> Result<Self> {
        // Concurrent programs start their search at different ports.
        let start = (std::process::id().wrapping_mul(977) % u32::from(PORT_COUNT)) as u16;
        let mut ports = Self::default();
        for _ in 0..TRIES {
            if ports.0.len() == count {
                return Ok(ports);
            }
            let offset = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
            let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                ports.0.push(listener);
            }
        }
        bail!("no {count} free ports among {TRIES} tried")
    }

    /// Returns the loopback addresses of the reserved ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of a socket cannot be read.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>> {
        let addresses = self.0.iter().map(TcpListener::local_addr);
        Ok(addresses.collect::<std::io::Result<_>>()?)
    }

    /// Closes the sockets, so that other processes can listen on the ports.
    pub fn release(self) {}
}
