//! HTTP server that receives the heartbeats of the worker on the same host.

use std::net::SocketAddr;

use hyssop_platform::{read_heartbeat, worker_id_from_path};
use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::sync::mpsc::UnboundedSender;

use super::drivers::WorkerEvent;
use crate::servers::HttpServer;

/// Largest body of a heartbeat, as guaranteed by the platform.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

struct HeartbeatHandler(UnboundedSender<WorkerEvent>);

/// Starts the server, which forwards heartbeats and departures to `events`.
pub(super) fn start(
    address: SocketAddr,
    events: UnboundedSender<WorkerEvent>,
) -> std::io::Result<HttpServer> {
    HttpServer::start(address, HeartbeatHandler(events))
}

#[async_trait]
impl Handler for HeartbeatHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path().to_owned();
        let Some(id) = worker_id_from_path(&path) else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        let event = match *req.method() {
            Method::PUT => {
                let body = req.payload_with_max_size(MAX_BODY_BYTES).await;
                let heartbeat = body
                    .map_err(|error| error.to_string())
                    .and_then(|body| read_heartbeat(id, body).map_err(|error| error.to_string()));
                match heartbeat {
                    Ok(heartbeat) => WorkerEvent::Heartbeat(heartbeat),
                    Err(error) => {
                        log::warn!(worker:% = id; "heartbeat ignored: {error}");
                        res.status_code(StatusCode::BAD_REQUEST);
                        return;
                    }
                }
            }
            Method::DELETE => WorkerEvent::Left(id.into()),
            _ => {
                res.status_code(StatusCode::METHOD_NOT_ALLOWED);
                return;
            }
        };
        let is_closed = self.0.send(event).is_err();
        res.status_code(if is_closed {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        });
        res.body("{}");
    }
}
