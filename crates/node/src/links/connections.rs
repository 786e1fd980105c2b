//! Connections of a link, opened on demand, and the backoff after failed attempts.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex as StdMutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarpc::client::{self, Channel, NewClient};
use tarpc::{ClientMessage, RequestName, Response};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use super::transports::{self, TcpTransport};
use super::{LinkError, LinkResult};

/// Longest duration of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first failed attempt to connect; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between attempts to connect. It is shorter than the timeout after which a peer is
/// marked lost, so that a peer that restarts is reconnected before that.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Consecutive calls without a response after which a connection is replaced, because the peer's
/// host may have failed without closing it.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// An open connection, shared by the calls that use it.
pub(super) struct Connection<Req, Resp> {
    pub(super) channel: Channel<Req, Resp>,
    dispatch_task: JoinHandle<()>,
    unanswered_calls: AtomicU32,
}

impl<Req, Resp> Connection<Req, Resp> {
    /// Records that a response arrived.
    pub(super) fn record_response(&self) {
        self.unanswered_calls.store(0, Ordering::Relaxed);
    }

    /// Records that a call ended without a response.
    pub(super) fn record_no_response(&self) {
        self.unanswered_calls.fetch_add(1, Ordering::Relaxed);
    }

    fn is_usable(&self) -> bool {
        !self.dispatch_task.is_finished()
            && self.unanswered_calls.load(Ordering::Relaxed) < MAX_UNANSWERED_CALLS
    }
}

/// Failed attempts to connect, shared by all connections of a link: their number and the time
/// until which no attempt is made.
#[derive(Default)]
pub(super) struct Backoff {
    state: StdMutex<(u32, Option<Instant>)>,
}

impl Backoff {
    fn is_active(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1.is_some_and(|until| now < until)
    }

    fn record_failure(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = (INITIAL_BACKOFF * (1 << state.0.min(8))).min(MAX_BACKOFF);
        // Jitter spreads the attempts of the many processes that call one peer.
        let wait = wait.mul_f64(rand::random_range(0.5..1.0));
        *state = (state.0.saturating_add(1), Some(now + wait));
    }

    fn record_success(&self) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = (0, None);
    }
}

/// Holder of at most one connection.
pub(super) struct Slot<Req, Resp> {
    connection: Mutex<Option<Arc<Connection<Req, Resp>>>>,
}

impl<Req, Resp> Slot<Req, Resp>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    /// Creates a slot without a connection.
    pub(super) fn new() -> Self {
        Self {
            connection: Mutex::new(None),
        }
    }

    /// Returns the connection, opening a new one if there is none or it is unusable. Concurrent
    /// callers wait for the same attempt.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no connection until `deadline`, the attempt fails, or the
    /// backoff has not elapsed.
    pub(super) async fn acquire(
        &self,
        address: SocketAddr,
        backoff: &Backoff,
        deadline: Instant,
    ) -> LinkResult<Arc<Connection<Req, Resp>>> {
        let lock = timeout_at(deadline, self.connection.lock()).await;
        let mut slot = lock.map_err(|_| LinkError::ConnectDeadline)?;
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(Arc::clone(connection));
        }
        *slot = None;
        let now = Instant::now();
        if backoff.is_active(now) {
            return Err(LinkError::Backoff);
        }
        let limit = deadline.min(now + CONNECT_TIMEOUT);
        let attempt = timeout_at(limit, connect(address)).await;
        let attempt = attempt.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match attempt {
            Ok(connection) => {
                backoff.record_success();
                let connection = Arc::new(connection);
                *slot = Some(Arc::clone(&connection));
                Ok(connection)
            }
            Err(err) => {
                backoff.record_failure(Instant::now());
                Err(LinkError::Connect(err.kind()))
            }
        }
    }
}

async fn connect<Req, Resp>(address: SocketAddr) -> io::Result<Connection<Req, Resp>>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    let stream = TcpStream::connect(address).await?;
    let transport: TcpTransport<Response<Resp>, ClientMessage<Req>> = transports::wrap(stream)?;
    let NewClient { client, dispatch } = client::new(client::Config::default(), transport);
    let dispatch_task = tokio::spawn(async move {
        if let Err(err) = dispatch.await {
            log::debug!(peer:% = address; "connection closed: {err}");
        }
    });
    Ok(Connection {
        channel: client,
        dispatch_task,
        unanswered_calls: AtomicU32::new(0),
    })
}
