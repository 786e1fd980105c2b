//! Stand-in for a backend server.

mod announcers;
mod closers;
mod handlers;
mod options;
mod runs;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyssop_core::{BackendAnnounce, Incarnation};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;
use crate::servers::{Clock, Running, bind, new_incarnation};
use announcers::Announcer;
use closers::ClosingAcceptor;
pub use handlers::Echo;
pub use options::{BackendFaults, BackendMode, BackendOptions};
use runs::Runs;
pub use runs::{BackendLedger, RequestRun};

/// What the handlers and the handle share.
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    incarnation: Incarnation,
    faults: watch::Sender<BackendFaults>,
    runs: Mutex<Runs>,
    /// Number of requests that run.
    running: watch::Sender<u32>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> BackendLedger {
        self.lock().ledger(self.incarnation, self.clock.epoch())
    }
}

/// Backend server that echoes requests.
#[derive(Clone, Copy, Debug)]
pub struct BackendServer;

impl BackendServer {
    /// Starts a backend server with a new incarnation, and its announcements if it has an agent.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the address cannot be listened on, and
    /// [`crate::Error::Client`] if the HTTP client cannot be set up.
    pub async fn start(options: BackendOptions) -> Result<BackendHandle> {
        let (address, acceptor) = bind(&options.listen).await?;
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            incarnation: new_incarnation(),
            faults: watch::Sender::new(options.faults),
            runs: Mutex::new(Runs::default()),
            running: watch::Sender::new(0),
        });
        let announce = BackendAnnounce {
            service: options.service.clone(),
            address: address.to_string(),
            slots: options.slots,
            connections: options.connections,
            incarnation: shared.incarnation,
        };
        let announcer = Announcer::new(&options, announce)?;
        let router = handlers::router(&shared, options.service_time);
        let running = Running::start(address, ClosingAcceptor::new(acceptor), router);
        let announcing = announcer.clone().map(|a| tokio::spawn(a.announce()));
        Ok(BackendHandle {
            shared,
            running,
            announcer,
            announcing,
        })
    }
}

/// A running backend server; stops abruptly when dropped.
#[derive(Debug)]
pub struct BackendHandle {
    shared: Arc<Shared>,
    running: Running,
    announcer: Option<Announcer>,
    announcing: Option<JoinHandle<()>>,
}

impl BackendHandle {
    /// Returns the address that the backend server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the life of the backend server.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns every request that ran so far.
    #[must_use]
    pub fn ledger(&self) -> BackendLedger {
        self.shared.ledger()
    }

    /// Leaves in order: tells the agent, waits until it has nothing in flight, and stops.
    pub async fn stop(mut self) -> BackendLedger {
        self.stop_announcing();
        if let Some(announcer) = self.announcer.take() {
            announcer.leave().await;
        }
        let mut running = self.shared.running.subscribe();
        // The sender lives in `self`, so that the wait ends only when nothing runs.
        let _closed = running.wait_for(|running| *running == 0).await;
        self.running.stop().await;
        self.shared.ledger()
    }

    /// Stops at once, as a killed process does: connections break.
    pub async fn kill(mut self) -> BackendLedger {
        self.stop_announcing();
        self.running.stop().await;
        self.shared.ledger()
    }

    fn stop_announcing(&mut self) {
        if let Some(announcing) = self.announcing.take() {
            announcing.abort();
        }
    }
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.stop_announcing();
    }
}
