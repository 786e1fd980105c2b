//! A member: an agent with its backend server, as an entry knows them.

use hyssop_core::{
    AgentName, Announcement, DomainName, Incarnation, Load, MemberState, Millis, NotRun, RackName,
    ServiceName,
};

use super::MemberStatus;
use super::health::Health;
use crate::types::{CallReport, CallResult, CallerRequest, Pick};

/// Time over which the share of requests of a new member grows to 100%.
const SLOW_START_TIME: Millis = Millis(10_000);
/// Share of requests at the beginning of the slow start, in percent.
const INITIAL_SHARE_PERCENT: u64 = 10;
/// Announcement intervals without an announcement after which a member expires.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 3;
/// Longest announcement interval that is accepted; longer ones are shortened to it.
const MAX_ANNOUNCE_INTERVAL: Millis = Millis(30_000);

/// An agent that announced itself, with its load and health.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) agent: AgentName,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: DomainName,
    /// Time from which the member is no longer live, unless it announces itself again.
    pub(crate) expires_at: Millis,
    /// Whether its failure domain is out of service or not allowed by the document.
    pub(crate) is_closed: bool,
    pub(crate) health: Health,
    service: ServiceName,
    rack: RackName,
    address: String,
    seq: u64,
    state: MemberState,
    slots: u32,
    /// Running and waiting requests that other entries have sent there, as estimated.
    other_load: u32,
    /// Calls of this entry in flight there.
    own_calls: u32,
    /// Start of the slow start; `None` for a member that was up before this entry started.
    slow_start_since: Option<Millis>,
    /// Whether a call could not reach it and it has not announced itself since.
    is_unreachable: bool,
}

impl Member {
    /// Skips the slow start of a member that was up before this entry started.
    pub(crate) const fn skip_slow_start(&mut self) {
        self.slow_start_since = None;
    }

    /// Creates a member from its first announcement.
    pub(crate) fn new(now: Millis, first: &Announcement) -> Self {
        let mut member = Self {
            agent: first.agent.clone(),
            incarnation: first.incarnation,
            domain: first.domain.clone(),
            expires_at: now,
            is_closed: false,
            health: Health::default(),
            service: first.service.clone(),
            rack: first.rack.clone(),
            address: first.address.clone(),
            seq: first.seq,
            state: first.state,
            slots: 0,
            other_load: 0,
            own_calls: 0,
            slow_start_since: Some(now),
            is_unreachable: false,
        };
        member.update(now, first);
        member
    }

    /// Applies an announcement if it is later than the last one. Returns whether it was.
    pub(crate) fn apply_announcement(&mut self, now: Millis, announcement: &Announcement) -> bool {
        if announcement.seq <= self.seq {
            return false;
        }
        let was_up = self.state == MemberState::Up && self.is_live(now);
        if !was_up && announcement.state == MemberState::Up {
            self.slow_start_since = Some(now);
        }
        self.update(now, announcement);
        true
    }

    fn update(&mut self, now: Millis, announcement: &Announcement) {
        let interval = announcement.interval.0.clamp(1, MAX_ANNOUNCE_INTERVAL.0);
        self.seq = announcement.seq;
        self.expires_at = now + Millis(interval * MAX_MISSED_ANNOUNCEMENTS);
        self.state = announcement.state;
        self.address.clone_from(&announcement.address);
        self.is_unreachable = false;
        self.apply_load(announcement.load);
    }

    /// Applies the load that the agent reported.
    fn apply_load(&mut self, load: Load) {
        let total = load.running.saturating_add(load.waiting);
        self.other_load = total.saturating_sub(self.own_calls);
        self.slots = load.slots;
    }

    /// Records that a call was sent to the member. Returns whether it is a probe.
    pub(crate) fn record_sent(&mut self, now: Millis) -> bool {
        self.own_calls += 1;
        self.health.record_sent(now)
    }

    /// Records the end of a call.
    pub(crate) fn record_result(&mut self, now: Millis, report: &CallReport, is_probe: bool) {
        self.own_calls = self.own_calls.saturating_sub(1);
        if let Some(load) = report.load {
            self.apply_load(load);
        }
        if report.result == CallResult::Unreachable {
            self.is_unreachable = true;
        }
        if self.health.record_result(report.result, is_probe) {
            self.slow_start_since = Some(now);
        }
    }

    /// Returns whether the member has announced itself recently enough.
    pub(crate) fn is_live(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// Returns whether the member may get new work, regardless of ejection and load.
    pub(crate) fn accepts_work(&self, now: Millis) -> bool {
        self.is_live(now)
            && self.state == MemberState::Up
            && !self.is_closed
            && !self.is_unreachable
    }

    /// Returns whether the member is ejected, including while a probe is due or in flight.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.is_ejected()
    }

    /// Returns whether the next request should be sent to the member as a probe.
    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.health.wants_probe(now)
    }

    /// Returns the estimated number of requests running and waiting at the member.
    pub(crate) const fn load(&self) -> u32 {
        self.other_load.saturating_add(self.own_calls)
    }

    /// Returns whether one more request would exceed the slots that the member may use, which are
    /// fewer during the slow start.
    pub(crate) fn is_overloaded(&self, now: Millis) -> bool {
        let slots = u64::from(self.slots) * self.share_percent(now) / 100;
        u64::from(self.load()) >= slots.max(1)
    }

    /// Returns the load per slot after one more request; the lowest score is the best.
    pub(crate) fn score(&self, now: Millis) -> u64 {
        let load = u64::from(self.load()) + 1;
        let slots = u64::from(self.slots.max(1));
        load * 1_000_000 / (slots * self.share_percent(now))
    }

    /// Returns the share of requests that the member gets, in percent. It is below 100 only during
    /// the slow start.
    fn share_percent(&self, now: Millis) -> u64 {
        let Some(since) = self.slow_start_since else {
            return 100;
        };
        let age = now.since(since).0.min(SLOW_START_TIME.0);
        INITIAL_SHARE_PERCENT.max(age * 100 / SLOW_START_TIME.0)
    }

    /// Creates the pick of this member for a request.
    pub(crate) fn pick(
        &self,
        request: &CallerRequest,
        refusal: Option<NotRun>,
        is_probe: bool,
    ) -> Pick {
        Pick {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            service: request.service.clone(),
            team: request.team.clone(),
            refusal,
            is_probe,
        }
    }

    /// Returns the status of the member at `now`.
    pub(crate) fn status(&self, now: Millis) -> MemberStatus {
        MemberStatus {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            service: self.service.clone(),
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            state: self.state,
            load: self.load(),
            inflight: self.own_calls,
            is_live: self.is_live(now),
            is_ejected: self.health.is_ejected(),
            is_closed: self.is_closed,
        }
    }
}
