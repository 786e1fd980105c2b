//! Server for agents and the other entries.

use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_jobs::CallerRequest;
use hyssop_node::links::{RpcRequest, RpcServer, ServeOptions, listen, serve};
use tarpc::context::Context;
use tokio::sync::oneshot;

use crate::claims::Lead;
use crate::messages::{
    AskReply, Exchange, ExchangeReply, FleetRpc, FleetRpcRequest, FleetRpcResponse,
};
use crate::owners::{OwnerEvent, Seat};

/// Open connections: one of each agent and each other entry, with room for those that broke.
const CONNECTIONS: usize = 2_048;
/// Calls in flight on one connection.
const INFLIGHT: usize = 1_024;

#[derive(Clone)]
struct Service(Arc<Seat>);

impl FleetRpc for Service {
    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        let Some(handle) = self.0.handle() else {
            return ExchangeReply::default();
        };
        let (reply, answer) = oneshot::channel();
        handle.send(OwnerEvent::Exchange(exchange, reply));
        drop(handle);
        // An owner that has ended meanwhile owns nothing.
        answer.await.unwrap_or_default()
    }

    async fn ask(self, _: Context, ask: CallerRequest) -> AskReply {
        match self.0.handle() {
            Some(handle) => handle.ask(ask).await,
            None => AskReply::NotOwner,
        }
    }

    async fn lead(self, _: Context) -> Option<Lead> {
        self.0.lead.borrow().clone()
    }

    async fn owns(self, _: Context, epoch: u64) -> bool {
        self.0.owns(epoch)
    }
}

/// Starts the server.
pub(super) fn start(address: SocketAddr, seat: Arc<Seat>) -> std::io::Result<RpcServer> {
    let options = ServeOptions {
        max_connections: CONNECTIONS,
        max_inflight: INFLIGHT,
    };
    let service = Service(seat);
    serve(
        listen(address)?,
        options,
        move |request: RpcRequest<FleetRpcRequest, FleetRpcResponse>| {
            let service = service.clone();
            async move {
                request.execute(service.serve()).await;
            }
        },
    )
}
