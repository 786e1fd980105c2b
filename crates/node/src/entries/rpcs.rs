//! RPC server of the entry, for agents and the other entries.

use std::sync::Arc;

use hyssop_core::{AnnounceReply, Announcement, CellId, EntryRpc, Heartbeat, JobCall, JobReply};
use tarpc::context::Context;
use tokio::net::TcpListener;

use super::jobs;
use super::shared::Shared;
use crate::links::{RpcServer, ServeOptions, serve};

/// Most open connections: one for each agent of a region at the target size, and those of the other
/// entries.
const MAX_CONNECTIONS: usize = 1_024;

/// Handler of the calls of agents and other entries.
#[derive(Clone)]
struct Service(Arc<Shared>);

impl EntryRpc for Service {
    async fn announce(self, _: Context, announcement: Announcement) -> AnnounceReply {
        self.0.record_announcement(&announcement)
    }

    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        let now = self.0.now();
        let mut fleet = self.0.fleet();
        fleet.record_heartbeat(now, &heartbeat);
        fleet.heartbeat(now, Some(heartbeat.applied))
    }

    async fn jobs(self, _: Context, cell: CellId, call: JobCall) -> JobReply {
        // Never forwarded to a third entry, so that entries with different views cannot form a loop.
        jobs::call_local(&self.0, &cell, call).await
    }
}

/// Starts the RPC server on a listener.
pub(crate) fn start(shared: Arc<Shared>, listener: TcpListener) -> std::io::Result<RpcServer> {
    let service = Service(shared);
    let options = ServeOptions {
        max_connections: MAX_CONNECTIONS,
        ..ServeOptions::default()
    };
    serve(listener, options, move |request| {
        let service = service.clone();
        async move { request.execute(service.serve()).await }
    })
}
