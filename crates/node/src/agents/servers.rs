//! HTTP server for the backend server beside the agent.

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
const MAX_ANNOUNCE: usize = 4 * 1024;
/// Open connections; the backend server and a few probes need one each.
const CONNECTIONS: usize = 32;

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
    /// Returns the address on which the server listens.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server.
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

/// Serves the backend server.
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
    let route = |path, goal| {
        let endpoint = Endpoint {
            goal,
            commands: commands.clone(),
            status: status.clone(),
        };
        let router = Router::with_path(path);
        match goal {
            Goal::Announce | Goal::Leave => router.post(endpoint),
            Goal::Health | Goal::Ready => router.get(endpoint),
        }
    };
    let router = Router::new()
        .push(route("v1/announce", Goal::Announce))
        .push(route("v1/leave", Goal::Leave))
        .push(route("healthz", Goal::Health))
        .push(route("readyz", Goal::Ready));
    let server = Server::new(TcpAcceptor::try_from(listener)?).max_connections(CONNECTIONS);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(LocalServer {
        address,
        handle,
        task,
    })
}

#[derive(Clone, Copy)]
enum Goal {
    Announce,
    Leave,
    Health,
    Ready,
}

/// Why a request of the backend server is refused.
enum Refused {
    Body(String),
    Service,
    Stopping,
}

struct Endpoint {
    goal: Goal,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
}

impl Endpoint {
    async fn announce(&self, req: &mut Request) -> Result<BackendAck, Refused> {
        let body = req.payload_with_max_size(MAX_ANNOUNCE).await;
        let body = body.map_err(|err| Refused::Body(err.to_string()))?;
        let announce: BackendAnnounce =
            serde_json::from_slice(body).map_err(|err| Refused::Body(err.to_string()))?;
        let address = announce.address.parse().map_err(|_| {
            let found = &announce.address;
            Refused::Body(format!("address: {found:?}; allowed: ip:port"))
        })?;
        let (reply, answer) = oneshot::channel();
        let command = Command::Backend {
            announce,
            address,
            reply,
        };
        self.send(command, answer).await?.ok_or(Refused::Service)
    }

    async fn leave(&self, req: &mut Request) -> Result<BackendAck, Refused> {
        let body = req.payload_with_max_size(MAX_ANNOUNCE).await;
        let body = body.map_err(|err| Refused::Body(err.to_string()))?;
        // The body may be left out, and then the present backend server is meant.
        let life = match body.is_empty() {
            true => None,
            false => {
                let announce: BackendAnnounce =
                    serde_json::from_slice(body).map_err(|err| Refused::Body(err.to_string()))?;
                Some(announce.incarnation)
            }
        };
        let (reply, answer) = oneshot::channel();
        self.send(Command::BackendLeaves { life, reply }, answer)
            .await
    }

    async fn send<T>(&self, command: Command, answer: oneshot::Receiver<T>) -> Result<T, Refused> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| Refused::Stopping)?;
        answer.await.map_err(|_| Refused::Stopping)
    }

    fn ready(&self, res: &mut Response) {
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
        let ack = match self.goal {
            Goal::Announce => self.announce(req).await,
            Goal::Leave => self.leave(req).await,
            Goal::Health => return res.render(Text::Plain("ok\n")),
            Goal::Ready => return self.ready(res),
        };
        match ack {
            Ok(ack) => res.render(Json(ack)),
            Err(refused) => render_refused(&refused, res),
        }
    }
}

fn render_refused(refused: &Refused, res: &mut Response) {
    let (status, text) = match refused {
        Refused::Body(text) => (StatusCode::BAD_REQUEST, text.as_str()),
        Refused::Service => (
            StatusCode::CONFLICT,
            "service: not the service of this agent",
        ),
        Refused::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping"),
    };
    res.status_code(status);
    res.render(Json(serde_json::json!({ "error": text })));
}
