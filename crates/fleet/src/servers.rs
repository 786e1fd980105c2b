//! HTTP servers that pass requests for all paths to one handler.

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_node::links::listen;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Handler, Router, Server};
use tokio::task::JoinHandle;

/// A running HTTP server.
pub(crate) struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on an address and serves all paths with a handler.
    pub(crate) fn start(address: SocketAddr, handler: impl Handler) -> std::io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(listen(address)?)?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let router = Router::new().push(Router::with_path("{**rest}").goal(handler));
        let task = tokio::spawn(async move {
            if let Err(error) = server.try_serve(router).await {
                log::error!(address:% = address; "HTTP server ended: {error}");
            }
        });
        Ok(Self { handle, task })
    }

    /// Stops accepting connections and waits for the requests in flight, at most for `limit`.
    pub(crate) async fn stop(mut self, limit: Duration) {
        self.handle.stop_graceful(limit);
        // A panic of the task has been logged.
        let _ended = (&mut self.task).await;
    }
}
