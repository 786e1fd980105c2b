//! HTTP server lifecycle, and helpers shared by the request handlers.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyssop_core::{Incarnation, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Request, Response, Router, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::{Error, Result};

/// Largest request body accepted, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// HTTP server that runs until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct RunningServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Starts to serve `router` on a bound listener.
    pub(crate) fn start<A>(address: SocketAddr, acceptor: A, router: Router) -> Self
    where
        A: Acceptor + Send + 'static,
    {
        let server = Server::new(acceptor);
        let task = tokio::spawn(async move { server.serve(router).await });
        Self { address, task }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub(crate) async fn stop(&mut self) {
        self.task.abort();
        // The aborted task ends with a cancellation error.
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a listener; port 0 takes any free port.
pub(crate) async fn bind(address: &str) -> Result<(SocketAddr, TcpAcceptor)> {
    let listen = |cause: String| Error::Listen {
        address: address.to_owned(),
        cause,
    };
    let listener = TcpListener::new(address.to_owned());
    let acceptor = listener.try_bind().await;
    let acceptor = acceptor.map_err(|e| listen(e.to_string()))?;
    let bound = acceptor.local_addr().map_err(|e| listen(e.to_string()))?;
    Ok((bound, acceptor))
}

/// Parses the JSON body of a request. Responds with 400 and returns `None` if it is missing,
/// invalid or too large.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let body = match req.payload_with_max_size(MAX_REQUEST_BYTES).await {
        Ok(body) => serde_json::from_slice(body).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match body {
        Ok(value) => Some(value),
        Err(cause) => {
            reject(res, StatusCode::BAD_REQUEST, &cause);
            None
        }
    }
}

/// Responds with a JSON body.
pub(crate) fn respond<T: Serialize + Send>(res: &mut Response, status: StatusCode, value: T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Responds with an error status and a JSON body that holds the cause.
pub(crate) fn reject(res: &mut Response, status: StatusCode, cause: &str) {
    respond(res, status, serde_json::json!({ "error": cause }));
}

/// Sleeps for an injected delay; zero returns at once.
pub(crate) async fn sleep_for(time: Millis) {
    if time > Millis(0) {
        let until = Instant::now() + Duration::from_millis(time.0);
        tokio::time::sleep_until(until).await;
    }
}

/// Generates a random incarnation for a starting process.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(SmallRng::from_os_rng().random())
}

/// Monotonic clock that shows 0 when its server starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// Unix time at which the clock showed 0.
    unix_start: Millis,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        Self {
            start: Instant::now(),
            unix_start: Millis(unix.as_millis() as u64),
        }
    }

    /// Returns the time since the server started.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the Unix time at which the clock showed 0, so that ledgers of several processes on
    /// one machine can be compared.
    pub(crate) const fn unix_start(&self) -> Millis {
        self.unix_start
    }
}
