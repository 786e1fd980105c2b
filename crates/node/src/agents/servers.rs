//! HTTP server that the backend server calls to announce itself, and for health probes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::{BackendAck, BackendAnnounce, MemberState};
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::server::ServerHandle;
use salvo::writing::{Json, Text};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::AgentStatus;
use super::drivers::Command;

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCE_BYTES: usize = 4 * 1024;
/// Most open connections; the backend server and each health probe need one.
const MAX_CONNECTIONS: usize = 32;

/// A running HTTP server.
pub(super) struct LocalServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl std::fmt::Debug for LocalServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("LocalServer").field(&self.address).finish()
    }
}

impl LocalServer {
    /// Returns the bound address of the server.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits up to `limit` for the requests in flight.
    pub(super) async fn stop(mut self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = timeout(limit, &mut self.task).await;
    }
}

impl Drop for LocalServer {
    fn drop(&mut self) {
        self.handle.stop_forceful();
        self.task.abort();
    }
}

/// Starts the server on a listening socket.
///
/// # Errors
///
/// Returns the error of the socket.
pub(super) fn serve(
    listener: TcpListener,
    commands: &mpsc::Sender<Command>,
    status: &watch::Receiver<AgentStatus>,
) -> io::Result<LocalServer> {
    let address = listener.local_addr()?;
    let route = |path, operation| {
        let endpoint = Endpoint {
            operation,
            commands: commands.clone(),
            status: status.clone(),
        };
        let router = Router::with_path(path);
        match operation {
            Operation::Announce | Operation::Leave => router.post(endpoint),
            Operation::Health | Operation::Ready => router.get(endpoint),
        }
    };
    let router = Router::new()
        .push(route("v1/announce", Operation::Announce))
        .push(route("v1/leave", Operation::Leave))
        .push(route("healthz", Operation::Health))
        .push(route("readyz", Operation::Ready));
    let server = Server::new(TcpAcceptor::try_from(listener)?).max_connections(MAX_CONNECTIONS);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(LocalServer {
        address,
        handle,
        task,
    })
}

#[derive(Clone, Copy)]
enum Operation {
    Announce,
    Leave,
    Health,
    Ready,
}

/// Reason why a request of the backend server is rejected.
enum Rejection {
    Body(String),
    OtherService,
    Stopping,
}

struct Endpoint {
    operation: Operation,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
}

impl Endpoint {
    async fn announce(&self, req: &mut Request) -> Result<BackendAck, Rejection> {
        let body = req.payload_with_max_size(MAX_ANNOUNCE_BYTES).await;
        let body = body.map_err(|err| Rejection::Body(err.to_string()))?;
        let announce: BackendAnnounce =
            serde_json::from_slice(body).map_err(|err| Rejection::Body(err.to_string()))?;
        let address = announce.address.parse().map_err(|_| {
            let found = &announce.address;
            Rejection::Body(format!("address: {found:?}; allowed: ip:port"))
        })?;
        let (reply, response) = oneshot::channel();
        let command = Command::BackendAnnounced {
            announce,
            address,
            reply,
        };
        self.send(command, response)
            .await?
            .ok_or(Rejection::OtherService)
    }

    async fn leave(&self, req: &mut Request) -> Result<BackendAck, Rejection> {
        let body = req.payload_with_max_size(MAX_ANNOUNCE_BYTES).await;
        let body = body.map_err(|err| Rejection::Body(err.to_string()))?;
        // Without a body the current incarnation is meant.
        let incarnation = match body.is_empty() {
            true => None,
            false => {
                let announce: BackendAnnounce =
                    serde_json::from_slice(body).map_err(|err| Rejection::Body(err.to_string()))?;
                Some(announce.incarnation)
            }
        };
        let (reply, response) = oneshot::channel();
        self.send(Command::BackendLeaves { incarnation, reply }, response)
            .await
    }

    async fn send<T>(
        &self,
        command: Command,
        response: oneshot::Receiver<T>,
    ) -> Result<T, Rejection> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| Rejection::Stopping)?;
        response.await.map_err(|_| Rejection::Stopping)
    }

    fn render_readiness(&self, res: &mut Response) {
        let status = *self.status.borrow();
        if !status.is_entry_serving || status.state != MemberState::Up {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(Json(serde_json::json!({
            "state": status.state,
            "serving": status.is_entry_serving,
            "applied": status.applied,
            "running": status.load.running,
            "waiting": status.load.waiting,
        })));
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ack = match self.operation {
            Operation::Announce => self.announce(req).await,
            Operation::Leave => self.leave(req).await,
            Operation::Health => return res.render(Text::Plain("ok\n")),
            Operation::Ready => return self.render_readiness(res),
        };
        match ack {
            Ok(ack) => res.render(Json(ack)),
            Err(rejection) => render_rejection(&rejection, res),
        }
    }
}

fn render_rejection(rejection: &Rejection, res: &mut Response) {
    let (status, text) = match rejection {
        Rejection::Body(text) => (StatusCode::BAD_REQUEST, text.as_str()),
        Rejection::OtherService => (
            StatusCode::CONFLICT,
            "service: not the service of this agent",
        ),
        Rejection::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping"),
    };
    res.status_code(status);
    res.render(Json(serde_json::json!({ "error": text })));
}
