//! Stand-in for a backend server.

mod announcers;
mod closers;
mod handlers;
mod options;
mod runs;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyssop_core::{BackendAnnouncement, Incarnation};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;
use crate::servers::{Clock, RunningServer, bind, new_incarnation};
use announcers::Announcer;
use closers::ClosingAcceptor;
pub use handlers::Echo;
pub use options::{BackendFaults, BackendMode, BackendOptions};
use runs::Runs;
pub use runs::{BackendLedger, RequestRun};

/// State shared by the request handlers and the [`BackendHandle`].
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    incarnation: Incarnation,
    faults: watch::Sender<BackendFaults>,
    runs: Mutex<Runs>,
    /// Number of requests that are running now.
    running: watch::Sender<u32>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> BackendLedger {
        self.lock()
            .ledger(self.incarnation, self.clock.unix_start())
    }
}

/// Backend server that replies to each request with an [`Echo`] of it.
#[derive(Clone, Copy, Debug)]
pub struct BackendServer;

impl BackendServer {
    /// Starts a backend server with a new incarnation. It is announced if the options name an
    /// agent.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the listener cannot be bound, and
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
        let announcement = BackendAnnouncement {
            service: options.service.clone(),
            address: address.to_string(),
            slots: options.slots,
            connections: options.connections,
            incarnation: shared.incarnation,
        };
        let announcer = Announcer::new(&options, announcement)?;
        let router = handlers::router(&shared, options.service_time);
        let server = RunningServer::start(address, ClosingAcceptor::new(acceptor), router);
        let announce_task = announcer
            .clone()
            .map(|a| tokio::spawn(a.announce_periodically()));
        Ok(BackendHandle {
            shared,
            server,
            announcer,
            announce_task,
        })
    }
}

/// Handle of a running backend server; dropping it breaks all connections.
#[derive(Debug)]
pub struct BackendHandle {
    shared: Arc<Shared>,
    server: RunningServer,
    announcer: Option<Announcer>,
    announce_task: Option<JoinHandle<()>>,
}

impl BackendHandle {
    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the incarnation that the backend server announces.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the requests that have started so far.
    #[must_use]
    pub fn ledger(&self) -> BackendLedger {
        self.shared.ledger()
    }

    /// Shuts down gracefully: deregisters at the agent, waits until no request is in flight, and
    /// stops.
    pub async fn stop(mut self) -> BackendLedger {
        self.stop_announcing();
        if let Some(announcer) = self.announcer.take() {
            announcer.leave().await;
        }
        let mut running = self.shared.running.subscribe();
        // `self` owns the sender, so the wait ends only when no request is running.
        let _closed = running.wait_for(|running| *running == 0).await;
        self.server.stop().await;
        self.shared.ledger()
    }

    /// Stops at once and breaks all connections, as a killed process does.
    pub async fn kill(mut self) -> BackendLedger {
        self.stop_announcing();
        self.server.stop().await;
        self.shared.ledger()
    }

    fn stop_announcing(&mut self) {
        if let Some(task) = self.announce_task.take() {
            task.abort();
        }
    }
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.stop_announcing();
    }
}
