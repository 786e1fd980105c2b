//! HTTP server of the entry for callers, operators and the load balancer.

mod calls;
mod documents;
mod domains;
mod health;
mod jobs;
mod replies;
mod statuses;

use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::api::{ApiError, ErrorCode};
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Request, Response, Router, Server, handler};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::shared::Shared;

/// Most open connections; further ones wait to be accepted. The server closes a connection that
/// sends no request head within 30 s, its default timeout.
const MAX_CONNECTIONS: usize = 2_048;

/// A running HTTP server. Dropping it aborts its task.
pub(crate) struct HttpServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts the server on a listener.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the listener cannot be used.
    pub(crate) fn start(shared: &Arc<Shared>, listener: TcpListener) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
        let handle = server.handle();
        let router = router(shared);
        let task = tokio::spawn(async move {
            if let Err(e) = server.try_serve(router).await {
                log::error!("HTTP server ended: {e}");
            }
        });
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, and returns when the responses in progress have been written,
    /// after `limit` at the latest.
    pub(crate) async fn stop(mut self, limit: std::time::Duration) {
        self.handle.stop_graceful(limit);
        // The server enforces the limit itself. A panic of its task has been logged.
        let _result = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let with = || Arc::clone(shared);
    Router::new()
        .push(Router::with_path("healthz").get(health::Health))
        .push(Router::with_path("readyz").get(health::Ready(with())))
        .push(Router::with_path("metrics").get(health::Metrics(with())))
        .push(Router::with_path("v1/call/{service}").goal(calls::Calls(with())))
        .push(Router::with_path("v1/call/{service}/{**path}").goal(calls::Calls(with())))
        .push(Router::with_path("v1/services/{service}/tickets").post(calls::Tickets(with())))
        .push(
            Router::with_path("v1")
                .push(jobs(shared))
                .push(documents(shared)),
        )
        .push(
            Router::with_path("v1")
                .push(domains(shared))
                .push(quotas(shared)),
        )
        .push(Router::with_path("v1/status").get(statuses::Status(with())))
        .push(Router::with_path("v1/explain/{kind}/{name}").get(statuses::Explain(with())))
        .push(Router::with_path("{**rest}").goal(unknown_path))
}

fn jobs(shared: &Arc<Shared>) -> Router {
    let with = || Arc::clone(shared);
    let one = Router::with_path("{id}")
        .get(jobs::Show(with()))
        .delete(jobs::Cancel(with()));
    Router::with_path("jobs")
        .get(jobs::List(with()))
        .post(jobs::Submit(with()))
        .push(one)
        .push(Router::with_path("{id}/result").post(jobs::Fetch(with())))
}

fn documents(shared: &Arc<Shared>) -> Router {
    let with = || Arc::clone(shared);
    let one = Router::with_path("{service}")
        .get(documents::Show(with()))
        .put(documents::Apply(with()))
        .delete(documents::Remove(with()));
    Router::with_path("documents")
        .get(documents::List(with()))
        .push(one)
        .push(Router::with_path("{service}/history").get(documents::History(with())))
}

fn domains(shared: &Arc<Shared>) -> Router {
    let with = || Arc::clone(shared);
    Router::with_path("domains")
        .get(domains::Domains(with()))
        .push(Router::with_path("{domain}").put(domains::Change(with())))
}

fn quotas(shared: &Arc<Shared>) -> Router {
    let with = || Arc::clone(shared);
    let one = Router::with_path("{team}")
        .get(domains::ShowQuota(with()))
        .put(domains::SetQuota(with()));
    Router::with_path("quotas")
        .get(domains::Quotas(with()))
        .push(one)
}

/// Responds to a path or method that is not served.
#[handler]
async fn unknown_path(req: &mut Request, res: &mut Response) {
    let message = format!("{} {} is not served", req.method(), req.uri().path());
    replies::respond_error(res, &ApiError::new(ErrorCode::NotFound, message), None);
}
