//! Incarnations of the backend server beside an agent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::limits::PEER_TIMEOUT;
use hyssop_core::{BackendAnnounce, Incarnation};
use tokio::time::Instant;

/// Number of remembered earlier incarnations. A late announcement of one of them isn't mistaken for
/// a restart.
const MAX_REPLACED: usize = 16;
/// Time without an announcement after which the backend server is marked lost.
const BACKEND_TIMEOUT: Duration = Duration::from_millis(PEER_TIMEOUT.0);

/// The incarnation that the last accepted announcement named.
#[derive(Debug)]
struct CurrentBackend {
    incarnation: Incarnation,
    address: SocketAddr,
    last_announced_at: Instant,
    is_lost: bool,
}

/// Relation of an announced incarnation to the ones known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationStatus {
    /// The current incarnation.
    Current,
    /// An incarnation that was unknown until now and becomes the current one.
    New,
    /// An earlier incarnation that has been replaced.
    Replaced,
}

/// Current and replaced incarnations of the backend server.
#[derive(Debug, Default)]
pub(super) struct Backends {
    current: Option<CurrentBackend>,
    replaced: VecDeque<Incarnation>,
}

impl Backends {
    /// Applies an announcement unless it's from a replaced incarnation.
    pub(super) fn on_announcement(
        &mut self,
        now: Instant,
        announce: &BackendAnnounce,
        address: SocketAddr,
    ) -> IncarnationStatus {
        let incarnation = announce.incarnation;
        if self.replaced.contains(&incarnation) {
            return IncarnationStatus::Replaced;
        }
        if let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.incarnation == incarnation)
        {
            current.address = address;
            current.last_announced_at = now;
            current.is_lost = false;
            return IncarnationStatus::Current;
        }
        let new = CurrentBackend {
            incarnation,
            address,
            last_announced_at: now,
            is_lost: false,
        };
        if let Some(previous) = self.current.replace(new) {
            self.replaced.push_back(previous.incarnation);
            if self.replaced.len() > MAX_REPLACED {
                self.replaced.pop_front();
            }
        }
        IncarnationStatus::New
    }

    /// Tells whether an incarnation is the current one.
    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.incarnation == incarnation)
    }

    /// Returns true once when no announcement has been received within the timeout.
    pub(super) fn detect_loss(&mut self, now: Instant) -> bool {
        let is_expired = |current: &&mut CurrentBackend| {
            !current.is_lost && now >= current.last_announced_at + BACKEND_TIMEOUT
        };
        match self.current.as_mut().filter(is_expired) {
            Some(current) => {
                current.is_lost = true;
                true
            }
            None => false,
        }
    }

    /// Extends the timeout by a time during which this process was suspended and could not receive
    /// announcements.
    pub(super) fn extend_timeout(&mut self, gap: Duration) {
        if let Some(current) = &mut self.current {
            current.last_announced_at += gap;
        }
    }

    /// Returns the last announced address of the backend server; `None` before the first
    /// announcement.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|current| current.address)
    }
}
