//! Recent changes of the state of failure domains, as seen by this entry.

use std::collections::BTreeMap;

use hyssop_core::limits::{FRESHNESS_LIMIT, ORDER_TTL};
use hyssop_core::{ConfView, DomainName, DomainState, Millis, Version};

/// Time after a domain was taken out within which a worker may still start a task there: an owner
/// may act on an old view for `FRESHNESS_LIMIT`, and its orders expire after `ORDER_TTL`.
const LAST_START_DELAY: Millis = Millis(FRESHNESS_LIMIT.0 + ORDER_TTL.0);
/// Time for which a domain that was put back in service is reported as returning, while the owners
/// of cells refill it.
const REFILL_DURATION: Millis = Millis(20_000);

/// Last change of a domain's state that this entry has seen.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: Version,
    state: DomainState,
    /// Time at which the change was seen; `None` if it may have been in force before the
    /// process started.
    seen_at: Option<Millis>,
}

/// Last change of each failure domain.
///
/// Queries take the view that they are about and record its changes first, so that a reply about a
/// view never lacks them.
#[derive(Debug, Default)]
pub struct DomainTracker {
    changes: BTreeMap<DomainName, Change>,
}

impl DomainTracker {
    /// Creates a tracker that has seen no changes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the changes of a view. `now` counts from the start of the process.
    pub fn update(&mut self, now: Millis, view: &ConfView) {
        for (domain, (version, state)) in &view.domains {
            let known = self.changes.get(domain);
            if known.is_some_and(|known| known.version >= *version) {
                continue;
            }
            let has_changed = known.is_some_and(|known| known.state != *state);
            // A state seen for the first time soon after the start may have been in force before.
            // Later on, the domain was in service until now.
            let is_first_after_start = known.is_none() && now < LAST_START_DELAY;
            let change = Change {
                version: *version,
                state: *state,
                seen_at: (has_changed || !is_first_after_start).then_some(now),
            };
            self.changes.insert(domain.clone(), change);
        }
    }

    /// Returns whether a domain was put back in service recently, so that owners still refill it.
    pub fn is_returning(&mut self, now: Millis, view: &ConfView, domain: &DomainName) -> bool {
        self.update(now, view);
        let change = self.changes.get(domain);
        change.is_some_and(|change| {
            let recent = |at: Millis| now.since(at) < REFILL_DURATION;
            change.state == DomainState::In && change.seen_at.is_some_and(recent)
        })
    }

    /// Returns whether tasks may still start in a domain that is out, because owners may still act
    /// on an earlier state.
    pub fn may_start_tasks(&mut self, now: Millis, view: &ConfView, domain: &DomainName) -> bool {
        self.update(now, view);
        let change = self.changes.get(domain);
        change.is_none_or(|change| now.since(change.seen_at.unwrap_or_default()) < LAST_START_DELAY)
    }
}
