//! Forwards requests of callers to the owner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{CallerRequest, CallerResponse};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::messages::{self, FleetLink, RequestReply};
use crate::owners::Ownership;

/// Timeout of one attempt, after which a request is sent again: its connection may be dead, or another
/// process may have become the owner. Requests may safely be repeated.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of a request that no owner can have received, so that its caller has time to try again.
/// A planned change of the owner takes 0.3 s to 0.5 s, and a change caused by a restart about as
/// long.
const NO_OWNER_TIMEOUT: Duration = Duration::from_millis(900);
/// Part of a caller's deadline after which a submission times out, in percent. The rest leaves the
/// caller time for another attempt, at another entry if this one cannot reach the owner.
const SUBMIT_SHARE_PERCENT: u32 = 45;
/// Margin before the caller's deadline at which a request times out, so that the response arrives
/// in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Shortest timeout of a request, whatever its deadline.
const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay after which a caller should try again while there is no owner.
const NO_OWNER_RETRY_AFTER: Millis = Millis(500);

/// Returns how long an entry waits for the owner's response to a request whose caller waits for
/// `deadline`.
#[must_use]
pub fn request_timeout(request: &CallerRequest, deadline: Duration) -> Duration {
    let limit = match request {
        CallerRequest::Submit { .. } => deadline * SUBMIT_SHARE_PERCENT / 100,
        CallerRequest::Show(_) | CallerRequest::Cancel(_) | CallerRequest::Pending(_) => {
            deadline.saturating_sub(RESPONSE_MARGIN)
        }
    };
    limit.max(MIN_REQUEST_TIMEOUT)
}

/// Forwards requests to the owner, in this process or in another entry.
pub(super) struct RequestForwarder {
    ownership: Arc<Ownership>,
    links: Mutex<HashMap<SocketAddr, Arc<FleetLink>>>,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ForwardOutcome {
    /// The owner responded.
    Answered(CallerResponse),
    /// No owner has received the request, so that it had no effect.
    NotSent {
        /// Delay after which the caller should try again.
        retry_after: Millis,
    },
    /// An owner may have received and executed the request.
    Unknown,
}

impl RequestForwarder {
    pub(super) fn new(ownership: Arc<Ownership>) -> Self {
        Self {
            ownership,
            links: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request to the owner, repeatedly, until there is a response or `until` has passed.
    /// `stop_deadline` holds an earlier limit once the process is stopping.
    pub(super) async fn forward(
        &self,
        request: CallerRequest,
        until: Instant,
        mut stop_deadline: watch::Receiver<Option<Instant>>,
    ) -> ForwardOutcome {
        let mut is_sent = false;
        let unsent_until = until.min(Instant::now() + NO_OWNER_TIMEOUT);
        loop {
            let until = if is_sent { until } else { unsent_until };
            let until = stop_deadline
                .borrow_and_update()
                .map_or(until, |stop| stop.min(until));
            if Instant::now() >= until {
                break;
            }
            let attempt_until = until.min(Instant::now() + ATTEMPT_TIMEOUT);
            let reply = if let Some(handle) = self.ownership.handle() {
                // Without a response, the request may still be executed.
                let reply = timeout_at(attempt_until, handle.request(request.clone())).await;
                reply.unwrap_or(RequestReply::Lost)
            } else if let Some(address) = self.owner_address() {
                let link = self.link(address);
                let remaining = attempt_until.saturating_duration_since(Instant::now());
                match messages::request(&link, request.clone(), remaining).await {
                    Ok(reply) => reply,
                    Err(error) if error.is_not_run() => RequestReply::NotOwner,
                    Err(_) => RequestReply::Lost,
                }
            } else {
                RequestReply::NotOwner
            };
            is_sent |= !reply.is_not_executed();
            if let Some(response) = reply.into_response() {
                return ForwardOutcome::Answered(response);
            }
            sleep(RETRY_DELAY).await;
        }
        if is_sent {
            ForwardOutcome::Unknown
        } else {
            ForwardOutcome::NotSent {
                retry_after: NO_OWNER_RETRY_AFTER,
            }
        }
    }

    fn owner_address(&self) -> Option<SocketAddr> {
        let owner = self.ownership.known_owner.borrow();
        owner
            .as_ref()
            .filter(|owner| !owner.has_resigned)
            .map(|owner| owner.address)
    }

    fn link(&self, address: SocketAddr) -> Arc<FleetLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address);
        Arc::clone(link.or_insert_with(|| Arc::new(messages::link(address))))
    }
}
