//! What the agent knows of its backend server.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::limits::PEER_TIMEOUT;
use hyssop_core::{BackendAnnounce, Incarnation};
use tokio::time::Instant;

/// Earlier lives that are remembered, so that a late announcement of one is not taken for a
/// restart.
const MAX_RETIRED: usize = 16;
/// Silence after which the backend server is taken for gone.
const SILENCE: Duration = Duration::from_millis(PEER_TIMEOUT.0);

/// The backend server that announced itself last.
#[derive(Debug)]
struct Known {
    life: Incarnation,
    address: SocketAddr,
    seen: Instant,
    lost: bool,
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The backend server is known.
    Known,
    /// A new life of the backend server.
    Fresh,
    /// A life that has been replaced.
    Retired,
}

/// Lives of the backend server.
#[derive(Debug, Default)]
pub(super) struct Backends {
    known: Option<Known>,
    retired: VecDeque<Incarnation>,
}

impl Backends {
    /// Takes an announcement.
    pub(super) fn announced(
        &mut self,
        now: Instant,
        announce: &BackendAnnounce,
        address: SocketAddr,
    ) -> Arrival {
        let life = announce.incarnation;
        if self.retired.contains(&life) {
            return Arrival::Retired;
        }
        if let Some(known) = self.known.as_mut().filter(|known| known.life == life) {
            known.address = address;
            known.seen = now;
            known.lost = false;
            return Arrival::Known;
        }
        let fresh = Known {
            life,
            address,
            seen: now,
            lost: false,
        };
        if let Some(earlier) = self.known.replace(fresh) {
            self.retired.push_back(earlier.life);
            if self.retired.len() > MAX_RETIRED {
                self.retired.pop_front();
            }
        }
        Arrival::Fresh
    }

    /// Tells whether a life is the present one.
    pub(super) fn is_present(&self, life: Incarnation) -> bool {
        self.known.as_ref().is_some_and(|known| known.life == life)
    }

    /// Tells once that the backend server has been silent for too long.
    pub(super) fn is_newly_lost(&mut self, now: Instant) -> bool {
        let silent = |known: &&mut Known| !known.lost && now >= known.seen + SILENCE;
        match self.known.as_mut().filter(silent) {
            Some(known) => {
                known.lost = true;
                true
            }
            None => false,
        }
    }

    /// Leaves out a time in which this process stood still and could hear nothing.
    pub(super) fn excuse(&mut self, gap: Duration) {
        if let Some(known) = &mut self.known {
            known.seen += gap;
        }
    }

    /// Returns the address of the backend server.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.known.as_ref().map(|known| known.address)
    }
}
