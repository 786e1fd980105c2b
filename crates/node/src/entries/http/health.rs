//! Health checks for the load balancer.

use std::sync::Arc;

use hyssop_core::Standing;
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
        let why = if self.0.is_stopping() {
            Some("stopping\n")
        } else if self.0.fleet().standing(self.0.now()) == Standing::Isolated {
            Some("isolated\n")
        } else if self.0.fleet().conf.age(self.0.now()).is_none() {
            Some("the configuration is not known yet\n")
        } else {
            None
        };
        if why.is_some() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(why.unwrap_or("ready\n"));
    }
}

/// Handles `GET /metrics`.
pub(crate) struct Metrics(pub(crate) Arc<Shared>);

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        match self.0.metrics.render() {
            Ok(text) => res.render(text),
            Err(e) => {
                log::error!("metrics: {e}");
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}
