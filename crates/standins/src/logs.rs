//! Stand-in for the platform's log service.

mod faults;
mod handlers;
mod stores;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyssop_core::{Millis, Offset, ReadReply};
use tokio::sync::watch;

use crate::Result;
use crate::servers::{Clock, Running, bind};
pub use faults::LogFaults;
pub use stores::LogStore;

/// Options of a [`LogServer`].
#[derive(Clone, Debug)]
pub struct LogServerOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Most records kept in a stream.
    pub max_records: usize,
    /// Longest time for which a record is kept.
    pub retention: Millis,
    /// Appends taken per second.
    pub append_rate: u32,
}

impl Default for LogServerOptions {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            max_records: 1_000_000,
            retention: Millis(24 * 3_600_000),
            append_rate: 500,
        }
    }
}

impl LogServerOptions {
    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: impl Into<String>) -> Self {
        self.listen = listen.into();
        self
    }

    /// Sets the most records kept in a stream.
    #[must_use]
    pub const fn with_max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Sets the longest time for which a record is kept.
    #[must_use]
    pub const fn with_retention(mut self, retention: Millis) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the appends taken per second.
    #[must_use]
    pub const fn with_append_rate(mut self, append_rate: u32) -> Self {
        self.append_rate = append_rate;
        self
    }
}

/// What the handlers and the handle share.
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Counts changes, for reads that wait.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    store: LogStore,
    faults: LogFaults,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
        self.note_change();
    }
}

/// Log service in memory.
#[derive(Clone, Copy, Debug)]
pub struct LogServer;

impl LogServer {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the address cannot be listened on.
    pub async fn start(options: LogServerOptions) -> Result<LogHandle> {
        let (address, acceptor) = bind(&options.listen).await?;
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            inner: Mutex::new(Inner {
                store: LogStore::new(options),
                faults: LogFaults::default(),
            }),
            changes: watch::Sender::new(0),
        });
        let router = handlers::router(&shared);
        let running = Running::start(address, acceptor, router);
        Ok(LogHandle { shared, running })
    }
}

/// A running log service; stops when dropped.
#[derive(Debug)]
pub struct LogHandle {
    shared: Arc<Shared>,
    running: Running,
}

impl LogHandle {
    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.shared.lock().faults.clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Reads without the network and without faults.
    #[must_use]
    pub fn read(&self, stream: &str, from: Offset, max: usize) -> ReadReply {
        let now = self.shared.clock.now();
        self.shared.lock().store.read(now, stream, from, max)
    }

    /// Appends without the network and without faults.
    pub fn append(&self, stream: &str, records: Vec<String>) -> Offset {
        let now = self.shared.clock.now();
        let offset = self.shared.lock().store.append(now, stream, records);
        self.shared.note_change();
        offset
    }

    /// Stops the service; connections break and what was stored is lost.
    pub async fn stop(mut self) {
        self.running.stop().await;
    }
}
