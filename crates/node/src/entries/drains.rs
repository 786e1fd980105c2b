//! Tells agents at once that their failure domain leaves or returns. They learn it from the
//! replies to their announcements as well, so that a lost message does no harm.

use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{DomainName, DomainState, Drain, Version};

use super::shared::Shared;

/// Longest wait for an agent.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Sends the state of a domain to its agents, without waiting for them.
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
            if let Err(e) = link.drain(drain, DRAIN_LIMIT).await {
                log::debug!(agent = member.agent.as_str(); "drain not delivered: {e}");
            }
        });
    }
}
