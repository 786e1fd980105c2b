//! Requests of callers on their way to the owner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{Answer, Ask};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::messages::{self, FleetLink, RequestReply};
use crate::owners::Ownership;

/// Time after which a request that the owner has not answered is sent again, since its connection
/// may be silent or another process may own the jobs by now. Requests may be repeated.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time after which a request that no owner can have got is given up, so that its caller comes back
/// in time to try again. A planned change of owners takes 0.3 s to 0.5 s, one that a restart brings
/// about as long.
const NO_OWNER_TIMEOUT: Duration = Duration::from_millis(900);
/// Part of a caller's time for which a submission is held, in percent. The rest leaves the caller time
/// for another try, at another entry if this one cannot reach the owner.
const SUBMIT_SHARE_PERCENT: u32 = 45;
/// Time before the caller's deadline at which a request is given up, so that the answer arrives.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Shortest time that a request is given.
const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// When a caller is to come back while nobody owns the jobs.
const NO_OWNER_RETRY_AFTER: Millis = Millis(500);

/// Returns for how long a request is held without an answer if its caller waits for `deadline`.
#[must_use]
pub fn request_timeout(request: &Ask, deadline: Duration) -> Duration {
    let limit = match request {
        Ask::Submit { .. } => deadline * SUBMIT_SHARE_PERCENT / 100,
        Ask::Show(_) | Ask::Cancel(_) | Ask::Pending(_) => deadline.saturating_sub(RESPONSE_MARGIN),
    };
    limit.max(MIN_REQUEST_TIMEOUT)
}

/// Way of requests to the owner.
pub(super) struct RequestForwarder {
    ownership: Arc<Ownership>,
    links: Mutex<HashMap<SocketAddr, Arc<FleetLink>>>,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The owner answered.
    Answered(Answer),
    /// No owner has got the request.
    NotSent {
        /// When to come back.
        retry: Millis,
    },
    /// An owner may have got the request.
    Unknown,
}

impl RequestForwarder {
    pub(super) fn new(ownership: Arc<Ownership>) -> Self {
        Self {
            ownership,
            links: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request until it is answered, the time is over, or the process is about to end.
    pub(super) async fn forward(
        &self,
        request: Ask,
        until: Instant,
        mut end: watch::Receiver<Option<Instant>>,
    ) -> Outcome {
        let mut is_sent = false;
        let unsent_until = until.min(Instant::now() + NO_OWNER_TIMEOUT);
        loop {
            let until = if is_sent { until } else { unsent_until };
            let until = end.borrow_and_update().map_or(until, |end| end.min(until));
            if Instant::now() >= until {
                break;
            }
            let limit = until.min(Instant::now() + TRY_TIMEOUT);
            let reply = if let Some(handle) = self.ownership.handle() {
                // Unanswered, it may still be carried out.
                let answer = timeout_at(limit, handle.request(request.clone())).await;
                answer.unwrap_or(RequestReply::Lost)
            } else if let Some(address) = self.owner_address() {
                let link = self.link(address);
                let left = limit.saturating_duration_since(Instant::now());
                match messages::request(&link, request.clone(), left).await {
                    Ok(reply) => reply,
                    Err(error) if error.is_not_run() => RequestReply::NotOwner,
                    Err(_) => RequestReply::Lost,
                }
            } else {
                RequestReply::NotOwner
            };
            is_sent |= !reply.is_not_executed();
            if let RequestReply::Answered(answer) = reply {
                return Outcome::Answered(answer);
            }
            sleep(RETRY_DELAY).await;
        }
        if is_sent {
            Outcome::Unknown
        } else {
            Outcome::NotSent {
                retry: NO_OWNER_RETRY_AFTER,
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
