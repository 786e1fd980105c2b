//! Running HTTP servers, and what their handlers share.

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
const MAX_REQUEST: usize = 8 * 1024 * 1024;

/// A server that runs until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Running {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Serves on an address that has been bound.
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
        // The task ends as cancelled, which is what was asked for.
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for Running {
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

/// Reads a JSON body; answers 400 if there is none.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let body = match req.payload_with_max_size(MAX_REQUEST).await {
        Ok(body) => serde_json::from_slice(body).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match body {
        Ok(value) => Some(value),
        Err(cause) => {
            refuse(res, StatusCode::BAD_REQUEST, &cause);
            None
        }
    }
}

/// Answers with JSON.
pub(crate) fn answer<T: Serialize + Send>(res: &mut Response, status: StatusCode, value: T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Answers with an error status and its cause.
pub(crate) fn refuse(res: &mut Response, status: StatusCode, cause: &str) {
    answer(res, status, serde_json::json!({ "error": cause }));
}

/// Waits for a simulated delay.
pub(crate) async fn delay(time: Millis) {
    if time > Millis(0) {
        let until = Instant::now() + Duration::from_millis(time.0);
        tokio::time::sleep_until(until).await;
    }
}

/// Chooses the random number of one life of a process.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(SmallRng::from_os_rng().random())
}

/// Monotonic clock that starts with its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    epoch: Millis,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        Self {
            start: Instant::now(),
            epoch: Millis(unix.as_millis() as u64),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time of the start since the Unix epoch, which makes the ledgers of several
    /// processes on one machine comparable.
    pub(crate) const fn epoch(&self) -> Millis {
        self.epoch
    }
}
