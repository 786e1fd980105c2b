//! Stand-in for the platform's log service.

mod faults;
mod handlers;
mod stores;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyssop_core::{Millis, Offset, ReadReply};
use tokio::sync::watch;

use crate::Result;
use crate::servers::{Clock, RunningServer, bind};
pub use faults::LogFaults;
pub use stores::LogStore;

/// Options of a [`LogServer`].
#[derive(Clone, Debug)]
pub struct LogServerOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Maximum number of records kept in a stream.
    pub max_records: usize,
    /// Time after which a record is dropped.
    pub retention: Millis,
    /// Accepted appends per second; a burst of one second's worth is allowed.
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

    /// Sets the maximum number of records kept in a stream.
    #[must_use]
    pub const fn with_max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Sets the time after which a record is dropped.
    #[must_use]
    pub const fn with_retention(mut self, retention: Millis) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the accepted appends per second.
    #[must_use]
    pub const fn with_append_rate(mut self, append_rate: u32) -> Self {
        self.append_rate = append_rate;
        self
    }
}

/// State shared by the request handlers and the [`LogHandle`].
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Number of changes of streams or faults; waiting reads watch it.
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

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
        self.notify_change();
    }
}

/// Log service that keeps its streams in memory.
#[derive(Clone, Copy, Debug)]
pub struct LogServer;

impl LogServer {
    /// Starts the service without streams and without faults.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Listen`] if the listener cannot be bound.
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
        let server = RunningServer::start(address, acceptor, router);
        Ok(LogHandle { shared, server })
    }
}

/// Handle of a running log service; dropping it stops the service.
#[derive(Debug)]
pub struct LogHandle {
    shared: Arc<Shared>,
    server: RunningServer,
}

impl LogHandle {
    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults that remain.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.shared.lock().faults.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Reads records directly; neither the network nor faults apply.
    #[must_use]
    pub fn read(&self, stream: &str, from: Offset, max: usize) -> ReadReply {
        let now = self.shared.clock.now();
        self.shared.lock().store.read(now, stream, from, max)
    }

    /// Appends records directly; neither the network nor faults apply.
    pub fn append(&self, stream: &str, records: Vec<String>) -> Offset {
        let now = self.shared.clock.now();
        let offset = self.shared.lock().store.append(now, stream, records);
        self.shared.notify_change();
        offset
    }

    /// Stops the service, which breaks all connections and discards the streams.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}
