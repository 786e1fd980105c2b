//! Outlier detection: ejects members that fail and restores them after a successful probe.

use hyssop_core::Millis;

use super::members::Member;
use crate::types::CallResult;

/// Consecutive failures after which a member is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Failure rate, in thousandths, above which a member is ejected.
const MAX_FAILURE_PERMILLE: u32 = 500;
/// Mean failure rate of the other members, in thousandths, from which on no member is ejected for
/// its failure rate, because the requests or the service fail everywhere.
const COMMON_FAILURE_PERMILLE: u32 = 250;
/// Calls that must have ended before the failure rate is used.
const MIN_CALLS: u32 = 20;
/// Divisor of the weight that one call has in the moving average of the failure rate.
const RATE_WEIGHT: u32 = 16;
/// Duration of the first ejection; each further one lasts twice as long.
const BASE_EJECTION_TIME: Millis = Millis(5_000);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Millis = Millis(60_000);
/// Share of the live members of a service that may be ejected at the same time, in percent.
const MAX_EJECTED_PERCENT: usize = 30;

/// Health of one member, derived from the results of its calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    failure_permille: u32,
    calls: u32,
    ejections: u32,
    /// Time from which an ejected member may be probed; `None` if it is not ejected.
    ejected_until: Option<Millis>,
    /// Whether a probe is in flight.
    is_probing: bool,
}

impl Health {
    /// Records the result of a call. Returns whether it restored an ejected member, which only a
    /// probe does: calls sent before the ejection may end late.
    pub(crate) fn record_result(&mut self, result: CallResult, is_probe: bool) -> bool {
        let has_failed = match result {
            CallResult::Success => false,
            CallResult::ServerError | CallResult::Unknown | CallResult::Unreachable => true,
            // A refusal because of load is not a failure, but doesn't show health either.
            CallResult::Refused => {
                self.is_probing &= !is_probe;
                return false;
            }
        };
        self.calls = self.calls.saturating_add(1);
        let sample = if has_failed { 1_000 } else { 0 };
        self.failure_permille = (self.failure_permille * (RATE_WEIGHT - 1) + sample) / RATE_WEIGHT;
        self.consecutive_failures = if has_failed {
            self.consecutive_failures + 1
        } else {
            0
        };
        if has_failed {
            return false;
        }
        if is_probe {
            *self = Self {
                ejections: self.ejections,
                ..Self::default()
            };
        } else if self.calls >= 10 * MIN_CALLS && self.failure_permille == 0 {
            self.ejections = 0;
        }
        is_probe
    }

    /// Records that a call was sent. It is the probe if one is due, and the result says so.
    pub(crate) fn record_sent(&mut self, now: Millis) -> bool {
        let is_probe = self.wants_probe(now);
        self.is_probing |= is_probe;
        is_probe
    }

    /// Returns whether the member is ejected, including while a probe is due or in flight.
    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the ejection time has passed and no probe is in flight.
    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.is_probing
    }

    fn eject(&mut self, now: Millis) {
        let factor = 1 << self.ejections.min(8);
        let time = Millis(BASE_EJECTION_TIME.0 * factor).min(MAX_EJECTION_TIME);
        self.ejected_until = Some(now + time);
        self.is_probing = false;
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_add(1);
    }
}

/// Ejects the member at index `at` if it fails persistently or more often than the others, and
/// the limit on ejected members allows it. An ejected member whose probe failed is ejected again
/// for a longer time.
pub(crate) fn update_ejection(now: Millis, members: &mut [Member], at: usize, is_probe: bool) {
    let health = members[at].health;
    if health.is_ejected() {
        if is_probe {
            members[at].health.eject(now);
        }
        return;
    }
    let failing =
        health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || is_outlier(now, members, at);
    if failing && may_eject_another(now, members) {
        members[at].health.eject(now);
    }
}

/// Returns whether the member at index `at` fails often while the other live members don't.
fn is_outlier(now: Millis, members: &[Member], at: usize) -> bool {
    let health = members[at].health;
    if health.calls < MIN_CALLS || health.failure_permille <= MAX_FAILURE_PERMILLE {
        return false;
    }
    let others = members.iter().enumerate();
    let others = others.filter(|(other, member)| *other != at && member.is_live(now));
    let (sum, len) = others.fold((0, 0), |(sum, len), (_, member)| {
        (sum + member.health.failure_permille, len + 1)
    });
    len > 0 && sum / len < COMMON_FAILURE_PERMILLE
}

/// Returns whether one more member may be ejected. With two or more live members the limit is at
/// least one.
fn may_eject_another(now: Millis, members: &[Member]) -> bool {
    let live = members.iter().filter(|member| member.is_live(now));
    let (live, ejected) = live.fold((0, 0), |(live, ejected), member| {
        (live + 1, ejected + usize::from(member.health.is_ejected()))
    });
    let share = live * MAX_EJECTED_PERCENT / 100;
    let max_ejected = if live >= 2 { share.max(1) } else { 0 };
    ejected < max_ejected
}
