//! Handlers of health checks and metrics.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Response, handler};

use crate::entries::shared::Shared;

/// Handles `GET /healthz`, which succeeds while the process serves HTTP.
pub(crate) struct Health;

#[handler]
impl Health {
    async fn handle(&self, res: &mut Response) {
        res.render("ok\n");
    }
}

/// Handles `GET /readyz`, which succeeds while the entry can serve callers. The load balancer uses it.
pub(crate) struct Ready(pub(crate) Arc<Shared>);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        let reason = self.0.unready_reason();
        if reason.is_some() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(format!("{}\n", reason.unwrap_or("ready")));
    }
}

/// Handles `GET /metrics` in the Prometheus text format.
pub(crate) struct Metrics(pub(crate) Arc<Shared>);

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        let metrics = &self.0.metrics;
        metrics.set_ready(self.0.unready_reason().is_none());
        match metrics.render() {
            Ok(text) => res.render(text),
            Err(e) => {
                log::error!("cannot render the metrics: {e}");
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}
