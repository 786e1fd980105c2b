//! Ports of processes whose addresses others have to know before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, bail};

/// Ports below the range from which the system takes those of outgoing connections (32768 and up
/// on Linux), so that no connection can take one between its release and its use.
const FIRST: u16 = 18_000;
const COUNT: u16 = 14_000;
/// Ports that are looked at before the search is given up.
const TRIES: u16 = 1_000;

/// Steps of the search that were made so far. No port is reserved twice by one program, since tests
/// that run at the same time release theirs before the processes listen on them.
static STEPS: AtomicU16 = AtomicU16::new(0);

/// Reserved ports on loopback, which stay bound until [`Ports::release`].
#[derive(Debug, Default)]
pub struct Ports(Vec<TcpListener>);

impl Ports {
    /// Reserves `count` ports.
    ///
    /// # Errors
    ///
    /// Returns an error if there are not enough free ones.
    pub fn reserve(count: usize) -> Result<Self> {
        // Programs that run at the same time start their search at different places.
        let start = (std::process::id().wrapping_mul(977) % u32::from(COUNT)) as u16;
        let mut ports = Self::default();
        for _ in 0..TRIES {
            if ports.0.len() == count {
                return Ok(ports);
            }
            let step = STEPS.fetch_add(1, Ordering::Relaxed);
            let port = FIRST + start.wrapping_add(step) % COUNT;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                ports.0.push(listener);
            }
        }
        bail!("no {count} free ports among {TRIES} tried")
    }

    /// Returns the reserved addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>> {
        let addresses = self.0.iter().map(TcpListener::local_addr);
        Ok(addresses.collect::<std::io::Result<_>>()?)
    }

    /// Frees the ports for the processes that listen on them next.
    pub fn release(self) {}
}
