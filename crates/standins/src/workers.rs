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
use crate::servers::{Clock, Running, bind, new_incarnation};
pub use ledgers::{LedgerEntry, TaskChange, WorkerLedger};
pub use options::{WorkerFaults, WorkerOptions};
pub use states::WorkerState;
pub use tasks::TaskProfile;

/// Interval at which tasks advance without a poll.
const TICK: Duration = Duration::from_millis(20);

/// What the handlers, the ticker and the handle share.
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
        let epoch = self.clock.epoch();
        self.lock().ledger(epoch)
    }

    /// Advances the tasks, unless the worker is frozen.
    fn advance(&self) {
        if !self.faults.borrow().is_frozen {
            let now = self.clock.now();
            self.lock().advance(now);
        }
    }
}

/// Worker with simulated tasks.
#[derive(Clone, Copy, Debug)]
pub struct WorkerServer;

impl WorkerServer {
    /// Starts a worker with a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the address cannot be listened on.
    pub async fn start(options: WorkerOptions) -> Result<WorkerHandle> {
        let (address, acceptor) = bind(&options.listen).await?;
        let incarnation = new_incarnation();
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            faults: watch::Sender::new(options.faults),
            state: Mutex::new(WorkerState::new(options, incarnation)),
        });
        let router = handlers::router(&shared);
        let running = Running::start(address, acceptor, router);
        let ticker = tokio::spawn(tick(Arc::clone(&shared)));
        Ok(WorkerHandle {
            shared,
            running,
            ticker,
        })
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.advance();
    }
}

/// A running worker; stops when dropped.
#[derive(Debug)]
pub struct WorkerHandle {
    shared: Arc<Shared>,
    running: Running,
    ticker: JoinHandle<()>,
}

impl WorkerHandle {
    /// Returns the address that the worker listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns what ran so far.
    #[must_use]
    pub fn ledger(&self) -> WorkerLedger {
        self.shared.ledger()
    }

    /// Stops the worker; its tasks are gone. The ledger stays available to the caller.
    pub async fn stop(mut self) -> WorkerLedger {
        self.ticker.abort();
        self.running.stop().await;
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
