//! Health checks for the load balancer.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Response, handler};

use crate::entries::shared::Shared;

/// Handles `GET /healthz`: the process runs.
pub(crate) struct Health;

#[handler]
impl Health {
    async fn handle(&self, res: &mut Response) {
        res.render("ok\n");
    }
}

/// Handles `GET /readyz`: the entry can serve callers.
pub(crate) struct Ready(pub(crate) Arc<Shared>);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        let why = self.0.obstacle();
        if why.is_some() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(format!("{}\n", why.unwrap_or("ready")));
    }
}

/// Handles `GET /metrics`.
pub(crate) struct Metrics(pub(crate) Arc<Shared>);

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        let metrics = &self.0.metrics;
        metrics.set_ready(self.0.obstacle().is_none());
        match metrics.render() {
            Ok(text) => res.render(text),
            Err(e) => {
                log::error!("metrics: {e}");
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}
