//! Connections of a link, the client of one peer. They are opened on demand; failed attempts to
//! connect are followed by a backoff.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex as StdMutex;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarpc::RequestName;
use tarpc::client::{self, Channel, NewClient};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use super::silences::{Activity, Silence};
use super::{LinkError, LinkResult, transports};

/// Longest duration of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum delay after the first failed attempt to connect; it doubles with each further one.
/// Jitter shortens each delay by up to a half.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to connect. It is shorter than the timeout after which a peer is
/// marked lost, so that a peer that restarts is reconnected before that.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An open connection, shared by the calls that use it.
pub(super) struct Connection<Req, Resp> {
    pub(super) channel: Channel<Req, Resp>,
    dispatch_task: JoinHandle<()>,
    activity: Arc<Activity>,
}

impl<Req, Resp> Connection<Req, Resp> {
    /// Records a call without a response at its deadline. Returns whether the connection is silent.
    pub(super) fn record_no_response(&self, sent_at: Instant, deadline: Instant) -> bool {
        self.activity.record_no_response(sent_at, deadline)
    }

    fn is_usable(&self, silence: &Silence) -> bool {
        !self.dispatch_task.is_finished() && !silence.includes(&self.activity)
    }
}

/// Closes the connection once no call uses it. The dispatch task would otherwise wait until all calls
/// are written, which a silent peer may prevent for good.
impl<Req, Resp> Drop for Connection<Req, Resp> {
    fn drop(&mut self) {
        self.dispatch_task.abort();
    }
}

/// Backoff after failed attempts to connect, shared by all connections of a link.
#[derive(Default)]
pub(super) struct Backoff {
    /// Number of consecutive failures, and the time until which no attempt is made.
    state: StdMutex<(u32, Option<Instant>)>,
}

impl Backoff {
    fn is_active(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1.is_some_and(|until| now < until)
    }

    fn record_failure(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        // The limit of the exponent avoids an overflow; `MAX_BACKOFF` is reached before it.
        let wait = (INITIAL_BACKOFF * (1 << state.0.min(8))).min(MAX_BACKOFF);
        // Jitter spreads the attempts of the many processes that call one peer.
        let wait = wait.mul_f64(rand::random_range(0.5..1.0));
        *state = (state.0.saturating_add(1), Some(now + wait));
    }

    fn record_success(&self) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = (0, None);
    }
}

/// A connection that is opened when it is first needed, and replaced when it has become unusable.
pub(super) struct LazyConnection<Req, Resp> {
    connection: Mutex<Option<Arc<Connection<Req, Resp>>>>,
}

impl<Req, Resp> LazyConnection<Req, Resp>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    /// Creates an instance without an open connection.
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
        silence: &Silence,
        deadline: Instant,
    ) -> LinkResult<Arc<Connection<Req, Resp>>> {
        let lock = timeout_at(deadline, self.connection.lock()).await;
        let mut current = lock.map_err(|_| LinkError::ConnectDeadline)?;
        let usable = current
            .as_ref()
            .filter(|connection| connection.is_usable(silence));
        if let Some(connection) = usable {
            return Ok(Arc::clone(connection));
        }
        // Calls in flight keep the earlier connection open until they end.
        *current = None;
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
                *current = Some(Arc::clone(&connection));
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
    let activity = Arc::new(Activity::new(Instant::now()));
    let received = Arc::clone(&activity);
    let on_data = move |_: &[u8]| received.record_data(Instant::now());
    let transport = transports::wrap_client(stream, on_data)?;
    let NewClient { client, dispatch } = client::new(client::Config::default(), transport);
    let dispatch_task = tokio::spawn(async move {
        if let Err(err) = dispatch.await {
            log::debug!(peer:% = address; "connection closed: {err}");
        }
    });
    Ok(Connection {
        channel: client,
        dispatch_task,
        activity,
    })
}
