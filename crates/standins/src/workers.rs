//! Stand-in for a worker of the platform.

mod handlers;
mod ledgers;
mod options;
mod states;
mod tasks;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use crate::Result;
use crate::servers::{Clock, RunningServer, bind, new_incarnation};
pub use ledgers::{LedgerEntry, TaskChange, WorkerLedger};
pub use options::{WorkerFaults, WorkerOptions};
pub use states::WorkerState;
pub use tasks::TaskProfile;

/// Interval at which simulated time advances when no poll arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the request handlers, the ticker and the [`WorkerHandle`].
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    state: Mutex<WorkerState>,
    faults: watch::Sender<WorkerFaults>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: WorkerFaults) {
        let now = self.clock.now();
        self.lock().set_faults(now, faults);
        self.faults.send_replace(faults);
    }

    fn ledger(&self) -> WorkerLedger {
        let clock_start = self.clock.unix_start();
        self.lock().ledger(clock_start)
    }

    /// Advances the tasks to the current time unless the worker is frozen.
    fn advance(&self) {
        if !self.faults.borrow().is_frozen {
            let now = self.clock.now();
            self.lock().advance(now);
        }
    }
}

/// Worker that simulates its tasks.
#[derive(Clone, Copy, Debug)]
pub struct WorkerServer;

impl WorkerServer {
    /// Starts a worker without tasks and with a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the listener cannot be bound.
    pub async fn start(options: WorkerOptions) -> Result<WorkerHandle> {
        let (address, acceptor) = bind(&options.listen).await?;
        let incarnation = new_incarnation();
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            faults: watch::Sender::new(options.faults),
            state: Mutex::new(WorkerState::new(options, incarnation)),
        });
        let router = handlers::router(&shared);
        let server = RunningServer::start(address, acceptor, router);
        let ticker = tokio::spawn(advance_periodically(Arc::clone(&shared)));
        Ok(WorkerHandle {
            shared,
            server,
            ticker,
        })
    }
}

async fn advance_periodically(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.advance();
    }
}

/// Handle of a running worker; dropping it stops the worker.
#[derive(Debug)]
pub struct WorkerHandle {
    shared: Arc<Shared>,
    server: RunningServer,
    ticker: JoinHandle<()>,
}

impl WorkerHandle {
    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns all task changes so far.
    #[must_use]
    pub fn ledger(&self) -> WorkerLedger {
        self.shared.ledger()
    }

    /// Stops the worker, which kills its tasks, and returns its final ledger.
    pub async fn stop(mut self) -> WorkerLedger {
        self.ticker.abort();
        self.server.stop().await;
        self.shared.advance();
        let now = self.shared.clock.now();
        self.shared.lock().kill(now);
        self.shared.ledger()
    }
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}
