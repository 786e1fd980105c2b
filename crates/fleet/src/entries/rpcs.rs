//! RPC server for agents and the other entries.

use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_jobs::CallerRequest;
use hyssop_node::links::{RpcRequest, RpcServer, ServeOptions, listen, serve};
use tarpc::context::Context;
use tokio::sync::oneshot;

use crate::elections::OwnerRecord;
use crate::messages::{
    FleetRpc, FleetRpcRequest, FleetRpcResponse, ReportReply, ReportRequest, RequestReply,
};
use crate::owners::{OwnerEvent, Ownership};

/// Limit of open connections: one of each agent and each other entry, plus a reserve for broken
/// connections that are not closed yet.
const MAX_CONNECTIONS: usize = 2_048;
/// Limit of calls in flight on one connection.
const MAX_INFLIGHT: usize = 1_024;

#[derive(Clone)]
struct RpcService(Arc<Ownership>);

impl FleetRpc for RpcService {
    async fn report(self, _: Context, request: ReportRequest) -> ReportReply {
        let Some(handle) = self.0.handle() else {
            return ReportReply::default();
        };
        let (reply, response) = oneshot::channel();
        handle.send(OwnerEvent::Report(Box::new(request), reply));
        drop(handle);
        // If the owner has ended in the meantime, the default reply says that it is not the owner.
        response.await.unwrap_or_default()
    }

    async fn request(self, _: Context, request: CallerRequest) -> RequestReply {
        match self.0.handle() {
            Some(handle) => handle.request(request).await,
            None => RequestReply::NotOwner,
        }
    }

    async fn known_owner(self, _: Context) -> Option<OwnerRecord> {
        self.0.known_owner.borrow().clone()
    }

    async fn owns(self, _: Context, epoch: u64) -> bool {
        self.0.owns(epoch)
    }
}

/// Starts the server.
pub(super) fn start(address: SocketAddr, ownership: Arc<Ownership>) -> std::io::Result<RpcServer> {
    let options = ServeOptions {
        max_connections: MAX_CONNECTIONS,
        max_inflight: MAX_INFLIGHT,
    };
    let service = RpcService(ownership);
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
