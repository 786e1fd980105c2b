//! RPC servers of the system's own processes.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::{FutureExt, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::RequestName;
use tarpc::server::limits::requests_per_channel::MaxRequests;
use tarpc::server::{BaseChannel, Channel, InFlightRequest, Requests};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use super::transports::{self, ServerTransport};

/// Most connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for a peer that doesn't read its last responses when the server stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Most open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Most calls in flight on one connection; further ones are rejected without being run.
    pub max_inflight: usize,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            max_connections: 256,
            max_inflight: 256,
        }
    }
}

/// One received call, to be run by the handler of [`serve`].
pub type RpcRequest<Req, Resp> = InFlightRequest<Req, Resp>;

type Connection<Req, Resp> = BaseChannel<Req, Resp, ServerTransport<Req, Resp>>;
type Calls<Req, Resp> = Requests<MaxRequests<Connection<Req, Resp>>>;

/// A running server. Dropping it aborts the calls in flight and closes the connections.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RpcServer {
    /// Returns the bound address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, completes the calls in flight, and closes. Calls that are still
    /// in flight after `limit` are aborted.
    pub async fn stop(mut self, limit: Duration) {
        self.stop.send_replace(true);
        if timeout(limit, &mut self.task).await.is_err() {
            log::warn!(address:% = self.address; "stop timeout exceeded, calls in flight aborted");
            self.task.abort();
        }
    }
}

impl Drop for RpcServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a listening socket. Keep-alive probes close connections whose peer's host has failed.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_keepalive(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves calls. `handle` runs one call, usually by `request.execute(service.clone().serve())`.
///
/// The future of a call is dropped at any of its await points when its connection ends or its
/// caller gives up. Work that must not be interrupted needs a task of its own.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn serve<Req, Resp, H, F>(
    listener: TcpListener,
    options: ServeOptions,
    handle: H,
) -> io::Result<RpcServer>
where
    Req: RequestName + for<'a> Deserialize<'a> + Send + 'static,
    Resp: Serialize + Send + 'static,
    H: Fn(RpcRequest<Req, Resp>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept(listener, options, handle, stopped));
    Ok(RpcServer {
        address,
        stop,
        task,
    })
}

async fn accept<Req, Resp, H, F>(
    listener: TcpListener,
    options: ServeOptions,
    handle: H,
    mut stopped: watch::Receiver<bool>,
) where
    Req: RequestName + for<'a> Deserialize<'a> + Send + 'static,
    Resp: Serialize + Send + 'static,
    H: Fn(RpcRequest<Req, Resp>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let mut connections = JoinSet::new();
    let mut stop = stopped.clone();
    let stop = stop.wait_for(|stop| *stop);
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stop => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // The wait ends early when the server stops.
            let _ = timeout(ACCEPT_RETRY_DELAY, stopped.wait_for(|stop| *stop)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(peer:% = peer; "connection rejected: connection limit reached");
            continue;
        };
        let (handle, stopped) = (handle.clone(), stopped.clone());
        connections.spawn(async move {
            if let Err(err) = serve_connection(stream, options, handle, stopped).await {
                log::debug!(peer:% = peer; "connection closed: {err}");
            }
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection until it ends, or until the server stops and no call is in flight.
async fn serve_connection<Req, Resp, H, F>(
    stream: TcpStream,
    options: ServeOptions,
    handle: H,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<()>
where
    Req: RequestName + for<'a> Deserialize<'a> + Send + 'static,
    Resp: Serialize + Send + 'static,
    H: Fn(RpcRequest<Req, Resp>) -> F + Send,
    F: Future<Output = ()> + Send + 'static,
{
    let transport = transports::wrap_server(stream)?;
    let channel: Connection<Req, Resp> = BaseChannel::with_defaults(transport);
    let channel = channel.max_concurrent_requests(options.max_inflight);
    let mut calls = std::pin::pin!(channel.requests());
    let mut running = JoinSet::new();
    let stop = stopped.wait_for(|stop| *stop).fuse();
    let mut stop = std::pin::pin!(stop);
    let mut is_stopping = false;
    while !(is_stopping && running.is_empty()) {
        tokio::select! {
            call = calls.next() => match call {
                Some(Ok(call)) => { running.spawn(handle(call)); }
                Some(Err(err)) => return Err(io::Error::other(err)),
                None => return Ok(()),
            },
            Some(_) = running.join_next() => {}
            _ = &mut stop => is_stopping = true,
        }
    }
    drain_calls(calls, &handle, &mut running).await;
    Ok(())
}

/// Completes the calls that have already been received and flushes all responses.
async fn drain_calls<Req, Resp, H, F>(
    mut calls: Pin<&mut Calls<Req, Resp>>,
    handle: &H,
    running: &mut JoinSet<()>,
) where
    Req: RequestName + for<'a> Deserialize<'a> + Send + 'static,
    Resp: Serialize + Send + 'static,
    H: Fn(RpcRequest<Req, Resp>) -> F + Send,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        while let Some(Some(Ok(call))) = calls.next().now_or_never() {
            running.spawn(handle(call));
        }
        if running.is_empty() {
            break;
        }
        tokio::select! {
            Some(Ok(call)) = calls.next() => { running.spawn(handle(call)); }
            _ = running.join_next() => {}
        }
    }
    let flush = poll_fn(|cx| {
        let mut calls = calls.as_mut();
        futures::Sink::poll_flush(calls.channel_pin_mut(), cx)
    });
    let _ = timeout(FLUSH_TIMEOUT, flush).await;
}
