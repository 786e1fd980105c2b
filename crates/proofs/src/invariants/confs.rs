//! Checks of the configuration at each daemon: G10.

use std::collections::BTreeMap;

use hyssop_core::limits::FRESHNESS_LIMIT;
use hyssop_core::{Incarnation, Millis, Offset, Version};

use super::{ConfSeen, Findings, IN_FORCE, Obs};

#[derive(Debug, Default)]
pub(super) struct Confs {
    /// Accepted versions with their times, in order.
    accepted: Vec<(Millis, Version)>,
    known: BTreeMap<String, (Incarnation, Offset, Version)>,
}

impl Confs {
    pub(super) fn observe(&mut self, now: Millis, obs: &Obs, findings: &mut Findings) {
        match obs {
            Obs::ConfAccepted(version) => self.accepted.push((now, *version)),
            Obs::Conf(seen) => {
                self.check_order(seen, findings);
                self.check_proof(now, seen, findings);
                self.check_reach(now, seen, findings);
            }
            _ => {}
        }
    }

    /// The versions of one process never fall.
    fn check_order(&mut self, seen: &ConfSeen, findings: &mut Findings) {
        let value = (seen.life, seen.applied, seen.version);
        let known = self.known.insert(seen.daemon.clone(), value);
        if let Some((life, applied, version)) = known
            && life == seen.life
            && (seen.applied < applied || seen.version < version)
        {
            let (to, from) = (seen.version, version);
            let text = format!("{} fell from {from} to {to}", seen.daemon);
            findings.add(10, text);
        }
    }

    /// A daemon that takes its configuration for fresh has what was accepted before its proof.
    fn check_proof(&self, now: Millis, seen: &ConfSeen, findings: &mut Findings) {
        if seen.proved
            && let Some(version) = self.missing(seen, now, FRESHNESS_LIMIT)
        {
            let text = format!("{} takes itself for fresh without {version}", seen.daemon);
            findings.add(10, text);
        }
    }

    /// A daemon that can be reached has a change within the bound.
    fn check_reach(&self, now: Millis, seen: &ConfSeen, findings: &mut Findings) {
        if let Some(since) = seen.reachable
            && now > since + IN_FORCE
            && let Some(version) = self.missing(seen, now, IN_FORCE)
        {
            let text = format!("{} is reachable and lacks {version}", seen.daemon);
            findings.add(10, text);
        }
    }

    /// Returns a version accepted longer ago than `age` that the daemon has not applied.
    fn missing(&self, seen: &ConfSeen, now: Millis, age: Millis) -> Option<Version> {
        let accepted = self.accepted.iter().rev();
        let mut old = accepted.filter(|(at, _)| now > *at + age);
        old.next()
            .map(|(_, version)| *version)
            .filter(|version| seen.applied.0 <= version.0)
    }
}
