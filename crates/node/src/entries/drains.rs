//! Notifies agents at once when their failure domain is taken out of service or put back. The
//! replies to their announcements carry the state as well, so a lost notification is harmless.

use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{DomainName, DomainState, Drain, Version};

use super::shared::Shared;

/// Longest wait for the response of an agent to a drain notification.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the state of a domain to its live agents, without waiting for their responses.
pub(crate) fn announce(
    shared: &Arc<Shared>,
    domain: &DomainName,
    version: Version,
    state: DomainState,
) {
    let members = shared.member_list();
    let members = members.into_iter().map(|(member, _)| member);
    for member in members.filter(|member| member.is_live && member.domain == *domain) {
        let Some(link) = shared.agent(&member.address) else {
            continue;
        };
        let drain = Drain {
            domain: domain.clone(),
            version,
            state,
        };
        tokio::spawn(async move {
            if let Err(e) = link.drain(drain, DRAIN_TIMEOUT).await {
                log::debug!(agent = member.agent.as_str(); "drain not delivered: {e}");
            }
        });
    }
}
