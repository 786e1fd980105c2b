//! One connection of a link, made when it is needed.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after the first failed attempt to connect; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait between attempts to connect. It is below the time after which a silent peer is
/// taken for gone, so that a peer that returns is found in time.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Calls in a row without an answer after which a connection is replaced, because the peer's host
/// may have vanished without closing it.
const MAX_UNANSWERED: u32 = 3;

/// An open connection. It is shared by the calls that use it.
pub(super) struct Open<Req, Resp> {
    pub(super) channel: Channel<Req, Resp>,
    driver: JoinHandle<()>,
    unanswered: AtomicU32,
}

impl<Req, Resp> Open<Req, Resp> {
    /// Notes that an answer came.
    pub(super) fn answered(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
    }

    /// Notes that a call ended without an answer.
    pub(super) fn missed(&self) {
        self.unanswered.fetch_add(1, Ordering::Relaxed);
    }

    fn is_usable(&self) -> bool {
        !self.driver.is_finished() && self.unanswered.load(Ordering::Relaxed) < MAX_UNANSWERED
    }
}

/// Failed attempts to connect, common to the connections of a link.
#[derive(Default)]
pub(super) struct Backoff {
    state: StdMutex<(u32, Option<Instant>)>,
}

impl Backoff {
    fn is_waiting(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1.is_some_and(|until| now < until)
    }

    fn failed(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = (FIRST_BACKOFF * (1 << state.0.min(8))).min(MAX_BACKOFF);
        // Spreads the attempts of many callers of one peer.
        let wait = wait.mul_f64(rand::random_range(0.5..1.0));
        *state = (state.0.saturating_add(1), Some(now + wait));
    }

    fn connected(&self) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = (0, None);
    }
}

/// Place of one connection.
pub(super) struct Slot<Req, Resp> {
    open: Mutex<Option<Arc<Open<Req, Resp>>>>,
}

impl<Req, Resp> Slot<Req, Resp>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    /// Creates an empty place.
    pub(super) fn new() -> Self {
        Self {
            open: Mutex::new(None),
        }
    }

    /// Returns the connection and makes it if there is none that works. Callers that come
    /// meanwhile wait for the same attempt.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no connection until `deadline`.
    pub(super) async fn open(
        &self,
        address: SocketAddr,
        backoff: &Backoff,
        deadline: Instant,
    ) -> LinkResult<Arc<Open<Req, Resp>>> {
        let lock = timeout_at(deadline, self.open.lock()).await;
        let mut place = lock.map_err(|_| LinkError::ConnectDeadline)?;
        if let Some(open) = place.as_ref().filter(|open| open.is_usable()) {
            return Ok(Arc::clone(open));
        }
        *place = None;
        let now = Instant::now();
        if backoff.is_waiting(now) {
            return Err(LinkError::Backoff);
        }
        let limit = deadline.min(now + CONNECT_TIMEOUT);
        let attempt = timeout_at(limit, connect(address)).await;
        let attempt = attempt.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match attempt {
            Ok(open) => {
                backoff.connected();
                let open = Arc::new(open);
                *place = Some(Arc::clone(&open));
                Ok(open)
            }
            Err(err) => {
                backoff.failed(Instant::now());
                Err(LinkError::Connect(err.kind()))
            }
        }
    }
}

async fn connect<Req, Resp>(address: SocketAddr) -> io::Result<Open<Req, Resp>>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    let stream = TcpStream::connect(address).await?;
    let transport: TcpTransport<Response<Resp>, ClientMessage<Req>> = transports::wrap(stream)?;
    let NewClient { client, dispatch } = client::new(client::Config::default(), transport);
    let driver = tokio::spawn(async move {
        if let Err(err) = dispatch.await {
            log::debug!(peer:% = address; "connection ended: {err}");
        }
    });
    Ok(Open {
        channel: client,
        driver,
        unanswered: AtomicU32::new(0),
    })
}
