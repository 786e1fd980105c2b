//! Checks of G10: the configuration of each daemon never reverts and is current within its bounds.

use std::collections::BTreeMap;

use hyssop_core::limits::FRESHNESS_LIMIT;
use hyssop_core::{Incarnation, Millis, Offset, Version};

use super::{CHANGE_DEADLINE, ConfStatus, Findings, Observation};

#[derive(Debug, Default)]
pub(super) struct Confs {
    /// Accepted versions with the times of their acceptance, oldest first.
    accepted: Vec<(Millis, Version)>,
    last_states: BTreeMap<String, (Incarnation, Offset, Version)>,
}

impl Confs {
    pub(super) fn observe(&mut self, now: Millis, obs: &Observation, findings: &mut Findings) {
        match obs {
            Observation::ConfAccepted(version) => self.accepted.push((now, *version)),
            Observation::ConfReported(status) => {
                self.check_order(status, findings);
                self.check_freshness(now, status, findings);
                self.check_reachable(now, status, findings);
            }
            _ => {}
        }
    }

    /// Checks that the versions reported by one incarnation never decrease.
    fn check_order(&mut self, status: &ConfStatus, findings: &mut Findings) {
        let value = (status.incarnation, status.applied, status.version);
        let known = self.last_states.insert(status.daemon.clone(), value);
        if let Some((incarnation, applied, version)) = known
            && incarnation == status.incarnation
            && (status.applied < applied || status.version < version)
        {
            let (to, from) = (status.version, version);
            let text = format!("{} reverted from {from} to {to}", status.daemon);
            findings.add(10, text);
        }
    }

    /// Checks that a daemon which considers its configuration fresh has applied every version older
    /// than the freshness limit.
    fn check_freshness(&self, now: Millis, status: &ConfStatus, findings: &mut Findings) {
        if status.is_fresh
            && let Some(version) = self.missing(status, now, FRESHNESS_LIMIT)
        {
            let text = format!(
                "{} considers its configuration fresh without {version}",
                status.daemon
            );
            findings.add(10, text);
        }
    }

    /// Checks that a reachable daemon has applied each change within `CHANGE_DEADLINE`.
    fn check_reachable(&self, now: Millis, status: &ConfStatus, findings: &mut Findings) {
        if let Some(since) = status.reachable_since
            && now > since + CHANGE_DEADLINE
            && let Some(version) = self.missing(status, now, CHANGE_DEADLINE)
        {
            let text = format!("{} is reachable and lacks {version}", status.daemon);
            findings.add(10, text);
        }
    }

    /// Returns the newest version accepted longer ago than `age`, if the daemon has not applied it.
    fn missing(&self, status: &ConfStatus, now: Millis, age: Millis) -> Option<Version> {
        let accepted = self.accepted.iter().rev();
        let mut overdue = accepted.filter(|(at, _)| now > *at + age);
        overdue
            .next()
            .map(|(_, version)| *version)
            .filter(|version| status.applied.0 <= version.0)
    }
}
