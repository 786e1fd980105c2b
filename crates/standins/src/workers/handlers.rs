//! HTTP handlers of the worker.

use std::sync::Arc;

use hyssop_core::PollRequest;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::{Request, Response, Router};

use super::{Shared, WorkerFaults};
use crate::servers::{answer, read_json, refuse};

impl Shared {
    /// Waits until the worker is not frozen.
    async fn thawed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so that the wait ends only with the fault.
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
        self.0.thawed().await;
        if self.0.faults.borrow().is_down {
            refuse(res, StatusCode::SERVICE_UNAVAILABLE, "the worker is down");
            return;
        }
        let result = {
            let mut state = self.0.lock();
            // Read under the lock, so that the time never goes back between two steps.
            let now = self.0.clock.now();
            state.handle_poll(now, &request)
        };
        match result {
            Ok(reply) => answer(res, StatusCode::OK, reply),
            Err(fenced) => answer(res, StatusCode::CONFLICT, fenced),
        }
    }
}

/// Handles `GET /v1/ledger`.
struct Ledger(Arc<Shared>);

#[handler]
impl Ledger {
    async fn handle(&self, res: &mut Response) {
        answer(res, StatusCode::OK, self.0.ledger());
    }
}

/// Handles `POST /v1/faults`.
struct SetFaults(Arc<Shared>);

#[handler]
impl SetFaults {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json::<WorkerFaults>(req, res).await {
            self.0.set_faults(faults);
            answer(res, StatusCode::OK, faults);
        }
    }
}

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let poll = Router::with_path("v1/poll").post(Poll(Arc::clone(shared)));
    let ledger = Router::with_path("v1/ledger").get(Ledger(Arc::clone(shared)));
    let faults = Router::with_path("v1/faults").post(SetFaults(Arc::clone(shared)));
    Router::new().push(poll).push(ledger).push(faults)
}
