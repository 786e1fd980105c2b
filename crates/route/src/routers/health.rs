//! Ejection of members that fail, and their return by a probe.

use hyssop_core::Millis;

use super::members::Member;
use crate::types::CallResult;

/// Failures in a row after which a member is ejected.
const MAX_ROW: u32 = 5;
/// Failure rate, in thousandths, above which a member is ejected.
const MAX_RATE: u32 = 500;
/// Failure rate of the other members, in thousandths, above which a rate is not held against one
/// member, because the requests or the service fail everywhere.
const COMMON_RATE: u32 = 250;
/// Ends from which on the failure rate is taken as meaningful.
const MIN_ENDS: u32 = 20;
/// Weight of one end in the failure rate, as a divisor.
const WEIGHT: u32 = 16;
/// Time of the first ejection; each further one doubles it.
const BASE_EJECTION: Millis = Millis(5_000);
/// Longest ejection.
const MAX_EJECTION: Millis = Millis(60_000);
/// Share of the live members of a service that may be ejected at once, in percent.
const MAX_EJECTED: usize = 30;

/// What the ends of calls say about one member.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    row: u32,
    rate: u32,
    ends: u32,
    ejections: u32,
    /// Time from which on an ejected member may be probed.
    until: Option<Millis>,
    /// Time at which the probe in flight was sent.
    probe: Option<Millis>,
}

impl Health {
    /// Takes the end of a call and tells whether it brought the member back.
    pub(crate) fn ended(&mut self, end: CallResult) -> bool {
        let failed = match end {
            CallResult::Success => false,
            CallResult::ServerError | CallResult::Unknown | CallResult::Unreachable => true,
            // A refusal for load is no fault of the member, but says nothing good either.
            CallResult::Refused => {
                self.probe = None;
                return false;
            }
        };
        self.ends = self.ends.saturating_add(1);
        let sample = if failed { 1_000 } else { 0 };
        self.rate = (self.rate * (WEIGHT - 1) + sample) / WEIGHT;
        self.row = if failed { self.row + 1 } else { 0 };
        if failed {
            return false;
        }
        // Only the success of a probe ends an ejection; answers to earlier calls may be late.
        let back = self.probe.is_some();
        if back {
            *self = Self {
                ejections: self.ejections,
                ..Self::default()
            };
        } else if self.ends >= 10 * MIN_ENDS && self.rate == 0 {
            self.ejections = 0;
        }
        back
    }

    /// Notes that a call was sent.
    pub(crate) fn sent(&mut self, now: Millis) {
        if self.wants_probe(now) {
            self.probe = Some(now);
        }
    }

    /// Tells whether the member is ejected, also while a probe is awaited.
    pub(crate) const fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Tells whether the ejection is over and no probe is in flight.
    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now >= until) && self.probe.is_none()
    }

    fn eject(&mut self, now: Millis) {
        let factor = 1 << self.ejections.min(8);
        let time = Millis(BASE_EJECTION.0 * factor).min(MAX_EJECTION);
        self.until = Some(now + time);
        self.probe = None;
        self.row = 0;
        self.ejections = self.ejections.saturating_add(1);
    }
}

/// Ejects the member at `at` if it fails more than the others and the cap allows it. An ejected
/// member whose probe failed is ejected for longer.
pub(crate) fn judge(now: Millis, members: &mut [Member], at: usize) {
    let health = members[at].health;
    if health.is_ejected() {
        if health.probe.is_some() {
            members[at].health.eject(now);
        }
        return;
    }
    let failing = health.row >= MAX_ROW || is_worse(now, members, at);
    if failing && has_room(now, members) {
        members[at].health.eject(now);
    }
}

fn is_worse(now: Millis, members: &[Member], at: usize) -> bool {
    let health = members[at].health;
    if health.ends < MIN_ENDS || health.rate <= MAX_RATE {
        return false;
    }
    let others = members.iter().enumerate();
    let others = others.filter(|(other, member)| *other != at && member.is_live(now));
    let (sum, len) = others.fold((0, 0), |(sum, len), (_, member)| {
        (sum + member.health.rate, len + 1)
    });
    len > 0 && sum / len < COMMON_RATE
}

/// Tells whether one more member may be ejected: a share of those that are live, but always one
/// of two or more.
fn has_room(now: Millis, members: &[Member]) -> bool {
    let live = members.iter().filter(|member| member.is_live(now));
    let (live, ejected) = live.fold((0, 0), |(live, ejected), member| {
        (live + 1, ejected + usize::from(member.health.is_ejected()))
    });
    let share = live * MAX_EJECTED / 100;
    let cap = if live >= 2 { share.max(1) } else { 0 };
    ejected < cap
}
