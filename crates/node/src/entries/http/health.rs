//! Health checks for the load balancer.

use std::sync::Arc;

use hyssop_core::limits::ANNOUNCE_INTERVAL;
use hyssop_core::{Millis, Standing};
use salvo::http::StatusCode;
use salvo::{Response, handler};

use crate::entries::shared::Shared;

/// Time after the start by which the agents that run have announced themselves. A ticket of an
/// agent that is not known yet would end with an unknown outcome.
const MEMBERS_WAIT: Millis = Millis(ANNOUNCE_INTERVAL.0 + 500);

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
        let why = self.obstacle();
        if why.is_some() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(why.unwrap_or("ready\n"));
    }
}

impl Ready {
    /// Returns why the entry should get no requests.
    fn obstacle(&self) -> Option<&'static str> {
        let now = self.0.now();
        if self.0.is_stopping() {
            return Some("stopping\n");
        }
        let fleet = self.0.fleet();
        if fleet.standing(now) == Standing::Isolated {
            return Some("isolated\n");
        }
        if fleet.conf.age(now).is_none() {
            return Some("the configuration is not known yet\n");
        }
        (now < MEMBERS_WAIT).then_some("the agents are not known yet\n")
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
