//! HTTP handlers of the worker.

use std::sync::Arc;

use hyssop_core::PollRequest;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::{Request, Response, Router};

use super::{Shared, WorkerFaults};
use crate::servers::{read_json, reject, respond};

impl Shared {
    /// Waits while the worker is frozen.
    async fn wait_unfrozen(&self) {
        let mut faults = self.faults.subscribe();
        // `self` owns the sender, so the wait ends only when the fault is cleared.
        let _closed = faults.wait_for(|faults| !faults.is_frozen).await;
    }
}

/// Handles `POST /v1/poll`.
struct Poll(Arc<Shared>);

#[handler]
impl Poll {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(request) = read_json::<PollRequest>(req, res).await else {
            return;
        };
        self.0.wait_unfrozen().await;
        if self.0.faults.borrow().is_down {
            reject(res, StatusCode::SERVICE_UNAVAILABLE, "the worker is down");
            return;
        }
        let result = {
            let mut state = self.0.lock();
            // The clock is read under the lock, so that time never goes back between two polls.
            let now = self.0.clock.now();
            state.handle_poll(now, &request)
        };
        match result {
            Ok(reply) => respond(res, StatusCode::OK, reply),
            Err(fenced) => respond(res, StatusCode::CONFLICT, fenced),
        }
    }
}

/// Handles `GET /v1/ledger`.
struct Ledger(Arc<Shared>);

#[handler]
impl Ledger {
    async fn handle(&self, res: &mut Response) {
        respond(res, StatusCode::OK, self.0.ledger());
    }
}

/// Handles `POST /v1/faults`.
struct SetFaults(Arc<Shared>);

#[handler]
impl SetFaults {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json::<WorkerFaults>(req, res).await {
            self.0.set_faults(faults);
            respond(res, StatusCode::OK, faults);
        }
    }
}

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let poll = Router::with_path("v1/poll").post(Poll(Arc::clone(shared)));
    let ledger = Router::with_path("v1/ledger").get(Ledger(Arc::clone(shared)));
    let faults = Router::with_path("v1/faults").post(SetFaults(Arc::clone(shared)));
    Router::new().push(poll).push(ledger).push(faults)
}
